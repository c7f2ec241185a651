"""Scheduler for jobs of dependent steps, run by one elected leader process."""
