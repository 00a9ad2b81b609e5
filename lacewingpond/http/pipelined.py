"""Requests of one connection whose handlers run at the same time."""

import socket
from collections import deque
from collections.abc import Callable

import gevent
from gevent.event import Event

from lacewingpond.http.head import RequestHead
from lacewingpond.http.interrupt import RequestInterruptedError
from lacewingpond.http.request import Request
from lacewingpond.http.response import Response

READ_EVENT = 1  # of libev


class PipelinedRequest:
    """One request, whose handler runs in its own greenlet.

    Attributes
    ----------
    head : RequestHead
        Its head.
    request : Request
        The request as the handler gets it.
    """

    __slots__ = ("head", "request", "_greenlet")

    def __init__(
        self, head: RequestHead, request: Request, greenlet: gevent.Greenlet
    ) -> None:
        self.head = head
        self.request = request
        self._greenlet = greenlet

    @property
    def response(self) -> Response | None:
        """The response; None until the handler has returned it."""
        return self._greenlet.value if self._greenlet.ready() else None

    def interrupt(self) -> bool:
        """Make the handler respond at once; return whether it has not responded yet."""
        if self._greenlet.ready():
            return False
        self._greenlet.kill(RequestInterruptedError, block=False)
        return True

    def cancel(self) -> None:
        """End the handler, or close the response that it has returned."""
        response = self.response
        if response is None:
            self._greenlet.kill(block=False)
            return
        close = getattr(response.body, "close", None)
        if close is not None:
            close()


class PipelinedRequests:
    """The requests of a connection in the order in which they were sent.

    Parameters
    ----------
    sock : socket.socket
        The connection; it is not read here.
    handler : callable
        Returns the response to a `Request`; must not raise.
    """

    __slots__ = ("_sock", "_handler", "_requests", "_wake", "_watcher")

    def __init__(
        self, sock: socket.socket, handler: Callable[[Request], Response]
    ) -> None:
        self._sock = sock
        self._handler = handler
        self._requests: deque[PipelinedRequest] = deque()
        self._wake = Event()
        self._watcher = None

    def __len__(self) -> int:
        return len(self._requests)

    @property
    def ends_connection(self) -> bool:
        """Whether nothing may follow the last request."""
        return bool(self._requests) and not self._requests[-1].head.keep_alive

    @property
    def held_bytes(self) -> int:
        """Bytes of the responses that wait for an earlier one."""
        bodies = (each.response.body for each in self._requests if each.response)
        return sum(
            len(body) if isinstance(body, bytes) else getattr(body, "held_bytes", 0)
            for body in bodies
        )

    def start(self, head: RequestHead, req: Request) -> None:
        """Start the handler of a request, behind those that were started before."""
        greenlet = gevent.spawn(self._handler, req)
        greenlet.rawlink(lambda _: self._wake.set())
        self._requests.append(PipelinedRequest(head, req, greenlet))

    def take(self) -> PipelinedRequest | None:
        """Remove and return the first request if it has its response, else None."""
        if not self._requests or self._requests[0].response is None:
            return None
        return self._requests.popleft()

    def wait(self, until_readable: bool) -> None:
        """Block until a handler returns.

        With `until_readable`, also until the connection has bytes to read, or its end.
        """
        if until_readable:
            loop = gevent.get_hub().loop
            self._watcher = loop.io(self._sock.fileno(), READ_EVENT)
            self._watcher.start(self._wake.set)
        try:
            self._wake.wait()
            self._wake.clear()
        finally:
            self.unwatch()

    def unwatch(self) -> None:
        """Stop waiting for bytes; must be called before the connection is closed."""
        if self._watcher is not None:
            self._watcher.stop()
            self._watcher.close()
            self._watcher = None

    def interrupt(self) -> bool:
        """Make all handlers respond at once; return whether one had not responded."""
        interrupted = [each.interrupt() for each in self._requests]
        return any(interrupted)

    def cancel(self) -> int:
        """End all handlers and drop their responses; return how many there were."""
        count = len(self._requests)
        while self._requests:
            self._requests.popleft().cancel()
        return count
