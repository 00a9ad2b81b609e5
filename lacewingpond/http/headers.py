"""HTTP headers in their order, with case-insensitive names."""

from collections.abc import Iterable, Iterator


class Headers:
    """An ordered list of headers; a name may occur more than once.

    Parameters
    ----------
    pairs : iterable of (str, str)
        Names and values in order.
    """

    __slots__ = ("_fields",)

    def __init__(self, pairs: Iterable[tuple[str, str]] = ()) -> None:
        self._fields = [(name.lower(), name, value) for name, value in pairs]

    def get(self, name: str, default: str | None = None) -> str | None:
        """Return the first value of `name`, or `default` if there is none."""
        wanted = name.lower()
        for lower, _, value in self._fields:
            if lower == wanted:
                return value
        return default

    def get_all(self, name: str) -> list[str]:
        """Return all values of `name` in order."""
        wanted = name.lower()
        return [value for lower, _, value in self._fields if lower == wanted]

    def tokens(self, name: str) -> list[str]:
        """Return the members of the comma-separated list `name` in lower case."""
        members = ",".join(self.get_all(name)).split(",")
        return [member.strip().lower() for member in members if member.strip()]

    def add(self, name: str, value: str) -> None:
        """Append a header."""
        self._fields.append((name.lower(), name, value))

    def set(self, name: str, value: str) -> None:
        """Replace all headers called `name` by one."""
        self.remove(name)
        self.add(name, value)

    def remove(self, name: str) -> None:
        """Remove all headers called `name`."""
        wanted = name.lower()
        self._fields = [field for field in self._fields if field[0] != wanted]

    def copy(self) -> "Headers":
        """Return an independent copy."""
        copied = Headers()
        copied._fields = list(self._fields)
        return copied

    def __iter__(self) -> Iterator[tuple[str, str]]:
        for _, name, value in self._fields:
            yield name, value

    def __len__(self) -> int:
        return len(self._fields)

    def __contains__(self, name: str) -> bool:
        wanted = name.lower()
        return any(lower == wanted for lower, _, _ in self._fields)

    def __repr__(self) -> str:
        # Values are left out because one of them may be a key.
        return f"Headers({[name for _, name, _ in self._fields]})"
