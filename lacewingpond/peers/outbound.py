"""Connections opened by this VM to other VMs."""

import contextlib
import itertools
from collections.abc import Callable

import gevent
from gevent import socket
from gevent.event import AsyncResult
from gevent.queue import Empty, Full, Queue
from result import Err, Ok, Result

from lacewingpond.peers.base import Message, PeerError, PeerFailure
from lacewingpond.peers.frames import (
    RECEIVE_BYTES,
    Frame,
    FrameError,
    FrameKind,
    FrameReader,
    encode,
    to_frame,
    to_message,
)
from lacewingpond.peers.handshake import HandshakeError
from lacewingpond.peers.message_counts import MessageCounts
from lacewingpond.peers.options import PeerOptions
from lacewingpond.util.clock import Clock

WRITE_BATCH_BYTES = 65_536


class OutgoingMessage:
    """A queued or sent message, and the pending response if it is a call.

    Attributes
    ----------
    data : bytes
        The encoded frame.
    kind : str
        Class name of the message.
    number : int
        Number of the frame.
    deadline : float
        When a call times out, in monotonic seconds.
    receives_before : int
        Reads of the connection that had returned data when the message was queued.
    result : AsyncResult
        Gets the response to a call, or why there is none.
    write_started : bool
        Whether bytes of the message may have left.
    dropped : bool
        Whether the message failed; it is not written any more.
    """

    __slots__ = (
        "data",
        "kind",
        "number",
        "deadline",
        "receives_before",
        "result",
        "write_started",
        "dropped",
    )

    def __init__(
        self, data: bytes, kind: str, number: int, deadline: float, receives_before: int
    ) -> None:
        self.data = data
        self.kind = kind
        self.number = number
        self.deadline = deadline
        self.receives_before = receives_before
        self.result: AsyncResult = AsyncResult()
        self.write_started = False
        self.dropped = False

    def fail(self, detail: str) -> None:
        """End a pending call; `NOT_SENT` if writing it has not begun.

        Does nothing if the call has its result already.
        """
        if self.result.ready():
            return
        self.dropped = True
        failure = PeerFailure.UNKNOWN if self.write_started else PeerFailure.NOT_SENT
        self.result.set(Err(PeerError(failure, detail)))


