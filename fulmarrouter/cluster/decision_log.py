"""Log lines that explain decisions, limited in rate.

The core, which does no I/O, collects decisions. The node writes them to the log
within a rate limit and logs how many were dropped.
"""

from collections.abc import Sequence
import dataclasses

import structlog

# Limits on the lines written, as an average per second and in a burst. One line
# takes about 0.1 ms on the smallest VM.
MAX_LINES_PER_S = 40.0
MAX_BURST_LINES = 120.0
# Minimum time between two log lines that report dropped ones.
DROPPED_REPORT_INTERVAL_S = 5.0


@dataclasses.dataclass(frozen=True)
class Decision:
    """One decision.

    Attributes:
        event: What was decided; also the event label of the decisions metric.
        fields: What it concerns and why it was made.
    """

    event: str
    fields: dict[str, object]


class DecisionBuffer:
    """Decisions that have been collected and not yet taken."""

    def __init__(self) -> None:
        self._decisions: list[Decision] = []

    def add(self, event: str, **fields: object) -> None:
        """Adds a decision."""
        self._decisions.append(Decision(event, fields))

    @property
    def pending(self) -> Sequence[Decision]:
        """The decisions that have not been taken yet."""
        return self._decisions

    def take(self) -> list[Decision]:
        """Returns the decisions collected since the last call."""
        decisions = self._decisions
        self._decisions = []
        return decisions


def list_fields(texts: Sequence[str], limit: int) -> dict[str, object]:
    """Returns the fields of a line that lists tasks, and how many it leaves out.

    Args:
        texts: One text for each task.
        limit: Most tasks that are listed.
    """
    return {
        "tasks": " ".join(texts[:limit]),
        "not_listed": max(0, len(texts) - limit),
    }


class RateLimitedLog:
    """Writes decisions to a log within the rate limit (a token bucket)."""

    def __init__(self, log: structlog.stdlib.BoundLogger) -> None:
        self._log = log
        self._tokens = MAX_BURST_LINES
        self._refilled_at = 0.0
        self._dropped = 0
        self._dropped_reported_at = 0.0

    def write(self, now: float, decisions: list[Decision]) -> None:
        """Writes as many decisions as the limit allows and counts the rest."""
        elapsed_s = now - self._refilled_at
        self._tokens = min(
            MAX_BURST_LINES, self._tokens + elapsed_s * MAX_LINES_PER_S
        )
        self._refilled_at = now
        for decision in decisions:
            if self._tokens < 1:
                self._dropped += 1
                continue
            self._tokens -= 1
            self._log.info(decision.event, **decision.fields)
        is_due = now - self._dropped_reported_at >= DROPPED_REPORT_INTERVAL_S
        if self._dropped and is_due:
            self._log.warning("log lines left out", count=self._dropped)
            self._dropped = 0
            self._dropped_reported_at = now
