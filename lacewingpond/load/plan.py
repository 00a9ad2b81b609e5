"""What load to send: workspaces, their rates and the requests they make."""

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
        Path on the fleet.
    method : str
        HTTP method.
    weight : float
        Share among the kinds of the same workspace.
    body_bytes : int
        Size of the unique body, in bytes; 0 for none.
    idempotency_key : bool
        Whether each request carries a fresh ``Idempotency-Key``.
    repeat_share : float
        Share, 0 to 1, that is sent again under the same key.
    abandon_share : float
        Share, 0 to 1, whose caller goes before the answer and asks again.
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
        Key that its callers present; none when empty.
    rate : float
        Requests a second, open loop.
    burst_every_s, burst_size : float, int
        Further requests that come at once, each `burst_every_s` seconds.
    held_sessions : int
        Connections that stay open and send one request now and then.
    requests : tuple of RequestKind
        What it sends.
    """

    name: str
    key: str
    rate: float
    requests: tuple[RequestKind, ...]
    burst_every_s: float = 0.0
    burst_size: int = 0
    held_sessions: int = 0


class LoadPlan(Struct, frozen=True):
    """A bounded run.

    Parameters
    ----------
    daemons : tuple of str
        ``host:port`` of the daemons; the balancer's part is played by taking one
        at random.
    targets : tuple of str
        ``host:port`` of stand-in targets whose counts are compared at the end.
    workspaces : tuple of WorkspaceLoad
        Who sends what.
    balancer_check_path : str
        Path by which daemons say whether they take requests; not asked when empty.
    duration_s : float
        Length of the run.
    max_requests : int
        Upper bound of requests.
    timeout_s : float
        How long one request may take.
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
        """Read a plan from TOML and return it, or all findings."""
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
        findings.append(Finding(f"{place}.daemons", "names no daemon"))
    for key, addresses in (("daemons", plan.daemons), ("targets", plan.targets)):
        for number, address in enumerate(addresses):
            where = f"{place}.{key}[{number}]"
            try:
                host, _ = parse_address(address)
            except ValueError as exc:
                findings.append(Finding(where, f"{address!r}: {exc}"))
                continue
            loopback = ipaddress.ip_address(host).is_loopback
            if not loopback and not plan.allow_remote:
                findings.append(Finding(where, f"{address} is not on loopback"))
