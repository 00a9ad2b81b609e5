"""Failure domains that operators have evacuated: their targets get no requests."""
