"""Logs of decisions and metrics."""
