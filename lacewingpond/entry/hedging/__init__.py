"""Second attempts for slow idempotent requests, within a limit on extra work."""
