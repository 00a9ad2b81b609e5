"""Strict parser of a request head.

Every shape on which two HTTP parsers could disagree is refused, because a caller
could otherwise hide a second request from one of them.
"""

import re

from msgspec import Struct
from result import Err, Ok, Result

from lacewingpond.http.errors import HeadError
from lacewingpond.http.headers import Headers
from lacewingpond.http.options import HttpOptions

_TOKEN = r"[!#$%&'*+\-.^_`|~0-9A-Za-z]+"
_REQUEST_LINE = re.compile(rf"({_TOKEN}) ([!-~]+) HTTP/([0-9])\.([0-9])")
_NAME = re.compile(_TOKEN)
_BAD_VALUE = re.compile(r"[\x00-\x08\x0a-\x1f\x7f]")
_LENGTH = re.compile(r"[0-9]{1,18}")
_AUTHORITY = re.compile(
    r"(?P<host>[0-9A-Za-z._~\-]+|\[[0-9A-Fa-f:.]+\])(?::(?P<port>[0-9]{1,5}))?"
)
_ABSOLUTE = re.compile(r"(?i:https?)://([^/?#]*)(.*)")


class RequestHead(Struct, frozen=True):
    """A request without its body.

    Parameters
    ----------
    method, path : str
        As sent; `path` begins with a slash, or is ``*`` for OPTIONS.
    host : str
        Lower-case host without its port; empty when HTTP/1.0 sent none.
    version_minor : int
        0 or 1.
    headers : Headers
        All fields as sent.
    content_length : int or None
        Declared length in bytes; None without one.
    chunked : bool
        True when the body comes in chunks.
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
        """Whether a body follows."""
        return self.chunked or bool(self.content_length)

    @property
    def expects_continue(self) -> bool:
        """Whether the caller waits for ``100 Continue``."""
        if self.version_minor == 0 or not self.has_body:
            return False
        return "100-continue" in self.headers.tokens("Expect")

    @property
    def keep_alive(self) -> bool:
        """Whether the caller wants to keep the connection."""
        options = self.headers.tokens("Connection")
        if self.version_minor == 0:
            return "keep-alive" in options
        return "close" not in options


class _Framing(Struct, frozen=True):
    """Where the body ends."""

    content_length: int | None = None
    chunked: bool = False


class _Place(Struct, frozen=True):
    """Host and path of a request target."""

    host: str
    path: str


def _bad(reason: str, detail: str, status: int = 400) -> Err[HeadError]:
    return Err(HeadError(status, reason, detail))


def parse_head(raw: bytes, options: HttpOptions) -> Result[RequestHead, HeadError]:
    """Parse a head that ends with an empty line.

    Parameters
    ----------
    raw : bytes
        The head without the final empty line.
    options : HttpOptions
        Limits.
    """
    lines = raw.decode("latin-1").split("\r\n")
    if len(lines[0]) > options.max_request_line_bytes:
        return _bad("uri-too-long", "The request line is too long.", 414)
    if len(lines) - 1 > options.max_headers:
        return _bad("too-many-headers", "There are too many header fields.", 431)
    match = _REQUEST_LINE.fullmatch(lines[0])
    if match is None:
        return _bad("bad-request-line", "The request line is malformed.")
    method, target, major, minor = match.groups()
    if major != "1" or minor not in "01":
        return _bad("bad-version", "Only HTTP/1.0 and HTTP/1.1 are spoken.", 505)
    if method == "CONNECT":
        return _bad("no-tunnels", "CONNECT is not supported.", 501)
    headers = _parse_headers(lines[1:])
    if headers.is_err():
        return headers
    framing = _framing(headers.ok(), int(minor))
    if framing.is_err():
        return framing
    place = _place(method, target, headers.ok(), int(minor))
    if place.is_err():
        return place
    return Ok(
        RequestHead(
            method=method,
            path=place.ok().path,
            host=place.ok().host,
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
            return _bad("folded-header", "Folded header lines are refused.")
        name, colon, value = line.partition(":")
        if not colon or not _NAME.fullmatch(name):
            return _bad("bad-header-name", "A header name is malformed.")
        if _BAD_VALUE.search(value):
            return _bad("bad-header-value", "A header value has a control character.")
        headers.add(name, value.strip(" \t"))
    return Ok(headers)


def _framing(headers: Headers, minor: int) -> Result[_Framing, HeadError]:
    lengths = headers.get_all("Content-Length")
    codings = headers.get_all("Transfer-Encoding")
    if lengths and codings:
        return _bad("two-lengths", "Content-Length and Transfer-Encoding exclude.")
    if len(lengths) > 1 or len(codings) > 1:
        return _bad("repeated-length", "The length of the body is given twice.")
    if lengths:
        if not _LENGTH.fullmatch(lengths[0]):
            return _bad("bad-length", "Content-Length is not a number.")
        return Ok(_Framing(content_length=int(lengths[0])))
    if not codings:
        return Ok(_Framing())
    if minor == 0:
        return _bad("bad-coding", "HTTP/1.0 has no Transfer-Encoding.")
    if codings[0].lower() == "chunked":
        return Ok(_Framing(chunked=True))
    if headers.tokens("Transfer-Encoding")[-1:] == ["chunked"]:
        return _bad("bad-coding", "Only the chunked coding is supported.", 501)
    return _bad("bad-coding", "The last transfer coding is not chunked.")


def _place(
    method: str, target: str, headers: Headers, minor: int
) -> Result[_Place, HeadError]:
    hosts = headers.get_all("Host")
    if len(hosts) > 1 or (minor == 1 and not hosts):
        return _bad("bad-host", "Exactly one Host field is needed.")
    host = hosts[0] if hosts else ""
    if host and not _valid_authority(host):
        return _bad("bad-host", "The Host field is malformed.")
    if "#" in target:
        return _bad("bad-target", "The request target has a fragment.")
    if target == "*":
        if method != "OPTIONS":
            return _bad("bad-target", "The target * needs OPTIONS.")
        return Ok(_Place(_host_name(host), "*"))
    absolute = _ABSOLUTE.fullmatch(target)
    if absolute is not None:
        authority, path = absolute.groups()
        if not host or authority.lower() != host.lower():
            return _bad("host-mismatch", "The target and the Host field differ.")
        target = path if path.startswith("/") else "/" + path
    if not target.startswith("/"):
        return _bad("bad-target", "The request target is malformed.")
    return Ok(_Place(_host_name(host), target))


def _valid_authority(host: str) -> bool:
    match = _AUTHORITY.fullmatch(host)
    return match is not None and int(match["port"] or 0) < 65536


def _host_name(host: str) -> str:
    match = _AUTHORITY.fullmatch(host)
    return match["host"].lower() if match else ""
