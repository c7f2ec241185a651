"""Plugins that subscribe to events of the kernel.

A plugin is a module of this package with a function `attach(kernel)`, which
subscribes to events such as `effects.JobFinished`, `claims.PartitionAcquired`,
`documents.ConfigurationChanged` or `documents.AvailabilityZonesChanged`. The setting
`plugins` names the ones that a daemon loads.
"""

from __future__ import annotations

import importlib
import importlib.util
import pkgutil

from toucanspring import errors, kernel


def names() -> list[str]:
    """Return the names of all plugins."""
    return sorted(found.name for found in pkgutil.iter_modules(__path__))


def load(wanted: str, core: kernel.Kernel) -> None | errors.Invalid:
    """Attach the plugins in a comma-separated list of names."""
    for name in filter(None, (part.strip() for part in wanted.split(","))):
        if name not in names():
            return errors.Invalid(
                reason=f"unknown plugin {name}",
                path="plugins",
                value=name,
                expected="one of " + ", ".join(names()),
            )
        importlib.import_module(f"{__name__}.{name}").attach(core)
    return None
