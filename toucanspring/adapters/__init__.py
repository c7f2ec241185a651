"""Typed interfaces to the platform, with one implementation each."""
