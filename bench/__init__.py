"""Benchmarks; each prints its result as a last line of JSON."""
