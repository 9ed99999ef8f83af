"""Remembers which incarnations of workers have left.

A report may arrive seconds after the leave that its worker sent later. By then
the worker's runs may have been started elsewhere, so it is not processed like
others.
"""

from fulmarrouter.cluster import model
from fulmarrouter.cluster import order_budget
from fulmarrouter.cluster import requests
from fulmarrouter.cluster import state as state_lib

# For how long reports of a worker that has left are recognized. A report is
# delayed for seconds, and a worker exits some seconds after its leave at the latest.
# The time is limited so that a leave sent by mistake excludes no worker for good.
LATE_REPORT_S = 10.0


class Departures:
    """The workers that have left recently."""

    def __init__(self) -> None:
        # The incarnation up to which a worker has left, and until when that is
        # remembered; None before the first update.
        self._left_by_worker: dict[
            model.WorkerId, tuple[int, float | None]
        ] = {}

    def record(self, key: state_lib.WorkerKey) -> None:
        """Records that an incarnation, and with it earlier ones, has left."""
        known, _ = self._left_by_worker.get(key.worker, (0, None))
        if key.incarnation > known:
            self._left_by_worker[key.worker] = (key.incarnation, None)

    def has_left(self, now: float, key: state_lib.WorkerKey) -> bool:
        """Whether the incarnation or a later one has left recently."""
        incarnation, until = self._left_by_worker.get(key.worker, (0, now))
        return key.incarnation <= incarnation and (until is None or now < until)

    def update(self, now: float) -> None:
        """Starts the time for new departures and drops old ones."""
        self._left_by_worker = {
            worker: (incarnation, now + LATE_REPORT_S)
            if until is None
            else (incarnation, until)
            for worker, (incarnation, until) in self._left_by_worker.items()
            if until is None or now < until
        }


def late_orders(report: requests.WorkerReport, term: int) -> requests.Orders:
    """Returns the answer to a report that arrives after its worker's leave.

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
