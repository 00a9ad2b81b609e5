"""The connection that this VM opened to another one."""

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
from lacewingpond.peers.options import PeerOptions
from lacewingpond.peers.traffic import Traffic
from lacewingpond.util.clock import Clock

WRITE_BATCH_BYTES = 65_536


class Outgoing:
    """A message on its way out, and the answer that it waits for, if any."""

    __slots__ = (
        "data",
        "kind",
        "number",
        "deadline",
        "heard_before",
        "answer",
        "started",
        "dropped",
    )

    def __init__(
        self, data: bytes, kind: str, number: int, deadline: float, heard_before: int
    ) -> None:
        self.data = data
        self.kind = kind
        self.number = number
        self.deadline = deadline
        self.heard_before = heard_before
        self.answer: AsyncResult = AsyncResult()
        self.started = False
        self.dropped = False

    def fail(self, detail: str) -> None:
        """End the wait; a message whose writing never began stays unsent."""
        if self.answer.ready():
            return
        self.dropped = True
        failure = PeerFailure.UNKNOWN if self.started else PeerFailure.NOT_SENT
        self.answer.set(Err(PeerError(failure, detail)))


class OutboundLink:
    """Sends messages to one VM and matches the answers by their number.

    Parameters
    ----------
    vm_id : str
        The VM at the other end.
    connect : callable
        Opens and authenticates the socket.
    options : PeerOptions
        Bounds.
    traffic : Traffic
        Counts what passes.
    clock : Clock
        Tells when the link was last used.
    on_end : callable
        Called once with the link and the reason when it ends.
    """

    __slots__ = (
        "vm_id",
        "connected",
        "closed",
        "last_used",
        "_heard",
        "_connect",
        "_options",
        "_traffic",
        "_clock",
        "_on_end",
        "_queue",
        "_waiting",
        "_numbers",
        "_sock",
        "_writer",
        "_reader",
    )

    def __init__(
        self,
        vm_id: str,
        connect: Callable[[str], socket.socket],
        options: PeerOptions,
        traffic: Traffic,
        clock: Clock,
        on_end: Callable[["OutboundLink", str], None],
    ) -> None:
        self.vm_id = vm_id
        self.connected = False
        self.closed = False
        self.last_used = clock.now()
        self._heard = 0
        self._connect = connect
        self._options = options
        self._traffic = traffic
        self._clock = clock
        self._on_end = on_end
        self._queue: Queue = Queue(options.send_queue_messages)
        self._waiting: dict[int, Outgoing] = {}
        self._numbers = itertools.count(1)
        self._sock: socket.socket | None = None
        self._reader: gevent.Greenlet | None = None
        self._writer = gevent.spawn(self._run)

    def call(self, message: Message, timeout_s: float) -> Result[Message, PeerError]:
        """Queue a call and wait for its answer, its timeout or the link's end."""
        item = self._enqueue(FrameKind.CALL, message, timeout_s)
        if isinstance(item, PeerError):
            return Err(item)
        return item.answer.get()

    def send(self, message: Message) -> bool:
        """Queue a one-way message; False when it was dropped."""
        item = self._enqueue(FrameKind.ONE_WAY, message, 0.0)
        return isinstance(item, Outgoing)

    def expire(self, now: float) -> bool:
        """End calls past their deadline.

        Returns
        -------
        bool
            True when a call timed out and nothing at all arrived since it was
            queued, so that the connection may have gone silent.
        """
        silent = False
        for item in [i for i in self._waiting.values() if i.deadline <= now]:
            del self._waiting[item.number]
            item.fail("timeout")
            silent = silent or (item.started and item.heard_before == self._heard)
        return silent

    def is_idle(self, now: float) -> bool:
        """Return whether the link was unused for the idle time."""
        unused_s = now - self.last_used
        return not self._waiting and unused_s >= self._options.idle_close_s

    @property
    def has_waiting(self) -> bool:
        """Whether calls wait for answers."""
        return bool(self._waiting)

    def end(self, reason: str) -> None:
        """Close the connection; calls whose writing had begun are unknown."""
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
    ) -> Outgoing | PeerError:
        data = encode(Frame(kind, number := next(self._numbers), message))
        if len(data) > self._options.max_frame_bytes:
            return PeerError(PeerFailure.NOT_SENT, "message longer than a frame")
        if self.closed:
            return PeerError(PeerFailure.NOT_SENT, "connection ended")
        now = self._clock.now()
        kind_name = type(message).__name__
        item = Outgoing(data, kind_name, number, now + timeout_s, self._heard)
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

    def _next_batch(self) -> list[Outgoing]:
        batch = [self._queue.get()]
        size = len(batch[0].data)
        with contextlib.suppress(Empty):
            while size < WRITE_BATCH_BYTES:
                batch.append(self._queue.get_nowait())
                size += len(batch[-1].data)
        return [item for item in batch if not item.dropped]

    def _write(self, batch: list[Outgoing]) -> None:
        if not batch:
            return
        for item in batch:
            item.started = True
            self._traffic.sent(item.kind, len(item.data))
        self._sock.sendall(b"".join(item.data for item in batch))

    def _read(self) -> None:
        options = self._options
        reader = FrameReader(options.max_frame_bytes, options.max_array_items)
        try:
            while data := self._sock.recv(RECEIVE_BYTES):
                self._heard += 1
                for value, size in reader.feed(data):
                    self._take(to_frame(value), size)
        except TimeoutError:
            self.end("timeout of the socket")
        except (OSError, FrameError) as exc:
            self.end(f"can't read: {exc}")
        else:
            self.end("closed by the peer")

    def _take(self, frame: Frame, size: int) -> None:
        if frame.kind not in (FrameKind.ANSWER, FrameKind.ERROR):
            raise FrameError("a call on a connection that carries answers")
        item = self._waiting.pop(frame.number, None)
        if item is None:
            # The call has timed out; its answer comes late and is nobody's.
            self._traffic.received("late", size)
            return
        if frame.kind is FrameKind.ERROR:
            self._traffic.received("error", size)
            item.answer.set(Err(PeerError(PeerFailure.UNKNOWN, str(frame.body))))
            return
        try:
            message = to_message(frame.body)
        except FrameError as exc:
            item.answer.set(Err(PeerError(PeerFailure.UNKNOWN, str(exc))))
            return
        self._traffic.received(type(message).__name__, size)
        item.answer.set(Ok(message))
