"""Where the tasks of a step may run: the only place that decides it.

Whoever chooses a worker checks it here, and the planner checks each assignment
once more before it is proposed.
"""

import collections
from collections.abc import Mapping
from collections.abc import Sequence
import enum

from fulmarrouter import commands
from fulmarrouter.cluster import fleet as fleet_lib
from fulmarrouter.cluster import model
from fulmarrouter.cluster import reservations as reservations_lib
from fulmarrouter.cluster import state as state_lib


class Refusal(enum.Enum):
    """Why a worker may not run a task."""

    STEP_LIMIT = "step_limit"
    LABEL = "label"
    SERVICE = "service"


def is_at_limit(spec: model.StepSpec, tasks: int) -> bool:
    """Whether a worker with this many tasks of the step may not run another."""
    return 0 < spec.max_per_worker <= tasks


def has_label(spec: model.StepSpec, labels: Sequence[str]) -> bool:
    """Whether a worker has the label that the step requires."""
    return not spec.required_label or spec.required_label in labels


def refusal(
    spec: model.StepSpec,
    service: model.ServiceName,
    view: fleet_lib.WorkerView,
    tasks: int,
) -> Refusal | None:
    """Returns why a worker may not run a task, or None if it may.

    Args:
        spec: The task's step.
        service: Service whose workers may run it.
        view: The worker.
        tasks: Number of other tasks of the step on the worker.
    """
    if is_at_limit(spec, tasks):
        return Refusal.STEP_LIMIT
    if not has_label(spec, view.report.labels):
        return Refusal.LABEL
    if view.report.service != service:
        return Refusal.SERVICE
    return None


def count_by_worker(
    state: state_lib.State,
    fleet: fleet_lib.Fleet,
    reserved_by_index: Mapping[int, reservations_lib.Reservation],
    key: state_lib.StepKey,
) -> dict[model.WorkerId, int]:
    """Counts the tasks of a step that are, or may soon be, on each worker.

    Those are the assigned ones, the planned ones, and runs that are no longer
    wanted but have not stopped.

    Args:
        state: The replicated state.
        fleet: The workers, as last reported.
        reserved_by_index: Reservations of the step's tasks.
        key: The step.
    """
    step = state.find_step(key)
    assert step is not None
    counts: collections.Counter[model.WorkerId] = collections.Counter()
    for task in step.tasks:
        if task.phase is model.TaskPhase.ASSIGNED:
            counts[model.WorkerId(task.worker)] += 1
    for reservation in reserved_by_index.values():
        counts[reservation.worker] += 1
    for view in fleet.views_with_unwanted_runs():
        for task_id in view.unwanted_runs:
            found = state.find_task(task_id)
            if found is not None and found[1] == key:
                counts[view.key.worker] += 1
    return dict(counts)


def must_wait_for_stops(
    state: state_lib.State,
    view: fleet_lib.WorkerView,
    key: state_lib.StepKey,
    task: model.TaskId,
) -> bool:
    """Whether a start has to wait until unwanted runs on its worker have stopped.

    The assignment may precede the report that shows such a run. The usage of the
    worker must be up to date.

    Args:
        state: The replicated state.
        view: The worker.
        key: The step of the task to be started.
        task: The task.
    """
    if not view.unwanted_runs:
        return False
    if task in view.unwanted_runs:
        return True
    if not commands.Resources().fits_in(view.free_resources()):
        return True
    spec = state.spec_of(key)
    if not spec.max_per_worker:
        return False
    others = {*state.runs_by_worker.get(view.key, {}), *view.unwanted_runs}
    others.discard(task)
    found = map(state.find_task, others)
    tasks = sum(item is not None and item[1] == key for item in found)
    return is_at_limit(spec, tasks)
