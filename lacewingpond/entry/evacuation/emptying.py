"""Empties evacuated failure domains of connections, and tells when one is empty."""

from lacewingpond.entry.evacuation.evacuation import Evacuation
from lacewingpond.entry.targets.table import TargetTable
from lacewingpond.targets.client import TargetClient
from lacewingpond.telemetry.decisions import DecisionLog


class Emptying:
    """Closes idle connections to evacuated domains and logs that one is empty.

    Connections become idle there as their running requests finish.

    Parameters
    ----------
    table : TargetTable
        The targets and the evacuations.
    client : TargetClient
        Knows the connections of this VM to targets.
    log : DecisionLog
        Log of domains to which this VM has neither requests nor connections.
    """

    __slots__ = ("_table", "_client", "_log", "_empty")

    def __init__(
        self, table: TargetTable, client: TargetClient, log: DecisionLog
    ) -> None:
        self._table = table
        self._client = client
        self._log = log
        self._empty: set[Evacuation] = set()

    def sweep(self) -> None:
        """Close idle connections and log domains that are empty; call periodically."""
        evacuations = self._table.evacuations
        if not evacuations:
            self._empty.clear()
            return
        self._table.close_evacuated()
        in_use = {
            state.spec.failure_domain
            for state in self._table.all()
            if evacuations.covers(state.spec)
            and (state.in_flight or self._client.connections(state.target))
        }
        empty = {
            evacuation
            for domain in evacuations.domains - in_use
            if (evacuation := evacuations.get(domain)) is not None
        }
        for evacuation in empty - self._empty:
            self._log.decision(
                "evacuation",
                evacuation.failure_domain,
                "empty",
                revision=evacuation.revision,
                evacuated=len(evacuations),
            )
        self._empty = empty
