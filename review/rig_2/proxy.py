"""A proxy between a daemon and the store, whose connections can fall silent."""

import asyncio
import contextlib

BLOCK_BYTES = 65_536


class Proxy:
    """Passes bytes on; connections that were silenced stay open and pass on nothing."""

    def __init__(self, target: tuple[str, int]) -> None:
        self._target = target
        self._silent: set[asyncio.StreamWriter] = set()
        self._open: set[asyncio.StreamWriter] = set()

    async def start(self, host: str, port: int) -> None:
        """Listen."""
        await asyncio.start_server(self._serve, host, port)

    def silence(self) -> int:
        """Silence all open connections for good; return how many there are."""
        self._silent |= self._open
        return len(self._open)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        to_reader, to_writer = await asyncio.open_connection(*self._target)
        self._open.add(writer)
        try:
            await asyncio.gather(
                self._copy(reader, to_writer, writer),
                self._copy(to_reader, writer, writer),
            )
        finally:
            self._open.discard(writer)
            self._silent.discard(writer)
            for each in (writer, to_writer):
                each.close()

    async def _copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        connection: asyncio.StreamWriter,
    ) -> None:
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(BLOCK_BYTES):
                if connection not in self._silent:
                    writer.write(data)
                    await writer.drain()
        if connection is not writer or connection not in self._silent:
            writer.close()
