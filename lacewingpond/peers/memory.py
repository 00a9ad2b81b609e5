"""Simulated network within one process, for tests and replays.

Many VMs exchange messages on one clock, with loss, delay, reordering, one-way
partitions, paused and crashed VMs. It needs no greenlets of its own: a call runs its
handler in the caller; delayed messages are delivered by `MemoryNetwork.run_due`.
"""

import heapq
import itertools
import random
from collections.abc import Callable

import msgpack
from msgspec import Struct
from result import Err, Ok, Result

from lacewingpond.peers.base import Handler, Message, PeerError, PeerFailure
from lacewingpond.peers.frames import Frame, FrameKind, encode, pack, to_message
from lacewingpond.peers.message_counts import MessageCounts
from lacewingpond.util.clock import Clock


class MemoryNetworkOptions(Struct, frozen=True):
    """Faults of the network.

    Parameters
    ----------
    loss : float
        Probability, 0 to 1, that a message is lost; applies to calls and responses.
    min_delay_s, max_delay_s : float
        Range of the uniformly distributed delay of a message, in seconds; different
        delays reorder messages.
    waits : bool
        Whether a call sleeps on the clock for its delay, which needs a greenlet.
        Otherwise it takes no time.
    """

    loss: float = 0.0
    min_delay_s: float = 0.0
    max_delay_s: float = 0.0
    waits: bool = False


class MemoryNetwork:
    """Connects the channels of many VMs.

    Parameters
    ----------
    clock : Clock
        Source of time for the delays.
    rng : random.Random
        Random numbers for loss and delays.
    options : MemoryNetworkOptions or None
        Faults; the attribute may be replaced at any time.
    """

    __slots__ = (
        "options",
        "clock",
        "_rng",
        "_channels",
        "_blocked",
        "_paused",
        "_held",
        "_scheduled",
        "_sequence",
    )

    def __init__(
        self,
        clock: Clock,
        rng: random.Random,
        options: MemoryNetworkOptions | None = None,
    ) -> None:
        self.options = options or MemoryNetworkOptions()
        self.clock = clock
        self._rng = rng
        self._channels: dict[str, MemoryPeerChannel] = {}
        self._blocked: set[tuple[str, str]] = set()
        self._paused: set[str] = set()
        self._held: dict[str, list[Callable[[], None]]] = {}
        self._scheduled: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()

    def channel(self, vm_id: str) -> "MemoryPeerChannel":
        """Attach a VM and return its channel; replaces one with the same id."""
        channel = MemoryPeerChannel(self, vm_id)
        self._channels[vm_id] = channel
        return channel

    def crash(self, vm_id: str) -> None:
        """Detach a VM: calls to it are refused and its held messages are lost."""
        self._channels.pop(vm_id, None)
        self._held.pop(vm_id, None)
        self._paused.discard(vm_id)

    def block(self, sender: str, receiver: str) -> None:
        """Lose all messages from `sender` to `receiver`, but not the other way."""
        self._blocked.add((sender, receiver))

    def unblock(self, sender: str, receiver: str) -> None:
        """Undo `block`."""
        self._blocked.discard((sender, receiver))

    def pause(self, vm_id: str) -> None:
        """Hold all messages to `vm_id` until it resumes."""
        self._paused.add(vm_id)

    def resume(self, vm_id: str) -> None:
        """Undo `pause` and deliver the held messages."""
        self._paused.discard(vm_id)
        for deliver in self._held.pop(vm_id, []):
            deliver()

    def run_due(self) -> None:
        """Deliver the delayed messages that are due."""
        while self._scheduled and self._scheduled[0][0] <= self.clock.now():
            _, _, deliver = heapq.heappop(self._scheduled)
            deliver()

    def post(self, sender: str, receiver: str, message: Message) -> bool:
        """Queue a one-way message; return False if the receiver is not attached."""
        if receiver not in self._channels:
            return False
        if not self._is_lost(sender, receiver):
            self._schedule(self._delay(), receiver, sender, message)
        return True

    def call(
        self, sender: str, receiver: str, message: Message, timeout_s: float
    ) -> Result[Message, PeerError]:
        """Deliver a call and return its response or an error.

        A call that times out because of its delay or a paused receiver is still
        delivered later.
        """
        if receiver not in self._channels:
            return Err(PeerError(PeerFailure.NOT_SENT, "connection refused"))
        delay_s = self._delay()
        return_delay_s = self._delay()
        if self._is_lost(sender, receiver):
            return self._timed_out(timeout_s)
        if receiver in self._paused or delay_s >= timeout_s:
            self._schedule(delay_s, receiver, sender, message)
            return self._timed_out(timeout_s)
        self._wait(delay_s)
        response = self._deliver(receiver, sender, message)
        lost = self._is_lost(receiver, sender) or delay_s + return_delay_s >= timeout_s
        if lost:
            return self._timed_out(timeout_s - delay_s)
        self._wait(return_delay_s)
        if response is None:
            return Err(PeerError(PeerFailure.UNKNOWN, "no response"))
        return Ok(response)

    def _timed_out(self, seconds: float) -> Result[Message, PeerError]:
        self._wait(seconds)
        return Err(PeerError(PeerFailure.UNKNOWN, "timeout"))

    def _wait(self, seconds: float) -> None:
        if self.options.waits:
            self.clock.sleep(seconds)

    def _is_lost(self, sender: str, receiver: str) -> bool:
        if (sender, receiver) in self._blocked:
            return True
        return self.options.loss > 0 and self._rng.random() < self.options.loss

    def _delay(self) -> float:
        options = self.options
        if options.max_delay_s <= 0.0:
            return 0.0
        return self._rng.uniform(options.min_delay_s, options.max_delay_s)

    def _schedule(
        self, delay_s: float, receiver: str, sender: str, message: Message
    ) -> None:
        def deliver() -> None:
            if receiver in self._paused:
                self._held.setdefault(receiver, []).append(deliver)
            else:
                self._deliver(receiver, sender, message)

        due_at = self.clock.now() + delay_s
        heapq.heappush(self._scheduled, (due_at, next(self._sequence), deliver))

    def _deliver(self, receiver: str, sender: str, message: Message) -> Message | None:
        channel = self._channels.get(receiver)
        return None if channel is None else channel.handle(sender, message)


