"""Summarizes the workers' load and the waiting tasks for the leader's log.

Shows why a job waited: how much capacity was free, how much of it on a single
worker, and what the step that has waited longest requests.
"""

import statistics

from fulmarrouter.cluster import fleet as fleet_lib
from fulmarrouter.cluster import interference_control
from fulmarrouter.cluster import model
from fulmarrouter.cluster import ordering
from fulmarrouter.cluster import state as state_lib

# Time between two log lines; about twice as long as a job waits.
SUMMARY_INTERVAL_S = 2.0


def describe(
    state: state_lib.State,
    fleet: fleet_lib.Fleet,
    interference: interference_control.InterferenceController,
) -> dict[str, object]:
    """Returns the fields of a log line on the current load.

    Processor time is rounded down to whole cores. `images_per_worker` is the
    mean number of serving images on the workers that have any.
    """
    capacity = 0
    free = 0
    idle = 0
    largest_gap = 0
    paused = 0
    suspects = 0
    image_counts = []
    for view in fleet.view_by_id.values():
        fleet.refresh_usage(state, view)
        free_here = view.free_resources().millicores
        capacity += view.report.capacity.millicores
        free += max(0, free_here)
        idle += max(0, view.idle_millicores)
        largest_gap = max(largest_gap, free_here)
        paused += interference.paused_count(view.key)
        suspects += bool(view.worker_health.failed_jobs)
        if view.serving_count_by_image:
            image_counts.append(len(view.serving_count_by_image))
    waiting = {"ordinary": 0, "filling": 0, "serving": 0}
    oldest: state_lib.StepKey | None = None
    for key, step in state.open_steps.items():
        spec = state.spec_of(key)
        kind = "serving" if spec.runs_until_cancelled else "ordinary"
        waiting["filling" if spec.fills else kind] += step.waiting_count
        if spec.fills:
            continue
        if oldest is None or _accepted_index(state, key) < _accepted_index(
            state, oldest
        ):
            oldest = key
    fields: dict[str, object] = {
        "workers": len(fleet.view_by_id),
        "capacity_cores": capacity // 1000,
        "free_cores": free // 1000,
        "idle_cores": idle // 1000,
        "largest_gap_cores": largest_gap // 1000,
        "paused": paused,
        "suspect_workers": suspects,
        "images_per_worker": round(statistics.fmean(image_counts or [0]), 2),
        **{f"waiting_{kind}": count for kind, count in waiting.items()},
    }
    if oldest is not None:
        spec = state.spec_of(oldest)
        job = state.job_by_id[oldest.job]
        fields["oldest_waiting"] = ".".join(str(part) for part in oldest)
        fields["oldest_queue"] = job.newest_queue.name
        fields["oldest_service"] = job.newest_queue.service
        fields["oldest_asks_cores"] = spec.needs.millicores // 1000
        fields["oldest_tasks"] = state.open_steps[oldest].waiting_count
        fields["oldest_max_per_worker"] = spec.max_per_worker
        fields["oldest_is_colocated"] = spec.colocate
        fields["oldest_is_gang"] = spec.gang
        fields["oldest_last_attempts"] = sum(
            task.phase is model.TaskPhase.WAITING
            and ordering.is_last_attempt(task, job.queue.max_attempts)
            for task in state.open_steps[oldest].tasks
        )
    return fields


def _accepted_index(state: state_lib.State, key: state_lib.StepKey) -> int:
    return state.job_by_id[key.job].accepted_index
