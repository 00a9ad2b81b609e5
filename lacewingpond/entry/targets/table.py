"""The targets of all services, kept in step with the world."""

from lacewingpond.entry.model.instance import Instance
from lacewingpond.entry.targets.state import TargetState
from lacewingpond.entry.world import World
from lacewingpond.targets.client import TargetClient
from lacewingpond.util.clock import Clock


class TargetTable:
    """States by target and by service.

    Parameters
    ----------
    world : World
        Source of the targets.
    client : TargetClient
        Closes connections to targets that have gone.
    clock : Clock
        Dates new states.
    """

    __slots__ = ("_world", "_client", "_clock", "_states", "_services")

    def __init__(self, world: World, client: TargetClient, clock: Clock) -> None:
        self._world = world
        self._client = client
        self._clock = clock
        self._states: dict[str, TargetState] = {}
        self._services: dict[str, tuple[TargetState, ...]] = {}
        world.on_targets(self._take)

    def get(self, target_id: str) -> TargetState | None:
        """Return the state of a target."""
        return self._states.get(target_id)

    def ready(self, service: str) -> tuple[TargetState, ...]:
        """Return the targets of a service that take work."""
        return self._services.get(service, ())

    def all(self) -> list[TargetState]:
        """Return all targets."""
        return list(self._states.values())

    def _take(self) -> None:
        instances = self._world.instances
        for target_id in self._states.keys() - instances.keys():
            self._client.close_target(self._states.pop(target_id).instance.address)
        services: dict[str, list[TargetState]] = {}
        for target_id, instance in instances.items():
            state = self._follow(target_id, instance)
            if not instance.draining:
                services.setdefault(instance.service, []).append(state)
        self._services = {name: tuple(states) for name, states in services.items()}

    def _follow(self, target_id: str, instance: Instance) -> TargetState:
        state = self._states.get(target_id)
        if state is None or not state.is_same(instance):
            if state is not None:
                self._client.close_target(state.instance.address)
            state = TargetState(instance, self._clock.now())
            self._states[target_id] = state
        else:
            state.instance = instance
        return state
