"""Decides when a worker that says that it leaves is gone.

A leave may arrive before reports that its worker sent earlier, or late, when the
worker has started again, and need not name the incarnation. A worker that isn't
answered goes on for some seconds, with all that it runs. So neither a leave nor
silence proves that its runs are over: they are once it lists their ends, or once its
lease has expired. A worker without runs is gone once it has said that it drains and
leaves, and has been silent since. Reports that arrive after a worker is gone are not
processed like others, since its runs may have been started elsewhere.
"""

from collections.abc import Callable
from collections.abc import Mapping
import dataclasses

from fulmarrouter.cluster import fleet as fleet_lib
from fulmarrouter.cluster import model
from fulmarrouter.cluster import order_budget
from fulmarrouter.cluster import report_timing
from fulmarrouter.cluster import requests
from fulmarrouter.cluster import state as state_lib

# Silence after which a worker without runs that leaves is gone: its longest report
# interval, and time for another report if the first is lost.
SILENCE_S = (
    report_timing.MAX_REPORT_INTERVAL_MS / 1000
    + report_timing.REPORT_TIMEOUT_S
    + 0.2
)
# A report that arrives later than this after the leave was sent after it.
REPORT_IN_PROGRESS_S = 0.3
# For how long reports of a worker that is gone are recognized; at least as long as its
# lease. The time is limited so that a leave sent by mistake excludes no worker for good.
LATE_REPORT_S = 10.0


@dataclasses.dataclass
class _Leave:
    """A leave of a worker that may not be gone yet.

    Attributes:
        incarnation: It and earlier ones leave.
        said_at: When it was said; None before the first update.
    """

    incarnation: int
    said_at: float | None = None


class Departures:
    """The workers that leave and those that have left recently.

    Args:
        lease_s: Time after which a lease granted now has ended.
    """

    def __init__(self, lease_s: float) -> None:
        self._late_report_s = max(LATE_REPORT_S, lease_s)
        self._leave_by_worker: dict[model.WorkerId, _Leave] = {}
        # The incarnation up to which a worker is gone, and until when that is
        # remembered.
        self._gone_by_worker: dict[model.WorkerId, tuple[int, float]] = {}

    def announce(self, key: state_lib.WorkerKey) -> None:
        """Records that an incarnation says that it leaves."""
        known = self._leave_by_worker.get(key.worker)
        if known is None or known.incarnation < key.incarnation:
            self._leave_by_worker[key.worker] = _Leave(key.incarnation)

    def on_report(
        self, now: float, key: state_lib.WorkerKey, *, draining: bool
    ) -> str:
        """Forgets the leave of a worker that reports and so has not left.

        Returns:
            Why it is forgotten; empty if none is.
        """
        leave = self._leave_by_worker.get(key.worker)
        if leave is None or leave.incarnation < key.incarnation:
            return ""
        reason = ""
        if not draining:
            reason = "not_draining"
        elif (
            leave.said_at is not None
            and now - leave.said_at > REPORT_IN_PROGRESS_S
        ):
            reason = "still_reports"
        if reason:
            del self._leave_by_worker[key.worker]
        return reason

    def take_gone(
        self,
        now: float,
        view_by_id: Mapping[model.WorkerId, fleet_lib.WorkerView],
        end_of_runs: Callable[[model.WorkerId], float],
    ) -> list[state_lib.WorkerKey]:
        """Returns the workers that are gone since the last call.

        Args:
            now: Monotonic time.
            view_by_id: The workers that report to the leader.
            end_of_runs: Returns when all that is assigned to a worker is over at
                the latest, unless it is heard again; a past time if nothing is.
        """
        self._gone_by_worker = {
            worker: (incarnation, until)
            for worker, (incarnation, until) in self._gone_by_worker.items()
            if now < until
        }
        gone = []
        for worker, leave in list(self._leave_by_worker.items()):
            if leave.said_at is None:
                leave.said_at = now
            heard_at = leave.said_at
            view = view_by_id.get(worker)
            is_followed = (
                view is not None and view.key.incarnation > leave.incarnation
            )
            if view is not None and not is_followed:
                heard_at = max(heard_at, view.last_heard_at)
            is_silent = now - heard_at >= SILENCE_S
            if is_followed or (is_silent and now >= end_of_runs(worker)):
                del self._leave_by_worker[worker]
                self._gone_by_worker[worker] = (
                    leave.incarnation,
                    now + self._late_report_s,
                )
                gone.append(state_lib.WorkerKey(worker, leave.incarnation))
        return gone

    def is_gone(self, now: float, key: state_lib.WorkerKey) -> bool:
        """Whether the incarnation or a later one has left recently."""
        incarnation, until = self._gone_by_worker.get(key.worker, (-1, now))
        return key.incarnation <= incarnation and now < until


def leaving_incarnation(
    request: requests.WorkerLeft, view: fleet_lib.WorkerView | None
) -> int:
    """Returns the incarnation that a leave comes from, or 0 if that isn't known.

    A worker reports that it drains before it leaves. If the present incarnation
    hasn't, a leave that names none was sent by an earlier one.

    Args:
        request: The leave.
        view: The worker as it reports to the leader, None if it doesn't.
    """
    if request.incarnation or view is None:
        return request.incarnation
    if view.report.draining:
        return view.key.incarnation
    return view.key.incarnation - 1


def late_orders(report: requests.WorkerReport, term: int) -> requests.Orders:
    """Returns the answer to a report that arrives after its worker is gone.

    It acknowledges nothing and grants no lease: the end of a run must not be
    acknowledged if its task has been started elsewhere. If the worker is still
    there, it stops what it runs.
    """
    budget = order_budget.OrderBudget()
    stops = [requests.StopOrder(item.task, item.run) for item in report.running]
    return requests.Orders(
        leader_term=term,
        stops=tuple(stop for stop in stops if budget.admits(stop)),
    )
