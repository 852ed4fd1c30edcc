"""Metrics and logs."""

from ._limiter import LogLimiter
from ._logs import KeyValueFormatter, configure_logs
from ._metrics import Metrics

__all__ = ["KeyValueFormatter", "LogLimiter", "Metrics", "configure_logs"]
