"""The configuration that operators state: workspaces, keys, services and routes."""

from msgspec import Struct

IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE"})
"""Idempotent methods of RFC 9110, section 9.2.2."""


# Items hold no reference that could lead back to them, so the garbage collector
# needs no header in front of each of more than 100,000.


class Key(Struct, frozen=True, gc=False):
    """A caller's key, stored only as a digest.

    Parameters
    ----------
    key_id : str
        Public name of the key, safe to log.
    workspace : str
        Workspace that the key speaks for.
    digest : str
        Lower-case hex SHA-256 of the key.
    """

    key_id: str
    workspace: str
    digest: str


class Workspace(Struct, frozen=True, gc=False):
    """A customer with a fleet-wide rate.

    Parameters
    ----------
    name : str
        Unique name.
    rate : float
        Requests a second, counted over all VMs.
    burst : float
        Requests that may come at once, counted over all VMs.
    """

    name: str
    rate: float
    burst: float


class Target(Struct, frozen=True, gc=False):
    """One instance of a service.

    Parameters
    ----------
    target_id : str
        Unique name.
    address : str
        ``host:port``.
    failure_domain : str
        Where it runs.
    slots : int
        Requests that it works on at once.
    draining : bool
        True when it takes no new work.
    """

    target_id: str
    address: str
    failure_domain: str = ""
    slots: int = 6
    draining: bool = False


class Service(Struct, frozen=True, gc=False):
    """A group of targets that answer the same requests.

    Parameters
    ----------
    name : str
        Unique name.
    targets : tuple of Target
        The instances.
    floor : float
        Share of all slots, 0 to 1, that ejection never goes below.
    connections_per_target : int
        Connections that the whole fleet may hold to one target.
    not_run_marker : str
        Header ``Name: value`` of a complete answer that proves that the target
        did not run the request; empty when the service has none.
    draining_marker : str
        Header ``Name: value`` by which an answer with `not_run_marker` also says
        that the target takes no new work; empty when the service has none.
    rate, burst : float
        Fleet-wide limit of the service in requests a second; 0 means none.
    """

    name: str
    targets: tuple[Target, ...] = ()
    floor: float = 0.5
    connections_per_target: int = 360
    not_run_marker: str = ""
    draining_marker: str = ""
    rate: float = 0.0
    burst: float = 0.0


class Route(Struct, frozen=True, gc=False):
    """Which requests go to which service, and how.

    Parameters
    ----------
    name : str
        Unique name.
    service : str
        Service behind the route.
    path_prefix : str
        Matches whole path segments.
    host : str
        Exact host, or empty for any.
    methods : tuple of str
        Methods that the route takes; empty for all.
    workspaces : tuple of str
        Workspaces that may use it; empty for all.
    open : bool
        True when no key is needed.
    idempotent : bool
        True when every method on the route is idempotent.
    require_idempotency_key : bool
        True when a non-idempotent request without ``Idempotency-Key`` is refused.
    timeout_s : float
        Deadline for a request whose caller names none, in seconds.
    rate, burst : float
        Fleet-wide limit of the route in requests a second; 0 means none.
    """

    name: str
    service: str
    path_prefix: str = "/"
    host: str = ""
    methods: tuple[str, ...] = ()
    workspaces: tuple[str, ...] = ()
    open: bool = False
    idempotent: bool = False
    require_idempotency_key: bool = False
    timeout_s: float = 10.0
    rate: float = 0.0
    burst: float = 0.0

    def is_idempotent(self, method: str) -> bool:
        """Return whether a request with `method` may be sent again."""
        return self.idempotent or method in IDEMPOTENT_METHODS


class Config(Struct, frozen=True):
    """One revision of the whole configuration.

    Parameters
    ----------
    revision : int
        Rises by one with each confirmed plan.
    """

    revision: int = 0
    workspaces: tuple[Workspace, ...] = ()
    keys: tuple[Key, ...] = ()
    services: tuple[Service, ...] = ()
    routes: tuple[Route, ...] = ()
