"""The choice between a table for people and JSON for scripts."""

import msgspec
from cleo.helpers import option

from lacewingpond.util.errors import UserError

FORMATS = ("table", "json")

FORMAT_OPTION = option(
    "format", None, "Either table or json.", flag=False, default="table"
)


def wants_json(chosen: str) -> bool:
    """Return whether `chosen` is JSON.

    Raises
    ------
    UserError
        If `chosen` is no known format.
    """
    if chosen not in FORMATS:
        raise UserError(f"--format: {chosen!r} is neither of {', '.join(FORMATS)}")
    return chosen == "json"


def to_json(value: object) -> str:
    """Return `value` as one line of JSON."""
    return msgspec.json.encode(value).decode()


def whole_number(name: str, text: str) -> int:
    """Return the whole number that an option holds.

    Raises
    ------
    UserError
        If `text` is none.
    """
    try:
        return int(text)
    except ValueError:
        raise UserError(f"--{name}: {text!r} is not a whole number") from None
