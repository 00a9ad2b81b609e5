"""The end of a request that its server no longer waits for."""

import gevent


class RequestInterruptedError(gevent.GreenletExit):
    """Raised in the handler of a request at the end of a drain.

    The handler may return a response that tells whether the request ran.
    """
