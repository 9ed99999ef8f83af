"""Order in which waiting steps are placed.

Designed for overload. First come, first served would make every job a little
late. Here jobs that can still end in time go first, and among them those with
the least remaining work, so that most callers are served in time.
"""

from collections.abc import Iterator
import enum

from fulmarrouter.cluster import model
from fulmarrouter.cluster import state as state_lib

# A late job is still of use to its caller up to this multiple of its objective.
LATE_FACTOR = 3.0
# Assumed where the submitter gives no estimate.
DEFAULT_TASK_DURATION_S = 1.0


class Timeliness(enum.IntEnum):
    """Whether a job can still end in time to be of use to its caller."""

    IN_TIME = 0
    LATE = 1
    TOO_LATE = 2


class Precedence(enum.IntEnum):
    """Order of jobs that have the same priority and timeliness.

    A long-running job occupies its capacity for long, the others only for a
    short time, so the others go first. An interrupted long-running job goes
    before both, since it only regains capacity that it had before.

    Attributes:
        INTERRUPTED: A long-running job with a task that waits to run again.
        ENDING: A job that ends by itself.
        LASTING: Any other long-running job.
    """

    INTERRUPTED = 0
    ENDING = 1
    LASTING = 2


# Sort key of a job; the lowest goes first.
Rank = tuple[int, Timeliness, Precedence, float, int]


def objective_s(job: state_lib.Job) -> float:
    """Returns the time in which a job is to end, from its estimates."""
    return (
        job.newest_queue.stretch * critical_path_s(job.spec)
        + job.newest_queue.target_ms / 1000
    )


def critical_path_s(spec: model.JobSpec) -> float:
    """Returns the estimated duration of the longest chain of steps."""
    end_by_step: list[float] = []
    for step in spec.steps:
        start = max((end_by_step[number] for number in step.after), default=0.0)
        end_by_step.append(start + task_duration_s(step))
    return max(end_by_step, default=0.0)


def remaining_core_s(job: state_lib.Job) -> float:
    """Returns the estimated core-seconds of the tasks that are not done."""
    total = 0.0
    for steps in job.steps_by_occurrence.values():
        for spec, step in zip(job.spec.steps, steps, strict=True):
            remaining = len(step.tasks) - step.done_count
            total += (
                remaining * spec.needs.millicores / 1000 * task_duration_s(spec)
            )
    return total


def timeliness(job: state_lib.Job, elapsed_s: float) -> Timeliness:
    """Returns the timeliness of a job of the given age.

    Long-running and repeated jobs always count as in time.
    """
    if job.spec.is_long_running or job.spec.repetitions:
        return Timeliness.IN_TIME
    objective = objective_s(job)
    if elapsed_s <= objective:
        return Timeliness.IN_TIME
    if elapsed_s <= LATE_FACTOR * objective:
        return Timeliness.LATE
    return Timeliness.TOO_LATE


def rank(job: state_lib.Job, elapsed_s: float) -> Rank:
    """Returns the sort key of a job; the lowest goes first."""
    return (
        job.newest_queue.priority,
        timeliness(job, elapsed_s),
        precedence(job),
        remaining_core_s(job),
        job.accepted_index,
    )


def precedence(job: state_lib.Job) -> Precedence:
    """Returns the position of a job among those of equal timeliness."""
    if not job.spec.is_long_running:
        return Precedence.ENDING
    if any(map(has_interrupted_tasks, _steps(job))):
        return Precedence.INTERRUPTED
    return Precedence.LASTING


def has_interrupted_tasks(step: state_lib.Step) -> bool:
    """Whether a task of a step has run before and waits to run again.

    For a step of long-running tasks, this means a service that was in use.
    """
    return step.waiting_count > 0 and any(
        task.run and task.phase is model.TaskPhase.WAITING
        for task in step.tasks
    )


def _steps(job: state_lib.Job) -> Iterator[state_lib.Step]:
    for steps in job.steps_by_occurrence.values():
        yield from steps


def task_duration_s(step: model.StepSpec) -> float:
    """Returns the estimated duration of a step's tasks."""
    return step.estimated_ms / 1000 or DEFAULT_TASK_DURATION_S


def is_last_attempt(task: state_lib.Task, max_attempts: int) -> bool:
    """Whether a task has failed and its job fails with it once more."""
    return bool(task.failures) and task.failures + 1 >= max_attempts
