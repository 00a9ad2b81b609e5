"""The API through which operators plan, confirm and look."""
