"""Messages between daemons, encoded as msgpack arrays.

Arrays carry no field names: the order of the fields and the tags are the format.
"""

import msgspec
from msgspec import Struct

from lacewingpond.store.base import NO_ERA, WatchEvent


class ChangesRequest(Struct, frozen=True, array_like=True, tag=1):
    """Requests the changes after a revision of the store.

    Parameters
    ----------
    number : int
        Pairs the response with this request.
    after_revision : int
        Revision up to which the sender has all changes.
    era : int
        Era of that revision.
    seen_until : int
        Revision up to which the sender may know some changes. If it states one, or an
        era, it takes all keys where the changes would be incomplete.
    late_keys : tuple of str
        Keys whose last write the sender has ignored, as the store executed it late; it
        wants to know what the receiver knows of them.
    """

    number: int
    after_revision: int
    era: int = NO_ERA
    seen_until: int = 0
    late_keys: tuple[str, ...] = ()


class ChangesResponse(Struct, frozen=True, array_like=True, tag=2):
    """Response to a `ChangesRequest`.

    Parameters
    ----------
    number : int
        Number of the request.
    revision : int
        Revision up to which the sender has all changes.
    proof_age_s : float
        Age in seconds of the sender's proof of freshness.
    from_watcher : bool
        Whether the sender watches the store and is not about to stop.
    complete : bool
        False if `events` lacks changes: the datagram is too small for them, or the
        sender does not know all removals after the requested revision.
    events : tuple of WatchEvent
        Changes after the requested revision.
    era : int
        Era of `revision`.
    is_listing : bool
        Whether `events` are all keys, because the sender of the request was in another
        era, or because changes alone would be incomplete.
    complete_from : int
        Revision from which on the sender knows all changes, not only the last one of
        each key; 0 if it knows all.
    late_keys : tuple of str
        Keys whose last write the sender has ignored, as the store executed it late.
    """

    number: int
    revision: int
    proof_age_s: float
    from_watcher: bool
    complete: bool
    events: tuple[WatchEvent, ...] = ()
    era: int = NO_ERA
    is_listing: bool = False
    complete_from: int = 0
    late_keys: tuple[str, ...] = ()


class WatcherNotice(Struct, frozen=True, array_like=True, tag=3):
    """Announces that the sender watches the store, and its newest revision.

    Parameters
    ----------
    revision : int
        Revision up to which the sender has all changes.
    leaving : bool
        Whether the sender is stopping, so that another daemon must watch.
    era : int
        Era of `revision`.
    """

    revision: int
    leaving: bool = False
    era: int = NO_ERA


class OutcomeRow(Struct, frozen=True, array_like=True):
    """Outcomes of one daemon's requests to one target since its last report.

    Parameters
    ----------
    target_id : str
        Target.
    successes : int
        Requests that the target served.
    failure_evidence : float
        Failure evidence, as the natural logarithm of a likelihood ratio.
    trial_successes : int
        Requests among `successes` that were sent while the target was ejected.
    in_flight : int
        Requests in flight to the target now; -1 if not reported.
    age_s : float
        Age of the evidence in seconds: the time since the failure, or since the
        request was sent if it is unknown when the target failed.
    overdue_evidence : float
        The same evidence of requests without a response so far; negative for those
        that got one after all.
    rejections : int
        Requests that the target rejected without running them, as it was busy.
    """

    target_id: str
    successes: int
    failure_evidence: float
    trial_successes: int = 0
    in_flight: int = 0
    age_s: float = 0.0
    overdue_evidence: float = 0.0
    rejections: int = 0


class Outcomes(Struct, frozen=True, array_like=True, tag=4):
    """Report on targets.

    Parameters
    ----------
    rows : tuple of OutcomeRow
        One row for each target.
    relay : bool
        Whether the receiver forwards the report within its failure domain.
    """

    rows: tuple[OutcomeRow, ...]
    relay: bool = False


class TokenRequest(Struct, frozen=True, array_like=True, tag=5):
    """Requests one token of a workspace.

    Parameters
    ----------
    number : int
        Pairs the response with this request.
    bucket : str
        Name of the workspace.
    rate, burst : float
        Its quota as the sender knows it, for a receiver that does not know the
        workspace yet; 0 if not stated.
    """

    number: int
    bucket: str
    rate: float = 0.0
    burst: float = 0.0


class TokenGrant(Struct, frozen=True, array_like=True, tag=6):
    """Response to a `TokenRequest`.

    Parameters
    ----------
    number : int
        Number of the request.
    granted : bool
        Whether the requester may use a token.
    wait_s : float
        Time in seconds until a token may be available; 0 if one was granted.
    """

    number: int
    granted: bool
    wait_s: float


