"""Shards: the unit of ownership, recorded in the platform's store."""
