"""Output formats and numeric options."""

import msgspec
from cleo.helpers import option

from lacewingpond.util.errors import UserError

FORMATS = ("table", "json")

FORMAT_OPTION = option(
    "format", None, "Output format: table or json.", flag=False, default="table"
)


def wants_json(chosen: str) -> bool:
    """Return whether the chosen format is JSON.

    Raises
    ------
    UserError
        If the chosen format is unknown.
    """
    if chosen not in FORMATS:
        raise UserError(f"--format: {chosen!r} is not one of {', '.join(FORMATS)}")
    return chosen == "json"


def to_json(value: object) -> str:
    """Return `value` as one line of JSON."""
    return msgspec.json.encode(value).decode()


def parse_whole_number(name: str, text: str) -> int:
    """Return the value of the option `name` as a whole number.

    Raises
    ------
    UserError
        If `text` is not a whole number.
    """
    try:
        return int(text)
    except ValueError:
        raise UserError(f"--{name}: {text!r} is not a whole number") from None
