"""Wall-clock times, for people to read; leases use the monotonic clock."""

import datetime
import time


def wall_ms() -> int:
    """Returns the wall-clock time in milliseconds since 1970."""
    return int(time.time() * 1000)


def to_iso(at_ms: int) -> str:
    """Returns a wall-clock time as ISO 8601 text in UTC."""
    moment = datetime.datetime.fromtimestamp(at_ms / 1000, tz=datetime.UTC)
    return moment.isoformat(timespec="milliseconds")


def from_iso(text: str) -> int:
    """Returns the milliseconds of an ISO 8601 time; without a zone it is UTC.

    Raises:
        ValueError: The text is not an ISO 8601 time.
    """
    moment = datetime.datetime.fromisoformat(text)
    if moment.tzinfo is None:
        moment = moment.replace(tzinfo=datetime.UTC)
    return int(moment.timestamp() * 1000)