class MemoryPeerChannel:
    """The peer channel of one VM in a `MemoryNetwork`.

    Messages are encoded and decoded as over TCP. Exceptions of handlers propagate to
    the test, which would otherwise not notice the fault.
    """

    __slots__ = ("vm_id", "message_counts", "_network", "_handlers")

    def __init__(self, network: MemoryNetwork, vm_id: str) -> None:
        self.vm_id = vm_id
        self.message_counts = MessageCounts()
        self._network = network
        self._handlers: dict[str, Handler] = {}

    def call(
        self, vm_id: str, message: Message, timeout_s: float
    ) -> Result[Message, PeerError]:
        """Send `message` and wait for its response."""
        self._count(message)
        return self._network.call(self.vm_id, vm_id, message, timeout_s)

    def send(self, vm_id: str, message: Message) -> bool:
        """Queue `message` without waiting; return False if it was dropped."""
        self._count(message)
        return self._network.post(self.vm_id, vm_id, message)

    def register(self, kind: type[Message], handler: Handler) -> None:
        """Set the handler of all received messages of class `kind`."""
        self._handlers[kind.__name__] = handler

    def handle(self, sender: str, message: Message) -> Message | None:
        """Dispatch a received message; return the response, None without a handler."""
        name = type(message).__name__
        handler = self._handlers.get(name)
        if handler is None:
            return None
        response = handler(sender, _as_received(message, type(message)))
        if response is None:
            return None
        self._count(response)
        return _as_received(response, type(response))

    def _count(self, message: Message) -> None:
        size = len(encode(Frame(FrameKind.CALL, 1, message)))
        self.message_counts.sent(type(message).__name__, size)


def _as_received(message: Message, kind: type[Message]) -> Message:
    return to_message(msgpack.unpackb(pack(message)), kind)
