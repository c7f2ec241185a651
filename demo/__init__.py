"""Runs both deployments of the examples on stand-ins and prints an account."""
