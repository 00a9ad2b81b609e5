"""Idempotency keys: requests with the same key run at most once over all VMs."""
