"""Check of an operators' configuration before it is put in force."""
