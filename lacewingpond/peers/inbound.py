"""Connections opened by other VMs."""

import errno
from collections.abc import Callable

from gevent import socket
from gevent.lock import Semaphore
from gevent.pool import Pool

from lacewingpond.peers.base import Handler
from lacewingpond.peers.frames import (
    RECEIVE_BYTES,
    Frame,
    FrameError,
    FrameKind,
    FrameReader,
    encode,
    message_name,
    to_frame,
    to_message,
)
from lacewingpond.peers.message_counts import MessageCounts
from lacewingpond.peers.options import PeerOptions

MAX_ERROR_CHARS = 200
UNREAD_REASON = "the peer does not read its responses"
BUSY_DETAIL = "too many messages are being handled"


class InboundConnection:
    """Dispatches received messages to their handlers and writes the responses.

    Parameters
    ----------
    vm_id : str
        The authenticated VM at the other end.
    sock : socket
        The connection, after the handshake.
    options : PeerOptions
        Limits.
    handlers : dict
        Handlers by name of the message class.
    pool : gevent.pool.Pool
        Runs the handlers of all connections.
    message_counts : MessageCounts
        Counts messages and bytes.
    on_handler_error : callable
        Called with the VM id, the message class name and the exception when a
        handler fails.
    """

    __slots__ = (
        "vm_id",
        "_sock",
        "_options",
        "_handlers",
        "_pool",
        "_message_counts",
        "_on_handler_error",
        "_write_lock",
        "_unsent_bytes",
        "_end_reason",
    )

    def __init__(
        self,
        vm_id: str,
        sock: socket.socket,
        options: PeerOptions,
        handlers: dict[str, Handler],
        pool: Pool,
        message_counts: MessageCounts,
        on_handler_error: Callable[[str, str, Exception], None],
    ) -> None:
        self.vm_id = vm_id
        self._sock = sock
        self._options = options
        self._handlers = handlers
        self._pool = pool
        self._message_counts = message_counts
        self._on_handler_error = on_handler_error
        self._write_lock = Semaphore()
        self._unsent_bytes = 0
        self._end_reason: str | None = None

    def serve(self) -> str:
        """Read frames until the connection ends; return the reason."""
        options = self._options
        reader = FrameReader(options.max_frame_bytes, options.max_array_items)
        try:
            while data := self._sock.recv(RECEIVE_BYTES):
                for value, size in reader.feed(data):
                    self._on_frame(to_frame(value), size)
        except TimeoutError as exc:
            unread = exc.errno == errno.ETIMEDOUT
            return UNREAD_REASON if unread else self._end_reason or "idle"
        except (OSError, FrameError) as exc:
            return self._end_reason or str(exc)
        return self._end_reason or "closed by the peer"

    def _on_frame(self, frame: Frame, size: int) -> None:
        if frame.kind not in (FrameKind.CALL, FrameKind.ONE_WAY):
            raise FrameError("received a response on an inbound connection")
        name = message_name(frame.body)
        handler = self._handlers.get(name)
        if handler is None:
            self._message_counts.received("unknown", size)
            self._send_error(frame, "no handler for this message class")
            return
        self._message_counts.received(name, size)
        if self._pool.full():
            self._send_error(frame, BUSY_DETAIL)
            return
        self._pool.spawn(self._handle, handler, name, frame)

    def _handle(self, handler: Handler, name: str, frame: Frame) -> None:
        try:
            response = handler(self.vm_id, to_message(frame.body))
        except Exception as exc:  # noqa: BLE001
            self._on_handler_error(self.vm_id, name, exc)
            self._send_error(frame, f"handler failed: {type(exc).__name__}")
            return
        if frame.kind is FrameKind.ONE_WAY:
            return
        if response is None:
            self._send_error(frame, "handler returned no response")
            return
        data = encode(Frame(FrameKind.RESPONSE, frame.number, response))
        if len(data) > self._options.max_frame_bytes:
            self._send_error(frame, "response exceeds the maximum frame size")
            return
        self._write(type(response).__name__, data)

    def _send_error(self, frame: Frame, detail: str) -> None:
        if frame.kind is not FrameKind.CALL:
            return
        detail = detail[:MAX_ERROR_CHARS]
        self._write("error", encode(Frame(FrameKind.ERROR, frame.number, detail)))

    def _write(self, kind: str, data: bytes) -> None:
        if self._unsent_bytes + len(data) > self._options.max_unsent_answer_bytes:
            self.close(UNREAD_REASON)
            return
        self._unsent_bytes += len(data)
        try:
            with self._write_lock:
                self._sock.sendall(data)
        except OSError:
            self.close("a response could not be written")
            return
        finally:
            self._unsent_bytes -= len(data)
        self._message_counts.sent(kind, len(data))

    def close(self, reason: str = "stopping") -> None:
        """Close the connection, which ends `serve`; later calls do nothing."""
        if self._end_reason is not None:
            return
        self._end_reason = reason
        try:
            self._sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            self._sock.close()
