"""Tells the story of one request from the lines of daemons' logs."""
