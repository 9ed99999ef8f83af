"""Chooses moves of serving tasks that leave fewer images on each worker.

Designed for serving tasks that claim most processors. A filling image slows
some serving images strongly and others hardly, so each further serving image on
a worker keeps out filling images for which the worker has idle processors. The
jobs arrive one after the other, and the tasks of some are spread over workers,
so placement alone leaves several images on most workers.
"""

from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import itertools

from fulmarrouter import commands
from fulmarrouter.cluster import assignment_limits
from fulmarrouter.cluster import model

# Least gain of a move, as a share of the capacity of the worker that the task
# leaves. A task is away for about a second while it moves.
MIN_GAIN_SHARE = 0.03

# Returns which share of the filling work two serving images, or an image twice,
# both bear: from 0 to 1.
Compatibility = Callable[[str, str], float]


@dataclasses.dataclass(frozen=True)
class Host:
    """A worker with its serving tasks.

    Attributes:
        free: Capacity that no task claims.
        count_by_image: Number of its serving tasks of each image.
        takes_more: Whether it may take a task without giving one up. Not if
            its free capacity is for others.
    """

    worker: model.WorkerId
    service: model.ServiceName
    capacity_millicores: int
    free: commands.Resources
    labels: Sequence[str]
    rack: str
    count_by_image: Mapping[str, int]
    takes_more: bool = True


@dataclasses.dataclass(frozen=True)
class MovableTask:
    """A serving task that may be moved.

    Attributes:
        service: Service whose workers may run it.
        workers_at_limit: Workers that may not run another task of its step.
    """

    task: model.TaskId
    job: model.JobId
    service: model.ServiceName
    spec: model.StepSpec
    workers_at_limit: frozenset[model.WorkerId] = frozenset()


@dataclasses.dataclass(frozen=True)
class Transfer:
    """A serving task and its new worker."""

    item: MovableTask
    source: model.WorkerId
    target: model.WorkerId


@dataclasses.dataclass(frozen=True)
class Plan:
    """A move of one task, or an exchange of two.

    Attributes:
        gain: Growth of the open capacity of both workers, in millicores for
            each moved task.
    """

    transfers: tuple[Transfer, ...]
    gain: float


class Mix:
    """The serving images of a worker, with what changes to them would gain.

    A change costs the same however many tasks there are.

    Args:
        host: The worker.
        compatibility: Of the serving images; the same both ways.
    """

    def __init__(self, host: Host, compatibility: Compatibility) -> None:
        self.host = host
        self._compatibility = compatibility
        self._tasks = sum(host.count_by_image.values())
        self._sum_by_image: dict[str, float] = {}
        # Sum of the compatibilities of all pairs of tasks.
        self._pair_sum = sum(
            count * self._sum_with(image)
            for image, count in host.count_by_image.items()
        )
        self._open = self._open_millicores(self._pair_sum, self._tasks)

    @property
    def closed_millicores(self) -> float:
        """Capacity that the mix of images closes to filling tasks.

        Measured against a worker whose tasks bear as much but have one image
        each.
        """
        unmixed = sum(
            count * self._compatibility(image, image)
            for image, count in self.host.count_by_image.items()
        )
        return self.host.capacity_millicores * unmixed / max(1, self._tasks) - (
            self._open if self._tasks else 0.0
        )

    def gain(self, given: str, taken: str) -> float:
        """Returns the open capacity gained, in millicores.

        Args:
            given: Image of a task that the worker gives up, or empty.
            taken: Image of a task that it takes, or empty.
        """
        pair_sum, tasks = self._pair_sum, self._tasks
        if given:
            pair_sum -= 2 * self._sum_with(given)
            pair_sum += self._compatibility(given, given)
            tasks -= 1
        if taken:
            pair_sum += 2 * self._sum_with(taken)
            pair_sum += self._compatibility(taken, taken)
            tasks += 1
        if given and taken:
            pair_sum -= 2 * self._compatibility(given, taken)
        return self._open_millicores(pair_sum, tasks) - self._open

    def _sum_with(self, image: str) -> float:
        """Returns the sum of an image's compatibilities with all tasks."""
        known = self._sum_by_image.get(image)
        if known is None:
            known = sum(
                count * self._compatibility(image, other)
                for other, count in self.host.count_by_image.items()
            )
            self._sum_by_image[image] = known
        return known

    def _open_millicores(self, pair_sum: float, tasks: int) -> float:
        openness = pair_sum / tasks**2 if tasks else 1.0
        return self.host.capacity_millicores * openness


def best_plan(
    source: Mix,
    targets: Sequence[Mix],
    tasks_by_worker: Mapping[model.WorkerId, Sequence[MovableTask]],
) -> Plan | None:
    """Returns the move or exchange that gains most for a worker.

    None if none gains enough.

    Args:
        source: The worker with too many images.
        targets: The workers to consider.
        tasks_by_worker: Movable tasks of the source, and of the targets with
            which it may exchange tasks.
    """
    plans = [
        plan
        for target in targets
        if target.host.worker != source.host.worker
        for plan in _plans(source, target, tasks_by_worker)
    ]
    return max(plans, key=lambda plan: plan.gain, default=None)


def _plans(
    source: Mix,
    target: Mix,
    tasks_by_worker: Mapping[model.WorkerId, Sequence[MovableTask]],
) -> Iterator[Plan]:
    """Yields the moves and exchanges between two workers that gain enough."""
    min_gain = MIN_GAIN_SHARE * source.host.capacity_millicores
    given_by_image = _group_by_image(tasks_by_worker, source.host.worker)
    taken_by_image = _group_by_image(tasks_by_worker, target.host.worker)
    for image, given_tasks in given_by_image.items():
        if target.host.takes_more:
            gain = source.gain(image, "") + target.gain("", image)
            for given in given_tasks if gain > min_gain else ():
                if _can_host(target.host, given, target.host.free):
                    yield Plan((_transfer(given, source, target),), gain)
        for other, taken_tasks in taken_by_image.items():
            if other == image:
                continue
            gain = source.gain(image, other) + target.gain(other, image)
            if gain / 2 <= min_gain:
                continue
            for given, taken in itertools.product(given_tasks, taken_tasks):
                if given.job != taken.job and _can_exchange(
                    source.host, given, target.host, taken
                ):
                    there = _transfer(given, source, target)
                    back = _transfer(taken, target, source)
                    yield Plan((there, back), gain / 2)


def _group_by_image(
    tasks_by_worker: Mapping[model.WorkerId, Sequence[MovableTask]],
    worker: model.WorkerId,
) -> dict[str, list[MovableTask]]:
    tasks_by_image: dict[str, list[MovableTask]] = {}
    for item in tasks_by_worker.get(worker, ()):
        tasks_by_image.setdefault(item.spec.image, []).append(item)
    return tasks_by_image


def _transfer(item: MovableTask, source: Mix, target: Mix) -> Transfer:
    return Transfer(item, source.host.worker, target.host.worker)


def _can_exchange(
    source: Host, given: MovableTask, target: Host, taken: MovableTask
) -> bool:
    return _can_host(
        target, given, target.free.plus(taken.spec.needs)
    ) and _can_host(source, taken, source.free.plus(given.spec.needs))


def _can_host(
    target: Host, item: MovableTask, free: commands.Resources
) -> bool:
    spec = item.spec
    return (
        item.service == target.service
        and spec.needs.fits_in(free)
        and assignment_limits.has_label(spec, target.labels)
        and spec.preferred_rack in ("", target.rack)
        and target.worker not in item.workers_at_limit
    )
