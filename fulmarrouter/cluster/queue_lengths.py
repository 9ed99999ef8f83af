"""Counts the jobs of a queue that have not begun.

A job whose tasks are assigned has not begun before a worker has reported one of
them: the worker may be lost before it is told to start any.
"""

from fulmarrouter.cluster import fleet as fleet_lib
from fulmarrouter.cluster import model
from fulmarrouter.cluster import state as state_lib


def count_waiting_jobs(
    state: state_lib.State,
    fleet: fleet_lib.Fleet,
    queue: model.QueueName,
) -> int:
    """Returns how many active jobs of a queue are not known to have begun."""
    return sum(
        job.newest_queue.name == queue
        and job.is_active
        and not (job.has_started and _has_begun(job, fleet))
        for job in state.job_by_id.values()
    )


def _has_begun(job: state_lib.Job, fleet: fleet_lib.Fleet) -> bool:
    return any(
        _has_task_begun(
            task,
            model.format_task_id(job.id, occurrence, number, index),
            fleet,
        )
        for occurrence, steps in job.steps_by_occurrence.items()
        for number, step in enumerate(steps)
        for index, task in enumerate(step.tasks)
    )


def _has_task_begun(
    task: state_lib.Task, task_id: model.TaskId, fleet: fleet_lib.Fleet
) -> bool:
    """Whether the state or the latest reports show that a task has begun."""
    if task.phase is model.TaskPhase.DONE or task.failures or task.checkpoint:
        return True
    if task.phase is not model.TaskPhase.ASSIGNED:
        return False
    view = fleet.view_by_id.get(model.WorkerId(task.worker))
    return (
        view is not None
        and view.key.incarnation == task.incarnation
        and view.has_reported(task_id, task.run)
    )
