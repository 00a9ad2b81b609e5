"""Reconstructs the timeline of one request from the logs of the daemons."""
