"""Typed interfaces to the platform, one implementation each."""
