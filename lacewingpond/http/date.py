"""Dates in the format of HTTP (RFC 9110, section 5.6.7)."""

import time

_DAYS = ("Mon", "Tue", "Wed", "Thu", "Fri", "Sat", "Sun")
_MONTHS = (
    "Jan", "Feb", "Mar", "Apr", "May", "Jun",
    "Jul", "Aug", "Sep", "Oct", "Nov", "Dec",
)  # fmt: skip


def http_date(wall_s: float) -> str:
    """Return seconds since the Unix epoch as an HTTP date.

    The names of days and months are English in every locale.
    """
    at = time.gmtime(wall_s)
    day, month = _DAYS[at.tm_wday], _MONTHS[at.tm_mon - 1]
    clock = f"{at.tm_hour:02}:{at.tm_min:02}:{at.tm_sec:02}"
    return f"{day}, {at.tm_mday:02} {month} {at.tm_year} {clock} GMT"
