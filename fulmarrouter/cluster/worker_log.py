"""Log lines that tell what a worker may run that it isn't assigned."""

from fulmarrouter.cluster import decision_log
from fulmarrouter.cluster import fleet as fleet_lib
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
            tasks=" ".join(texts[:MAX_RUNS_PER_LINE]),
            not_listed=max(0, len(texts) - MAX_RUNS_PER_LINE),
        )
