"""Plans of load runs: workspaces, their rates and their requests."""

import ipaddress
from pathlib import Path

from msgspec import Struct
from result import Err, Ok, Result

from lacewingpond.util.address import parse_address
from lacewingpond.util.convert import convert_struct
from lacewingpond.util.findings import Finding
from lacewingpond.util.toml_file import read_toml


class RequestKind(Struct, frozen=True):
    """One kind of request.

    Parameters
    ----------
    path : str
        Path of the requests.
    method : str
        HTTP method.
    weight : float
        Relative frequency among the kinds of the same workspace.
    body_bytes : int
        Size of the body, which is unique for each request, in bytes; 0 for none.
    idempotency_key : bool
        Whether each request has an ``Idempotency-Key`` header of its own.
    repeat_share : float
        Share, 0 to 1, of the requests with a key that are sent again with the same
        key after the response.
    abandon_share : float
        Share, 0 to 1, of the requests with a key whose caller disconnects before
        the response and then sends them again.
    """

    path: str
    method: str = "GET"
    weight: float = 1.0
    body_bytes: int = 0
    idempotency_key: bool = False
    repeat_share: float = 0.0
    abandon_share: float = 0.0


class WorkspaceLoad(Struct, frozen=True):
    """The load of one workspace.

    Parameters
    ----------
    name : str
        Name in the summary.
    key : str
        Key that its callers present; none if empty.
    rate : float
        Mean rate of requests, per second, whether or not earlier ones have ended
        (open loop); the intervals are exponentially distributed.
    requests : tuple of RequestKind
        Kinds of requests; held sessions send the first kind only.
    burst_every_s : float
        Interval between bursts, in seconds; 0 for no bursts.
    burst_size : int
        Number of additional requests that are sent at once in each burst.
    held_sessions : int
        Number of connections that stay open for the whole run and send one request
        per second.
    """

    name: str
    key: str
    rate: float
    requests: tuple[RequestKind, ...]
    burst_every_s: float = 0.0
    burst_size: int = 0
    held_sessions: int = 0


class LoadPlan(Struct, frozen=True):
    """A load run, bounded in duration and number of requests.

    Parameters
    ----------
    daemons : tuple of str
        ``host:port`` of the daemons; each request goes to a random one.
    workspaces : tuple of WorkspaceLoad
        Load of each workspace.
    targets : tuple of str
        ``host:port`` of stand-in targets whose counts of runs are compared with the
        results at the end; no comparison if empty.
    balancer_check_path : str
        Path of the daemons' readiness check; requests go to ready daemons only.
        No checks if empty.
    duration_s : float
        Duration of the run, in seconds.
    max_requests : int
        Maximum number of requests, without those of held sessions.
    timeout_s : float
        Longest wait to connect, and for data of a response, in seconds.
    seed : int
        Seed of all random choices.
    allow_remote : bool
        Whether addresses outside the loopback range are allowed.
    """

    daemons: tuple[str, ...]
    workspaces: tuple[WorkspaceLoad, ...]
    targets: tuple[str, ...] = ()
    balancer_check_path: str = ""
    duration_s: float = 10.0
    max_requests: int = 100_000
    timeout_s: float = 10.0
    seed: int = 1
    allow_remote: bool = False

    @classmethod
    def from_file(cls, path: Path) -> Result["LoadPlan", tuple[Finding, ...]]:
        """Return the plan in a TOML file, or all findings."""
        read = read_toml(path)
        if isinstance(read, Err):
            return Err((read.err_value,))
        findings: list[Finding] = []
        plan = convert_struct(cls, read.ok_value, str(path), findings)
        if plan is not None:
            _check_addresses(plan, str(path), findings)
        return Err(tuple(findings)) if plan is None or findings else Ok(plan)


def _check_addresses(plan: LoadPlan, place: str, findings: list[Finding]) -> None:
    if not plan.daemons:
        findings.append(Finding(f"{place}.daemons", "must name at least one daemon"))
    for key, addresses in (("daemons", plan.daemons), ("targets", plan.targets)):
        for index, address in enumerate(addresses):
            address_place = f"{place}.{key}[{index}]"
            try:
                host, _ = parse_address(address)
            except ValueError as exc:
                findings.append(Finding(address_place, f"{address!r}: {exc}"))
                continue
            loopback = ipaddress.ip_address(host).is_loopback
            if not loopback and not plan.allow_remote:
                findings.append(
                    Finding(
                        address_place,
                        f"{address} is not a loopback address; set allow_remote = true",
                    )
                )
