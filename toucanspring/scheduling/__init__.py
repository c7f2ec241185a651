"""Scheduler of one partition: placement, fairness and task lifecycle, without I/O."""
