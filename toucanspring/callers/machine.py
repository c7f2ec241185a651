"""Memory and descriptors that this process may use on its VM."""

from __future__ import annotations

import os
import resource


def read_memory_bytes() -> int:
    """Return the memory of the VM."""
    return os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE")


def read_max_fds() -> int:
    """Return how many descriptors the process may open; 0 without a limit."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return 0 if soft == resource.RLIM_INFINITY else soft
