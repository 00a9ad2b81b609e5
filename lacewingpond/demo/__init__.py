"""A demo of a small fleet in one process, with faults and required outcomes."""
