"""Metrics and logs."""

import lazy_loader

__getattr__, __dir__, __all__ = lazy_loader.attach(
    __name__,
    submod_attrs={
        "_journal": ["BufferedJournal"],
        "_limiter": ["LogLimiter"],
        "_logs": ["KeyValueFormatter", "configure_logs"],
        "_metrics": ["Metrics"],
        "_pairs": ["format_pairs"],
    },
)
