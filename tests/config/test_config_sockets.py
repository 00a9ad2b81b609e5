"""Tests of confirmations and the distribution of revisions over real sockets."""

import random

import gevent
import pytest
from config_helpers import first_intents

from lacewingpond.config.confirmation import ConfirmFailure
from lacewingpond.config.distributor import ConfigDistributor
from lacewingpond.config.holder import ConfigHolder
from lacewingpond.config.intents import WithdrawKey
from lacewingpond.config.options import ConfigOptions
from lacewingpond.config.repository import ConfigRepository
from lacewingpond.config.service import ConfigService
from lacewingpond.peers.addresses import FixedAddresses
from lacewingpond.peers.options import PeerOptions
from lacewingpond.peers.tcp import TcpPeerChannel
from lacewingpond.standin.faults import PlatformFaults
from lacewingpond.standin.options import StandinPlatformOptions
from lacewingpond.standin.platform import StandinPlatform
from lacewingpond.store.base import VmRecord
from lacewingpond.store.http import HttpStore
from lacewingpond.store.options import StoreOptions
from lacewingpond.telemetry.counting_metrics import CountingMetrics
from lacewingpond.telemetry.recording_decisions import RecordingDecisionLog
from lacewingpond.util.clock import RuntimeClock

CLOCK = RuntimeClock()
UNREACHABLE_STORE = "127.0.0.1:1"


class FixedMembership:
    def __init__(self, records):
        self.records = records

    def live(self):
        return self.records


class Vm:
    def __init__(self, number, address_book, store_address):
        self.log = RecordingDecisionLog()
        common = (CLOCK, random.Random(number), self.log, CountingMetrics())
        name = f"vm-{number}"
        self.channel = TcpPeerChannel.from_options(
            PeerOptions(), name, "1", b"s" * 32, FixedAddresses(address_book), *common
        )
        self.channel.start()
        address_book[name] = f"127.0.0.1:{self.channel.port}"
        self.record = VmRecord(name, address_book[name], "a")
        self.store = HttpStore.from_options(
            StoreOptions(address=store_address, read_timeout_s=1.0)
        )
        self.holder = ConfigHolder()
        self.common = common

    def start(self, records):
        others = tuple(vm for vm in records if vm.vm_id != self.record.vm_id)
        repository = ConfigRepository(self.store)
        self.distributor = ConfigDistributor(
            self.record,
            self.holder,
            repository,
            self.channel,
            FixedMembership(others),
            lambda: len(others),
            ConfigOptions(watch_timeout_s=1.0, pull_period_s=0.2),
            *self.common,
        )
        self.service = ConfigService.from_distributor(
            self.holder, repository, self.distributor, CLOCK, self.log
        )
        self.distributor.start()

    def confirm(self, *intents):
        return self.service.confirm(self.service.plan(intents).unwrap().plan_id)

    def stop(self):
        self.distributor.stop()
        self.channel.stop()


@pytest.fixture
def platform():
    platform = StandinPlatform.from_options(StandinPlatformOptions(), CLOCK)
    platform.start()
    yield platform
    platform.stop()


@pytest.fixture
def vms(platform):
    address_book = {}
    stores = [platform.address, platform.address, UNREACHABLE_STORE, UNREACHABLE_STORE]
    made = [Vm(number, address_book, store) for number, store in enumerate(stores)]
    for vm in made:
        vm.start(tuple(vm.record for vm in made))
    yield made
    for vm in made:
        vm.stop()


def await_revision(vms, revision):
    with gevent.Timeout(10.0):
        while any(vm.holder.revision != revision for vm in vms):
            gevent.sleep(0.01)


def test_withdrawal_reaches_vms_without_a_store(vms):
    vms[0].confirm(*first_intents()).unwrap()
    await_revision(vms, 1)
    assert len(vms[3].holder.current.keys) == 1
    vms[1].confirm(WithdrawKey("k1")).unwrap()
    await_revision(vms, 2)
    assert all(vm.holder.current.keys == () for vm in vms)


def test_confirm_reports_lost_answers_and_outages_correctly_over_http(platform, vms):
    one = vms[0]
    plan_id = one.service.plan(first_intents()).unwrap().plan_id
    platform.set_faults(PlatformFaults(lose_answers=2, lose_prefix="config/head"))
    assert one.service.confirm(plan_id).unwrap().revision == 1
    second = one.service.plan((WithdrawKey("k1"),)).unwrap().plan_id
    platform.set_faults(PlatformFaults(outage=True))
    refusal = one.service.confirm(second).unwrap_err().refusal
    assert refusal is ConfirmFailure.NOT_ACCEPTED
    platform.set_faults(PlatformFaults())
    assert one.service.confirm(second).unwrap().revision == 2
    await_revision(vms, 2)


def test_store_that_goes_back_gets_the_newer_revision_again_over_http(platform, vms):
    vms[0].confirm(*first_intents()).unwrap()
    platform.save_snapshot()
    vms[0].confirm(WithdrawKey("k1")).unwrap()
    await_revision(vms, 2)
    platform.restore_snapshot()
    repository = ConfigRepository(vms[0].store)
    with gevent.Timeout(20.0):
        while repository.read_head().unwrap().head.revision < 2:
            gevent.sleep(0.1)
    await_revision(vms, 2)
