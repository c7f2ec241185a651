"""Scheduler of one partition: placement and task lifecycle, without I/O."""
