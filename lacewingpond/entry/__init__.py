"""Entry daemon for a platform that keeps all shared state in its store."""
