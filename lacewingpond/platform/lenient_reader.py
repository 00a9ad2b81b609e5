"""Decodes values of a document one by one and collects all faults."""

from types import UnionType
from typing import Any, Union, get_args, get_origin

import msgspec
from msgspec import NODEFAULT, Struct, structs

from lacewingpond.util.duration import parse_duration
from lacewingpond.util.findings import Finding


class LenientReader:
    """Reads values of the types that the strict decoder uses.

    A struct decoder of msgspec stops at the first fault. Here a value that is missing
    or can't be decoded is None if it is needed, and else has its default.
    """

    __slots__ = ("faults",)

    def __init__(self) -> None:
        self.faults: list[Finding] = []

    def read(self, value: object, kind: Any, place: str, default: Any = None) -> Any:
        """Return `value` as `kind`, or `default` after recording a fault."""
        if get_origin(kind) in (Union, UnionType):
            if value is None:
                return None
            kind = next(each for each in get_args(kind) if each is not type(None))
        if isinstance(kind, type) and issubclass(kind, Struct):
            return self._read_struct(value, kind, place)
        if get_origin(kind) is tuple:
            return self._read_items(value, get_args(kind)[0], place, default)
        return self._convert(value, kind, place, default)

    def read_duration(self, text: str | None, place: str) -> float | None:
        """Return the seconds of `text`, or None if it states no duration."""
        try:
            return None if text is None else parse_duration(text)
        except ValueError as exc:
            self._fault(place, str(exc))
            return None

    def _read_struct(self, value: object, kind: type[Struct], place: str) -> Struct:
        members = self._convert(value, dict, place, None)
        if members is None:
            return self._empty(kind)
        read = {}
        for field in structs.fields(kind):
            inner = f"{place}.{field.encode_name}".lstrip(".")
            default = _default(field)
            if field.encode_name in members:
                given = members[field.encode_name]
                read[field.name] = self.read(given, field.type, inner, default)
            elif field.required:
                self._fault(inner, "is missing")
                read[field.name] = self._absent(field.type)
            else:
                read[field.name] = default
        return kind(**read)

    def _read_items(self, value: object, kind: Any, place: str, default: Any) -> Any:
        items = self._convert(value, list, place, None)
        if items is None:
            return default
        numbered = enumerate(items)
        return tuple(self.read(each, kind, f"{place}[{i}]") for i, each in numbered)

    def _convert(self, value: object, kind: Any, place: str, default: Any) -> Any:
        try:
            return msgspec.convert(value, kind)
        except msgspec.ValidationError as exc:
            self._fault(place, str(exc))
            return default

    def _empty(self, kind: type[Struct]) -> Struct:
        fields = structs.fields(kind)
        absent = {f.name: self._absent(f.type) for f in fields if f.required}
        return kind(**absent)

    def _absent(self, kind: Any) -> Any:
        is_struct = isinstance(kind, type) and issubclass(kind, Struct)
        return self._empty(kind) if is_struct else None

    def _fault(self, place: str, problem: str) -> None:
        self.faults.append(Finding(place, problem))


def _default(field: structs.FieldInfo) -> Any:
    if field.default_factory is not NODEFAULT:
        return field.default_factory()
    return None if field.default is NODEFAULT else field.default
