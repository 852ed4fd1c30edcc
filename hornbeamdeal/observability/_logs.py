"""Logging setup: one line of key=value pairs for each event."""

import logging
import sys
from typing import Any

from pythonjsonlogger.core import BaseJsonFormatter

from ._key_values import format_key_values

LOGGER_NAME = "hornbeamdeal"


class KeyValueFormatter(BaseJsonFormatter):
    """Formatter for python-json-logger that writes key=value pairs instead of JSON."""

    def jsonify_log_record(self, log_data: dict[str, Any]) -> str:
        """Format the fields of one record as a line."""
        return format_key_values(log_data)


def configure_logging(level: str, host_id: str) -> logging.Logger:
    """Log to standard error, with the host's identifier in each line."""
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
