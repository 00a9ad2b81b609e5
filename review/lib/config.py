"""Configurations as the operator writes them."""


def tenant(name: str, key: str, rate: float = 0, burst: float = 0) -> dict:
    """Return a tenant with one key."""
    return {
        "name": name,
        "api-keys": [key],
        "priority": 1,
        "rate-per-s": rate,
        "burst": burst,
    }


def rule(name: str, prefix: str, service: str, kind: str, timeout: str) -> dict:
    """Return the rule of a route."""
    return {
        "name": name,
        "kind": kind,
        "target-latency": "2000ms",
        "priority": 1,
        "public": False,
        "match": {"prefix": prefix},
        "action": {"service": service, "timeout": timeout, "max-attempts": 2},
    }


def document(
    version: int, host: str, tenants: list[dict], rules: list[dict], services: list[str]
) -> dict:
    """Return a whole configuration."""
    return {
        "version": version,
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 67108864,
            "header-timeout": "3000ms",
            "idle-timeout": "15000ms",
        },
        "tenants": tenants,
        "listeners": [{"host": host, "rules": rules}],
        "clusters": [
            {"name": name, "health-path": "/health", "max-conns": 330}
            for name in services
        ],
    }
