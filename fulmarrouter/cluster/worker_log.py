"""Log lines on what workers run, and on why their runs are taken for over."""

from collections.abc import Sequence

from fulmarrouter.cluster import decision_log
from fulmarrouter.cluster import fleet as fleet_lib
from fulmarrouter.cluster import log_commands
from fulmarrouter.cluster import model
from fulmarrouter.cluster import state as state_lib

# Limit on the runs in one line.
MAX_RUNS_PER_LINE = 16


def log_joined(
    decisions: decision_log.DecisionBuffer,
    now: float,
    known: fleet_lib.WorkerView | None,
    view: fleet_lib.WorkerView,
) -> None:
    """Logs the first report of an incarnation to this leader.

    Args:
        decisions: Receives the line.
        now: Monotonic time.
        known: The incarnation that it follows, None if there was none.
        view: The incarnation.
    """
    follows: dict[str, object] = {}
    if known is not None:
        ordered = known.ordered_runs()
        follows = {
            "follows": known.key.incarnation,
            "silent_ms": round(1000 * (now - known.last_heard_at)),
            "ordered": len(ordered),
        }
        if known.answered_at != fleet_lib.NEVER:
            answered_ms = round(1000 * (now - known.answered_at))
            follows["answered_ms"] = answered_ms
    decisions.add(
        "worker joined",
        worker=view.key.worker,
        incarnation=view.key.incarnation,
        zone=view.report.zone,
        runs=len(view.report.running),
        **follows,
    )


def log_unassigned_runs(
    decisions: decision_log.DecisionBuffer,
    state: state_lib.State,
    view: fleet_lib.WorkerView,
) -> None:
    """Logs runs that a worker reports for the first time without an assignment.

    Each is followed by the task's latest run and where that is assigned. To be
    called before the view takes over the report's runs.
    """
    assigned = state.runs_by_worker.get(view.key, {})
    texts = []
    for item in view.report.running:
        if assigned.get(item.task) == item.run:
            continue
        found = state.find_task(item.task)
        if found is None or view.is_running(item.task, item.run):
            continue
        task = found[3]
        texts.append(
            f"{item.task}/{item.run}"
            f":{task.run}@{task.worker}/{task.incarnation}:{task.phase.name}"
        )
    if texts:
        decisions.add(
            "unassigned runs",
            worker=view.key.worker,
            incarnation=view.key.incarnation,
            **decision_log.list_fields(texts, MAX_RUNS_PER_LINE),
        )


def log_gone(
    decisions: decision_log.DecisionBuffer,
    now: float,
    gone: state_lib.WorkerKey,
    view: fleet_lib.WorkerView | None,
    lease_end: float,
    runs: int,
) -> None:
    """Logs that a worker has left, for how long it was silent, and its lease.

    Args:
        decisions: Receives the line.
        now: Monotonic time.
        gone: The incarnation that has left.
        view: The worker as it reports to the leader, None if it doesn't.
        lease_end: When its lease has ended.
        runs: How many runs end with it.
    """
    silence: dict[str, object] = {}
    if view is not None:
        silence["silent_ms"] = round(1000 * (now - view.last_heard_at))
    decisions.add(
        "worker gone",
        worker=gone.worker,
        incarnation=gone.incarnation,
        runs=runs,
        lease_left_ms=max(0, round(1000 * (lease_end - now))),
        **silence,
    )


def log_absent_runs(
    decisions: decision_log.DecisionBuffer,
    now: float,
    view: fleet_lib.WorkerView,
    ends: Sequence[log_commands.RunEnd],
) -> None:
    """Logs runs that are taken for over since a report doesn't list them.

    Args:
        decisions: Receives the line.
        now: Monotonic time.
        view: The worker that has reported.
        ends: The ends of the runs.
    """
    if not ends:
        return
    decisions.add(
        "runs absent",
        worker=view.key.worker,
        incarnation=view.key.incarnation,
        draining=view.report.draining,
        heard_ms=round(1000 * (now - view.first_heard_at)),
        ends_listed=len(view.report.ended),
        **decision_log.list_fields(
            [f"{end.task}/{end.run}" for end in ends], MAX_RUNS_PER_LINE
        ),
    )


def log_evicted_runs(
    decisions: decision_log.DecisionBuffer,
    view: fleet_lib.WorkerView,
    time_left_s: float,
    tasks: Sequence[model.TaskId],
) -> None:
    """Logs the tasks whose runs are stopped before their worker leaves.

    Args:
        decisions: Receives the line.
        view: The worker.
        time_left_s: How long it still stays, as it has promised.
        tasks: The tasks.
    """
    if not tasks:
        return
    decisions.add(
        "runs evicted",
        worker=view.key.worker,
        time_left_ms=round(1000 * time_left_s),
        **decision_log.list_fields(tasks, MAX_RUNS_PER_LINE),
    )


def log_late_report(
    decisions: decision_log.DecisionBuffer,
    view: fleet_lib.WorkerView,
    delay_s: float,
) -> None:
    """Logs a report that was on its way for so long that it grants no lease."""
    decisions.add(
        "report late",
        worker=view.key.worker,
        incarnation=view.key.incarnation,
        late_ms=round(1000 * delay_s),
    )
