"""Request handling from routing to the response of a target."""
