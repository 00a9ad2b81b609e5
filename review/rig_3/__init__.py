"""Stand-ins of the third review: store, instances, clients, and daemon processes."""
