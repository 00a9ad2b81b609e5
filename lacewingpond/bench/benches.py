"""All benchmarks by name."""

from lacewingpond.bench.base import Bench
from lacewingpond.bench.claims import ClaimBench
from lacewingpond.bench.config import ConfigBench
from lacewingpond.bench.config_parts import ConfigPartsBench
from lacewingpond.bench.grants import GrantBench
from lacewingpond.bench.health import HealthBench
from lacewingpond.bench.latency import LatencyBench
from lacewingpond.bench.membership import MembershipBench
from lacewingpond.bench.peers import PeerBench
from lacewingpond.bench.placement import PlacementBench
from lacewingpond.bench.routing import RoutingBench
from lacewingpond.bench.shards import ShardBench
from lacewingpond.bench.telemetry import TelemetryBench

BENCHES: dict[str, Bench] = {
    ClaimBench.name: ClaimBench(),
    ConfigBench.name: ConfigBench(),
    ConfigPartsBench.name: ConfigPartsBench(),
    GrantBench.name: GrantBench(),
    HealthBench.name: HealthBench(),
    LatencyBench.name: LatencyBench(),
    MembershipBench.name: MembershipBench(),
    PeerBench.name: PeerBench(),
    PlacementBench.name: PlacementBench(),
    RoutingBench.name: RoutingBench(),
    TelemetryBench.name: TelemetryBench(),
    ShardBench.name: ShardBench(),
}
