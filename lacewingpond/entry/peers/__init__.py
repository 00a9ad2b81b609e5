"""Datagrams and TCP streams between the daemons of a fleet."""
