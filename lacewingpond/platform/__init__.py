"""What the users' platform calls things: names, formats and calls, no decisions."""
