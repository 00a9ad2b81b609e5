"""Versions of what daemons say to one another.

A daemon states the version that it speaks in its entry in the store. A message is sent
only to members that speak its version. docs/design/compatibility.md has the rules of
change.
"""

from lacewingpond.entry.peers.messages import (
    DomainLoads,
    LeavingNotice,
    LimitNotice,
    LimitTokenRequest,
    PeerMessage,
    ReachNotice,
    WarmupTokenRequest,
)

BASE_VERSION = 1  # changes of the store, outcomes, quota tokens, crashes
LIMITS_VERSION = 2  # adds limits of targets, and relayed requests
STATEMENTS_VERSION = 3  # adds targets that leave, and evidence of overdue requests
DECISIONS_VERSION = 4  # adds decisions in relayed requests
LOADS_VERSION = 5  # adds tokens of cold targets, loads of domains, rejections
CURRENT_VERSION = LOADS_VERSION

_VERSIONS: dict[type, int] = {
    LimitNotice: LIMITS_VERSION,
    LimitTokenRequest: LIMITS_VERSION,
    ReachNotice: LIMITS_VERSION,
    LeavingNotice: STATEMENTS_VERSION,
    WarmupTokenRequest: LOADS_VERSION,
    DomainLoads: LOADS_VERSION,
}


def version_of(message: PeerMessage | type[PeerMessage]) -> int:
    """Return the lowest version that has a message, or a type of messages."""
    kind = message if isinstance(message, type) else type(message)
    return _VERSIONS.get(kind, BASE_VERSION)
