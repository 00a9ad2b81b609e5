"""Property test: a shard never has two owners, and handovers lose no state.

The derandomized examples depend on the source of `ShardSafety`: an edit of the class
changes which cases run.
"""

import gevent
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from lacewingpond.replay.base import Variant

# The source text of `ShardSafety` decides its examples, so its names stay.
from lacewingpond.replay.shard_simulation import ShardSimulation as ShardWorld
from lacewingpond.replay.shard_simulation import ShardSimulationOptions as WorldOptions
from lacewingpond.shards.options import ShardOptions

VMS = 5
SHARDS = 8
PAUSES_S = st.sampled_from([1.0, 3.0, 8.0, 19.0, 30.0, 90.0])
TIMES_S = st.sampled_from([0.5, 1.0, 3.0, 10.0, 25.0])
PICKS = st.integers(0, 99)


class ShardSafety(RuleBasedStateMachine):
    variant = Variant.CURRENT

    @initialize(seed=st.integers(0, 1_000), lag_s=st.sampled_from([0.0, 2.0, 5.0]))
    def start_fleet(self, seed, lag_s):
        shards = ShardOptions(shard_count=SHARDS, rebalance_s=15.0)
        options = WorldOptions(
            shards=shards, list_lag_s=lag_s, message_loss=0.05, message_delay_s=0.4
        )
        self.world = ShardWorld(options, self.variant, seed)
        for number in range(VMS):
            self.world.start(f"vm{number}")
        self.world.run(20)

    def pick(self, number):
        ids = sorted(self.world.vms)
        return ids[number % len(ids)]

    def staying(self):
        return sum(vm.stopping is None for vm in self.world.vms.values())

    @rule(seconds=TIMES_S)
    def wait(self, seconds):
        self.world.run(seconds)

    @precondition(lambda self: self.staying() > 2)
    @rule(number=PICKS, seconds=TIMES_S)
    def crash(self, number, seconds):
        self.world.crash(self.pick(number))
        self.world.run(seconds)

    @rule(number=PICKS)
    def start(self, number):
        vm_id = f"vm{number % VMS}"
        if vm_id not in self.world.vms:
            self.world.start(vm_id)

    @rule(number=PICKS, seconds=PAUSES_S)
    def pause(self, number, seconds):
        self.world.pause(self.pick(number), seconds)

    @rule(
        number=PICKS,
        seconds=PAUSES_S,
        before=st.booleans(),
        kind=st.sampled_from(["get", "put_if"]),
    )
    def pause_in_call(self, number, seconds, before, kind):
        self.world.pause_in_call(self.pick(number), seconds, before, kind)

    @rule(number=PICKS, seconds=PAUSES_S)
    def unlist(self, number, seconds):
        self.world.unlist(self.pick(number), seconds)

    @precondition(lambda self: self.staying() > 2)
    @rule(number=PICKS)
    def stop(self, number):
        self.world.stop(self.pick(number), grace_s=10.0)

    @rule(number=PICKS, away=st.booleans(), all_vms=st.booleans())
    def outage(self, number, away, all_vms):
        ids = None if all_vms else [self.pick(number)]
        self.world.set_outage(away, ids)

    @rule(number=PICKS)
    def lose_answer(self, number):
        self.world.vms[self.pick(number)].faults.lose_answers = 1

    @rule(sender=PICKS, receiver=PICKS, blocked=st.booleans())
    def partition(self, sender, receiver, blocked):
        network = self.world.network
        change = network.block if blocked else network.unblock
        change(f"vm{sender % VMS}", f"vm{receiver % VMS}")

    @invariant()
    def no_shard_has_two_owners(self):
        if hasattr(self, "world"):
            assert self.world.double_owned == 0

    @invariant()
    def no_state_is_lost_at_a_hand_over(self):
        if hasattr(self, "world"):
            assert self.world.truth.lost == 0

    def teardown(self):
        if hasattr(self, "world"):
            stopping = [vm.stopping for vm in self.world.vms.values() if vm.stopping]
            gevent.killall(stopping)


TestShardSafety = ShardSafety.TestCase
TestShardSafety.settings = settings(
    max_examples=60, stateful_step_count=25, derandomize=True, deadline=None
)
