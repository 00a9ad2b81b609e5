"""Target selection, based on outcomes and loads that the whole fleet reports."""
