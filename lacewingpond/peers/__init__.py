"""Streams between the daemons of the fleet."""
