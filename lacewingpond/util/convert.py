"""Converts plain data to typed values and collects all problems."""

from typing import Any, TypeVar, get_args, get_origin, get_type_hints

import msgspec
from msgspec import Struct

from lacewingpond.util.findings import Finding

S = TypeVar("S", bound=Struct)


def convert_struct(
    struct_type: type[S], data: object, place: str, findings: list[Finding]
) -> S | None:
    """Return `data` converted to a `struct_type`, or None when there are problems.

    Parameters
    ----------
    struct_type : type of Struct
        Class to convert to; its Struct fields are converted in the same way.
    data : object
        A table as a TOML or JSON parser returns it.
    place : str
        Location of the table; prefixes the names of its keys in findings.
    findings : list of Finding
        Receives all problems.
    """
    if not isinstance(data, dict):
        findings.append(Finding(place, "must be a table"))
        return None
    errors_before = len(findings)
    fields = {field.encode_name: field for field in msgspec.structs.fields(struct_type)}
    for key in data:
        if key not in fields:
            findings.append(Finding(f"{place}.{key}", "is not a known key"))
    hints = get_type_hints(struct_type, include_extras=True)
    values: dict[str, Any] = {}
    for key, field in fields.items():
        if key in data:
            hint = hints[field.name]
            values[field.name] = _convert(hint, data[key], f"{place}.{key}", findings)
        elif field.required:
            findings.append(Finding(f"{place}.{key}", "is missing"))
    return struct_type(**values) if len(findings) == errors_before else None


def _convert(hint: Any, value: object, place: str, findings: list[Finding]) -> Any:
    if _is_struct(hint):
        return convert_struct(hint, value, place, findings)
    if get_origin(hint) is tuple and _is_struct(get_args(hint)[0]):
        return _convert_list(get_args(hint)[0], value, place, findings)
    try:
        converted = msgspec.convert(value, hint)
    except msgspec.ValidationError as exc:
        findings.append(Finding(place, _lowercase_first(str(exc))))
        return None
    if _is_negative(converted):
        findings.append(Finding(place, f"must not be negative, is {converted}"))
    return converted


def _convert_list(
    struct_type: type[Struct], value: object, place: str, findings: list[Finding]
) -> tuple[Struct | None, ...] | None:
    if not isinstance(value, list):
        findings.append(Finding(place, "must be a list"))
        return None
    return tuple(
        convert_struct(struct_type, entry, f"{place}[{number}]", findings)
        for number, entry in enumerate(value)
    )


def _is_struct(hint: Any) -> bool:
    return isinstance(hint, type) and issubclass(hint, Struct)


def _is_negative(value: object) -> bool:
    return isinstance(value, (int, float)) and value < 0


def _lowercase_first(text: str) -> str:
    return text[:1].lower() + text[1:]
