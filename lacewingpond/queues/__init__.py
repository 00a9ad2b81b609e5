"""Bounded queues in front of each service, with fair shares for workspaces."""
