"""Reads the counts of the stand-in targets."""

from collections.abc import Iterable

import msgspec
import urllib3
from msgspec import Struct

from lacewingpond.standin.target_stats import StatsReport
from lacewingpond.util.errors import UserError


class TargetCounts(Struct, frozen=True):
    """Counts of all targets, added up.

    Parameters
    ----------
    runs : dict of str to int
        Number of runs by request id.
    keys_seen : int
        Number of requests that reached a target with a caller's key.
    """

    runs: dict[str, int]
    keys_seen: int

    @classmethod
    def read(cls, addresses: Iterable[str]) -> "TargetCounts":
        """Query the targets at `addresses` and return their total counts.

        Raises
        ------
        UserError
            If a target does not respond or its response is not valid.
        """
        runs: dict[str, int] = {}
        keys_seen = 0
        for address in addresses:
            report = _fetch_stats(address)
            keys_seen += report.keys_seen
            for name, count in report.runs_by_request_id.items():
                runs[name] = runs.get(name, 0) + count
        return cls(runs=runs, keys_seen=keys_seen)


def _fetch_stats(address: str) -> StatsReport:
    try:
        response = urllib3.request("GET", f"http://{address}/_stats", retries=False)
        return msgspec.json.decode(response.data, type=StatsReport)
    except (urllib3.exceptions.HTTPError, msgspec.DecodeError) as exc:
        raise UserError(f"target {address}: can't read its counts: {exc}") from exc
