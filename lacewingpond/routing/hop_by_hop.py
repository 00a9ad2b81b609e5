"""Which header fields pass on to a target and back to a caller."""

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
"""Would let a target run another method than the one that was checked here."""
_NOT_TO_TARGETS = (
    _HOP_BY_HOP | _METHOD_OVERRIDES | {"expect", "x-api-key", DEADLINE_HEADER.lower()}
)
_NOT_TO_CALLERS = _HOP_BY_HOP | {"lacewingpond-run"}
_PROTECTED = frozenset({"host", "content-length"})


def headers_to_target(headers: Headers) -> Headers:
    """Return the fields of a request that its target may see; never a key."""
    dropped = _NOT_TO_TARGETS | _named_by_connection(headers)
    kept = Headers()
    for name, value in headers:
        # Some targets read an underscore as a hyphen.
        plain = name.lower().replace("_", "-")
        if plain in dropped or "_" in name and plain in _PROTECTED:
            continue
        if plain == "authorization" and not _is_other_scheme(value):
            continue
        kept.add(name, value)
    return kept


def headers_to_caller(headers: Headers) -> Headers:
    """Return the fields of a target's answer that its caller may see."""
    dropped = _NOT_TO_CALLERS | _named_by_connection(headers)
    return Headers((n, v) for n, v in headers if n.lower() not in dropped)


def _named_by_connection(headers: Headers) -> set[str]:
    # A caller could name Host or Content-Length here to change the framing.
    return set(headers.tokens("Connection")) - _PROTECTED


def _is_other_scheme(value: str) -> bool:
    scheme, space, _ = value.partition(" ")
    return bool(space) and scheme.lower() != "bearer"
