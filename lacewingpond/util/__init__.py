"""Helpers that all packages share."""
