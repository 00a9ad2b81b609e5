"""Responds to other VMs' requests for the current configuration of this VM."""

from lacewingpond.config.chunks import Chunk
from lacewingpond.config.contact_times import ContactTimes
from lacewingpond.config.holder import ConfigHolder
from lacewingpond.config.isolation import IsolationDetector
from lacewingpond.config.messages import (
    MAX_CHUNKS_BYTES,
    ConfigChunkPull,
    ConfigChunks,
    ConfigHead,
    ConfigHeadPull,
    ConfigStatus,
    ConfigStatusQuery,
)
from lacewingpond.peers.base import Message, PeerChannel


class ConfigPeerServer:
    """Serves heads, chunks and the status of this VM."""

    __slots__ = ("_holder", "_contacts", "_isolation")

    def __init__(
        self, holder: ConfigHolder, contacts: ContactTimes, isolation: IsolationDetector
    ) -> None:
        self._holder = holder
        self._contacts = contacts
        self._isolation = isolation

    def register(self, channel: PeerChannel) -> None:
        """Register the handlers of these requests with `channel`."""
        channel.register(ConfigHeadPull, self._on_head)
        channel.register(ConfigChunkPull, self._on_chunks)
        channel.register(ConfigStatusQuery, self._on_status)

    def status(self) -> ConfigStatus:
        """Return the configuration status of this VM."""
        return ConfigStatus(
            self._holder.revision,
            self._contacts.store_age_s(),
            self._isolation.is_isolated(),
        )

    def _on_head(self, sender: str, message: Message) -> Message:
        return ConfigHead(self._holder.state.head.to_bytes())

    def _on_chunks(self, sender: str, message: ConfigChunkPull) -> Message:
        chunks: list[Chunk] = []
        size = 0
        for ref in message.refs:
            chunk = self._holder.state.chunk(ref)
            if chunk is None:
                continue
            size += len(chunk.packed)
            if chunks and size > MAX_CHUNKS_BYTES:
                break
            chunks.append(chunk)
        return ConfigChunks(tuple(chunks))

    def _on_status(self, sender: str, message: Message) -> Message:
        return self.status()
