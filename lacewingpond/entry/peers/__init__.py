"""Datagrams and streams between the daemons of a fleet."""
