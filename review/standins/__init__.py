"""Stand-ins of the platform, its store, servers and clients for the review's cases."""
