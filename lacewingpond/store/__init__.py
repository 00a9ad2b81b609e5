"""Access to what the platform provides: its key-value store and its VM list."""
