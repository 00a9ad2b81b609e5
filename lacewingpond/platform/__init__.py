"""Names, formats and store calls of the users' platform; no decisions."""
