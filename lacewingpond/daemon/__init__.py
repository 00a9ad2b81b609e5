"""The entry daemon, put together from the parts of the package."""
