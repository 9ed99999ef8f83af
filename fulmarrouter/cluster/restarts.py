"""Decides when the runs of a worker's earlier incarnations are over.

The first report of an incarnation proves that earlier ones run nothing any more. It
doesn't prove that nothing sent to them can take effect: an answer to their last report
may still arrive, and the next incarnation may take it and start what it orders. So a
run that the last answer has ordered is over only once a report that was sent after the
answer has become invalid doesn't list it, or once the lease has expired.

For that time the next incarnation is told to start nothing: such an answer may also
acknowledge ends that have not been committed, since each incarnation numbers its ends
from 1.
"""

from collections.abc import Mapping
from collections.abc import MutableMapping

from fulmarrouter.cluster import fleet as fleet_lib
from fulmarrouter.cluster import log_commands
from fulmarrouter.cluster import model
from fulmarrouter.cluster import report_timing
from fulmarrouter.cluster import run_ends
from fulmarrouter.cluster import state as state_lib

# How long after a report an answer to it may be taken, on a slow clock.
ANSWER_VALIDITY_S = (
    report_timing.REPORT_TIMEOUT_S * fleet_lib.CLOCK_DRIFT_FACTOR
)
# Time that a worker may need to list a run that it starts in its reports.
START_MARGIN_S = 0.3


def follow(
    state: state_lib.State,
    known: fleet_lib.WorkerView | None,
    view: fleet_lib.WorkerView,
    lease_end_by_key: MutableMapping[state_lib.WorkerKey, float],
) -> list[log_commands.RunEnd]:
    """Lets an incarnation take the place of earlier ones.

    Args:
        state: The replicated state.
        known: The incarnation that the leader knew so far, None if none.
        view: The incarnation that has reported for the first time. Runs of earlier
            ones that it may still start are left to it to decide.
        lease_end_by_key: When the leases that earlier leaders granted have ended.
            Entries of the earlier incarnations are removed.

    Returns:
        The ends, as lost, of the runs that are over.
    """
    if known is not None:
        view.starts_after = max(
            known.starts_after, known.answered_at + ANSWER_VALIDITY_S
        )
    ends = []
    for key in run_ends.incarnations_with_runs(state, view.key.worker):
        if key.incarnation >= view.key.incarnation:
            continue
        runs = state.runs_by_worker[key]
        undecided: Mapping[model.TaskId, int] = {}
        lease_end = lease_end_by_key.pop(key, 0.0)
        if known is not None and known.key == key:
            undecided = known.ordered_runs()
            lease_end = known.lease_until
        elif known is not None and key in known.undecided:
            undecided = runs
            lease_end = known.lease_until
        elif lease_end:
            # What an earlier leader has ordered isn't known.
            undecided = runs
        over = {
            task: run
            for task, run in runs.items()
            if undecided.get(task) != run
        }
        ends += run_ends.lost_ends(known, key, over)
        if len(over) < len(runs):
            view.undecided.add(key)
            view.lease_until = max(view.lease_until, lease_end)
    return ends


def decide(
    now: float, state: state_lib.State, view: fleet_lib.WorkerView
) -> list[log_commands.RunEnd]:
    """Returns the ends of earlier incarnations' runs that a report proves.

    Those that it lists have been started; they are over once they have stopped.
    """
    if not view.undecided or not view.lists_all_ends:
        return []
    if not _follows_all_answers(now, view):
        return []
    ends = []
    undecided = set()
    for key in sorted(view.undecided):
        runs = state.runs_by_worker.get(key, {})
        over = {
            task: run
            for task, run in runs.items()
            if not view.is_running(task, run)
        }
        ends += run_ends.lost_ends(None, key, over)
        if len(over) < len(runs):
            undecided.add(key)
    view.undecided = undecided
    return ends


def _follows_all_answers(now: float, view: fleet_lib.WorkerView) -> bool:
    """Whether answers to earlier incarnations were invalid at the last report.

    The report may have been held back, so only the worker's own clock tells when it was
    sent. The first report was sent after those of the earlier incarnations.
    """
    if view.report.clock_ms and view.first_clock_ms:
        elapsed_ms = view.report.clock_ms - view.first_clock_ms
        return elapsed_ms >= 1000 * (ANSWER_VALIDITY_S + START_MARGIN_S)
    return now - view.first_heard_at >= fleet_lib.ORDER_EFFECT_S
