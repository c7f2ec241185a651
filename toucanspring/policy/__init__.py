"""Decisions that both schedulers share; no I/O and no clock."""
