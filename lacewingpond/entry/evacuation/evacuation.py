"""An evacuated failure domain."""

from msgspec import Struct


class Evacuation(Struct, frozen=True):
    """Operators' request to send nothing more to the targets of a failure domain.

    Parameters
    ----------
    failure_domain : str
        The domain.
    era, revision : int
        Position in the history of the store since which the evacuation holds.
    """

    failure_domain: str
    era: int
    revision: int
