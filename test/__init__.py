"""Tests; run them with `python -m test [module ...]`."""
