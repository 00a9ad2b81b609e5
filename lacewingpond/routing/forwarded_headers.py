"""Filters the headers of forwarded requests and responses."""

from lacewingpond.http.headers import Headers

DEADLINE_HEADER = "Lacewingpond-Deadline-Ms"

_HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
_METHOD_OVERRIDES = frozenset(
    {"x-http-method", "x-http-method-override", "x-method-override"}
)
"""Headers that could make a target run another method than the one checked here."""
_HIDDEN_FROM_TARGETS = (
    _HOP_BY_HOP | _METHOD_OVERRIDES | {"expect", "x-api-key", DEADLINE_HEADER.lower()}
)
_HIDDEN_FROM_CALLERS = _HOP_BY_HOP | {"lacewingpond-run"}
_REQUIRED = frozenset({"host", "content-length"})


def headers_to_target(headers: Headers) -> Headers:
    """Return the headers of a request that its target may see.

    Headers that carry an API key are left out.
    """
    removed = _HIDDEN_FROM_TARGETS | _named_by_connection(headers)
    forwarded = Headers()
    for name, value in headers:
        # Some targets treat an underscore as a hyphen.
        normalized = name.lower().replace("_", "-")
        if normalized in removed or "_" in name and normalized in _REQUIRED:
            continue
        if normalized == "authorization" and not _has_other_scheme(value):
            continue
        forwarded.add(name, value)
    return forwarded


def headers_to_peer(headers: Headers) -> Headers:
    """Return the headers of a request that another VM of the fleet may see.

    These include the API key, which that VM checks again.
    """
    removed = _HOP_BY_HOP | {"expect"} | _named_by_connection(headers)
    return Headers((n, v) for n, v in headers if n.lower() not in removed)


def headers_to_caller(headers: Headers) -> Headers:
    """Return the headers of a target's response that the caller may see."""
    removed = _HIDDEN_FROM_CALLERS | _named_by_connection(headers)
    return Headers((n, v) for n, v in headers if n.lower() not in removed)


def _named_by_connection(headers: Headers) -> set[str]:
    # Host and Content-Length are never removed: a caller could name them here to
    # change the framing.
    return set(headers.tokens("Connection")) - _REQUIRED


def _has_other_scheme(value: str) -> bool:
    scheme, space, _ = value.partition(" ")
    return bool(space) and scheme.lower() != "bearer"
