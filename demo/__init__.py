"""Demonstrations on loopback."""
