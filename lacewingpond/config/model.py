"""Configuration set by operators: workspaces, keys, services and routes."""

from msgspec import Struct

IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE"})
"""Idempotent methods (RFC 9110, section 9.2.2)."""


# Items can't be part of a reference cycle. gc=False saves the garbage collector's
# header on each item; a configuration may hold more than 100,000 of them.


class Key(Struct, frozen=True, gc=False):
    """A caller's key, of which only the digest is stored.

    Parameters
    ----------
    key_id : str
        Public name of the key, safe to log.
    workspace : str
        Workspace that requests with this key belong to.
    digest : str
        Lower-case hex SHA-256 of the key.
    """

    key_id: str
    workspace: str
    digest: str


class Workspace(Struct, frozen=True, gc=False):
    """A customer with a fleet-wide rate limit.

    Parameters
    ----------
    name : str
        Unique name.
    rate : float
        Allowed requests per second, over all VMs.
    burst : float
        Requests allowed at once, over all VMs.
    """

    name: str
    rate: float
    burst: float


class Target(Struct, frozen=True, gc=False):
    """One instance of a service.

    Parameters
    ----------
    target_id : str
        Name, unique within the service.
    address : str
        ``host:port``; the host is an IP address.
    failure_domain : str
        Failure domain that it runs in.
    slots : int
        Requests that it can process at once.
    draining : bool
        True when it must get no new requests.
    """

    target_id: str
    address: str
    failure_domain: str = ""
    slots: int = 6
    draining: bool = False


class Service(Struct, frozen=True, gc=False):
    """A group of targets that serve the same requests.

    Parameters
    ----------
    name : str
        Unique name.
    targets : tuple of Target
        The instances.
    floor : float
        Least share of all slots, 0 to 1, that ejection must leave available.
    connections_per_target : int
        Most connections that the whole fleet may hold to one target.
    not_run_marker : str
        Header ``Name: value`` of a complete response that proves that the target
        did not run the request; empty when the service has none.
    draining_marker : str
        Header ``Name: value`` which, in a response with `not_run_marker`, says that
        the target takes no new requests; empty when the service has none.
    rate, burst : float
        Fleet-wide limit of the service: requests per second, and requests at
        once. A rate of 0 means no limit.
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
    """Rule that sends matching requests to a service.

    Parameters
    ----------
    name : str
        Unique name.
    service : str
        Name of the service that gets the requests.
    path_prefix : str
        Path prefix to match, by whole path segments.
    host : str
        Exact host to match; empty for any.
    methods : tuple of str
        Methods to match; empty for all.
    workspaces : tuple of str
        Workspaces that may use the route; empty for all.
    open : bool
        True when no key is needed.
    idempotent : bool
        True when every method on the route is idempotent.
    require_idempotency_key : bool
        True when a non-idempotent request without ``Idempotency-Key`` is refused.
    timeout_s : float
        Deadline of a request whose caller sets none, in seconds.
    rate, burst : float
        Fleet-wide limit of the route: requests per second, and requests at once.
        A rate of 0 means no limit.
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
        """Return whether a request with `method` may safely be sent again."""
        return self.idempotent or method in IDEMPOTENT_METHODS


class Config(Struct, frozen=True):
    """One revision of the whole configuration.

    Parameters
    ----------
    revision : int
        Number of the revision; each confirmed plan raises it by one.
    workspaces, keys, services, routes : tuple
        All items of each kind.
    """

    revision: int = 0
    workspaces: tuple[Workspace, ...] = ()
    keys: tuple[Key, ...] = ()
    services: tuple[Service, ...] = ()
    routes: tuple[Route, ...] = ()
