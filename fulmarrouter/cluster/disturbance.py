"""Learns how much filling tasks disturb the serving tasks beside them.

Load it answers: dozens of images whose effect on one another is unknown, seen
only as tail latencies of the last half second, while the load of the serving
tasks swings by itself.

A serving task's headroom is its target divided by its tail: 1 at the target,
more below it. For a queue, headroom falls in proportion to the load, and what
several neighbours take from it adds up. The effect of an image on another is
the headroom lost for each share of the worker's processors that it uses.
Tasks of one job have the same load at the same time, so those that nobody
disturbs show what the others would have alone.
"""

from collections.abc import Iterable
import dataclasses
import statistics

from fulmarrouter.cluster import log_commands
from fulmarrouter.cluster import model

# Effect assumed of an unknown pair: that of a mild one.
PRIOR_EFFECT = 1.5
# Share of an error that is learned at once, falling with each observation.
FIRST_RATE = 0.6
LOWEST_RATE = 0.08
MAX_EFFECT = 40.0
# Readings are averages over half a second; older ones say nothing of now.
READING_TTL_S = 0.9
# How long what a job's readings come to is used before it is worked out anew.
SUMMARY_TTL_S = 0.1
# Headroom above this is not told apart: the tail is near its floor.
MAX_HEADROOM = 20.0
# Processor share below which a neighbour teaches nothing.
MIN_SHARE = 0.005
# Change of an effect that is worth keeping for later leaders, as a part of it
# and at least.
KEEP_CHANGE_SHARE = 0.15
KEEP_CHANGE_LEAST = 0.3
# A new leader trusts what an earlier one learned as if it rested on at most
# this many readings, since effects change.
MAX_INHERITED_OBSERVATIONS = 20

Shares = dict[str, float]


@dataclasses.dataclass
class _Effect:
    value: float = PRIOR_EFFECT
    observations: int = 0
    kept: float = PRIOR_EFFECT


@dataclasses.dataclass(frozen=True)
class _Reading:
    """Headroom of one serving task, and what it would have alone."""

    at: float
    alone: float
    is_undisturbed: bool


def headroom_of(tail_ms: float, target_ms: float) -> float:
    """Returns the headroom of a serving task."""
    return min(MAX_HEADROOM, target_ms / max(tail_ms, 0.5))


class DisturbanceModel:
    """Effects by pair of images, and each serving job's headroom now."""

    def __init__(
        self, inherited: Iterable[log_commands.InterferenceEstimate] = ()
    ) -> None:
        self._effect_by_pair: dict[tuple[str, str], _Effect] = {}
        self.inherit(inherited)
        self._summary_by_job: dict[model.JobId, tuple[float, float | None]] = {}
        self._readings_by_job: dict[
            model.JobId, dict[model.TaskId, _Reading]
        ] = {}

    def inherit(
        self, inherited: Iterable[log_commands.InterferenceEstimate]
    ) -> None:
        """Takes over what has been learned elsewhere."""
        for item in inherited:
            trusted = min(item.observations, MAX_INHERITED_OBSERVATIONS)
            self._effect_by_pair[item.filling, item.serving] = _Effect(
                item.headroom_loss, trusted, item.headroom_loss
            )

    def effect(self, filling: str, serving: str) -> float:
        """Returns the headroom lost for a whole worker of the filling image."""
        known = self._effect_by_pair.get((filling, serving))
        return known.value if known else PRIOR_EFFECT

    def loss(self, serving: str, shares: Shares) -> float:
        """Returns the headroom that neighbours are expected to take."""
        return sum(
            self.effect(image, serving) * share
            for image, share in shares.items()
        )

    def note(
        self,
        now: float,
        task: model.TaskId,
        job: model.JobId,
        serving: str,
        headroom: float,
        shares: Shares,
    ) -> None:
        """Learns from one reading of a serving task.

        Args:
            now: When the reading arrived.
            task: The serving task.
            job: Its job.
            serving: Its image.
            headroom: Its headroom.
            shares: Share of the worker used beside it, by image.
        """
        disturbing = {
            image: share for image, share in shares.items() if share > MIN_SHARE
        }
        alone = self._alone(now, job, task)
        if disturbing and alone is not None:
            self._learn(serving, alone - headroom, disturbing)
        estimate = headroom + self.loss(serving, disturbing)
        readings = self._readings_by_job.setdefault(job, {})
        readings[task] = _Reading(now, estimate, not disturbing)

    def alone(self, now: float, job: model.JobId) -> float | None:
        """Returns the headroom of a job's tasks where nothing fills beside.

        None if no reading is fresh enough.
        """
        known = self._summary_by_job.get(job)
        if known is not None and now - known[0] <= SUMMARY_TTL_S:
            return known[1]
        found = self._alone(now, job, None)
        self._summary_by_job[job] = (now, found)
        return found

    def _alone(
        self, now: float, job: model.JobId, but: model.TaskId | None
    ) -> float | None:
        readings = self._readings_by_job.get(job)
        if not readings:
            return None
        oldest = now - READING_TTL_S
        fresh = [
            reading
            for task, reading in readings.items()
            if reading.at >= oldest and task != but
        ]
        undisturbed = [item.alone for item in fresh if item.is_undisturbed]
        if undisturbed:
            return statistics.median(undisturbed)
        if fresh:
            return statistics.median([item.alone for item in fresh])
        return None

    def take_changes(self) -> tuple[log_commands.InterferenceEstimate, ...]:
        """Returns the effects that have changed since they were last taken."""
        changed = []
        for (filling, serving), known in self._effect_by_pair.items():
            least = max(KEEP_CHANGE_LEAST, KEEP_CHANGE_SHARE * known.kept)
            if abs(known.value - known.kept) < least:
                continue
            known.kept = known.value
            changed.append(
                log_commands.InterferenceEstimate(
                    filling, serving, known.value, known.observations
                )
            )
        return tuple(changed)

    def forget_job(self, job: model.JobId) -> None:
        """Drops the readings of a job that has ended."""
        self._readings_by_job.pop(job, None)
        self._summary_by_job.pop(job, None)

    def jobs(self) -> list[model.JobId]:
        """Returns the jobs with readings."""
        return list(self._readings_by_job)

    def _learn(self, serving: str, lost: float, shares: Shares) -> None:
        error = lost - self.loss(serving, shares)
        power = sum(share * share for share in shares.values())
        for image, share in shares.items():
            pair = (image, serving)
            known = self._effect_by_pair.setdefault(pair, _Effect())
            rate = max(LOWEST_RATE, FIRST_RATE / (1 + known.observations / 4))
            known.observations += 1
            changed = known.value + rate * error * share / power
            known.value = min(MAX_EFFECT, max(0.0, changed))
