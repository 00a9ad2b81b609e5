"""Shards, the unit of ownership; their owners are recorded in the platform's store."""
