"""Request path of the daemon: admission, routing, delivery to targets, responses."""
