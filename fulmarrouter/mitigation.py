"""Steps taken on a worker whose services suffer from batch beside them.

The steps are: stop adding, throttle, evict. Each needs the inflation to stay
above the limit for some time, going back needs it to stay below a lower
limit, and evictions are bounded by a budget for the whole deployment.
"""

import dataclasses
import enum

# Inflation above which a worker takes the step after the one it is on.
ESCALATION_LIMIT_BY_LEVEL = {0: 0.2, 1: 0.35, 2: 0.5, 3: 0.5}
RELAX_LIMIT = 0.12
SMOOTHING_FACTOR = 0.4
ESCALATION_DELAY_S = 4.0
RELAX_DELAY_S = 10.0
THROTTLE_PERCENT = 40
EVICTIONS_PER_S = 0.2
EVICTION_BURST = 3.0


class Level(enum.IntEnum):
    """Escalation on one worker."""

    OPEN = 0
    CLOSED = 1
    THROTTLED = 2
    EVICTING = 3


@dataclasses.dataclass
class _WorkerStatus:
    level: Level = Level.OPEN
    smoothed_inflation: float = 0.0
    above_since: float | None = None
    below_since: float | None = None


class EvictionBudget:
    """Tokens for evictions, refilled at a steady rate."""

    def __init__(self) -> None:
        self._tokens = EVICTION_BURST
        self._refilled_at = float("-inf")

    def take(self, now: float) -> bool:
        """Takes one token; False where the budget is spent."""
        if self._refilled_at > float("-inf"):
            refill = (now - self._refilled_at) * EVICTIONS_PER_S
            self._tokens = min(EVICTION_BURST, self._tokens + refill)
        self._refilled_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class Mitigator:
    """Escalation steps of all workers."""

    def __init__(self) -> None:
        self.eviction_budget = EvictionBudget()
        self._status_by_worker: dict[str, _WorkerStatus] = {}

    def observe(self, now: float, worker: str, inflation: float) -> Level:
        """Takes one observed inflation in and returns the worker's step."""
        status = self._status_by_worker.setdefault(worker, _WorkerStatus())
        status.smoothed_inflation += SMOOTHING_FACTOR * (
            inflation - status.smoothed_inflation
        )
        if status.smoothed_inflation > ESCALATION_LIMIT_BY_LEVEL[status.level]:
            status.below_since = None
            if status.above_since is None:
                status.above_since = now
            if status.level is Level.OPEN:
                status.level = Level.CLOSED
            elif now - status.above_since >= ESCALATION_DELAY_S:
                status.level = Level(min(status.level + 1, Level.EVICTING))
                status.above_since = now
        elif status.smoothed_inflation < RELAX_LIMIT:
            status.above_since = None
            if status.below_since is None:
                status.below_since = now
            elif (
                now - status.below_since >= RELAX_DELAY_S
                and status.level > Level.OPEN
            ):
                status.level = Level(status.level - 1)
                status.below_since = now
        else:
            status.above_since = None
            status.below_since = None
        return status.level

    def level_of(self, worker: str) -> Level:
        """Returns a worker's step."""
        status = self._status_by_worker.get(worker)
        return status.level if status else Level.OPEN

    def on_eviction(self, now: float, worker: str) -> None:
        """Waits for the effect of an eviction before the next one."""
        status = self._status_by_worker.setdefault(worker, _WorkerStatus())
        status.level = Level.THROTTLED
        status.above_since = now

    def forget_worker(self, worker: str) -> None:
        """Forgets a worker that has gone."""
        self._status_by_worker.pop(worker, None)
