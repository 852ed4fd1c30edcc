"""Adapter to the platform; the only package that uses its names and formats."""
