"""Finds the route and the key of a request, and the headers that may pass."""
