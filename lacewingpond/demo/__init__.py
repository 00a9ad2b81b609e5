"""A small fleet in one process, with faults and the outcomes that must hold."""
