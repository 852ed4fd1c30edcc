"""Measurements of the decision components; run each module with `python -m`."""
