"""Bounds on how much retries add to the load."""