class CrashNotice(Struct, frozen=True, array_like=True, tag=7):
    """Reports that a request broke its target's connection, or got a response.

    Parameters
    ----------
    fingerprint : str
        Hash that identifies the request.
    crashed : bool
        False if a target has responded to the request.
    relay : bool
        Whether the receiver forwards the notice within its failure domain.
    """

    fingerprint: str
    crashed: bool
    relay: bool = False


class LimitNotice(Struct, frozen=True, array_like=True, tag=8):
    """Tells which limit a target names, or that it names none any more.

    Parameters
    ----------
    target_id : str
        Target.
    incarnation : int
        Changes with each start of the target.
    rate : float or None
        Requests per second that it accepts from the whole fleet; None without limit.
    age_s : float
        Age of the observation in seconds.
    relay : bool
        Whether the receiver forwards the notice within its failure domain.
    """

    target_id: str
    incarnation: int
    rate: float | None
    age_s: float
    relay: bool = False


class LimitTokenRequest(Struct, frozen=True, array_like=True, tag=9):
    """Requests one token of a target that names a limit; a `TokenGrant` responds.

    Parameters
    ----------
    number : int
        Pairs the response with this request.
    target_id, incarnation, rate, age_s
        The limit as the sender knows it, as in `LimitNotice`.
    """

    number: int
    target_id: str
    incarnation: int
    rate: float
    age_s: float


class ReachNotice(Struct, frozen=True, array_like=True, tag=10):
    """Tells whether a VM has lost its links to all targets.

    Parameters
    ----------
    vm_id : str
        The VM.
    lost : bool
        Whether it reaches no target.
    relay : bool
        Whether the receiver forwards the notice within its failure domain.
    """

    vm_id: str
    lost: bool
    relay: bool = False


class LeavingNotice(Struct, frozen=True, array_like=True, tag=11):
    """Tells that a target has said that it accepts no new requests.

    Parameters
    ----------
    target_id : str
        Target.
    incarnation : int
        Changes with each start of the target.
    relay : bool
        Whether the receiver forwards the notice within its failure domain.
    """

    target_id: str
    incarnation: int
    relay: bool = False


class WarmupTokenRequest(Struct, frozen=True, array_like=True, tag=12):
    """Requests one token of a target that is cold; a `TokenGrant` responds.

    Parameters
    ----------
    number : int
        Pairs the response with this request.
    target_id : str
        Target.
    incarnation : int
        Changes with each start of the target.
    rate : float
        Requests per second that it tolerates from the whole fleet while it is cold.
    bound : float
        Requests that it may get in any second.
    left_s : float
        Time for which the sender takes it for cold, in seconds.
    """

    number: int
    target_id: str
    incarnation: int
    rate: float
    bound: float
    left_s: float


class LoadRow(Struct, frozen=True, array_like=True):
    """Requests in flight from one failure domain to the targets of a service.

    Parameters
    ----------
    service : str
        Service.
    failure_domain : str
        Failure domain of the targets.
    in_flight : int
        Requests in flight to them.
    """

    service: str
    failure_domain: str
    in_flight: int


class DomainLoads(Struct, frozen=True, array_like=True, tag=13):
    """Reports the load that the VMs of one failure domain put on the targets.

    Parameters
    ----------
    failure_domain : str
        Failure domain of the VMs.
    rows : tuple of LoadRow
        One row for each service and failure domain of targets.
    relay : bool
        Whether the receiver forwards the report within its failure domain.
    """

    failure_domain: str
    rows: tuple[LoadRow, ...]
    relay: bool = False


PeerMessage = (
    ChangesRequest
    | ChangesResponse
    | WatcherNotice
    | Outcomes
    | TokenRequest
    | TokenGrant
    | CrashNotice
    | LimitNotice
    | LimitTokenRequest
    | ReachNotice
    | LeavingNotice
    | WarmupTokenRequest
    | DomainLoads
)

encode = msgspec.msgpack.Encoder().encode
decode = msgspec.msgpack.Decoder(PeerMessage).decode
_decode_any = msgspec.msgpack.Decoder().decode


def kind_of(data: bytes) -> int | None:
    """Return the tag of an encoded message, None if it has none."""
    try:
        message = _decode_any(data)
    except (msgspec.MsgspecError, RecursionError):
        return None
    tag = message[0] if isinstance(message, list) and message else None
    return tag if isinstance(tag, int) else None
