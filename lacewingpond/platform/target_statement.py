"""Decodes the headers in which targets state something of themselves."""

import re

from lacewingpond.entry.model.target_statement import TargetStatement
from lacewingpond.http.headers import Headers

RETRY_AFTER_HEADER = "Retry-After"  # RFC 9110, section 10.2.3, here with fractions
LEAVING = "1"
UNAVAILABLE = 503  # on any other status Retry-After concerns the client
_DECIMAL = re.compile(r"[0-9]{1,15}(\.[0-9]{1,15})?")
_MAX_SHOWN_CHARS = 40  # of a value that can't be decoded


class StatementDecoder:
    """Decodes the statements of targets.

    Parameters
    ----------
    limit_header, leaving_header : str
        Names of the headers.
    """

    __slots__ = ("_limit_header", "_leaving_header")

    def __init__(self, limit_header: str, leaving_header: str) -> None:
        self._limit_header = limit_header
        self._leaving_header = leaving_header

    def decode(self, status: int, headers: Headers) -> TargetStatement:
        """Return what a response with this status and these headers states."""
        errors: list[tuple[str, str]] = []
        limit, has_valid_limit = self._limit(headers, errors)
        return TargetStatement(
            leaving=self._is_leaving(headers, errors),
            limit=limit,
            has_valid_limit=has_valid_limit,
            pause_s=_pause_s(status, headers, errors),
            errors=tuple(errors),
        )

    def _is_leaving(self, headers: Headers, errors: list[tuple[str, str]]) -> bool:
        values = headers.get_all(self._leaving_header)
        errors.extend(
            (self._leaving_header, f"not {LEAVING}: {value[:_MAX_SHOWN_CHARS]!r}")
            for value in values
            if value != LEAVING
        )
        return LEAVING in values

    def _limit(
        self, headers: Headers, errors: list[tuple[str, str]]
    ) -> tuple[float | None, bool]:
        values = headers.get_all(self._limit_header)
        if not values:
            return None, True
        if len(values) > 1:
            errors.append((self._limit_header, f"given {len(values)} times"))
        elif not _DECIMAL.fullmatch(values[0]):
            errors.append((self._limit_header, _not_decimal(values[0])))
        else:
            return float(values[0]), True
        return None, False


def _pause_s(status: int, headers: Headers, errors: list[tuple[str, str]]) -> float:
    """Return the longest of the stated pauses; 0 without one."""
    if status != UNAVAILABLE:
        return 0.0
    pause_s = 0.0
    for value in headers.get_all(RETRY_AFTER_HEADER):
        if _DECIMAL.fullmatch(value):
            pause_s = max(pause_s, float(value))
        else:
            errors.append((RETRY_AFTER_HEADER, _not_decimal(value)))
    return pause_s


def _not_decimal(value: str) -> str:
    return f"not a decimal number: {value[:_MAX_SHOWN_CHARS]!r}"
