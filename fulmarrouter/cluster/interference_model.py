"""Estimates how much filling tasks slow serving tasks on the same worker.

Designed for dozens of images whose effects on one another are unknown in
advance. They can be observed only through tail latencies over the last half
second, while the load of the serving tasks varies independently.

A serving task's headroom is its target latency divided by its tail latency: 1
at the target, more when the task is faster. In a queueing system, headroom
falls in proportion to the load, so the losses caused by several filling tasks
add up. The effect of a filling image on a serving image is the headroom lost
if the filling image used all of the worker's processors; the loss is
proportional to the share that it uses.

The baseline of a serving task is the headroom that it would have without
filling tasks on its worker. Tasks of one job have the same load at the same
time, so those without filling tasks beside them show the baseline of the
others.
"""

from collections.abc import Iterable
import dataclasses
import statistics

from fulmarrouter.cluster import log_commands
from fulmarrouter.cluster import model

# Effect assumed for a pair of images without observations: a mild one.
PRIOR_EFFECT = 1.5
# Share of the prediction error by which an effect is corrected. It falls with
# each observation from the initial to the minimum rate.
INITIAL_LEARNING_RATE = 0.6
MIN_LEARNING_RATE = 0.08
MAX_EFFECT = 40.0
# Readings are averages over half a second; after this time they no longer
# describe the current load.
READING_TTL_S = 0.9
# How long a job's computed baseline is reused.
BASELINE_CACHE_TTL_S = 0.1
# Headroom is capped here: above it, the tail latency is near its lower bound
# and differences carry no information.
MAX_HEADROOM = 20.0
# Filling images that use at most this share of the processors are ignored when
# learning.
MIN_FILLING_SHARE = 0.005
# Smallest change of an effect that is persisted for later leaders: relative to
# the persisted value, and absolute. The larger of the two applies.
MIN_PERSISTED_RELATIVE_CHANGE = 0.15
MIN_PERSISTED_CHANGE = 0.3
# A new leader counts at most this many observations for an inherited effect.
# Effects change over time, so it must remain able to correct them.
MAX_INHERITED_OBSERVATIONS = 20

# Effect up to which filling tasks may use about all processors that serving
# tasks leave idle.
TOLERATED_EFFECT = 2.0
# Share of these that a filling image may use while its effect is not known.
UNKNOWN_TOLERANCE = 0.6
# Observations after which an effect counts as known.
MIN_OBSERVATIONS = 5

ShareByImage = dict[str, float]


@dataclasses.dataclass
class _Effect:
    value: float = PRIOR_EFFECT
    observations: int = 0
    persisted_value: float = PRIOR_EFFECT


@dataclasses.dataclass(frozen=True)
class _Reading:
    """Baseline headroom of one serving task as estimated from a reading.

    Attributes:
        is_interference_free: Whether no filling image used more than
            MIN_FILLING_SHARE of the worker, so that the baseline is measured
            rather than estimated.
    """

    read_at: float
    baseline: float
    is_interference_free: bool


def compute_headroom(tail_ms: float, target_ms: float) -> float:
    """Returns the headroom of a serving task: target over tail latency.

    Tail latencies below 0.5 ms are treated as 0.5 ms.
    """
    return min(MAX_HEADROOM, target_ms / max(tail_ms, 0.5))


