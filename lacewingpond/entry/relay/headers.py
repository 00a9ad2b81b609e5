"""Headers of relayed requests and of the responses to them, between VMs."""

from msgspec import Struct
from result import Err, Ok, Result

from lacewingpond.http.headers import Headers
from lacewingpond.http.run_state import RunState

RELAY_HEADER = "Lacewingpond-Relay"
ATTEMPTS_HEADER = "Lacewingpond-Relay-Attempts"
TARGET_HEADER = "Lacewingpond-Relay-Target"
MAX_INCARNATION_DIGITS = 20
RESPONSE = "response"
"""Value for the response of a target."""


class RelayRefusal(Struct, frozen=True):
    """The relaying VM's own refusal of a request.

    Parameters
    ----------
    run : RunState
        Whether a target may have run the request.
    reason : str
        Reason code.
    """

    run: RunState
    reason: str

    def encode(self) -> str:
        """Return the value of the header."""
        return f"{self.run.value};{self.reason}"


def parse_relay_header(value: str | None) -> Result[RelayRefusal | None, str]:
    """Return the refusal, None for the response of a target, or why it is invalid."""
    if value is None:
        return Err("the response has no relay header")
    if value == RESPONSE:
        return Ok(None)
    run, _, reason = value.partition(";")
    try:
        return Ok(RelayRefusal(RunState(run), reason))
    except ValueError as exc:
        return Err(str(exc))


def attempts_elsewhere(headers: Headers) -> int:
    """Return how many attempts the relaying VM has made, 0 if it does not say."""
    text = headers.get(ATTEMPTS_HEADER) or ""
    return int(text) if text.isascii() and text.isdigit() and len(text) <= 3 else 0


def encode_target(target_id: str, incarnation: int) -> str:
    """Return the value of the header that names the target of a response."""
    return f"{incarnation};{target_id}"


def parse_target(value: str | None) -> tuple[str, int] | None:
    """Return id and incarnation of the target; None if the peer does not name it."""
    incarnation, separator, target_id = (value or "").partition(";")
    digits = incarnation.removeprefix("-")
    if not separator or not (digits.isascii() and digits.isdigit()):
        return None
    if len(digits) > MAX_INCARNATION_DIGITS:
        return None
    return target_id, int(incarnation)
