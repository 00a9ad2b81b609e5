"""Membership of the fleet: which VMs belong to it and which are live."""
