"""A service behind the routes."""

from msgspec import Struct


class EntryService(Struct, frozen=True):
    """One service; its targets are listed apart from it."""

    name: str
    health_path: str = "/health"
    max_connections: int = 360
