"""Operators' text, keys and zones: read, checked, changed, kept fresh."""
