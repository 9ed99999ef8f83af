"""Estimates how much a task of one class slows down a task of another.

An estimate is kept for each ordered pair of classes. Usage reports arrive
late, so each worker has a short history of what it ran: a report is attributed
to the tasks that shared the worker when the measurement was taken.

Inflation is the relative increase of a task's latency, or of its time per unit
of work, over its baseline: 0 for none, 1 for twice the baseline.
"""

import collections
import dataclasses

# How far back the tasks that ran on a worker are known.
HISTORY_S = 120.0
# Estimate for a pair of classes that has not been observed yet.
PRIOR_INFLATION = 0.05
# Observations that the prior estimate counts as.
PRIOR_WEIGHT = 2.0
# The learning rate falls with the square root of the estimate's weight, to no
# less than 1 / MAX_WEIGHT.
LEARNING_RATE = 0.3
MAX_WEIGHT = 50.0
# Relative rise of a baseline while its class is measured beside other tasks.
BASELINE_RISE_PER_S = 0.0002
# Weight of a new measurement of a task that ran alone on its worker.
BASELINE_SMOOTHING_FACTOR = 0.2
# Added to a conservative estimate, divided by the estimate's weight.
UNCERTAINTY_MARGIN = 0.15
# Avoids division by zero.
MIN_BASELINE = 1e-9


@dataclasses.dataclass
class _Baseline:
    """Latency, or time per unit of work, of a class without interference."""

    value: float
    updated_at: float


@dataclasses.dataclass
class _Estimate:
    """Inflation of one class by another.

    Attributes:
        weight: Number of observations, those of the prior included, up to
            `MAX_WEIGHT`.
    """

    inflation: float = PRIOR_INFLATION
    weight: float = PRIOR_WEIGHT


@dataclasses.dataclass(frozen=True)
class Colocation:
    """Number of tasks of each class on a worker from a time on."""

    since: float
    count_by_class: dict[str, int]


class ColocationHistory:
    """Task classes that ran on one worker in the last `HISTORY_S` seconds."""

    def __init__(self) -> None:
        self._changes: collections.deque[Colocation] = collections.deque()

    def record(self, now: float, count_by_class: dict[str, int]) -> None:
        """Records what runs from now on, if it differs from before."""
        if self._changes and self._changes[-1].count_by_class == count_by_class:
            return
        self._changes.append(Colocation(now, count_by_class))
        while (
            len(self._changes) > 1 and self._changes[1].since < now - HISTORY_S
        ):
            self._changes.popleft()

    def at(self, time: float) -> dict[str, int] | None:
        """Returns what ran at a time, or None if it is not known."""
        for change in reversed(self._changes):
            if change.since <= time:
                return change.count_by_class
        return None


class Estimator:
    """Pairwise inflation estimates with their uncertainty."""

    def __init__(self) -> None:
        self._by_pair: dict[tuple[str, str], _Estimate] = {}
        self._baseline_by_class: dict[str, _Baseline] = {}

    def observe(
        self,
        now: float,
        affected_class: str,
        measured: float,
        count_by_class: dict[str, int],
        is_unthrottled: bool = True,
    ) -> float:
        """Updates the estimates from one measurement.

        Args:
            now: Time at which the measurement was received, in seconds.
            affected_class: Class of the measured task.
            measured: The task's latency, or its time per unit of work.
            count_by_class: Number of other tasks of each class on the worker at
                the time of the measurement.
            is_unthrottled: Whether the other tasks ran at full speed. If not,
                only the baseline is updated.

        Returns:
            The inflation observed: 0 for none, 1 for twice the baseline.
        """
        is_alone = not any(count_by_class.values())
        baseline = self._update_baseline(
            now, affected_class, measured, is_alone
        )
        inflation = max(0.0, measured / baseline - 1.0)
        if is_alone or not is_unthrottled:
            return inflation
        predicted = sum(
            self.expected(affected_class, other_class) * count
            for other_class, count in count_by_class.items()
        )
        squared_norm = sum(count * count for count in count_by_class.values())
        error = inflation - predicted
        for other_class, count in count_by_class.items():
            if count == 0:
                continue
            estimate = self._by_pair.setdefault(
                (affected_class, other_class), _Estimate()
            )
            rate = max(LEARNING_RATE / estimate.weight**0.5, 1.0 / MAX_WEIGHT)
            # One step of the normalized least mean squares (NLMS) algorithm.
            change = rate * error * count / squared_norm
            estimate.inflation = max(0.0, estimate.inflation + change)
            estimate.weight = min(MAX_WEIGHT, estimate.weight + 1.0)
        return inflation

    def expected(self, affected_class: str, other_class: str) -> float:
        """Returns the expected inflation that one task adds to another."""
        estimate = self._by_pair.get((affected_class, other_class))
        return estimate.inflation if estimate else PRIOR_INFLATION

    def conservative(self, affected_class: str, other_class: str) -> float:
        """Returns the expected inflation plus a margin for its uncertainty.

        The margin shrinks as observations of the pair accumulate.
        """
        estimate = self._by_pair.get((affected_class, other_class))
        weight = estimate.weight if estimate else PRIOR_WEIGHT
        return (
            self.expected(affected_class, other_class)
            + UNCERTAINTY_MARGIN / weight
        )

    def _update_baseline(
        self, now: float, affected_class: str, measured: float, is_alone: bool
    ) -> float:
        """Updates and returns the value of a class without interference."""
        known = self._baseline_by_class.get(affected_class)
        if known is None:
            known = _Baseline(max(measured, MIN_BASELINE), now)
            self._baseline_by_class[affected_class] = known
        elif is_alone:
            known.value += BASELINE_SMOOTHING_FACTOR * (measured - known.value)
        else:
            # The lowest value seen, which may rise slowly to follow changes
            # of load.
            rise = BASELINE_RISE_PER_S * max(0.0, now - known.updated_at)
            known.value = min(measured, known.value * (1.0 + rise))
        known.value = max(known.value, MIN_BASELINE)
        known.updated_at = now
        return known.value
