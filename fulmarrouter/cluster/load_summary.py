"""Sums up what the workers hold and what waits, for the leader's log.

Answers why a job waited: how much room there was, how large the largest gap
was, and what the step that has waited longest asks for.
"""

from fulmarrouter.cluster import fleet as fleet_lib
from fulmarrouter.cluster import neighbours as neighbours_lib
from fulmarrouter.cluster import state as state_lib

INTERVAL_S = 2.0  # One line in that time; two jobs' worth of waiting.


def describe(
    state: state_lib.State,
    fleet: fleet_lib.Fleet,
    neighbours: neighbours_lib.Neighbours,
) -> dict[str, object]:
    """Returns the fields of a line on the present load.

    Cores are given as whole cores.
    """
    capacity = 0
    free = 0
    idle = 0
    largest_gap = 0
    paused = 0
    for view in fleet.view_by_id.values():
        fleet.refresh_used(state, view)
        room = view.free().millicores
        capacity += view.report.capacity.millicores
        free += max(0, room)
        idle += max(0, view.idle_millicores)
        largest_gap = max(largest_gap, room)
        paused += neighbours.paused_count(view.key)
    waiting = {"ordinary": 0, "filling": 0, "serving": 0}
    oldest: state_lib.StepKey | None = None
    for key, step in state.open_steps.items():
        spec = state.spec_of(key)
        kind = "serving" if spec.long_running else "ordinary"
        waiting["filling" if spec.fills else kind] += step.waiting_count
        if spec.fills:
            continue
        if oldest is None or _accepted(state, key) < _accepted(state, oldest):
            oldest = key
    fields: dict[str, object] = {
        "workers": len(fleet.view_by_id),
        "capacity_cores": capacity // 1000,
        "free_cores": free // 1000,
        "idle_cores": idle // 1000,
        "largest_gap_cores": largest_gap // 1000,
        "paused": paused,
        **{f"waiting_{kind}": count for kind, count in waiting.items()},
    }
    if oldest is not None:
        spec = state.spec_of(oldest)
        fields["oldest_waiting"] = ".".join(str(part) for part in oldest)
        fields["oldest_asks_cores"] = spec.needs.millicores // 1000
        fields["oldest_tasks"] = state.open_steps[oldest].waiting_count
        fields["oldest_max_per_worker"] = spec.max_per_worker
    return fields


def _accepted(state: state_lib.State, key: state_lib.StepKey) -> int:
    return state.job_by_id[key.job].accepted_index
