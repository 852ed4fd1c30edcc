"""The daemon of one entry host."""
