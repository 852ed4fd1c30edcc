"""Steering of entry hosts."""
