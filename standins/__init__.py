"""Stand-ins for the platform, one process each, for tests and the demonstration."""
