"""Header fields, paths and store keys of the users' platform.

The platform calls a target an instance or a server, and a workspace a tenant.
"""

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
LIMIT_HEADER = "Server-Limit"  # a rate, not a number of concurrent requests
LEAVING_HEADER = "Server-Leaving"
WARMUP_HEADER = "X-Lacewingpond-Warmup-Ms"  # in responses of the health path
ERA_HEADER = "Store-Era"
READY_PATH = "/api/ready"
CONFIG_KEY = "op/config"
TARGETS_PREFIX = "servers/"
EVACUATIONS_PREFIX = "op/evacuate/"
MEMBERS_PREFIX = "fleet/"
"""Free to choose: the platform refuses our writes only to ``op/`` and ``servers/``."""
