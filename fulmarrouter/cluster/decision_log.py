"""Lines that explain decisions afterwards, bounded in volume.

The pure core collects notes; the node writes them to the log as far as its
budget allows and says how many were left out.
"""

import dataclasses

import structlog

# Lines written per second on average, and in a burst. One line costs about a
# tenth of a millisecond on the smallest VM.
MAX_LINES_PER_S = 40.0
MAX_BURST_LINES = 120.0
DROPPED_REPORT_INTERVAL_S = 5.0


@dataclasses.dataclass(frozen=True)
class Decision:
    """One decision: what was decided, about what, and why."""

    event: str
    fields: dict[str, object]


class DecisionBuffer:
    """Notes that were collected and not yet taken."""

    def __init__(self) -> None:
        self._decisions: list[Decision] = []

    def add(self, event: str, **fields: object) -> None:
        """Notes a decision."""
        self._decisions.append(Decision(event, fields))

    def take(self) -> list[Decision]:
        """Returns the notes collected since the last call."""
        decisions = self._decisions
        self._decisions = []
        return decisions


class RateLimitedLog:
    """Writes notes within a budget of lines."""

    def __init__(self, log: structlog.stdlib.BoundLogger) -> None:
        self._log = log
        self._tokens = MAX_BURST_LINES
        self._refilled_at = 0.0
        self._dropped = 0
        self._dropped_reported_at = 0.0

    def write(self, now: float, decisions: list[Decision]) -> None:
        """Writes what the budget allows and counts the rest."""
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
