"""Randomized faults on real processes, with promises checked while they run."""
