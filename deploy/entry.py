"""Starts the entry daemon on the users' platform.

With ``python -m``, Python would import the sources in the working directory and compile
them at each start. Run as a script, it imports the package that the build compiled.
"""

from lacewingpond.entry.__main__ import main

raise SystemExit(main())
