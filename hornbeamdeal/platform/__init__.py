"""Adapter to the users' platform: its names, formats and settings end here."""
