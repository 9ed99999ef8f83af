"""Logging: one line of key=value pairs for each event."""

import sys
from typing import Any
from typing import cast

import structlog


def configure(stream: Any = None) -> None:
    """Configures structlog for the whole process.

    Args:
        stream: Where lines are written; the standard error stream by default.
    """
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True, key="time"),
            structlog.processors.format_exc_info,
            structlog.processors.KeyValueRenderer(
                key_order=["time", "level", "event"], drop_missing=True
            ),
        ],
        logger_factory=structlog.PrintLoggerFactory(file=stream or sys.stderr),
        cache_logger_on_first_use=True,
    )


def new_logger(**context: object) -> structlog.stdlib.BoundLogger:
    """Returns a logger that adds the given pairs to each line."""
    return cast(structlog.stdlib.BoundLogger, structlog.get_logger(**context))
