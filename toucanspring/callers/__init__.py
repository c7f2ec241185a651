"""HTTP API for callers and operators, and requests to services."""
