"""One version of the whole configuration, ready for look-ups."""

from msgspec import Struct, field

from lacewingpond.entry.model.caller_limits import CallerLimits
from lacewingpond.entry.model.route import EntryRoute
from lacewingpond.entry.model.service import EntryService
from lacewingpond.entry.model.workspace import EntryWorkspace


class FleetConfig(Struct, frozen=True):
    """What operators have stated.

    Parameters
    ----------
    version : int
        Rises with each change.
    limits : CallerLimits
        Limits towards clients.
    has_workspaces : bool
        Whether requests need a key at all.
    """

    version: int
    limits: CallerLimits
    has_workspaces: bool
    routes: tuple[EntryRoute, ...]
    services: dict[str, EntryService]
    workspaces: dict[str, EntryWorkspace]
    _by_host: dict[str, dict[str, EntryRoute]] = field(default_factory=dict)
    _by_key: dict[str, EntryWorkspace] = field(default_factory=dict)

    def __post_init__(self) -> None:
        for route in self.routes:
            self._by_host.setdefault(route.host, {})[route.prefix] = route
        for workspace in self.workspaces.values():
            for key in workspace.keys:
                self._by_key[key] = workspace

    def route(self, host: str, path: str) -> EntryRoute | None:
        """Return the route with the longest prefix of `path`."""
        prefixes = self._by_host.get(host)
        if prefixes is None:
            return None
        end = path.partition("?")[0].rfind("/")
        while end >= 0:
            found = prefixes.get(path[: end + 1])
            if found is not None:
                return found
            end = path.rfind("/", 0, end)
        return None

    def workspace_of(self, key: str) -> EntryWorkspace | None:
        """Return the workspace that holds `key`."""
        return self._by_key.get(key)

    def __repr__(self) -> str:
        return f"FleetConfig(version={self.version})"
