"""Measurements of the project's own components."""
