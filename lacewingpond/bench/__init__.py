"""Benchmarks that measure how the costs of each component grow with the load."""