class InterferenceModel:
    """Effects by pair of images, and the current baseline of serving jobs."""

    def __init__(
        self,
        inherited_effects: Iterable[log_commands.InterferenceEffect] = (),
    ) -> None:
        self._effect_by_pair: dict[tuple[str, str], _Effect] = {}
        self._filling_images: set[str] = set()
        # Valid until clear_compatibilities is called.
        self._compatibility_by_images: dict[tuple[str, str], float] = {}
        self.inherit(inherited_effects)
        self._cached_baseline_by_job: dict[
            model.JobId, tuple[float, float | None]
        ] = {}
        self._readings_by_job: dict[
            model.JobId, dict[model.TaskId, _Reading]
        ] = {}

    def inherit(
        self, inherited_effects: Iterable[log_commands.InterferenceEffect]
    ) -> None:
        """Takes over effects learned by earlier leaders."""
        for item in inherited_effects:
            self._filling_images.add(item.filling)
            trusted = min(item.observations, MAX_INHERITED_OBSERVATIONS)
            self._effect_by_pair[item.filling, item.serving] = _Effect(
                item.headroom_loss, trusted, item.headroom_loss
            )

    @property
    def has_observations(self) -> bool:
        """Whether filling tasks have run beside serving ones."""
        return bool(self._effect_by_pair)

    def effect(self, filling: str, serving: str) -> float:
        """Returns the headroom lost if the filling image used a full worker."""
        known = self._effect_by_pair.get((filling, serving))
        return known.value if known else PRIOR_EFFECT

    def compatibility(self, serving: str, other: str) -> float:
        """Returns the share of the filling work that two images both bear.

        Averages over the filling images that are known.

        Args:
            serving: A serving image.
            other: Another serving image, or the same one.
        """
        known = self._compatibility_by_images.get((serving, other))
        if known is not None:
            return known
        total = sum(
            self._joint_tolerance(filling, serving, other)
            for filling in self._filling_images
        )
        found = total / max(1, len(self._filling_images))
        self._compatibility_by_images[serving, other] = found
        return found

    def clear_compatibilities(self) -> None:
        """Has the compatibilities computed from the present effects."""
        self._compatibility_by_images.clear()

    def _joint_tolerance(self, filling: str, serving: str, other: str) -> float:
        first = self._tolerance(filling, serving)
        if serving == other:
            return UNKNOWN_TOLERANCE if first is None else first
        second = self._tolerance(filling, other)
        if first is not None and second is not None:
            return min(first, second)
        return (UNKNOWN_TOLERANCE if first is None else first) * (
            UNKNOWN_TOLERANCE if second is None else second
        )

    def _tolerance(self, filling: str, serving: str) -> float | None:
        """Returns the share of the idle time that an image may use."""
        known = self._effect_by_pair.get((filling, serving))
        if known is None or known.observations < MIN_OBSERVATIONS:
            return None
        return TOLERATED_EFFECT / max(known.value, TOLERATED_EFFECT)

    def expected_loss(self, serving: str, shares: ShareByImage) -> float:
        """Returns the headroom that filling images are expected to cost."""
        return sum(
            self.effect(image, serving) * share
            for image, share in shares.items()
        )

    def add_reading(
        self,
        now: float,
        task: model.TaskId,
        job: model.JobId,
        serving: str,
        headroom: float,
        shares: ShareByImage,
    ) -> None:
        """Updates the effects and the job's baseline from one reading.

        Args:
            now: When the reading arrived.
            task: The serving task.
            job: Its job.
            serving: Its image.
            headroom: Its measured headroom.
            shares: Share of the worker's processors that filling tasks used,
                by image.
        """
        interfering = {
            image: share
            for image, share in shares.items()
            if share > MIN_FILLING_SHARE
        }
        baseline = self._compute_baseline(now, job, task)
        if interfering and baseline is not None:
            self._update_effects(serving, baseline - headroom, interfering)
        estimate = headroom + self.expected_loss(serving, interfering)
        readings = self._readings_by_job.setdefault(job, {})
        readings[task] = _Reading(now, estimate, not interfering)

    def baseline_headroom(self, now: float, job: model.JobId) -> float | None:
        """Returns the headroom of a job's tasks without interference.

        None if no reading is recent enough.
        """
        known = self._cached_baseline_by_job.get(job)
        if known is not None and now - known[0] <= BASELINE_CACHE_TTL_S:
            return known[1]
        found = self._compute_baseline(now, job, None)
        self._cached_baseline_by_job[job] = (now, found)
        return found

    def _compute_baseline(
        self, now: float, job: model.JobId, excluded_task: model.TaskId | None
    ) -> float | None:
        """Returns the median baseline from a job's recent readings.

        Uses only readings without interference if there are any.
        """
        readings = self._readings_by_job.get(job)
        if not readings:
            return None
        oldest = now - READING_TTL_S
        fresh = [
            reading
            for task, reading in readings.items()
            if reading.read_at >= oldest and task != excluded_task
        ]
        measured_baselines = [
            item.baseline for item in fresh if item.is_interference_free
        ]
        if measured_baselines:
            return statistics.median(measured_baselines)
        if fresh:
            return statistics.median([item.baseline for item in fresh])
        return None

    def take_changed_effects(
        self,
    ) -> tuple[log_commands.InterferenceEffect, ...]:
        """Returns the effects that have changed enough to be persisted again."""
        changed = []
        for (filling, serving), known in self._effect_by_pair.items():
            min_change = max(
                MIN_PERSISTED_CHANGE,
                MIN_PERSISTED_RELATIVE_CHANGE * known.persisted_value,
            )
            if abs(known.value - known.persisted_value) < min_change:
                continue
            known.persisted_value = known.value
            changed.append(
                log_commands.InterferenceEffect(
                    filling, serving, known.value, known.observations
                )
            )
        return tuple(changed)

    def forget_job(self, job: model.JobId) -> None:
        """Drops the readings of a job that has ended."""
        self._readings_by_job.pop(job, None)
        self._cached_baseline_by_job.pop(job, None)

    def jobs(self) -> list[model.JobId]:
        """Returns the jobs with readings."""
        return list(self._readings_by_job)

    def _update_effects(
        self, serving: str, headroom_loss: float, shares: ShareByImage
    ) -> None:
        """Corrects the effects by a normalized least-mean-squares step."""
        error = headroom_loss - self.expected_loss(serving, shares)
        squared_norm = sum(share * share for share in shares.values())
        for image, share in shares.items():
            self._filling_images.add(image)
            pair = (image, serving)
            known = self._effect_by_pair.setdefault(pair, _Effect())
            rate = max(
                MIN_LEARNING_RATE,
                INITIAL_LEARNING_RATE / (1 + known.observations / 4),
            )
            known.observations += 1
            changed = known.value + rate * error * share / squared_norm
            known.value = min(MAX_EFFECT, max(0.0, changed))
