"""The entry daemon, composed of the components of the other packages."""
