"""Chooses the runs that are stopped on a worker that is about to leave.

What still runs on a worker when it leaves loses the work since its last checkpoint,
and starts elsewhere only once the worker's lease has expired. A run that is stopped
before then saves its progress, and starts elsewhere once the worker lists its end. So
the runs that won't end by themselves are stopped shortly before the time is up that
the worker has promised to stay. Those that can't save their progress are stopped as
soon as it is clear that they won't end: what they do until then is lost.
"""

from fulmarrouter.cluster import decision_log
from fulmarrouter.cluster import fleet as fleet_lib
from fulmarrouter.cluster import model
from fulmarrouter.cluster import ordering
from fulmarrouter.cluster import state as state_lib
from fulmarrouter.cluster import worker_log

# Time that a worker may need to stop a run and to report its end.
STOP_S = 0.6
# A run that is about to end isn't stopped, since a stop takes as long.
ENDING_S = 0.5
# A worker may stay longer than it has promised, and how long a run goes on is an
# estimate. So a run is stopped early only if it needs this much more time.
MIN_EXCESS_S = 1.0


def request_stops(
    now: float,
    state: state_lib.State,
    view: fleet_lib.WorkerView,
    report_interval_s: float,
    decisions: decision_log.DecisionBuffer,
) -> None:
    """Requests that the runs of a draining worker stop that have to.

    Args:
        now: Monotonic time.
        state: The replicated state.
        view: The worker; its `stop_requested` is extended.
        report_interval_s: Time until it reports again, which is when an order can be
            sent to it next.
        decisions: Receives the decisions to be logged.
    """
    age_s = now - view.last_heard_at
    time_left_s = max(0.0, view.report.drain_time_left_ms / 1000 - age_s)
    is_last_call = time_left_s <= STOP_S + report_interval_s
    stopped = []
    for task, run in state.runs_by_worker.get(view.key, {}).items():
        found = state.find_task(task)
        if (
            found is None
            or not view.is_running(task, run)
            or view.must_stop(task, run)
        ):
            continue
        spec = state.spec_of(found[1])
        remaining_s = _remaining_s(now, view, spec, task)
        if is_last_call:
            is_due = remaining_s > max(time_left_s, ENDING_S)
        else:
            is_due = (
                not _keeps_its_use(spec)
                and remaining_s > time_left_s + MIN_EXCESS_S
            )
        if is_due:
            view.stop_requested[task] = run
            stopped.append(task)
    worker_log.log_evicted_runs(decisions, view, time_left_s, stopped)


def _keeps_its_use(spec: model.StepSpec) -> bool:
    """Whether what a run does until it is stopped is of use."""
    return spec.supports_checkpoints or spec.runs_until_cancelled


def _remaining_s(
    now: float,
    view: fleet_lib.WorkerView,
    spec: model.StepSpec,
    task: model.TaskId,
) -> float:
    """Returns the time after which a run is likely to end by itself.

    By its progress if it has been observed for long enough, else by the estimate of
    its submitter.
    """
    if spec.runs_until_cancelled:
        return float("inf")
    measured_s = view.progress.remaining_s(now, task)
    if measured_s is not None:
        return measured_s
    percent = view.running[task].percent
    return ordering.task_duration_s(spec) * (100 - percent) / 100
