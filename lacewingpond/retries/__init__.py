"""Which requests may be sent again, and how many."""
