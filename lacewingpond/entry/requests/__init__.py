"""Request handling from routing to the answer of a target."""
