"""Strict parser for the head of a request: the request line and the headers.

A head that two HTTP parsers could read differently is refused, because it would
allow request smuggling: hiding a second request from one of the two.
"""

import re

from msgspec import Struct
from result import Err, Ok, Result

from lacewingpond.http.errors import HeadError
from lacewingpond.http.headers import Headers
from lacewingpond.http.options import HttpOptions

_TOKEN = r"[!#$%&'*+\-.^_`|~0-9A-Za-z]+"
_REQUEST_LINE = re.compile(rf"({_TOKEN}) ([!-~]+) HTTP/([0-9])\.([0-9])")
_FIELD_NAME = re.compile(_TOKEN)
_FORBIDDEN_IN_VALUE = re.compile(r"[\x00-\x08\x0a-\x1f\x7f]")
_CONTENT_LENGTH = re.compile(r"[0-9]{1,18}")
_AUTHORITY = re.compile(
    r"(?P<host>[0-9A-Za-z._~\-]+|\[[0-9A-Fa-f:.]+\])(?::(?P<port>[0-9]{1,5}))?"
)
_ABSOLUTE_FORM = re.compile(r"(?i:https?)://([^/?#]*)(.*)")


class RequestHead(Struct, frozen=True):
    """The request line and headers of a request.

    Parameters
    ----------
    method, path : str
        Method as sent, and path with query; `path` starts with a slash, also when a
        whole URL was sent, or is ``*``, for OPTIONS only.
    host : str
        Lower-case host without its port; empty when an HTTP/1.0 request has none.
    version_minor : int
        Minor version of HTTP/1, 0 or 1.
    headers : Headers
        All headers as sent.
    content_length : int or None
        Declared length in bytes; None when not declared.
    chunked : bool
        Whether the body has the chunked transfer coding.
    """

    method: str
    path: str
    host: str
    version_minor: int
    headers: Headers
    content_length: int | None
    chunked: bool

    @property
    def has_body(self) -> bool:
        """Whether the request has a body."""
        return self.chunked or bool(self.content_length)

    @property
    def expects_continue(self) -> bool:
        """Whether the caller waits for ``100 Continue``."""
        if self.version_minor == 0 or not self.has_body:
            return False
        return "100-continue" in self.headers.tokens("Expect")

    @property
    def keep_alive(self) -> bool:
        """Whether the caller wants to reuse the connection."""
        options = self.headers.tokens("Connection")
        if self.version_minor == 0:
            return "keep-alive" in options
        return "close" not in options


class _Framing(Struct, frozen=True):
    """How the length of the body is given."""

    content_length: int | None = None
    chunked: bool = False


class _RequestTarget(Struct, frozen=True):
    """Host and path from the request target (RFC 9112, section 3.2) and ``Host``."""

    host: str
    path: str


def _error(reason: str, detail: str, status: int = 400) -> Err[HeadError]:
    return Err(HeadError(status, reason, detail))


def parse_head(raw: bytes, options: HttpOptions) -> Result[RequestHead, HeadError]:
    """Return the parsed head of a request, or why it is refused.

    Parameters
    ----------
    raw : bytes
        The head without the empty line that ends it.
    options : HttpOptions
        Limits.
    """
    lines = raw.decode("latin-1").split("\r\n")
    if len(lines[0]) > options.max_request_line_bytes:
        return _error("uri-too-long", "The request line is too long.", 414)
    if len(lines) - 1 > options.max_headers:
        return _error("too-many-headers", "There are too many headers.", 431)
    match = _REQUEST_LINE.fullmatch(lines[0])
    if match is None:
        return _error("bad-request-line", "The request line is malformed.")
    method, target, major, minor = match.groups()
    if major != "1" or minor not in "01":
        return _error("bad-version", "Only HTTP/1.0 and HTTP/1.1 are supported.", 505)
    if method == "CONNECT":
        return _error("no-tunnels", "CONNECT is not supported.", 501)
    headers = _parse_headers(lines[1:])
    if headers.is_err():
        return headers
    framing = _parse_framing(headers.ok(), int(minor))
    if framing.is_err():
        return framing
    target_parts = _parse_request_target(method, target, headers.ok(), int(minor))
    if target_parts.is_err():
        return target_parts
    return Ok(
        RequestHead(
            method=method,
            path=target_parts.ok().path,
            host=target_parts.ok().host,
            version_minor=int(minor),
            headers=headers.ok(),
            content_length=framing.ok().content_length,
            chunked=framing.ok().chunked,
        )
    )


def _parse_headers(lines: list[str]) -> Result[Headers, HeadError]:
    headers = Headers()
    for line in lines:
        if line[:1] in (" ", "\t"):
            return _error("folded-header", "Folded header lines are not accepted.")
        name, colon, value = line.partition(":")
        if not colon or not _FIELD_NAME.fullmatch(name):
            return _error("bad-header-name", "A header name is malformed.")
        if _FORBIDDEN_IN_VALUE.search(value):
            return _error("bad-header-value", "A header value has a control character.")
        headers.add(name, value.strip(" \t"))
    return Ok(headers)


def _parse_framing(headers: Headers, minor: int) -> Result[_Framing, HeadError]:
    lengths = headers.get_all("Content-Length")
    codings = headers.get_all("Transfer-Encoding")
    if lengths and codings:
        return _error(
            "two-lengths", "Content-Length and Transfer-Encoding exclude each other."
        )
    if len(lengths) > 1 or len(codings) > 1:
        return _error("repeated-length", "Content-Length is given more than once.")
    if lengths:
        if not _CONTENT_LENGTH.fullmatch(lengths[0]):
            return _error("bad-length", "Content-Length is not a number.")
        return Ok(_Framing(content_length=int(lengths[0])))
    if not codings:
        return Ok(_Framing())
    if minor == 0:
        return _error("bad-coding", "HTTP/1.0 does not support Transfer-Encoding.")
    if codings[0].lower() == "chunked":
        return Ok(_Framing(chunked=True))
    if headers.tokens("Transfer-Encoding")[-1:] == ["chunked"]:
        return _error("bad-coding", "Only the chunked coding is supported.", 501)
    return _error("bad-coding", "The last transfer coding is not chunked.")


def _parse_request_target(
    method: str, target: str, headers: Headers, minor: int
) -> Result[_RequestTarget, HeadError]:
    hosts = headers.get_all("Host")
    if len(hosts) > 1 or (minor == 1 and not hosts):
        return _error("bad-host", "Exactly one Host header is required.")
    host = hosts[0] if hosts else ""
    if host and not _valid_authority(host):
        return _error("bad-host", "The Host header is malformed.")
    if "#" in target:
        return _error("bad-target", "The request target has a fragment.")
    if target == "*":
        if method != "OPTIONS":
            return _error("bad-target", "The target * is valid with OPTIONS only.")
        return Ok(_RequestTarget(_host_name(host), "*"))
    absolute = _ABSOLUTE_FORM.fullmatch(target)
    if absolute is not None:
        authority, path = absolute.groups()
        if not host or authority.lower() != host.lower():
            return _error(
                "host-mismatch", "The request target and the Host header differ."
            )
        target = path if path.startswith("/") else "/" + path
    if not target.startswith("/"):
        return _error("bad-target", "The request target is malformed.")
    return Ok(_RequestTarget(_host_name(host), target))


def _valid_authority(host: str) -> bool:
    match = _AUTHORITY.fullmatch(host)
    return match is not None and int(match["port"] or 0) < 65536


def _host_name(host: str) -> str:
    match = _AUTHORITY.fullmatch(host)
    return match["host"].lower() if match else ""
