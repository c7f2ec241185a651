"""Benchmarks; each ends with one JSON line."""
