"""Messages by which VMs exchange revisions of the configuration."""

import msgspec
from msgspec import Struct

from lacewingpond.config.changes import Changes
from lacewingpond.config.chunks import Chunk, ChunkRef
from lacewingpond.config.holder import RevisionStep
from lacewingpond.peers.base import Message

MAX_STEPS_BYTES = 256_000
MAX_CHUNKS_BYTES = 256_000


class WireStep(Struct, frozen=True, array_like=True):
    """A `RevisionStep` in the form that is sent to other VMs."""

    revision: int
    plan_id: str
    changes: Changes
    root: bytes


class ConfigPush(Message, frozen=True):
    """Sends a new revision that the receiver did not request.

    Parameters
    ----------
    revision : int
        The sender's current revision.
    steps : tuple of WireStep
        The last steps to it; empty when they are unknown or too large to send.
    store_age_s : float
        Seconds since the store responded to any VM, as far as the sender knows.
    """

    revision: int
    steps: tuple[WireStep, ...]
    store_age_s: float


class ConfigPull(Message, frozen=True):
    """Requests all that is newer than the sender's revision."""

    revision: int
    store_age_s: float


class ConfigNews(Message, frozen=True):
    """Response to `ConfigPull`; `steps` is empty when unknown or too large to send."""

    revision: int
    steps: tuple[WireStep, ...]
    store_age_s: float


class ConfigHeadPull(Message, frozen=True):
    """Requests the head of the receiver's current revision."""


class ConfigHead(Message, frozen=True):
    """Response to `ConfigHeadPull`: the head, encoded as in the store."""

    head: bytes


class ConfigChunkPull(Message, frozen=True):
    """Requests chunks."""

    refs: tuple[ChunkRef, ...]


class ConfigChunks(Message, frozen=True):
    """Response to `ConfigChunkPull`: as many chunks as fit in one message."""

    chunks: tuple[Chunk, ...]


class ConfigStatusQuery(Message, frozen=True):
    """Requests a VM's current revision and contact state."""


class ConfigStatus(Message, frozen=True):
    """Response to `ConfigStatusQuery`."""

    revision: int
    store_age_s: float
    isolated: bool


def wire_steps(steps: tuple[RevisionStep, ...] | None) -> tuple[WireStep, ...]:
    """Return `steps` in the form to send, or none if unknown or too large."""
    if not steps:
        return ()
    sent = tuple(
        WireStep(step.revision, step.plan_id, step.changes, step.root) for step in steps
    )
    return sent if len(msgspec.msgpack.encode(sent)) <= MAX_STEPS_BYTES else ()
