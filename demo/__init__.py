"""Runs both example deployments on stand-ins and prints a summary."""
