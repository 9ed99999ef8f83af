"""Computes the paces of filling tasks that run beside serving tasks.

A pace is the percentage of its full speed at which a filling task may run; 0
pauses it. Designed for bursts of filling tasks beside serving tasks whose own
load varies.

Each filling task gets the highest pace at which every serving task is expected
to keep the headroom that it needs. Headroom is allocated first to the tasks
that interfere least, so that a strongly interfering one does not slow them. It is
paused instead, and moved to another worker if the pause lasts.
"""

from collections.abc import Sequence
import dataclasses

from fulmarrouter.cluster import interference_model
from fulmarrouter.cluster import model

# Headroom to preserve for each serving task: slightly above the target of 1,
# since readings lag by half a second.
MIN_HEADROOM = 1.15
# Headroom that every serving task on a worker must retain for a filling task
# to be placed there. The margin over MIN_HEADROOM prevents the new task from
# being slowed immediately.
MIN_PLACEMENT_HEADROOM = 1.2
FULL_PACE_PERCENT = 100
# Tasks are paused rather than run at a lower pace, which would not justify the
# memory that they occupy.
MIN_PACE_PERCENT = 15
# A paused task is moved to another worker after the minimum delay plus this
# many times the time to resume from a checkpoint. The minimum skips short
# pauses, and the multiple keeps a move short compared with the pause.
MIN_MOVE_DELAY_S = 0.3
MOVE_DELAY_RESTORE_FACTOR = 3.0
# A task without checkpoints loses its work when moved, so it is moved only
# below this progress.
UNSAVED_MOVE_LIMIT_PERCENT = 25
# Weight of the estimate from a serving task's own reading in its baseline; the
# rest is the weight of the baseline of its job.
OWN_READING_WEIGHT = 0.5


@dataclasses.dataclass(frozen=True)
class ServingTask:
    """A serving task as its worker last reported it.

    Attributes:
        headroom: Target over tail latency, as measured.
        baseline: Headroom of its job's tasks without interference; None if
            not known.
    """

    image: str
    headroom: float
    baseline: float | None


@dataclasses.dataclass(frozen=True)
class FillingTask:
    """A filling task on the same worker.

    Attributes:
        share: Share of the worker's processors that it uses at full pace.
        used: Share that it used while the tail latencies were measured.
    """

    task: model.TaskId
    image: str
    share: float
    used: float


def move_delay_s(restore_s: float) -> float:
    """Returns how long a task is paused before it is moved elsewhere."""
    return MIN_MOVE_DELAY_S + MOVE_DELAY_RESTORE_FACTOR * restore_s


def compute_paces(
    effects: interference_model.InterferenceModel,
    serving: Sequence[ServingTask],
    filling: Sequence[FillingTask],
) -> dict[model.TaskId, int]:
    """Returns the pace of each filling task, in percent."""
    surplus_by_serving = [
        (item.image, _estimate_baseline(effects, item, filling) - MIN_HEADROOM)
        for item in serving
    ]
    losses_by_task = {
        item.task: [
            effects.effect(item.image, image) * item.share
            for image, _ in surplus_by_serving
        ]
        for item in filling
    }
    remaining = [max(0.0, headroom) for _, headroom in surplus_by_serving]
    pace_by_task: dict[model.TaskId, int] = {}
    for item in sorted(
        filling,
        key=lambda item: _max_relative_loss(
            losses_by_task[item.task], remaining
        ),
    ):
        losses = losses_by_task[item.task]
        pace = FULL_PACE_PERCENT
        for available, loss in zip(remaining, losses, strict=True):
            if loss > 0:
                pace = min(pace, int(FULL_PACE_PERCENT * available / loss))
        if pace < MIN_PACE_PERCENT:
            pace = 0
        pace_by_task[item.task] = pace
        remaining = [
            available - loss * pace / FULL_PACE_PERCENT
            for available, loss in zip(remaining, losses, strict=True)
        ]
    return pace_by_task


def _max_relative_loss(
    losses: Sequence[float], remaining: Sequence[float]
) -> float:
    """Returns the largest share of any serving task's headroom that is lost."""
    return max(
        (
            loss / max(available, 0.01)
            for loss, available in zip(losses, remaining, strict=True)
        ),
        default=0.0,
    )


def _estimate_baseline(
    effects: interference_model.InterferenceModel,
    item: ServingTask,
    filling: Sequence[FillingTask],
) -> float:
    """Estimates a serving task's headroom without interference."""
    own_estimate = item.headroom + sum(
        effects.effect(other.image, item.image) * other.used
        for other in filling
    )
    if item.baseline is None:
        return own_estimate
    return (
        OWN_READING_WEIGHT * own_estimate
        + (1 - OWN_READING_WEIGHT) * item.baseline
    )
