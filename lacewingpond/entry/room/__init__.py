"""What is known of the capacity of targets beyond their slots and loads."""
