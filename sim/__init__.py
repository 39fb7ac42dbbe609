"""The simulator: the very same daemons under a seeded event loop with virtual time."""
