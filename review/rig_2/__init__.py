"""Stand-ins of the platform, the instances and the clients for the review's scripts."""
