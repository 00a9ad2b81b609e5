"""Warnings: limits that contradict each other."""

from collections.abc import Iterator

from lacewingpond.entry.config_check.finding import ConfigFinding, warning
from lacewingpond.entry.config_check.form import ConfigForm


def check_limits(form: ConfigForm) -> Iterator[ConfigFinding]:
    """Yield a warning for each limit that contradicts another one in `form`."""
    head, body = form.head_bytes, form.body_bytes
    if head.value is not None and body.value is not None and head.value > body.value:
        problem = f"header limit of {head.value} bytes above the body limit"
        yield warning(head.place, f"{problem} of {body.value} bytes")
    for route in form.routes():
        timeout, latency = route.timeout_s, route.target_latency_s
        if timeout.value is None or latency.value is None:
            continue
        if timeout.value < latency.value:
            problem = f"timeout of {timeout.value:g} s below the latency objective"
            yield warning(timeout.place, f"{problem} of {latency.value:g} s")
    for workspace in form.workspaces:
        rate, burst = workspace.rate.value, workspace.burst
        if rate > 0 and burst.value < 1:
            problem = f"burst of {burst.value:g} with a rate of {rate:g} a second"
            yield warning(burst.place, f"{problem}; at least 1 is needed")
    for service in form.services:
        warmup_rate = service.warmup_rate
        if warmup_rate.value > 0 and not service.warmup_s.value:
            yield warning(warmup_rate.place, "warm-up rate without a warm-up")
