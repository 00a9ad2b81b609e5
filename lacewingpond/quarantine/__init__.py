"""Fleet-wide quarantine of requests that crash targets."""
