"""Operators' command line; it only reads from hosts."""
