"""Steps taken on a worker whose services suffer from batch beside them.

The steps are: stop adding, throttle, evict. Each needs the inflation to stay
above the limit for some time, going back needs it to stay below a lower
limit, and evictions are bounded by a budget for the whole deployment.
"""

import dataclasses
import enum

# Inflation above which a worker takes the step after the one it is on.
LIMIT_BY_STEP = {0: 0.2, 1: 0.35, 2: 0.5, 3: 0.5}
LOW_INFLATION = 0.12
SMOOTHING = 0.4
ESCALATE_S = 4.0
RELAX_S = 10.0
THROTTLE_PERCENT = 40
EVICTIONS_PER_S = 0.2
EVICTION_BURST = 3.0


class Step(enum.IntEnum):
    """Escalation on one worker."""

    OPEN = 0
    CLOSED = 1
    THROTTLED = 2
    EVICTING = 3


@dataclasses.dataclass
class _Worker:
    step: Step = Step.OPEN
    smoothed: float = 0.0
    above_since: float | None = None
    below_since: float | None = None


class EvictionBudget:
    """Tokens for evictions, refilled at a steady rate."""

    def __init__(self) -> None:
        self._tokens = EVICTION_BURST
        self._at = float("-inf")

    def take(self, now: float) -> bool:
        """Takes one token; False where the budget is spent."""
        if self._at > float("-inf"):
            refill = (now - self._at) * EVICTIONS_PER_S
            self._tokens = min(EVICTION_BURST, self._tokens + refill)
        self._at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class Pressure:
    """Escalation steps of all workers."""

    def __init__(self) -> None:
        self.budget = EvictionBudget()
        self._by_worker: dict[str, _Worker] = {}

    def observe(self, now: float, worker: str, inflation: float) -> Step:
        """Takes one observed inflation in and returns the worker's step."""
        entry = self._by_worker.setdefault(worker, _Worker())
        entry.smoothed += SMOOTHING * (inflation - entry.smoothed)
        if entry.smoothed > LIMIT_BY_STEP[entry.step]:
            entry.below_since = None
            if entry.above_since is None:
                entry.above_since = now
            if entry.step is Step.OPEN:
                entry.step = Step.CLOSED
            elif now - entry.above_since >= ESCALATE_S:
                entry.step = Step(min(entry.step + 1, Step.EVICTING))
                entry.above_since = now
        elif entry.smoothed < LOW_INFLATION:
            entry.above_since = None
            if entry.below_since is None:
                entry.below_since = now
            elif now - entry.below_since >= RELAX_S and entry.step > Step.OPEN:
                entry.step = Step(entry.step - 1)
                entry.below_since = now
        else:
            entry.above_since = None
            entry.below_since = None
        return entry.step

    def step_of(self, worker: str) -> Step:
        """Returns a worker's step."""
        entry = self._by_worker.get(worker)
        return entry.step if entry else Step.OPEN

    def after_eviction(self, now: float, worker: str) -> None:
        """Waits for the effect of an eviction before the next one."""
        entry = self._by_worker.setdefault(worker, _Worker())
        entry.step = Step.THROTTLED
        entry.above_since = now

    def forget(self, worker: str) -> None:
        """Forgets a worker that has gone."""
        self._by_worker.pop(worker, None)
