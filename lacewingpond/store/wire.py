"""Paths and headers of the platform's HTTP protocol."""

KV_PATH = "/v1/kv/"
SCAN_PATH = "/v1/scan"
WATCH_PATH = "/v1/watch"
LEASES_PATH = "/v1/leases"
VMS_PATH = "/v1/vms"
REVISION_HEADER = "X-Revision"
