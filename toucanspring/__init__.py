"""Cluster scheduler for services, batch work and gangs of several organisations."""

__version__ = "0.1.0"
