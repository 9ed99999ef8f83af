"""Finds runs that stand still while their worker reports them as running.

Load it answers: workers on which some or all tasks hang without an error. A
run whose progress has not moved for long is stopped and tried elsewhere.
"""

import dataclasses

from fulmarrouter.cluster import model

# Standstill after which a run counts as stalled. Progress is reported in
# percent, so a slow run may need longer for one step of it.
STALL_TIMEOUT_S = 1.5
# That many hundredths of the estimated duration are waited for as well.
STALL_TIMEOUT_ESTIMATE_PERCENT = 6
# Filling tasks stand still by themselves while others need the processors, so
# they are given this many times as long.
FILLING_TIMEOUT_FACTOR = 2.0
# A serving task that is not at work this long after its start is stalled.
STARTUP_TIMEOUT_S = 4.0
READY_PERCENT = 100


@dataclasses.dataclass
class _LastProgress:
    run: int
    percent: int
    changed_at: float


class ProgressTracker:
    """Progress of the runs on one incarnation of a worker."""

    def __init__(self) -> None:
        self._last_progress_by_task: dict[model.TaskId, _LastProgress] = {}

    def observe(
        self, now: float, task: model.TaskId, run: int, percent: int
    ) -> float:
        """Notes a run's progress; returns how long it has stood still."""
        last = self._last_progress_by_task.get(task)
        if last is None or last.run != run or last.percent != percent:
            self._last_progress_by_task[task] = _LastProgress(run, percent, now)
            return 0.0
        return now - last.changed_at

    def restart_timeout(self, now: float, task: model.TaskId) -> None:
        """Doesn't count the time until now, during which a run was paused."""
        last = self._last_progress_by_task.get(task)
        if last is not None:
            last.changed_at = now

    def retain(self, tasks: set[model.TaskId]) -> None:
        """Forgets runs that are no longer reported."""
        for task in [
            task for task in self._last_progress_by_task if task not in tasks
        ]:
            del self._last_progress_by_task[task]


def is_stalled(spec: model.StepSpec, percent: int, still_s: float) -> bool:
    """Whether a run that has stood still for some time will not go on."""
    if spec.restarts:
        return percent < READY_PERCENT and still_s > STARTUP_TIMEOUT_S
    timeout_s = (
        STALL_TIMEOUT_S
        + STALL_TIMEOUT_ESTIMATE_PERCENT * spec.estimated_ms / 100_000
    )
    if spec.fills:
        timeout_s *= FILLING_TIMEOUT_FACTOR
    return still_s > timeout_s
