"""Judges targets by the real work that all VMs send to them."""
