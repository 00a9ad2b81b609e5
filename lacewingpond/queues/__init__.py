"""Bounded queues in front of each service, fair by workspace."""
