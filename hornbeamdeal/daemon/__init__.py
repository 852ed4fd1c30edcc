"""Daemon of one entry host."""
