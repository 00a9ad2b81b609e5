"""Fleet-wide request quotas of workspaces."""
