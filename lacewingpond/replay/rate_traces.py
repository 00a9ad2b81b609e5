"""Generates the traces of the scenario ``rates``."""

from lacewingpond.limits.bucket import Bucket, workspace_bucket
from lacewingpond.limits.options import LimitOptions
from lacewingpond.replay.trace import Expectation, Trace, TraceEvent, TraceHeader

VMS = 40
SHARD_COUNT = 128
FIRST_VM_SHARE = 0.3
"""Share of all requests that the load balancer sends to the first VM."""
LOAD_RATIO = 0.7
"""Load of a workspace as a ratio of its rate."""
# Load of the greedy workspace as a ratio of its rate.
GREEDY_FACTOR = 5.0
CHITRA_RATES = (120.0, 90.0, 60.0, 12.0, 8.0, 5.0, 3.0, 1.0)
IMBARAGA_RATES = (80.0, 60.0, 20.0, 10.0, 6.0, 4.0, 2.0, 1.0)
BURST_S = 2.0
"""Burst of a workspace, in seconds of its rate."""
UNREACHABLE_AT_S = 8.0
TAKEOVER_AT_S = 28.0

NO_EXCESS_BOUND = Expectation("admitted_above_any_window", at_most=0.0)
STEADY_BOUND = Expectation(
    "refused_within_rate_steady", at_most=0.001, below_naive=True
)
TAKEOVER_BOUND = Expectation("refused_within_rate_take_over", at_most=0.01)
WORST_WORKSPACE_BOUND = Expectation("worst_served_workspace", at_least=0.99)


def rate_traces(seed: int) -> tuple[tuple[str, Trace], ...]:
    """Return pairs of file name and trace, generated from `seed`."""
    deployments = {"chitra": CHITRA_RATES, "imbaraga": IMBARAGA_RATES}
    traces: list[tuple[str, Trace]] = []
    for number, (name, rates) in enumerate(deployments.items()):
        owner = _unreachable_owner_trace(name, rates, 5, seed + number)
        single = _unreachable_owner_trace(name, rates, 6, seed + number)
        greedy = _greedy_trace(name, rates, seed + number)
        traces.append((f"rates-owner-dies-{name}.jsonl", owner))
        traces.append((f"rates-single-slice-{name}.jsonl", single))
        lossy = _lossy_trace(name, rates, seed + number)
        traces.append((f"rates-greedy-{name}.jsonl", greedy))
        traces.append((f"rates-lossy-{name}.jsonl", lossy))
    return tuple(traces)


def _unreachable_owner_trace(
    name: str, rates: tuple[float, ...], affected: int, seed: int
) -> Trace:
    """Return a trace in which an owner of workspace `affected` becomes unreachable."""
    burst = BURST_S * rates[affected]
    bucket = Bucket(workspace_bucket(f"{name}-{affected}"), rates[affected], burst)
    shard = bucket.shards(SHARD_COUNT, LimitOptions())[0]
    unreachable_vm = f"vm{shard % VMS}"
    events = (
        *_workspace_events(name, rates, greedy=None),
        TraceEvent(UNREACHABLE_AT_S, "owner_dies", unreachable_vm),
        TraceEvent(TAKEOVER_AT_S, "take_over", unreachable_vm),
    )
    header = TraceHeader(
        scenario="rates",
        title=f"{name}: one VM gets 30%, an owner of {name}-{affected} falls silent",
        seed=seed,
        expect=(STEADY_BOUND, TAKEOVER_BOUND, NO_EXCESS_BOUND),
        params={"vms": VMS, "duration_s": 36.0, "first_vm_share": FIRST_VM_SHARE},
    )
    return Trace(header, events)


def _greedy_trace(name: str, rates: tuple[float, ...], seed: int) -> Trace:
    header = TraceHeader(
        scenario="rates",
        title=f"{name}: the second largest workspace sends five times its rate",
        seed=seed,
        expect=(STEADY_BOUND, WORST_WORKSPACE_BOUND, NO_EXCESS_BOUND),
        params={"vms": VMS, "duration_s": 20.0, "first_vm_share": FIRST_VM_SHARE},
    )
    return Trace(header, _workspace_events(name, rates, greedy=1))


def _lossy_trace(name: str, rates: tuple[float, ...], seed: int) -> Trace:
    header = TraceHeader(
        scenario="rates",
        title=f"{name}: one message in a hundred is lost, others take up to 5 ms",
        seed=seed,
        expect=(STEADY_BOUND, NO_EXCESS_BOUND),
        params={
            "vms": VMS,
            "duration_s": 20.0,
            "first_vm_share": FIRST_VM_SHARE,
            "loss": 0.01,
            "max_delay_s": 0.005,
        },
    )
    return Trace(header, _workspace_events(name, rates, greedy=None))


def _workspace_events(
    name: str, rates: tuple[float, ...], greedy: int | None
) -> tuple[TraceEvent, ...]:
    events: list[TraceEvent] = []
    for number, rate in enumerate(rates):
        workspace = f"{name}-{number}"
        limits = {"rate": rate, "burst": max(BURST_S * rate, 2.0)}
        if number == greedy:
            limits["greedy"] = True
        share = GREEDY_FACTOR if number == greedy else LOAD_RATIO
        load = {"requests_per_s": rate * share}
        events.append(TraceEvent(0.0, "workspace", workspace, limits))
        events.append(TraceEvent(0.0, "load", workspace, load))
    return tuple(events)
