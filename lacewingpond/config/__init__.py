"""The operators' configuration: model, plans, storage and distribution to all VMs."""
