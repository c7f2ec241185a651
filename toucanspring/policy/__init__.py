"""Scheduling decisions that both schedulers share."""
