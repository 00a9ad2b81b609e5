"""Settings of one daemon, read from TOML."""
