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
REMEMBERED_TASKS = 200
GAP_QUANTILE = 0.5
SMALL_QUANTILE = 0.25
# Part of the need that is kept from one look to the next. With five looks a
# second, half of a peak is left after 7 s.
KEPT_PER_LOOK = 0.98
# Part of the processors that gaps and ordinary tasks together may keep.
MAX_SHARE = 0.1
# Part of the workers that lasting tasks take last, in percent.
LEFT_PERCENT = 12
# A lasting task may always go where there is room for this many of it.
ROOMY_TASKS = 2


def is_ordinary(spec: model.StepSpec) -> bool:
    """Whether tasks of a step claim room, and give it back by themselves."""
    return not (spec.fills or spec.long_running)


def is_left_to_ordinary(worker: model.WorkerId) -> bool:
    """Whether lasting tasks go elsewhere as long as they find room there."""
    return zlib.crc32(worker.encode()) % 100 < LEFT_PERCENT


def count(free_millicores: int, size: int) -> int:
    """Returns how many gaps there are in the room of a worker."""
    return max(0, free_millicores) // size if size else 0


def is_kept(free_millicores: int, needed: int, least: int) -> bool:
    """Whether a worker's room is kept from a lasting task.

    Args:
        free_millicores: Room of the worker.
        needed: What the lasting task asks for.
        least: Room from which on it is kept; 0 where none is.
    """
    return bool(least) and least <= free_millicores < ROOMY_TASKS * needed


@dataclasses.dataclass
class Need:
    """How many gaps of which size the ordinary tasks of a service need.

    Attributes:
        size: Usual millicores of an ordinary task; 0 if there has been none.
        least: Millicores that a smaller one of them asks for.
        tasks: Ordinary tasks that are to find room at the same time.
    """

    size: int = 0
    least: int = 0
    tasks: float = 0.0
    _sizes: collections.deque[int] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=REMEMBERED_TASKS)
    )

    def note_opened(self, spec: model.StepSpec) -> None:
        """Takes in a step of ordinary tasks whose turn has come."""
        self._sizes.extend(
            [spec.needs.millicores] * min(spec.count, REMEMBERED_TASKS)
        )

    def look(self, running: int, waiting: int, capacity: int) -> None:
        """Takes in, at fixed intervals, how many ordinary tasks there are.

        Args:
            running: Ordinary tasks that have room.
            waiting: Ordinary tasks that have none.
            capacity: Millicores of all workers.
        """
        if not self._sizes:
            return
        ordered = sorted(self._sizes)
        self.size = max(1, ordered[int(GAP_QUANTILE * len(ordered))])
        self.least = max(1, ordered[int(SMALL_QUANTILE * len(ordered))])
        self.tasks = min(
            max(float(running + waiting), KEPT_PER_LOOK * self.tasks),
            MAX_SHARE * capacity / self.size,
        )

    def keeps(self, gaps: int, running: int, tasks: int) -> bool:
        """Whether the gaps are to be kept from some lasting tasks.

        Args:
            gaps: Gaps that are free.
            running: Ordinary tasks that have room.
            tasks: Lasting tasks that would take gaps.
        """
        return gaps + running < self.tasks + tasks
