"""Fleet-wide rate limits: token buckets whose tokens are granted to entry VMs."""
