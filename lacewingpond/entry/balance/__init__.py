"""Division of the requests of a service between failure domains."""
