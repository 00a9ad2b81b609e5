"""Messages between VMs about revisions of the configuration."""

import msgspec
from msgspec import Struct

from lacewingpond.config.changes import Changes
from lacewingpond.config.chunks import Chunk, ChunkRef
from lacewingpond.config.holder import Step
from lacewingpond.peers.base import Message

MAX_STEPS_BYTES = 256_000
MAX_CHUNKS_BYTES = 256_000


class WireStep(Struct, frozen=True, array_like=True):
    """A `Step` as it is sent."""

    revision: int
    plan_id: str
    changes: Changes
    root: bytes


class ConfigPush(Message, frozen=True):
    """New revisions, sent without being asked.

    Parameters
    ----------
    revision : int
        Revision in force at the sender.
    steps : tuple of WireStep
        The last steps to it; empty when they are too large to send.
    store_age_s : float
        How long ago the sender, or a VM it heard, heard the store.
    """

    revision: int
    steps: tuple[WireStep, ...]
    store_age_s: float


class ConfigPull(Message, frozen=True):
    """Asks for all that is newer than the sender's revision."""

    revision: int
    store_age_s: float


class ConfigNews(Message, frozen=True):
    """Answers `ConfigPull`; `steps` is empty when they are not known any more."""

    revision: int
    steps: tuple[WireStep, ...]
    store_age_s: float


class ConfigHeadPull(Message, frozen=True):
    """Asks for the head in force."""


class ConfigHead(Message, frozen=True):
    """Answers `ConfigHeadPull` with the head as the store holds it."""

    head: bytes


class ConfigChunkPull(Message, frozen=True):
    """Asks for chunks."""

    refs: tuple[ChunkRef, ...]


class ConfigChunks(Message, frozen=True):
    """Answers `ConfigChunkPull` with as many chunks as fit a message."""

    chunks: tuple[Chunk, ...]


class ConfigStatusQuery(Message, frozen=True):
    """Asks for a VM's revision."""


class ConfigStatus(Message, frozen=True):
    """Answers `ConfigStatusQuery`."""

    revision: int
    store_age_s: float
    isolated: bool


def wire_steps(steps: tuple[Step, ...] | None) -> tuple[WireStep, ...]:
    """Return steps to send, or none when they are unknown or too large."""
    if not steps:
        return ()
    sent = tuple(
        WireStep(step.revision, step.plan_id, step.changes, step.root) for step in steps
    )
    return sent if len(msgspec.msgpack.encode(sent)) <= MAX_STEPS_BYTES else ()
