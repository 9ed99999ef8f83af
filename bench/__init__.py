"""Benchmarks; each prints its figures, none gives a verdict."""
