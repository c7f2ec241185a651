"""Random faults in real processes, with invariants checked while they run."""
