"""Tests of the health checks of targets that are assumed to be cold, over HTTP."""

import gevent
import pytest
from entry_helper import config, entry_target
from msgspec.structs import replace
from path_helper import CLOCK, caller_server
from stack_helper import NAMES, Stack, limiter_of

from lacewingpond.entry.limits.named_limits import NamedLimits
from lacewingpond.entry.limits.warmup_checks import WarmupChecks
from lacewingpond.entry.model.service import EntryService
from lacewingpond.http.headers import Headers
from lacewingpond.http.response import Response
from lacewingpond.platform.warmup_header import WarmupDecoder


# Failures: a target that stayed cold, one without the header, and another one that
# has taken over the address.
@pytest.mark.parametrize(
    ("status", "left_ms", "cold", "shown"),
    [
        (200, "0", False, "warm"),
        (200, "60000", True, "cold"),
        (200, None, True, "unknown: X-Warmup given 0 times"),
        (421, "0", True, "unknown: status 421"),
    ],
)
def test_health_path_tells_whether_a_target_is_cold(status, left_ms, cold, shown):
    requests = []

    def respond(req):
        requests.append((req.path, req.headers.get(NAMES.expected_target)))
        fields = () if left_ms is None else (("X-Warmup", left_ms),)
        return Response(status, Headers(fields), b"ok")

    service = EntryService("svc", "/healthy", warmup_s=30.0, warmup_rate=3.7)
    stack = Stack(replace(config(), services={"svc": service}))
    vm = stack.vm
    limits = NamedLimits(vm.fleet, vm.channel, CLOCK, vm.log)
    limiter = limiter_of(vm, stack.table, limits, CLOCK)
    decode = WarmupDecoder("X-Warmup").decode
    checks = WarmupChecks(
        NAMES,
        decode,
        limiter.warmup,
        stack.table,
        vm.view,
        stack.client,
        CLOCK,
        vm.log,
    )
    with caller_server(respond) as server:
        stack.add_target(entry_target("t1", f"127.0.0.1:{server.port}"))
        checks.assume_cold("zone-a")
        running = gevent.spawn(checks.run)
        gevent.sleep(0.6)
        running.kill()
    assert requests == [("/healthy", "t1")]
    assert stack.table.get("t1").is_warm(CLOCK.now()) is not cold
    lines = [(which, why) for what, which, why, _ in vm.log.lines if what == "warmup"]
    assert lines == [("zone-a", "assumed cold after an evacuation"), ("t1", shown)]
