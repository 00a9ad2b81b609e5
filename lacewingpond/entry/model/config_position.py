"""Order of the configurations that VMs have in force."""

from msgspec import Struct

from lacewingpond.store.base import NO_ERA


class ConfigPosition(Struct, frozen=True, order=True):
    """Which configuration is in force on a VM; later ones compare as greater.

    A version that the store has lost may be given out again with other content, which
    the era tells apart.

    Parameters
    ----------
    version : int
        Version of the configuration; -1 before the first.
    era : int
        Era of the store in which it was read.
    """

    version: int = -1
    era: int = NO_ERA

    def encode(self) -> str:
        """Return the value of a header."""
        return f"{self.version};{self.era}"


def parse_config_position(value: str | None) -> ConfigPosition | None:
    """Return the position in a header, or None if there is no valid one."""
    version, _, era = (value or "").partition(";")
    try:
        return ConfigPosition(int(version), int(era))
    except ValueError:
        # A peer of an earlier build states none, which is no error.
        return None
