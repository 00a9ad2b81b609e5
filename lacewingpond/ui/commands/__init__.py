"""The commands, one module for each command or group of commands."""
