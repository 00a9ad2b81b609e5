"""Starts the entry daemon on the users' platform.

A file of its own, so that Python finds the package that the build compiled and not
the sources in the working directory, which it would compile at each start.
"""

from lacewingpond.entry.__main__ import main

raise SystemExit(main())
