"""The entry daemon on a platform that keeps all state in its store."""
