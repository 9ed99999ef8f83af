"""Slows, pauses and moves filling tasks that disturb serving ones.

Load it answers: waves of filling tasks beside serving tasks whose own load
swings. Each filling task gets the largest pace at which no serving task is
expected to lose the headroom that it needs. Tasks that disturb little come
first, so that one that disturbs much doesn't hold up the others; it is paused
instead, and moved where it finds no room for long.
"""

from collections.abc import Sequence
import dataclasses

from fulmarrouter.cluster import disturbance
from fulmarrouter.cluster import model

# Headroom that a serving task is to keep: a little above the target, since
# readings lag by half a second.
KEEP_HEADROOM = 1.15
# Headroom that must remain for every serving task where a filling task is
# placed. The gap to KEEP_HEADROOM keeps it from being slowed at once.
PLACE_ABOVE = 1.2
FULL_PACE = 100
# Paces below this are not worth the memory that the task holds.
LEAST_PACE = 15
# Pause after which a task is moved to another worker: long enough to show that
# it isn't over at once, and several times what resuming there costs.
LEAST_MOVE_AFTER_S = 0.3
MOVE_AFTER_RESTORES = 3.0
# Part of its work up to which a task that saves nothing is moved.
MOVE_UNSAVED_BELOW_PERCENT = 25
# Weight of a serving task's own reading against those of its job's other
# tasks, when estimating what it would have alone.
OWN_WEIGHT = 0.5


@dataclasses.dataclass(frozen=True)
class Serving:
    """A serving task as its worker last reported it.

    Attributes:
        headroom: Target over tail, as measured.
        alone: What its job's tasks have with nothing beside; None if not
            known.
    """

    image: str
    headroom: float
    alone: float | None


@dataclasses.dataclass(frozen=True)
class Filling:
    """A filling task on the same worker.

    Attributes:
        share: Part of the worker's processors that it uses at full pace.
        used: Part of them that it used while the tails were measured.
    """

    task: model.TaskId
    image: str
    share: float
    used: float


def move_after_s(restore_s: float) -> float:
    """Returns the pause after which a task is moved to another worker."""
    return LEAST_MOVE_AFTER_S + MOVE_AFTER_RESTORES * restore_s


def paces(
    effects: disturbance.DisturbanceModel,
    serving: Sequence[Serving],
    filling: Sequence[Filling],
) -> dict[model.TaskId, int]:
    """Returns the pace of each filling task, in percent."""
    spare = [
        (item.image, _alone(effects, item, filling) - KEEP_HEADROOM)
        for item in serving
    ]
    lost_by_task = {
        item.task: [
            effects.effect(item.image, image) * item.share for image, _ in spare
        ]
        for item in filling
    }
    left = [max(0.0, headroom) for _, headroom in spare]
    chosen: dict[model.TaskId, int] = {}
    for item in sorted(
        filling, key=lambda item: _damage(lost_by_task[item.task], left)
    ):
        lost = lost_by_task[item.task]
        pace = FULL_PACE
        for room, loss in zip(left, lost, strict=True):
            if loss > 0:
                pace = min(pace, int(FULL_PACE * room / loss))
        if pace < LEAST_PACE:
            pace = 0
        chosen[item.task] = pace
        left = [
            room - loss * pace / FULL_PACE
            for room, loss in zip(left, lost, strict=True)
        ]
    return chosen


def _damage(lost: Sequence[float], left: Sequence[float]) -> float:
    """Returns the largest part of any serving task's headroom that is lost."""
    return max(
        (loss / max(room, 0.01) for loss, room in zip(lost, left, strict=True)),
        default=0.0,
    )


def _alone(
    effects: disturbance.DisturbanceModel,
    item: Serving,
    filling: Sequence[Filling],
) -> float:
    """Estimates a serving task's headroom with nothing beside."""
    own = item.headroom + sum(
        effects.effect(other.image, item.image) * other.used
        for other in filling
    )
    if item.alone is None:
        return own
    return OWN_WEIGHT * own + (1 - OWN_WEIGHT) * item.alone
