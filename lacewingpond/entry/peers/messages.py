"""Messages between daemons, as msgpack arrays."""

import msgspec
from msgspec import Struct

from lacewingpond.store.base import WatchEvent


class NewsAsk(Struct, frozen=True, array_like=True, tag=1):
    """Asks what has changed after a revision of the store."""

    number: int
    after: int


class News(Struct, frozen=True, array_like=True, tag=2):
    """What the sender knows after the revision that was asked for.

    Parameters
    ----------
    number : int
        Of the question.
    revision : int
        Up to where the sender knows everything.
    proof_age_s : float
        Age of its proof of freshness.
    from_store : bool
        Whether it has that from the store itself.
    whole : bool
        False when the events do not fit and must be fetched over a stream.
    events : tuple of WatchEvent
        The changes.
    """

    number: int
    revision: int
    proof_age_s: float
    from_store: bool
    whole: bool
    events: tuple[WatchEvent, ...] = ()


class Hint(Struct, frozen=True, array_like=True, tag=3):
    """Tells that the sender watches the store and how far it has got.

    Parameters
    ----------
    revision : int
        Up to where the sender knows everything.
    leaving : bool
        Whether the sender stops soon, so that another daemon has to watch.
    """

    revision: int
    leaving: bool = False


class OutcomeRow(Struct, frozen=True, array_like=True):
    """What became of one daemon's requests at one target since its last report.

    Parameters
    ----------
    target_id : str
        The target.
    good : int
        Requests that the target served.
    blame : float
        Evidence against the target, in natural logs of a likelihood ratio.
    passed : int
        Those of the served ones that were sent while the target was ejected.
    in_flight : int
        Requests that are at it now; -1 when the report does not tell.
    age_s : float
        How long ago the requests behind `blame` were sent, in seconds.
    """

    target_id: str
    good: int
    blame: float
    passed: int = 0
    in_flight: int = 0
    age_s: float = 0.0


class Outcomes(Struct, frozen=True, array_like=True, tag=4):
    """A report on targets.

    Parameters
    ----------
    rows : tuple of OutcomeRow
        One for each target.
    relay : bool
        Whether the receiver passes it on to its own failure domain.
    """

    rows: tuple[OutcomeRow, ...]
    relay: bool = False


class TokenAsk(Struct, frozen=True, array_like=True, tag=5):
    """Asks for tokens of a bucket."""

    number: int
    bucket: str


class TokenGrant(Struct, frozen=True, array_like=True, tag=6):
    """Hands out a token, or tells when one may be there."""

    number: int
    granted: bool
    wait_s: float


class CrashNotice(Struct, frozen=True, array_like=True, tag=7):
    """Tells that a request broke a target's connection, or that one answered it.

    Parameters
    ----------
    fingerprint : str
        Names the request.
    crashed : bool
        False when a target has answered it.
    relay : bool
        Whether the receiver passes it on to its own failure domain.
    """

    fingerprint: str
    crashed: bool
    relay: bool = False


Message = NewsAsk | News | Hint | Outcomes | TokenAsk | TokenGrant | CrashNotice

encode = msgspec.msgpack.Encoder().encode
decode = msgspec.msgpack.Decoder(Message).decode
