"""Protects services from interference by batch tasks on the same worker.

Each worker has a mitigation level. Rising levels close the worker to new batch
tasks, throttle those it runs, and evict them one by one. The worker is closed
as soon as the smoothed inflation of its services exceeds a limit, and moves up
to each higher level only if the inflation stays above the limit of its current
level for some time. It moves down by one level when the inflation has stayed
below a lower limit for some time. Evictions are bounded by a budget for the
whole deployment.
"""

import dataclasses
import enum

# Inflation above which a worker at a level moves up to the next one.
ESCALATION_LIMIT_BY_LEVEL = {0: 0.2, 1: 0.35, 2: 0.5, 3: 0.5}
# Inflation below which a worker moves down by one level.
RELAX_LIMIT = 0.12
# Weight of the newest inflation in the exponential moving average.
SMOOTHING_FACTOR = 0.4
# How long the inflation must stay above the limit of a level other than OPEN,
# or below RELAX_LIMIT, before the level changes.
ESCALATION_DELAY_S = 4.0
RELAX_DELAY_S = 10.0
# Percentage of its declared cores that a throttled task may use.
THROTTLE_PERCENT = 40
EVICTIONS_PER_S = 0.2
EVICTION_BURST = 3.0


class Level(enum.IntEnum):
    """Measures taken on one worker; each level includes those below it."""

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
    """Token bucket that limits the rate of evictions."""

    def __init__(self) -> None:
        self._tokens = EVICTION_BURST
        self._refilled_at = float("-inf")

    def take(self, now: float) -> bool:
        """Takes one token; returns False if none is left."""
        if self._refilled_at > float("-inf"):
            refill = (now - self._refilled_at) * EVICTIONS_PER_S
            self._tokens = min(EVICTION_BURST, self._tokens + refill)
        self._refilled_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class Mitigator:
    """Mitigation levels of all workers."""

    def __init__(self) -> None:
        self.eviction_budget = EvictionBudget()
        self._status_by_worker: dict[str, _WorkerStatus] = {}

    def observe(self, now: float, worker: str, inflation: float) -> Level:
        """Adds one observed inflation and returns the worker's new level."""
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
        """Returns a worker's level."""
        status = self._status_by_worker.get(worker)
        return status.level if status else Level.OPEN

    def on_eviction(self, now: float, worker: str) -> None:
        """Lowers the level to THROTTLED so that the eviction can take effect.

        The next eviction happens only if the inflation stays above the limit
        for the full delay again.
        """
        status = self._status_by_worker.setdefault(worker, _WorkerStatus())
        status.level = Level.THROTTLED
        status.above_since = now

    def forget_worker(self, worker: str) -> None:
        """Drops the state of a worker that is being removed."""
        self._status_by_worker.pop(worker, None)
