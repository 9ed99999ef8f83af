"""Protects free capacity for ordinary tasks from long-running ones.

Designed for long-running tasks that claim nearly all processors. Large ordinary
tasks would then find no worker with enough free capacity, although together
they need only a few percent of the processors, each for about a second.

A gap is free capacity on one worker for one ordinary task of typical size.
While there are fewer gaps than ordinary tasks have recently needed at the same
time, a long-running task may not take free capacity that is enough for one of
the smaller ordinary tasks. Exempt are workers with free capacity for two of the
long-running task, and tasks that have run before.
"""

import collections
import dataclasses
import zlib

from fulmarrouter.cluster import model

# Number of recent ordinary tasks whose sizes are kept, and the quantiles of
# these sizes that define a typical and a smaller task.
TASK_SIZE_WINDOW = 200
TYPICAL_QUANTILE = 0.5
SMALL_QUANTILE = 0.25
# Share of the demand that remains after each update without new tasks. With
# five updates per second, half of a peak is left after 7 s.
DEMAND_RETAINED_PER_UPDATE = 0.98
# Largest share of the processors for gaps and ordinary tasks together.
MAX_PROTECTED_SHARE = 0.1
# Percentage of the workers that long-running tasks take last.
ORDINARY_PREFERRED_PERCENT = 12
# A long-running task may always go to a worker with free capacity for this many
# of it.
AMPLE_CAPACITY_TASKS = 2


def is_ordinary(spec: model.StepSpec) -> bool:
    """Whether tasks of a step claim processor time and end by themselves."""
    return not (spec.fills or spec.runs_until_cancelled)


def prefers_ordinary(worker: model.WorkerId) -> bool:
    """Whether long-running tasks take a worker only if no other fits."""
    return zlib.crc32(worker.encode()) % 100 < ORDINARY_PREFERRED_PERCENT


def count_gaps(free_millicores: int, gap_millicores: int) -> int:
    """Returns how many gaps the free capacity of a worker holds."""
    return max(0, free_millicores) // gap_millicores if gap_millicores else 0


def is_protected(
    free_millicores: int,
    requested_millicores: int,
    protected_from_millicores: int,
) -> bool:
    """Whether a worker's free capacity is protected from a long-running task.

    Args:
        free_millicores: Free capacity of the worker.
        requested_millicores: Demand of the long-running task.
        protected_from_millicores: Least free capacity that is protected; 0 if
            none is.
    """
    return (
        bool(protected_from_millicores)
        and protected_from_millicores
        <= free_millicores
        < AMPLE_CAPACITY_TASKS * requested_millicores
    )


@dataclasses.dataclass
class GapDemand:
    """Number and size of the gaps that ordinary tasks of a service need.

    Attributes:
        typical_task_millicores: Demand of a typical ordinary task, which is the
            size of a gap; 0 if there has been none.
        small_task_millicores: Demand of a smaller ordinary task.
        concurrent_tasks: Ordinary tasks that should be able to run at the same
            time.
    """

    typical_task_millicores: int = 0
    small_task_millicores: int = 0
    concurrent_tasks: float = 0.0
    _recent_millicores: collections.deque[int] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=TASK_SIZE_WINDOW)
    )

    def record_step(self, spec: model.StepSpec) -> None:
        """Records the task sizes of a newly opened step of ordinary tasks."""
        self._recent_millicores.extend(
            [spec.needs.millicores] * min(spec.count, TASK_SIZE_WINDOW)
        )

    def update(
        self, running: int, waiting: int, capacity_millicores: int
    ) -> None:
        """Updates the demand; to be called at fixed intervals.

        Args:
            running: Ordinary tasks that are assigned to a worker.
            waiting: Ordinary tasks that wait to be placed.
            capacity_millicores: Capacity of all workers together.
        """
        if not self._recent_millicores:
            return
        ordered = sorted(self._recent_millicores)
        self.typical_task_millicores = max(
            1, ordered[int(TYPICAL_QUANTILE * len(ordered))]
        )
        self.small_task_millicores = max(
            1, ordered[int(SMALL_QUANTILE * len(ordered))]
        )
        self.concurrent_tasks = min(
            max(
                float(running + waiting),
                DEMAND_RETAINED_PER_UPDATE * self.concurrent_tasks,
            ),
            MAX_PROTECTED_SHARE
            * capacity_millicores
            / self.typical_task_millicores,
        )

    def protects_gaps(
        self, free_gaps: int, running: int, long_running_tasks: int
    ) -> bool:
        """Whether gaps are to be protected from long-running tasks.

        Args:
            free_gaps: Number of free gaps.
            running: Ordinary tasks that are assigned to a worker.
            long_running_tasks: Long-running tasks that would take gaps.
        """
        return free_gaps + running < self.concurrent_tasks + long_running_tasks
