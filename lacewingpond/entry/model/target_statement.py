"""What a target says of itself in a response."""

from msgspec import Struct


class TargetStatement(Struct, frozen=True):
    """What one response says of its target, besides the response itself.

    How long a target keeps idle connections open is not part of it: that concerns one
    connection (`lacewingpond.targets.keep_alive`).

    Parameters
    ----------
    leaving : bool
        Whether the target accepts no new requests, as it is about to stop.
    limit : float or None
        Requests per second that it accepts from the whole fleet; None without limit.
    has_valid_limit : bool
        False if the stated limit can't be decoded, so that the last one holds.
    pause_s : float
        Time for which it wants no further requests from this VM, in seconds.
    errors : tuple of (str, str)
        Header and reason for each value that was ignored.
    """

    leaving: bool = False
    limit: float | None = None
    has_valid_limit: bool = True
    pause_s: float = 0.0
    errors: tuple[tuple[str, str], ...] = ()
