"""The way of a request through the entry daemon."""
