"""A configuration as written, with the place of each value.

`EntryConfig` is indexed for lookups: it keeps one of several entries with an equal name
and corrects some values, so it can't be checked for these. Values that can't be decoded
are None here.
"""

from typing import Generic, TypeVar

from msgspec import Struct

from lacewingpond.util.findings import Finding

T = TypeVar("T")


class Placed(Struct, Generic[T], frozen=True):
    """A value and its path within the document."""

    place: str
    value: T


class PartForm(Struct, frozen=True):
    """One part of a route's traffic split."""

    place: str
    service: Placed[str | None]
    weight: Placed[float | None]


class RouteForm(Struct, frozen=True):
    """One rule of a listener; durations in seconds, None if not stated."""

    place: str
    name: Placed[str | None]
    prefix: Placed[str | None]
    split_place: str
    split: tuple[PartForm, ...]
    target_latency_s: Placed[float | None]
    timeout_s: Placed[float | None]
    max_attempts: Placed[int]
    public: bool


class ListenerForm(Struct, frozen=True):
    """A host and its rules."""

    place: str
    host: Placed[str | None]
    routes: tuple[RouteForm, ...]


class ServiceForm(Struct, frozen=True):
    """A service; `warmup_s` in seconds, `warmup_rate` in requests a second."""

    place: str
    name: Placed[str | None]
    warmup_s: Placed[float | None]
    warmup_rate: Placed[float]


class WorkspaceForm(Struct, frozen=True):
    """A workspace; its keys are for comparison only and are never printed."""

    place: str
    name: Placed[str | None]
    keys: tuple[Placed[str], ...]
    rate: Placed[float]
    burst: Placed[float]

    def __repr__(self) -> str:
        return f"WorkspaceForm({self.place!r})"


class ConfigForm(Struct, frozen=True):
    """The whole configuration as written.

    Parameters
    ----------
    version : Placed of int or None
        Version number.
    head_bytes, body_bytes : Placed of int or None
        Longest request head and body in bytes; None if not stated.
    workspaces, listeners, services : tuple
        What the document lists, in its order.
    faults : tuple of Finding
        Values that are missing or can't be decoded.
    places : tuple of str
        Paths of all values, in the order of the document.
    """

    version: Placed[int | None] = Placed("", None)
    head_bytes: Placed[int | None] = Placed("", None)
    body_bytes: Placed[int | None] = Placed("", None)
    workspaces: tuple[WorkspaceForm, ...] = ()
    listeners: tuple[ListenerForm, ...] = ()
    services: tuple[ServiceForm, ...] = ()
    faults: tuple[Finding, ...] = ()
    places: tuple[str, ...] = ()

    def routes(self) -> list[RouteForm]:
        """Return the routes of all listeners."""
        return [route for listener in self.listeners for route in listener.routes]
