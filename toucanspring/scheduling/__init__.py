"""Decisions of one partition's scheduler and what they look at; no I/O."""
