"""Splits a path into normalized segments; refuses paths that are ambiguous."""

import re
from urllib.parse import unquote

from result import Err, Ok, Result

_NEEDS_NORMALIZATION = re.compile(r"[%;\\]|/\.")


def path_segments(path: str) -> Result[tuple[str, ...], str]:
    """Return the decoded segments of `path` without its query.

    Empty segments and path parameters are dropped, and encoded slashes and
    backslashes separate segments, because a target may read a path in this way.
    Otherwise another spelling of a path could bypass its route.

    Returns
    -------
    Result[tuple of str, str]
        The segments, or why the path is refused.
    """
    raw = path.partition("?")[0]
    if not _NEEDS_NORMALIZATION.search(raw):
        return Ok(tuple(filter(None, raw.split("/"))))
    if not _escapes_are_valid(raw):
        return Err("a percent escape is malformed")
    decoded = unquote(raw, encoding="latin-1").replace("\\", "/")
    if any(ord(char) < 0x20 or ord(char) == 0x7F for char in decoded):
        return Err("the path has a control character")
    parts = [part.partition(";")[0] for part in decoded.split("/")]
    if "." in parts or ".." in parts:
        return Err("the path has dot segments")
    return Ok(tuple(filter(None, parts)))


def _escapes_are_valid(path: str) -> bool:
    escapes = path.split("%")[1:]
    return all(_is_hex(escape[:2]) for escape in escapes)


def _is_hex(digits: str) -> bool:
    return len(digits) == 2 and all(d in "0123456789abcdefABCDEF" for d in digits)
