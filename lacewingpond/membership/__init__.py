"""Which VMs belong to the fleet and answer now."""
