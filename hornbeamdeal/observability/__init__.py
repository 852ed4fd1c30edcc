"""Metrics and logs."""

from hornbeamdeal._lazy import attach

__getattr__, __dir__, __all__ = attach(
    __name__,
    {
        "_journal": ["BufferedJournal"],
        "_limiter": ["LogLimiter"],
        "_key_values": ["format_key_values"],
        "_logs": ["KeyValueFormatter", "configure_logging"],
        "_metrics": ["Metrics"],
    },
)
