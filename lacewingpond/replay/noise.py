"""Counts ejections of healthy targets with sporadic errors, under steady load.

Run as ``python -m lacewingpond.replay.noise``.
"""

import random

from msgspec import Struct

from lacewingpond.config.model import Service, Target
from lacewingpond.health.messages import TargetRecord, target_hash
from lacewingpond.health.options import HealthOptions
from lacewingpond.health.outcome import Outcome
from lacewingpond.health.outlier_detector import OutlierDetector
from lacewingpond.health.tally import Tally
from lacewingpond.telemetry.counting_metrics import CountingMetrics
from lacewingpond.telemetry.recording_decisions import RecordingDecisionLog
from lacewingpond.util.clock import ManualClock

VMS = 40
TARGETS = 6
REQUESTS_PER_S = 1.0
"""Requests per second of each VM to each target."""
HOURS = 1.0
MEDIAN_LATENCY_S = 0.04
# Standard deviation of the logarithm of the latency.
LATENCY_SIGMA = 0.4
PROFILES = {
    "default": HealthOptions(),
    "certainty": HealthOptions.for_certainty(),
    "speed": HealthOptions.for_speed(),
}


class NoiseRow(Struct, frozen=True):
    """Ejections of healthy targets within `HOURS`.

    Parameters
    ----------
    profile : str
        Key of `PROFILES`.
    failure_rate : float
        Share of the requests that fail on each target.
    ejections : int
        Number of ejections.
    """

    profile: str
    failure_rate: float
    ejections: int


def count_ejections(options: HealthOptions, failure_rate: float, seed: int) -> int:
    """Return the number of ejections of healthy targets within `HOURS`."""
    rng = random.Random(seed)
    clock = ManualClock()
    log = RecordingDecisionLog()
    targets = tuple(Target(f"t{n}", f"t{n}:80") for n in range(TARGETS))
    service = Service("gallery", targets)
    detector = OutlierDetector(service, options, clock, log, CountingMetrics())
    for _ in range(int(HOURS * 3600.0 / options.period_s)):
        clock.advance(options.period_s)
        for vm in range(VMS):
            detector.observe(f"vm-{vm}", _period_report(options, failure_rate, rng))
        detector.evaluate()
    return sum("ejected:" in why for _, _, why, _ in log.lines)


def _period_report(
    options: HealthOptions, failure_rate: float, rng: random.Random
) -> tuple[TargetRecord, ...]:
    tallies = {}
    for _ in range(int(TARGETS * REQUESTS_PER_S * options.period_s)):
        tally = tallies.setdefault(rng.randrange(TARGETS), Tally())
        latency_s = MEDIAN_LATENCY_S * rng.lognormvariate(0.0, LATENCY_SIGMA)
        failed = rng.random() < failure_rate
        tally.add(Outcome.ERROR if failed else Outcome.OK, latency_s)
    return tuple(
        TargetRecord(target_hash(f"t{number}"), tally.packed())
        for number, tally in tallies.items()
    )


def main() -> None:
    """Print the ejections by profile and failure rate, for seed 1."""
    print(f"{'profile':10} {'failures':>8} {'ejections in an hour':>21}")
    for name, options in PROFILES.items():
        for failure_rate in (0.01, 0.03, 0.06):
            count = count_ejections(options, failure_rate, seed=1)
            row = NoiseRow(name, failure_rate, count)
            print(f"{row.profile:10} {row.failure_rate:8.0%} {row.ejections:21d}")


if __name__ == "__main__":
    main()
