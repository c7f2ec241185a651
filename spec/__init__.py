"""Model of ownership, worker leases and at-most-once starts."""
