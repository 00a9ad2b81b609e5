"""Records the forms that two builds share. Prints those of this build if run.

python tests/entry/form_recorder.py > tests/entry/peer_forms/current.json
"""

import json
import typing

import msgspec

from lacewingpond.entry.member import Member
from lacewingpond.entry.model.workspace import EntryWorkspace
from lacewingpond.entry.peers.messages import (
    LoadRow,
    OutcomeRow,
    PeerMessage,
    encode,
)
from lacewingpond.entry.peers.protocol import CURRENT_VERSION, version_of
from lacewingpond.entry.quota.rules import QuotaRules
from lacewingpond.entry.relay.decision import RelayDecision
from lacewingpond.quarantine.fingerprint import fingerprint
from lacewingpond.store.base import WatchEvent
from lacewingpond.util.rendezvous import ranked

KINDS = typing.get_args(PeerMessage)
EVENTS = (
    WatchEvent("op/config", b"{}", 7),
    WatchEvent("servers/i-1", None, 8),
)


def example(kind):
    """Return a message of a kind, with a distinct value in each field."""
    fields = msgspec.structs.fields(kind)
    return kind(*[_value(field, index) for index, field in enumerate(fields)])


def record():
    """Return the forms of this build, as JSON has them."""
    rules = QuotaRules(5.0, 0.1, 20.0)
    workspace = EntryWorkspace("acme", (), None, 40.0, 30.0)
    member = Member("10.0.0.1:7000", "zone-a", "10.0.0.1:7001", CURRENT_VERSION)
    return {
        "messages": {
            str(kind.__struct_config__.tag): {
                "name": kind.__name__,
                "fields": _schema(kind),
                "frame": encode(example(kind)).hex(),
                "version": version_of(kind),
            }
            for kind in KINDS
        },
        "OutcomeRow": _schema(OutcomeRow),
        "LoadRow": _schema(LoadRow),
        "WatchEvent": _schema(WatchEvent),
        "RelayDecision": _schema(RelayDecision),
        "member": member.encode().decode(),
        "ranking": ranked("acme", [f"vm-{number}" for number in range(12)]),
        "quota": {
            "refill_rate": rules.refill_rate(workspace),
            "bucket_size": rules.bucket_size(workspace),
            "initial_tokens": rules.initial_tokens(workspace),
            "share_count": rules.share_count(workspace, 40),
        },
        "fingerprint": fingerprint("acme", "route", "GET", "/a/x", b"body"),
    }


def _value(field, index):
    if field.name == "events":
        return EVENTS
    if field.name == "rows":
        kind = LoadRow if field.type == tuple[LoadRow, ...] else OutcomeRow
        return (example(kind),)
    if field.type == tuple[str, ...]:
        return (f"text-{index}",)
    values = {int: 41 + index, float: 0.5 + index, bool: True, str: f"text-{index}"}
    return values.get(field.type, 2.5)


def _schema(kind):
    return [[f.name, _type_name(f.type)] for f in msgspec.structs.fields(kind)]


def _type_name(found):
    if isinstance(found, type) and not typing.get_args(found):
        return found.__name__
    return (
        str(found)
        .replace(f"{OutcomeRow.__module__}.", "")
        .replace(f"{WatchEvent.__module__}.", "")
    )


if __name__ == "__main__":
    print(json.dumps(record(), indent=1))
