"""Keeps room for tasks that need it for a moment only.

Load it answers: tasks that last claim nearly all processors, and large ordinary
tasks find no worker with enough room left, though together they need only a
few percent for a second each. A gap is room for one ordinary task of the usual
size. While there are fewer gaps than ordinary tasks have lately needed at the
same time, a lasting task takes no room that one of the smaller of them could
use, unless its worker has room for it twice or the task has been at work
before.
"""

import collections
import dataclasses
import zlib

from fulmarrouter.cluster import model

# Ordinary tasks whose sizes tell the usual ones, and where among them the one
# lies that gaps are counted in, and the one of the smaller tasks.
TASK_SIZE_WINDOW = 200
TYPICAL_QUANTILE = 0.5
SMALL_QUANTILE = 0.25
# Part of the need that is kept from one look to the next. With five looks a
# second, half of a peak is left after 7 s.
DEMAND_RETAINED_PER_UPDATE = 0.98
# Part of the processors that gaps and ordinary tasks together may keep.
MAX_PROTECTED_SHARE = 0.1
# Part of the workers that lasting tasks take last, in percent.
ORDINARY_PREFERRED_PERCENT = 12
# A lasting task may always go where there is room for this many of it.
AMPLE_CAPACITY_TASKS = 2


def is_ordinary(spec: model.StepSpec) -> bool:
    """Whether tasks of a step claim room, and give it back by themselves."""
    return not (spec.fills or spec.restarts)


def prefers_ordinary(worker: model.WorkerId) -> bool:
    """Whether lasting tasks go elsewhere as long as they find room there."""
    return zlib.crc32(worker.encode()) % 100 < ORDINARY_PREFERRED_PERCENT


def count_gaps(free_millicores: int, gap_millicores: int) -> int:
    """Returns how many gaps there are in the room of a worker."""
    return max(0, free_millicores) // gap_millicores if gap_millicores else 0


def is_protected(
    free_millicores: int,
    requested_millicores: int,
    protected_from_millicores: int,
) -> bool:
    """Whether a worker's room is kept from a lasting task.

    Args:
        free_millicores: Room of the worker.
        requested_millicores: What the lasting task asks for.
        protected_from_millicores: Room from which on it is kept; 0 where none is.
    """
    return (
        bool(protected_from_millicores)
        and protected_from_millicores
        <= free_millicores
        < AMPLE_CAPACITY_TASKS * requested_millicores
    )


@dataclasses.dataclass
class GapDemand:
    """How many gaps of which size the ordinary tasks of a service need.

    Attributes:
        typical_task_millicores: Usual millicores of an ordinary task; 0 if there has been none.
        small_task_millicores: Millicores that a smaller one of them asks for.
        concurrent_tasks: Ordinary tasks that are to find room at the same time.
    """

    typical_task_millicores: int = 0
    small_task_millicores: int = 0
    concurrent_tasks: float = 0.0
    _recent_millicores: collections.deque[int] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=TASK_SIZE_WINDOW)
    )

    def record_step(self, spec: model.StepSpec) -> None:
        """Takes in a step of ordinary tasks whose turn has come."""
        self._recent_millicores.extend(
            [spec.needs.millicores] * min(spec.count, TASK_SIZE_WINDOW)
        )

    def update(
        self, running: int, waiting: int, capacity_millicores: int
    ) -> None:
        """Takes in, at fixed intervals, how many ordinary tasks there are.

        Args:
            running: Ordinary tasks that have room.
            waiting: Ordinary tasks that have none.
            capacity_millicores: Millicores of all workers.
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
        """Whether the gaps are to be kept from some lasting tasks.

        Args:
            free_gaps: Gaps that are free.
            running: Ordinary tasks that have room.
            long_running_tasks: Lasting tasks that would take gaps.
        """
        return free_gaps + running < self.concurrent_tasks + long_running_tasks
