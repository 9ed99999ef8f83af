"""Decides for how long a colocated step waits for a rack of its own.

Its tasks are slow when they run on more than one rack, so the step is placed on a
rack that holds all of it. It may be wider than any rack, or other tasks may
always take a part of the room, so the wait has an end.
"""

from collections.abc import Mapping

from fulmarrouter.cluster import fleet as fleet_lib
from fulmarrouter.cluster import model
from fulmarrouter.cluster import state as state_lib
from fulmarrouter.cluster import step_waits

# How long a step waits for a rack that holds all of it.
RACK_WAIT_S = 2.0
# How long a gang, or a step whose tasks run until they are cancelled, waits at most
# before it is spread over racks while workers are busy.
BUSY_RACK_WAIT_S = 10.0
# Least unclaimed share of the processors at which workers don't count as busy.
IDLE_FREE_SHARE = 0.5


class ColocationWaits(step_waits.StepWaits):
    """Since when the waiting colocated steps have not been placed completely."""

    def may_split(self, now: float, key: state_lib.StepKey) -> bool:
        """Whether a part of the step may be placed."""
        return self.waited_s(now, key) >= RACK_WAIT_S

    def may_span_racks(
        self,
        now: float,
        key: state_lib.StepKey,
        spec: model.StepSpec,
        free_share: float,
    ) -> bool:
        """Whether the step may be placed on several racks.

        Only tasks that would otherwise never run all at once may: those of a gang
        and those that run until they are cancelled. Others take turns on one rack.

        Args:
            now: Monotonic time.
            key: The step.
            spec: Its specification.
            free_share: Unclaimed share of the processors of the service.
        """
        if not (spec.gang or spec.runs_until_cancelled):
            return False
        wait_s = (
            RACK_WAIT_S if free_share >= IDLE_FREE_SHARE else BUSY_RACK_WAIT_S
        )
        return self.waited_s(now, key) >= wait_s


def rack_in_use(
    fleet: fleet_lib.Fleet,
    service: model.ServiceName,
    count_by_worker: Mapping[model.WorkerId, int],
) -> str:
    """Returns the rack of a service on which most of a step's tasks run.

    Args:
        fleet: The workers, as last reported.
        service: The service. Tasks may still run in another one, that the queue
            was sent to before.
        count_by_worker: Number of the step's tasks on each worker.

    Returns:
        The rack, or an empty string if no task runs on a known worker of it.
    """
    count_by_rack: dict[str, int] = {}
    for worker, count in count_by_worker.items():
        view = fleet.view_by_id.get(worker)
        if view is not None and view.report.service == service:
            rack = view.report.rack
            count_by_rack[rack] = count_by_rack.get(rack, 0) + count
    return max(count_by_rack, key=lambda rack: count_by_rack[rack], default="")
