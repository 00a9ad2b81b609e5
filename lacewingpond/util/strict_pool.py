"""Connection pools of urllib3 that refuse responses with a malformed head."""

import http.client

from urllib3 import HTTPConnectionPool
from urllib3.connection import HTTPConnection
from urllib3.util.response import assert_header_parsing


class _StrictResponse(http.client.HTTPResponse):
    """Raises where `http.client` drops fields.

    Its parser takes a malformed field, and all that follow it, for no part of the head,
    so that a length or another field behind it goes unseen.
    """

    def begin(self) -> None:
        """Read the status line and the fields.

        Raises
        ------
        urllib3.exceptions.HeaderParsingError
            If a field is malformed.
        """
        super().begin()
        assert_header_parsing(self.headers)


class _StrictConnection(HTTPConnection):
    response_class = _StrictResponse


class StrictConnectionPool(HTTPConnectionPool):
    """A pool that raises `HeaderParsingError` for a response with a malformed field."""

    ConnectionCls = _StrictConnection
