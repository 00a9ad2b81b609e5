"""Rate limits that targets name in their responses."""
