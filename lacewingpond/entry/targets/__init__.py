"""Which target gets a request, by what the whole fleet has seen of it."""