class OutboundConnection:
    """Sends messages to one VM and matches responses to calls by their numbers.

    Starts to connect when it is created; messages are queued meanwhile.

    Parameters
    ----------
    vm_id : str
        The VM at the other end.
    connect : callable
        Opens and authenticates a socket to a VM id.
    options : PeerOptions
        Limits.
    message_counts : MessageCounts
        Counts messages and bytes.
    clock : Clock
        Source of time for deadlines and the idle time.
    on_end : callable
        Called once, with this connection and the reason, when it ends.
    """

    __slots__ = (
        "vm_id",
        "connected",
        "closed",
        "last_used",
        "_receives",
        "_connect",
        "_options",
        "_message_counts",
        "_clock",
        "_on_end",
        "_queue",
        "_waiting",
        "_call_numbers",
        "_sock",
        "_writer",
        "_reader",
    )

    def __init__(
        self,
        vm_id: str,
        connect: Callable[[str], socket.socket],
        options: PeerOptions,
        message_counts: MessageCounts,
        clock: Clock,
        on_end: Callable[["OutboundConnection", str], None],
    ) -> None:
        self.vm_id = vm_id
        self.connected = False
        self.closed = False
        self.last_used = clock.now()
        self._receives = 0
        self._connect = connect
        self._options = options
        self._message_counts = message_counts
        self._clock = clock
        self._on_end = on_end
        self._queue: Queue = Queue(options.send_queue_messages)
        self._waiting: dict[int, OutgoingMessage] = {}
        self._call_numbers = itertools.count(1)
        self._sock: socket.socket | None = None
        self._reader: gevent.Greenlet | None = None
        self._writer = gevent.spawn(self._run)

    def call(self, message: Message, timeout_s: float) -> Result[Message, PeerError]:
        """Queue a call and return its response, or why there is none."""
        item = self._enqueue(FrameKind.CALL, message, timeout_s)
        if isinstance(item, PeerError):
            return Err(item)
        return item.result.get()

    def send(self, message: Message) -> bool:
        """Queue a one-way message; return False if it was dropped."""
        item = self._enqueue(FrameKind.ONE_WAY, message, 0.0)
        return isinstance(item, OutgoingMessage)

    def expire(self, now: float) -> bool:
        """Fail the calls past their deadline.

        Returns
        -------
        bool
            True if a sent call timed out and no data has arrived since it was queued;
            the connection is silent then.
        """
        silent = False
        for item in [i for i in self._waiting.values() if i.deadline <= now]:
            del self._waiting[item.number]
            item.fail("timeout")
            silent = silent or (
                item.write_started and item.receives_before == self._receives
            )
        return silent

    def is_idle(self, now: float) -> bool:
        """Return whether the connection was unused for `idle_close_s`."""
        unused_s = now - self.last_used
        return not self._waiting and unused_s >= self._options.idle_close_s

    @property
    def has_waiting(self) -> bool:
        """Whether any call waits for its response."""
        return bool(self._waiting)

    def end(self, reason: str) -> None:
        """Close the connection and fail all waiting calls; later calls do nothing."""
        if self.closed:
            return
        self.closed = True
        if self._sock is not None:
            self._sock.close()
        for item in self._waiting.values():
            item.fail(reason)
        self._waiting.clear()
        self._on_end(self, reason)
        for greenlet in (self._reader, self._writer):
            if greenlet is not None and greenlet is not gevent.getcurrent():
                greenlet.kill(block=False)

    def _enqueue(
        self, kind: FrameKind, message: Message, timeout_s: float
    ) -> OutgoingMessage | PeerError:
        data = encode(Frame(kind, number := next(self._call_numbers), message))
        if len(data) > self._options.max_frame_bytes:
            return PeerError(
                PeerFailure.NOT_SENT, "message exceeds the maximum frame size"
            )
        if self.closed:
            return PeerError(PeerFailure.NOT_SENT, "connection closed")
        now = self._clock.now()
        message_name = type(message).__name__
        item = OutgoingMessage(
            data, message_name, number, now + timeout_s, self._receives
        )
        try:
            self._queue.put_nowait(item)
        except Full:
            return PeerError(PeerFailure.NOT_SENT, "send queue is full")
        if kind is FrameKind.CALL:
            self._waiting[number] = item
        self.last_used = now
        return item

    def _run(self) -> None:
        try:
            self._sock = self._connect(self.vm_id)
        except (OSError, HandshakeError, FrameError) as exc:
            self.end(f"can't connect: {exc}")
            return
        if self.closed:
            self._sock.close()
            return
        self.connected = True
        self._reader = gevent.spawn(self._read)
        try:
            while True:
                self._write(self._next_batch())
        except OSError as exc:
            self.end(f"can't write: {exc}")

    def _next_batch(self) -> list[OutgoingMessage]:
        batch = [self._queue.get()]
        size = len(batch[0].data)
        with contextlib.suppress(Empty):
            while size < WRITE_BATCH_BYTES:
                batch.append(self._queue.get_nowait())
                size += len(batch[-1].data)
        return [item for item in batch if not item.dropped]

    def _write(self, batch: list[OutgoingMessage]) -> None:
        if not batch:
            return
        for item in batch:
            item.write_started = True
            self._message_counts.sent(item.kind, len(item.data))
        self._sock.sendall(b"".join(item.data for item in batch))

    def _read(self) -> None:
        options = self._options
        reader = FrameReader(options.max_frame_bytes, options.max_array_items)
        try:
            while data := self._sock.recv(RECEIVE_BYTES):
                self._receives += 1
                for value, size in reader.feed(data):
                    self._on_frame(to_frame(value), size)
        except TimeoutError:
            self.end("socket timeout")
        except (OSError, FrameError) as exc:
            self.end(f"can't read: {exc}")
        else:
            self.end("closed by the peer")

    def _on_frame(self, frame: Frame, size: int) -> None:
        if frame.kind not in (FrameKind.RESPONSE, FrameKind.ERROR):
            raise FrameError("received a call on an outbound connection")
        item = self._waiting.pop(frame.number, None)
        if item is None:
            # The call has timed out already.
            self._message_counts.received("late", size)
            return
        if frame.kind is FrameKind.ERROR:
            self._message_counts.received("error", size)
            item.result.set(Err(PeerError(PeerFailure.UNKNOWN, str(frame.body))))
            return
        try:
            message = to_message(frame.body)
        except FrameError as exc:
            item.result.set(Err(PeerError(PeerFailure.UNKNOWN, str(exc))))
            return
        self._message_counts.received(type(message).__name__, size)
        item.result.set(Ok(message))
