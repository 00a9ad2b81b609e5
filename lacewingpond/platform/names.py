"""Header fields, paths and keys of the users' platform."""

from lacewingpond.entry.header_names import HeaderNames

HEADERS = HeaderNames(
    request_id="X-Lacewingpond-Request-Id",
    deadline_ms="X-Lacewingpond-Request-Deadline-Ms",
    expected_target="X-Lacewingpond-Expected-Instance",
    target_id="X-Lacewingpond-Instance-Id",
    workspace="X-Lacewingpond-Tenant-Name",
    signature="X-Lacewingpond-Response-Signature",
    not_run="X-Lacewingpond-Not-Executed",
)
READY_PATH = "/api/ready"
CONFIG_KEY = "op/config"
TARGETS_PREFIX = "servers/"
MEMBERS_PREFIX = "fleet/"
"""The platform refuses our writes below ``op/`` and ``servers/`` only."""
