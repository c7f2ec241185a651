"""Decisions shared by the schedulers; no I/O, no clock, no randomness."""
