"""A proxy fleet for back ends with gray failures."""

__version__ = "0.1.0"
