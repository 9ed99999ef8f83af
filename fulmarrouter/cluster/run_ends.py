"""Ends of runs that the leader infers, and those that it hears of too late."""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Mapping

from fulmarrouter.cluster import fleet as fleet_lib
from fulmarrouter.cluster import log_commands
from fulmarrouter.cluster import model
from fulmarrouter.cluster import requests
from fulmarrouter.cluster import state as state_lib


def lost_runs(
    state: state_lib.State, fleet: fleet_lib.Fleet, key: state_lib.WorkerKey
) -> list[log_commands.RunEnd]:
    """Returns the ends, as lost, of all runs assigned to a worker incarnation.

    Each keeps the last checkpoint that the worker reported for it.
    """
    view = fleet.view_by_id.get(key.worker)
    return lost_ends(view, key, state.runs_by_worker.get(key, {}))


def lost_ends(
    view: fleet_lib.WorkerView | None,
    key: state_lib.WorkerKey,
    runs: Mapping[model.TaskId, int],
) -> list[log_commands.RunEnd]:
    """Returns the ends, as lost, of some runs of a worker incarnation.

    Args:
        view: The worker, for the checkpoints; of any incarnation, or None.
        key: The incarnation.
        runs: The number of each run by its task.
    """
    ends = []
    for task, run in runs.items():
        checkpoint = ""
        if view is not None and view.key == key and view.is_running(task, run):
            checkpoint = view.running[task].checkpoint
        ends.append(
            log_commands.RunEnd(
                task,
                run,
                key.worker,
                key.incarnation,
                model.Outcome.LOST,
                checkpoint,
            )
        )
    return ends


def lost_runs_up_to(
    state: state_lib.State, fleet: fleet_lib.Fleet, last: state_lib.WorkerKey
) -> list[log_commands.RunEnd]:
    """Returns the ends, as lost, of all runs of an incarnation and earlier ones.

    Those that a later incarnation may still start are left out.
    """
    view = fleet.view_by_id.get(last.worker)
    undecided = view.undecided if view is not None else set()
    ends = []
    for key in incarnations_with_runs(state, last.worker):
        if key.incarnation <= last.incarnation and key not in undecided:
            ends += lost_runs(state, fleet, key)
    return ends


def incarnations_with_runs(
    state: state_lib.State, worker: model.WorkerId
) -> list[state_lib.WorkerKey]:
    """Returns the incarnations of a worker to which runs are assigned."""
    return [key for key in state.runs_by_worker if key.worker == worker]


def is_wanted(job: state_lib.Job, task: state_lib.Task, run: int) -> bool:
    """Whether a run is the task's current one and its job is active."""
    return (
        job.is_active
        and task.phase is model.TaskPhase.ASSIGNED
        and task.run == run
    )


def absent_runs(
    now: float, state: state_lib.State, view: fleet_lib.WorkerView
) -> list[log_commands.RunEnd]:
    """Returns the ends, as lost, of assigned runs that will not be started.

    Those that the worker has not reported and is not to start any more. Its report
    may have been sent before an order to start arrived, and must list all ends.
    """
    if not view.lists_all_ends:
        return []
    ends = []
    for task_id, run in state.runs_by_worker.get(view.key, {}).items():
        if view.has_reported(task_id, run):
            continue
        if view.may_be_starting(now, task_id, run):
            continue
        found = state.find_task(task_id)
        if found is None:
            continue
        job, _, _, task = found
        if not is_wanted(job, task, run) or view.report.draining:
            ends.append(
                log_commands.RunEnd(
                    task_id,
                    run,
                    view.key.worker,
                    view.key.incarnation,
                    model.Outcome.LOST,
                )
            )
    return ends


def acknowledgeable_number(
    state: state_lib.State, view: fleet_lib.WorkerView
) -> int:
    """Returns the number up to which a worker's ends may be acknowledged.

    Unless the worker's lease has expired since, the success of a run must not be
    acknowledged if the task has been started again.
    """
    for item in view.report.ended:
        if item.number > view.acknowledged_end_number:
            break
        found = state.find_task(item.task)
        if (
            item.outcome is model.Outcome.DONE
            and found is not None
            and found[3].run > item.run
        ):
            return item.number - 1
    return view.acknowledged_end_number


def late_successes(
    state: state_lib.State,
    planned_indices: Callable[[state_lib.StepKey], Collection[int]],
    report: requests.WorkerReport,
) -> list[log_commands.RunEnd]:
    """Returns the successes in a report that arrives after its worker's leave.

    Only those whose tasks have not been planned elsewhere since. If one is
    proposed now, no later assignment of the task takes effect. Other ends change
    nothing: the runs have been ended as lost.

    Args:
        state: The replicated state.
        planned_indices: Returns the tasks of a step for which an assignment is
            planned or proposed.
        report: The late report.
    """
    ends = []
    for item in report.ended:
        found = state.find_task(item.task)
        if item.outcome is not model.Outcome.DONE or found is None:
            continue
        _, key, step, task = found
        if task.phase is model.TaskPhase.DONE:
            continue
        spec = state.spec_of(key)
        parts = model.parse_task_id(item.task)
        assert parts is not None
        # The success of one task of a gang completes all of them.
        indices = range(len(step.tasks)) if spec.gang else (parts[3],)
        planned = planned_indices(key)
        is_superseded = any(
            index in planned or step.tasks[index].run != item.run
            for index in indices
        )
        is_own = (task.worker, task.incarnation) == (
            report.worker,
            report.incarnation,
        )
        if is_superseded or not is_own:
            continue
        ends.append(
            log_commands.RunEnd(
                item.task,
                item.run,
                report.worker,
                report.incarnation,
                item.outcome,
                item.checkpoint,
            )
        )
    return ends
