"""One version of the whole configuration of the entry daemon, indexed for lookups.

`lacewingpond.config.model` has that of the standalone daemon.
"""

from msgspec import Struct, field

from lacewingpond.entry.model.caller_limits import CallerLimits
from lacewingpond.entry.model.route import EntryRoute
from lacewingpond.entry.model.service import EntryService
from lacewingpond.entry.model.workspace import EntryWorkspace


class EntryConfig(Struct, frozen=True):
    """The configuration that operators have set.

    Parameters
    ----------
    version : int
        Version number, which increases with each change.
    limits : CallerLimits
        Limits on callers' connections and requests.
    has_workspaces : bool
        Whether the configuration has a list of workspaces, even an empty one;
        without it no request needs a key.
    routes : tuple of EntryRoute
        All routes.
    services : dict of str to EntryService
        Services by name.
    workspaces : dict of str to EntryWorkspace
        Workspaces by name.
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
        """Return the route of `host` with the longest prefix of `path`, or None."""
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
        """Return the workspace that lists `key` among its keys, or None."""
        return self._by_key.get(key)

    def __repr__(self) -> str:
        return f"EntryConfig(version={self.version})"
