"""What the stand-in targets have counted."""

from collections.abc import Iterable

import msgspec
import urllib3
from msgspec import Struct

from lacewingpond.standin.target_stats import StatsReport
from lacewingpond.util.errors import UserError


class TargetCounts(Struct, frozen=True):
    """Counts of all targets together.

    Parameters
    ----------
    runs : dict
        Runs by request id.
    keys_seen : int
        Requests that reached a target with a caller's key.
    """

    runs: dict[str, int]
    keys_seen: int

    @classmethod
    def read(cls, addresses: Iterable[str]) -> "TargetCounts":
        """Ask each target for its counts.

        Raises
        ------
        UserError
            Naming the target that can't be asked.
        """
        runs: dict[str, int] = {}
        keys_seen = 0
        for address in addresses:
            report = _ask(address)
            keys_seen += report.keys_seen
            for name, count in report.runs_by_request_id.items():
                runs[name] = runs.get(name, 0) + count
        return cls(runs=runs, keys_seen=keys_seen)


def _ask(address: str) -> StatsReport:
    try:
        answer = urllib3.request("GET", f"http://{address}/_stats", retries=False)
        return msgspec.json.decode(answer.data, type=StatsReport)
    except (urllib3.exceptions.HTTPError, msgspec.DecodeError) as exc:
        raise UserError(f"target {address}: no counts: {exc}") from exc
