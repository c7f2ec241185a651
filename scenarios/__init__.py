"""Scripted fault scenarios that run real processes, in a small language."""
