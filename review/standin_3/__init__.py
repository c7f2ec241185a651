"""Stand-ins for the platform around a small deployment: store, executors, clients."""
