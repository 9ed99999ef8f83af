"""Detects stalled runs: reported as running, but without progress.

Designed for workers on which some or all tasks hang without an error. A run
that makes no progress for too long is stopped and retried on another worker.
"""

import dataclasses

from fulmarrouter.cluster import model

# A run is stalled if its progress does not change for this long plus the
# percentage below of its estimated duration. Progress is reported in whole
# percent, so a long run takes longer to show a change.
STALL_TIMEOUT_S = 1.5
STALL_TIMEOUT_ESTIMATE_PERCENT = 6
# Filling tasks make no progress while others need the processors, so their
# timeout is longer by this factor.
FILLING_TIMEOUT_FACTOR = 2.0
# A serving task is stalled if it is not ready and its progress does not change
# for this long.
STARTUP_TIMEOUT_S = 4.0
READY_PERCENT = 100  # Progress that a serving task reports once it is ready.
# Time for which a run must have been observed to tell how long it goes on.
MIN_MEASURED_S = 0.3


@dataclasses.dataclass
class _LastProgress:
    run: int
    percent: int
    changed_at: float
    first_percent: int
    first_at: float


class ProgressTracker:
    """Last progress of the runs on one incarnation of a worker."""

    def __init__(self) -> None:
        self._last_progress_by_task: dict[model.TaskId, _LastProgress] = {}

    def observe(
        self, now: float, task: model.TaskId, run: int, percent: int
    ) -> float:
        """Records a run's progress; returns the time since it last changed."""
        last = self._last_progress_by_task.get(task)
        if last is None or last.run != run:
            self._last_progress_by_task[task] = _LastProgress(
                run, percent, now, percent, now
            )
            return 0.0
        if last.percent != percent:
            last.percent = percent
            last.changed_at = now
            return 0.0
        return now - last.changed_at

    def was_ready(self, task: model.TaskId, run: int) -> bool:
        """Whether a run was last observed with all progress that there is.

        For a task that runs until it is cancelled, this means that it was at work.
        """
        last = self._last_progress_by_task.get(task)
        return (
            last is not None
            and last.run == run
            and last.percent >= READY_PERCENT
        )

    def remaining_s(self, now: float, task: model.TaskId) -> float | None:
        """Returns the time that a run still needs at the pace that it has had.

        None if it has been observed for too short a time to tell.
        """
        last = self._last_progress_by_task.get(task)
        if last is None:
            return None
        elapsed_s = now - last.first_at
        if elapsed_s < MIN_MEASURED_S:
            return None
        # Progress is reported in whole percent.
        percent = max(1, last.percent - last.first_percent)
        return (100 - last.percent) * elapsed_s / percent

    def restart_timeout(self, now: float, task: model.TaskId) -> None:
        """Restarts a run's stall timeout, because it is paused."""
        last = self._last_progress_by_task.get(task)
        if last is not None:
            last.changed_at = now

    def retain(self, tasks: set[model.TaskId]) -> None:
        """Drops all runs except those of the given tasks."""
        for task in [
            task for task in self._last_progress_by_task if task not in tasks
        ]:
            del self._last_progress_by_task[task]


def is_stalled(spec: model.StepSpec, percent: int, still_s: float) -> bool:
    """Whether a run without progress for `still_s` counts as stalled."""
    if spec.runs_until_cancelled:
        return percent < READY_PERCENT and still_s > STARTUP_TIMEOUT_S
    timeout_s = (
        STALL_TIMEOUT_S
        + STALL_TIMEOUT_ESTIMATE_PERCENT * spec.estimated_ms / 100_000
    )
    if spec.fills:
        timeout_s *= FILLING_TIMEOUT_FACTOR
    return still_s > timeout_s
