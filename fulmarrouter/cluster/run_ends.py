"""Ends of runs that their workers have not reported."""

from fulmarrouter.cluster import fleet as fleet_lib
from fulmarrouter.cluster import log_commands
from fulmarrouter.cluster import model
from fulmarrouter.cluster import state as state_lib


def lost_runs(
    state: state_lib.State, fleet: fleet_lib.Fleet, key: state_lib.WorkerKey
) -> list[log_commands.RunEnd]:
    """Returns the ends, as lost, of all runs assigned to a worker incarnation.

    Each keeps the last checkpoint that the worker reported for it.
    """
    view = fleet.view_by_id.get(key.worker)
    ends = []
    for task, run in state.runs_by_worker.get(key, {}).items():
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
