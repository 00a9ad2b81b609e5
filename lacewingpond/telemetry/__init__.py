"""Decision logs and metrics."""
