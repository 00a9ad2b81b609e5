"""The operators' configuration: its model, plans and spread to all VMs."""
