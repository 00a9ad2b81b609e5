"""Chooses the target for each request."""
