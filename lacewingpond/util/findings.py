"""Problems in settings and intents, which are collected and reported together."""

from msgspec import Struct


class Finding(Struct, frozen=True):
    """One problem and its location.

    Parameters
    ----------
    place : str
        File and key path, or path within an intent.
    problem : str
        What is wrong, in one sentence.
    """

    place: str
    problem: str

    def __str__(self) -> str:
        return f"{self.place}: {self.problem}"
