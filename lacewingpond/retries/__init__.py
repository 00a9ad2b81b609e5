"""Rules and budgets for retries of requests to targets."""
