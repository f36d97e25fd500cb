"""Stand-ins of the platform, of searchers and of consumers for the second review's scripts."""
