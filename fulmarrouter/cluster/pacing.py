"""Slows, pauses and moves filling tasks that disturb serving ones.

Load it answers: waves of filling tasks beside serving tasks whose own load
swings. Each filling task gets the largest pace at which no serving task is
expected to lose the headroom that it needs. Tasks that disturb little come
first, so that one that disturbs much doesn't hold up the others; it is paused
instead, and moved where it finds no room for long.
"""

from collections.abc import Sequence
import dataclasses

from fulmarrouter.cluster import interference_model
from fulmarrouter.cluster import model

# Headroom that a serving task is to keep: a little above the target, since
# readings lag by half a second.
MIN_HEADROOM = 1.15
# Headroom that must remain for every serving task where a filling task is
# placed. The gap to KEEP_HEADROOM keeps it from being slowed at once.
MIN_PLACEMENT_HEADROOM = 1.2
FULL_PACE_PERCENT = 100
# Paces below this are not worth the memory that the task holds.
MIN_PACE_PERCENT = 15
# Pause after which a task is moved to another worker: long enough to show that
# it isn't over at once, and several times what resuming there costs.
MIN_MOVE_DELAY_S = 0.3
MOVE_DELAY_RESTORE_FACTOR = 3.0
# Part of its work up to which a task that saves nothing is moved.
UNSAVED_MOVE_LIMIT_PERCENT = 25
# Weight of a serving task's own reading against those of its job's other
# tasks, when estimating what it would have alone.
OWN_READING_WEIGHT = 0.5


@dataclasses.dataclass(frozen=True)
class ServingTask:
    """A serving task as its worker last reported it.

    Attributes:
        headroom: Target over tail, as measured.
        baseline: What its job's tasks have with nothing beside; None if not
            known.
    """

    image: str
    headroom: float
    baseline: float | None


@dataclasses.dataclass(frozen=True)
class FillingTask:
    """A filling task on the same worker.

    Attributes:
        share: Part of the worker's processors that it uses at full pace.
        used: Part of them that it used while the tails were measured.
    """

    task: model.TaskId
    image: str
    share: float
    used: float


def move_delay_s(restore_s: float) -> float:
    """Returns the pause after which a task is moved to another worker."""
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
    lost_by_task = {
        item.task: [
            effects.effect(item.image, image) * item.share
            for image, _ in surplus_by_serving
        ]
        for item in filling
    }
    remaining = [max(0.0, headroom) for _, headroom in surplus_by_serving]
    chosen: dict[model.TaskId, int] = {}
    for item in sorted(
        filling,
        key=lambda item: _max_relative_loss(lost_by_task[item.task], remaining),
    ):
        lost = lost_by_task[item.task]
        pace = FULL_PACE_PERCENT
        for available, loss in zip(remaining, lost, strict=True):
            if loss > 0:
                pace = min(pace, int(FULL_PACE_PERCENT * available / loss))
        if pace < MIN_PACE_PERCENT:
            pace = 0
        chosen[item.task] = pace
        remaining = [
            available - loss * pace / FULL_PACE_PERCENT
            for available, loss in zip(remaining, lost, strict=True)
        ]
    return chosen


def _max_relative_loss(
    lost: Sequence[float], remaining: Sequence[float]
) -> float:
    """Returns the largest part of any serving task's headroom that is lost."""
    return max(
        (
            loss / max(available, 0.01)
            for loss, available in zip(lost, remaining, strict=True)
        ),
        default=0.0,
    )


def _estimate_baseline(
    effects: interference_model.InterferenceModel,
    item: ServingTask,
    filling: Sequence[FillingTask],
) -> float:
    """Estimates a serving task's headroom with nothing beside."""
    own = item.headroom + sum(
        effects.effect(other.image, item.image) * other.used
        for other in filling
    )
    if item.baseline is None:
        return own
    return OWN_READING_WEIGHT * own + (1 - OWN_READING_WEIGHT) * item.baseline
