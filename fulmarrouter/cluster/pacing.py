"""Pauses, resumes and moves filling tasks that disturb serving ones.

Load it answers: waves of filling tasks beside serving tasks whose own load
swings. The first step is a pause of the task that takes the most headroom;
it resumes when there is room again, and is moved when there is none for long.
"""

from collections.abc import Sequence
import dataclasses
import enum

from fulmarrouter.cluster import disturbance
from fulmarrouter.cluster import model

# Headroom of a serving task under which a neighbour is paused: a little
# above the target, since readings lag by half a second.
PAUSE_BELOW = 1.12
# Headroom that must remain for every serving task where a filling task is
# placed or resumed. The gap to PAUSE_BELOW keeps it from being paused again.
PLACE_ABOVE = 1.3
# Time between two pauses on a worker: until the readings show the first.
PAUSE_INTERVAL_S = 0.35
RESUME_INTERVAL_S = 0.5
# Pause after which a task is moved to another worker.
MOVE_AFTER_S = 1.2
# Part of its work up to which a task that saves nothing is moved.
MOVE_UNSAVED_BELOW_PERCENT = 50


class Action(enum.Enum):
    """What is done to a filling task."""

    PAUSE = "pause"
    RESUME = "resume"
    MOVE = "move"


@dataclasses.dataclass(frozen=True)
class Serving:
    """A serving task as its worker last reported it.

    Attributes:
        headroom: Target over tail, as measured.
        alone: What it would be with nothing beside; None if not known.
    """

    job: model.JobId
    image: str
    headroom: float
    alone: float | None


@dataclasses.dataclass(frozen=True)
class Filling:
    """A filling task on the same worker.

    Attributes:
        share: Part of the worker's processors that it uses when not paused.
        paused_s: How long it has been paused; None if it isn't.
        can_move: Whether moving it loses little work.
    """

    task: model.TaskId
    image: str
    share: float
    paused_s: float | None
    can_move: bool


def decide(
    effects: disturbance.DisturbanceModel,
    serving: Sequence[Serving],
    filling: Sequence[Filling],
    since_change_s: float,
) -> tuple[Action, model.TaskId] | None:
    """Returns the next step on a worker, or None."""
    suffering = [item for item in serving if item.headroom < PAUSE_BELOW]
    active = [item for item in filling if item.paused_s is None]
    if suffering and active:
        if since_change_s < PAUSE_INTERVAL_S:
            return None
        worst = max(
            active,
            key=lambda item: sum(
                effects.effect(item.image, victim.image) * item.share
                for victim in suffering
            ),
        )
        return Action.PAUSE, worst.task
    if since_change_s < RESUME_INTERVAL_S:
        return None
    paused = [item for item in filling if item.paused_s is not None]
    for item in paused:
        if remaining(effects, serving, active, item) >= PLACE_ABOVE:
            return Action.RESUME, item.task
    for item in paused:
        if item.can_move and (item.paused_s or 0.0) >= MOVE_AFTER_S:
            return Action.MOVE, item.task
    return None


def remaining(
    effects: disturbance.DisturbanceModel,
    serving: Sequence[Serving],
    active: Sequence[Filling],
    added: Filling,
) -> float:
    """Returns the least headroom of the serving tasks with one task added."""
    least = disturbance.MAX_HEADROOM
    for item in serving:
        lost = sum(
            effects.effect(other.image, item.image) * other.share
            for other in (*active, added)
        )
        alone = item.alone
        if alone is None:
            alone = item.headroom + lost
        least = min(least, alone - lost)
    return least
