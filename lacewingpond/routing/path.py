"""Splits a path into segments, as strictly as the strictest target would read it."""

import re
from urllib.parse import unquote

from result import Err, Ok, Result

_UNUSUAL = re.compile(r"[%;\\]|/\.")


def path_segments(path: str) -> Result[tuple[str, ...], str]:
    """Return the decoded segments of `path` without its query.

    Empty segments and path parameters are dropped and encoded slashes separate,
    because a target may read them so; a route must not be passed by another
    spelling of its path.

    Returns
    -------
    Result[tuple of str, str]
        The segments, or why the path is refused.
    """
    plain = path.partition("?")[0]
    if not _UNUSUAL.search(plain):
        return Ok(tuple(filter(None, plain.split("/"))))
    if not _escapes_are_valid(plain):
        return Err("a percent escape is malformed")
    decoded = unquote(plain, encoding="latin-1").replace("\\", "/")
    if any(ord(char) < 0x20 or ord(char) == 0x7F for char in decoded):
        return Err("the path has a control character")
    parts = [part.partition(";")[0] for part in decoded.split("/")]
    if "." in parts or ".." in parts:
        return Err("the path has dot segments")
    return Ok(tuple(filter(None, parts)))


def _escapes_are_valid(path: str) -> bool:
    pieces = path.split("%")[1:]
    return all(_is_hex(piece[:2]) for piece in pieces)


def _is_hex(digits: str) -> bool:
    return len(digits) == 2 and all(d in "0123456789abcdefABCDEF" for d in digits)
