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

from fulmarrouter import commands
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
        workers_at_limit: Workers that may not run another task of its step.
    """

    task: model.TaskId
    job: model.JobId
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


def mixed_millicores(host: Host, compatibility: Compatibility) -> float:
    """Returns how much of a worker its mix of images closes to filling tasks.

    Measured against a worker whose tasks bear as much but have one image each.
    """
    total = sum(host.count_by_image.values())
    if not total:
        return 0.0
    unmixed = (
        sum(
            count * compatibility(image, image)
            for image, count in host.count_by_image.items()
        )
        / total
    )
    return host.capacity_millicores * (
        unmixed - _openness(host.count_by_image, compatibility)
    )


def best_plan(
    source: Host,
    targets: Sequence[Host],
    tasks_by_worker: Mapping[model.WorkerId, Sequence[MovableTask]],
    compatibility: Compatibility,
) -> Plan | None:
    """Returns the move or exchange that gains most for a worker.

    None if none gains enough.

    Args:
        source: The worker with too many images.
        targets: The workers to consider.
        tasks_by_worker: Movable tasks of the source, and of the targets with
            which it may exchange tasks.
        compatibility: Of the serving images.
    """
    min_gain = MIN_GAIN_SHARE * source.capacity_millicores
    plans = [
        plan
        for target in targets
        if target.worker != source.worker
        for plan in _plans(
            source, target, tasks_by_worker, compatibility, min_gain
        )
    ]
    return max(plans, key=lambda plan: plan.gain, default=None)


def _plans(
    source: Host,
    target: Host,
    tasks_by_worker: Mapping[model.WorkerId, Sequence[MovableTask]],
    compatibility: Compatibility,
    min_gain: float,
) -> Iterator[Plan]:
    """Yields the moves and exchanges between two workers that gain enough."""
    gain_by_images: dict[tuple[str, str], float] = {}

    def gain(given: str, taken: str) -> float:
        known = gain_by_images.get((given, taken))
        if known is None:
            known = _gain(source, target, given, taken, compatibility)
            gain_by_images[given, taken] = known
        return known

    for given in tasks_by_worker.get(source.worker, ()):
        image = given.spec.image
        there = Transfer(given, source.worker, target.worker)
        if (
            target.takes_more
            and gain(image, "") > min_gain
            and _can_host(target, given, target.free)
        ):
            yield Plan((there,), gain(image, ""))
        for taken in tasks_by_worker.get(target.worker, ()):
            if taken.job == given.job or taken.spec.image == image:
                continue
            gain_per_task = gain(image, taken.spec.image) / 2
            if gain_per_task > min_gain and _can_exchange(
                source, given, target, taken
            ):
                back = Transfer(taken, target.worker, source.worker)
                yield Plan((there, back), gain_per_task)


def _gain(
    source: Host,
    target: Host,
    given: str,
    taken: str,
    compatibility: Compatibility,
) -> float:
    """Returns the growth of the open capacity of two workers.

    Args:
        source: Gives up a task of the image `given`.
        target: Takes that task.
        given: An image.
        taken: Image of the task that goes the other way; empty if none does.
        compatibility: Of the serving images.
    """
    source_counts = _with_change(source.count_by_image, given, -1)
    target_counts = _with_change(target.count_by_image, given, 1)
    if taken:
        source_counts = _with_change(source_counts, taken, 1)
        target_counts = _with_change(target_counts, taken, -1)
    return sum(
        host.capacity_millicores
        * (
            _openness(counts, compatibility)
            - _openness(host.count_by_image, compatibility)
        )
        for host, counts in ((source, source_counts), (target, target_counts))
    )


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
        spec.needs.fits_in(free)
        and (not spec.required_label or spec.required_label in target.labels)
        and spec.preferred_rack in ("", target.rack)
        and target.worker not in item.workers_at_limit
    )


def _with_change(
    count_by_image: Mapping[str, int], image: str, change: int
) -> dict[str, int]:
    changed = dict(count_by_image)
    changed[image] = changed.get(image, 0) + change
    return changed


def _openness(
    count_by_image: Mapping[str, int], compatibility: Compatibility
) -> float:
    """Returns the mean compatibility of the tasks on a worker."""
    total = sum(count_by_image.values())
    if not total:
        return 1.0
    return (
        sum(
            count * other_count * compatibility(image, other)
            for image, count in count_by_image.items()
            for other, other_count in count_by_image.items()
        )
        / total**2
    )
