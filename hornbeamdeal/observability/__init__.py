"""Metrics and logs."""

from ._logs import KeyValueFormatter, configure_logs
from ._metrics import Metrics

__all__ = ["KeyValueFormatter", "Metrics", "configure_logs"]
