"""Chooses the target that runs a request."""
