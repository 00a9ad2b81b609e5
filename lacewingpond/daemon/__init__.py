"""The standalone daemon, composed of the components of the other packages.

`lacewingpond.entry` has the entry daemon on the users' platform.
"""
