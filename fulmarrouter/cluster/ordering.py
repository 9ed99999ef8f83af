"""Order in which waiting steps are placed.

Load it answers: more work than fits. First come first served makes every job
a little late; here jobs that can still end in time go first, the ones with
the least work left before others, so that most callers are served in time.
"""

from collections.abc import Iterator
import enum

from fulmarrouter.cluster import model
from fulmarrouter.cluster import state as state_lib

# A job is worth something up to this multiple of its objective.
LATE_FACTOR = 3.0
# Shortest duration assumed of a task whose submitter gives no estimate.
DEFAULT_TASK_S = 1.0


class Prospect(enum.IntEnum):
    """What a job can still be worth to its caller."""

    IN_TIME = 0
    LATE = 1
    TOO_LATE = 2


class Turn(enum.IntEnum):
    """Which jobs of a priority go first, where all can be in time.

    What a lasting job takes is gone for long, while the others need it for a
    moment only. A lasting job that has been interrupted had that room before.
    """

    INTERRUPTED = 0
    ENDING = 1
    LASTING = 2


# Sort key of a job; the lowest goes first.
Rank = tuple[int, Prospect, Turn, float, int]


def objective_s(job: state_lib.Job) -> float:
    """Returns the time that a job may take, by its submitter's estimates."""
    return (
        job.queue.stretch * longest_chain_s(job.spec)
        + job.queue.target_ms / 1000
    )


def longest_chain_s(spec: model.JobSpec) -> float:
    """Returns the estimated duration of the longest chain of steps."""
    end_by_step: list[float] = []
    for step in spec.steps:
        start = max((end_by_step[number] for number in step.after), default=0.0)
        end_by_step.append(start + _task_s(step))
    return max(end_by_step, default=0.0)


def remaining_work(job: state_lib.Job) -> float:
    """Returns the estimated core-seconds that are still to be done."""
    total = 0.0
    for steps in job.steps_by_occurrence.values():
        for spec, step in zip(job.spec.steps, steps, strict=True):
            left = len(step.tasks) - step.done_count
            total += left * spec.needs.millicores / 1000 * _task_s(spec)
    return total


def prospect(job: state_lib.Job, elapsed_s: float) -> Prospect:
    """Returns what a job that has been waiting can still be worth."""
    if job.spec.is_long_running or job.spec.repetitions:
        return Prospect.IN_TIME
    objective = objective_s(job)
    if elapsed_s <= objective:
        return Prospect.IN_TIME
    if elapsed_s <= LATE_FACTOR * objective:
        return Prospect.LATE
    return Prospect.TOO_LATE


def rank(job: state_lib.Job, elapsed_s: float) -> Rank:
    """Returns the sort key of a job; the lowest goes first."""
    return (
        job.queue.priority,
        prospect(job, elapsed_s),
        turn(job),
        remaining_work(job),
        job.accepted_index,
    )


def turn(job: state_lib.Job) -> Turn:
    """Returns whether a job goes before others that can be in time."""
    if not job.spec.is_long_running:
        return Turn.ENDING
    if any(map(is_interrupted, _steps(job))):
        return Turn.INTERRUPTED
    return Turn.LASTING


def is_interrupted(step: state_lib.Step) -> bool:
    """Whether a task of a step has run and waits to go on.

    For a step of lasting tasks that is a service somebody has been using.
    """
    return step.waiting_count > 0 and any(
        task.run and task.phase is model.TaskPhase.WAITING
        for task in step.tasks
    )


def _steps(job: state_lib.Job) -> Iterator[state_lib.Step]:
    for steps in job.steps_by_occurrence.values():
        yield from steps


def _task_s(step: model.StepSpec) -> float:
    return step.estimated_ms / 1000 or DEFAULT_TASK_S
