"""Tests; run them with `python -m test [module ...]`."""

import testtools

_patch = testtools.TestCase.patch


def patch_existing(case, target, name, value):
    """Patch an attribute that exists.

    `testtools` also sets one that does not, so a test whose constant has moved to
    another module would go on without its patch.
    """
    if not hasattr(target, name):
        raise AttributeError(f"{target!r} has no attribute {name!r} to patch")
    _patch(case, target, name, value)


testtools.TestCase.patch = patch_existing
