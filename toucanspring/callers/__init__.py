"""What callers and operators reach over HTTP, and requests to services."""
