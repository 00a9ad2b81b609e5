"""Route lookup, API keys of requests, and filtering of forwarded headers."""
