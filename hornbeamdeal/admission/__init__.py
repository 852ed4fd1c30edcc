"""Admission of entry hosts."""
