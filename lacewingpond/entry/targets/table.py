"""The targets of all services, updated from the view of this VM."""

from lacewingpond.entry.evacuation.evacuations import Evacuations
from lacewingpond.entry.model.entry_target import EntryTarget
from lacewingpond.entry.store_view import StoreView
from lacewingpond.entry.targets.state import TargetState
from lacewingpond.targets.client import TargetClient
from lacewingpond.util.clock import Clock


class TargetTable:
    """Target states by target and by service.

    Parameters
    ----------
    view : StoreView
        Source of the target entries.
    client : TargetClient
        Closes connections to removed and evacuated targets.
    clock : Clock
        Time source of new states.
    """

    __slots__ = ("_view", "_client", "_clock", "_states", "_services", "_draining")

    def __init__(self, view: StoreView, client: TargetClient, clock: Clock) -> None:
        self._view = view
        self._client = client
        self._clock = clock
        self._states: dict[str, TargetState] = {}
        self._services: dict[str, tuple[TargetState, ...]] = {}
        self._draining: dict[str, list[TargetState]] = {}
        view.on_targets(self._update)
        view.on_evacuations(self.close_evacuated)

    def get(self, target_id: str) -> TargetState | None:
        """Return the state of a target, or None if it is unknown."""
        return self._states.get(target_id)

    def ready(self, service: str) -> tuple[TargetState, ...]:
        """Return the targets of a service that are not draining, healthy or not."""
        return self._services.get(service, ())

    @property
    def evacuations(self) -> Evacuations:
        """Failure domains whose targets get no requests."""
        return self._view.evacuations

    def remaining(self, service: str) -> tuple[TargetState, ...]:
        """Return the targets that `ready` returns, without those of evacuated domains.

        The tuple is the same one while no domain is evacuated.
        """
        ready, evacuations = self.ready(service), self._view.evacuations
        if not evacuations:
            return ready
        return tuple(state for state in ready if not evacuations.covers(state.spec))

    def close_evacuated(self) -> None:
        """Close the idle connections to evacuated targets; call periodically.

        Connections become idle there as their running requests finish.
        """
        evacuations = self._view.evacuations
        if not evacuations:
            return
        for state in self._states.values():
            if evacuations.covers(state.spec):
                self._client.close_idle(state.spec.address)

    def draining(self, service: str) -> list[TargetState]:
        """Return the targets of a service that are draining."""
        return self._draining.get(service, [])

    def all(self) -> list[TargetState]:
        """Return the states of all targets, including draining ones."""
        return list(self._states.values())

    def assume_cold(self, failure_domain: str) -> list[TargetState]:
        """Assume that the targets of a failure domain have turned cold by now.

        Only targets of services that limit the requests to cold ones are concerned;
        their states are returned.
        """
        cfg, now = self._view.config, self._clock.now()
        assumed: list[TargetState] = []
        if cfg is None:
            return assumed
        for state in self._states.values():
            service = cfg.services.get(state.spec.service)
            if (
                state.spec.failure_domain == failure_domain
                and service is not None
                and service.warmup_rate > 0.0
            ):
                state.warmup.assume(now + service.warmup_s)
                assumed.append(state)
        return assumed

    def _update(self) -> None:
        targets = self._view.targets
        for target_id in self._states.keys() - targets.keys():
            self._client.close_idle(self._states.pop(target_id).spec.address)
        services: dict[str, list[TargetState]] = {}
        self._draining = draining = {}
        for target_id, spec in targets.items():
            state = self._update_state(target_id, spec)
            group = draining if spec.draining else services
            group.setdefault(spec.service, []).append(state)
        self._services = {name: tuple(states) for name, states in services.items()}

    def _update_state(self, target_id: str, spec: EntryTarget) -> TargetState:
        state = self._states.get(target_id)
        if state is None or not state.is_same_incarnation(spec):
            if state is not None:
                self._client.close_idle(state.spec.address)
            state = TargetState(spec, self._clock.now())
            self._states[target_id] = state
        else:
            state.update_spec(spec, self._clock.now())
        return state
