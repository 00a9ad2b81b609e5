"""Benchmarks that measure how the costs of each part grow with the load."""
