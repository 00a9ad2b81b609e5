"""The daemon of ``lacewingpond serve``, composed of components of other packages."""
