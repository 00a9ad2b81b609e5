"""HTTP client for targets: bounded connections, and errors that tell what was sent."""
