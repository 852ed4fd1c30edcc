"""Logs: one line of key=value pairs for each event."""

import logging
import sys
from typing import Any

from pythonjsonlogger.core import BaseJsonFormatter

from ._pairs import format_pairs

LOGGER_NAME = "hornbeamdeal"


class KeyValueFormatter(BaseJsonFormatter):
    """Formatter of python-json-logger that renders key=value pairs."""

    def jsonify_log_record(self, log_data: dict[str, Any]) -> str:
        """Render one event as a line."""
        return format_pairs(log_data)


def configure_logs(level: str, host_id: str) -> logging.Logger:
    """Send log lines to standard error, each with the host's identifier."""
    formatter = KeyValueFormatter(
        "{asctime}{levelname}{message}",
        style="{",
        rename_fields={"asctime": "time", "levelname": "level", "message": "event"},
        static_fields={"host": host_id},
    )
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(formatter)
    logger = logging.getLogger(LOGGER_NAME)
    logger.handlers = [handler]
    logger.setLevel(level)
    logger.propagate = False
    return logger
