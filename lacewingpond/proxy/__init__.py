"""The way of one request through the daemon, from its head to its answer."""
