"""Finds runs that stand still while their worker reports them as running.

Load it answers: workers on which some or all tasks hang without an error. A
run whose progress has not moved for long is stopped and tried elsewhere.
"""

import dataclasses

from fulmarrouter.cluster import model

# Standstill after which a run counts as stalled. Progress is reported in
# percent, so a slow run may need longer for one step of it.
STALLED_AFTER_S = 1.5
# That many hundredths of the estimated duration are waited for as well.
ESTIMATE_STEPS = 6
# Filling tasks stand still by themselves while others need the processors, so
# they are given this many times as long.
FILLING_PATIENCE = 2.0
# A serving task that is not at work this long after its start is stalled.
STARTUP_S = 4.0
AT_WORK_PERCENT = 100


@dataclasses.dataclass
class _Seen:
    run: int
    percent: int
    moved_at: float


class Progress:
    """Progress of the runs on one incarnation of a worker."""

    def __init__(self) -> None:
        self._seen_by_task: dict[model.TaskId, _Seen] = {}

    def note(
        self, now: float, task: model.TaskId, run: int, percent: int
    ) -> float:
        """Notes a run's progress; returns how long it has stood still."""
        seen = self._seen_by_task.get(task)
        if seen is None or seen.run != run or seen.percent != percent:
            self._seen_by_task[task] = _Seen(run, percent, now)
            return 0.0
        return now - seen.moved_at

    def excuse(self, now: float, task: model.TaskId) -> None:
        """Doesn't count the time until now, during which a run was paused."""
        seen = self._seen_by_task.get(task)
        if seen is not None:
            seen.moved_at = now

    def keep_only(self, tasks: set[model.TaskId]) -> None:
        """Forgets runs that are no longer reported."""
        for task in [task for task in self._seen_by_task if task not in tasks]:
            del self._seen_by_task[task]


def is_stalled(spec: model.StepSpec, percent: int, still_s: float) -> bool:
    """Whether a run that has stood still for some time will not go on."""
    if spec.long_running:
        return percent < AT_WORK_PERCENT and still_s > STARTUP_S
    patience = STALLED_AFTER_S + ESTIMATE_STEPS * spec.estimated_ms / 100_000
    if spec.fills:
        patience *= FILLING_PATIENCE
    return still_s > patience
