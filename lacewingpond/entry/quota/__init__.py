"""Rates and bursts of workspaces over the whole fleet."""
