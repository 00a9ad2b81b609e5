"""Idempotency keys: a caller's repeat is the same request and runs at most once."""
