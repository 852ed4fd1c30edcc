"""Benchmarks of the decision code; run by `make bench`."""
