"""Fleet-wide rates and bursts, granted in small parts to the entry VMs."""
