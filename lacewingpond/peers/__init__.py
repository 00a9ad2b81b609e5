"""Message channel between the daemons of the fleet."""
