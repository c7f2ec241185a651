"""Scripted scenarios with real processes, in a small language for operators."""
