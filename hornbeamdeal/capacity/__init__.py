"""Capacity model: measured slopes carried to the target size."""
