"""Chooses the worker for a job among a bounded sample of workers."""

from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import random

from fulmarrouter import commands
from fulmarrouter import interference

SAMPLE_SIZE = 12
SCAN_SIZE = 64
PROTECTED_INFLATION = 0.17
SPREAD_WEIGHT = 0.05
MIN_LENIENCE = 0.5
MAX_LENIENCE = 3.0


@dataclasses.dataclass(frozen=True)
class Task:
    """A task on a worker, as far as placement cares."""

    job: str
    task_class: str
    kind: commands.JobKind


@dataclasses.dataclass(frozen=True)
class Candidate:
    """A worker that a job might be placed on.

    Attributes:
        closed_to_batch: Services on it already suffer.
    """

    worker: str
    capacity: commands.Resources
    free: commands.Resources
    tasks: tuple[Task, ...]
    closed_to_batch: bool = False


Lookup = Callable[[str], Candidate | None]


@dataclasses.dataclass(frozen=True)
class Prediction:
    """What is expected of a worker's tasks once a job has been added.

    Attributes:
        tail: Inflation that the job adds to services, its own included.
        slowdown: Inflation that it adds to batch, its own included.
        worst: Highest inflation of a service, everything on the worker counted.
    """

    tail: float
    slowdown: float
    worst: float


def predict(
    spec: commands.JobSpec,
    tasks: Sequence[Task],
    estimator: interference.Estimator,
) -> Prediction:
    """Predicts the effect of adding a job to the tasks of a worker."""
    count_by_class: dict[str, int] = {}
    services: dict[str, int] = {}
    batch: dict[str, int] = {}
    for task in tasks:
        count_by_class[task.task_class] = (
            count_by_class.get(task.task_class, 0) + 1
        )
        is_service = task.kind is commands.JobKind.SERVICE
        group = services if is_service else batch
        group[task.task_class] = group.get(task.task_class, 0) + 1
    suffered = sum(
        estimator.expected(spec.task_class, name) * count
        for name, count in count_by_class.items()
    )
    tail = 0.0
    worst = 0.0
    for name, count in services.items():
        added = estimator.cautious(name, spec.task_class)
        present = sum(
            estimator.expected(name, other) * other_count
            for other, other_count in batch.items()
        )
        tail += added * count
        worst = max(worst, present + added)
    slowdown = sum(
        estimator.expected(name, spec.task_class) * count
        for name, count in batch.items()
    )
    if spec.kind is commands.JobKind.SERVICE:
        return Prediction(tail + suffered, slowdown, max(worst, suffered))
    return Prediction(tail, slowdown + suffered, worst)


def tolerated_inflation(weights: commands.PlacementPolicy) -> float:
    """Returns the inflation of services beyond which batch has to wait."""
    ratio = weights.throughput_weight / max(weights.tail_weight, 0.01)
    return PROTECTED_INFLATION * min(MAX_LENIENCE, max(MIN_LENIENCE, ratio))


def score(
    prediction: Prediction,
    candidate: Candidate,
    weights: commands.PlacementPolicy,
) -> float:
    """Returns the cost of placing a job on a worker; lower is better."""
    used = 1.0 - candidate.free.millicores / max(
        candidate.capacity.millicores, 1
    )
    # Beyond the protected inflation a later eviction becomes likely.
    risk = max(0.0, prediction.worst - PROTECTED_INFLATION)
    return (
        weights.tail_weight * prediction.tail
        + weights.throughput_weight * prediction.slowdown
        + weights.eviction_weight * risk
        + SPREAD_WEIGHT * used
    )


def choose_worker(
    spec: commands.JobSpec,
    workers: Sequence[str],
    lookup: Lookup,
    estimator: interference.Estimator,
    weights: commands.PlacementPolicy,
    rng: random.Random,
) -> Candidate | None:
    """Returns the best worker of a sample, or None if none fits.

    The cost is bounded by the sample, whatever the number of workers. Where
    the sample holds no fit, one longer scan from a random place is made.

    Args:
        spec: The job.
        workers: All workers that take work.
        lookup: Gives a worker's present load, None if it takes no work.
        estimator: What is known of interference.
        weights: The deployment's weights.
        rng: Source of randomness.
    """
    if not workers:
        return None
    for size in (SAMPLE_SIZE, SCAN_SIZE):
        start = rng.randrange(len(workers))
        if size >= len(workers):
            sample = [*workers[start:], *workers[:start]]
        elif size == SAMPLE_SIZE:
            sample = rng.sample(workers, size)
        else:
            sample = [workers[(start + i) % len(workers)] for i in range(size)]
        best = _best_of(spec, sample, lookup, estimator, weights)
        if best is not None:
            return best
    return None


def _best_of(
    spec: commands.JobSpec,
    sample: Sequence[str],
    lookup: Lookup,
    estimator: interference.Estimator,
    weights: commands.PlacementPolicy,
) -> Candidate | None:
    best: Candidate | None = None
    best_score = float("inf")
    is_batch = spec.kind is commands.JobKind.BATCH
    limit = tolerated_inflation(weights)
    for worker in sample:
        candidate = lookup(worker)
        if candidate is None or not spec.needs.fits_in(candidate.free):
            continue
        if is_batch and candidate.closed_to_batch:
            continue
        prediction = predict(spec, candidate.tasks, estimator)
        if is_batch and prediction.worst > limit:
            continue
        candidate_score = score(prediction, candidate, weights)
        if candidate_score < best_score:
            best = candidate
            best_score = candidate_score
    return best


@dataclasses.dataclass(frozen=True)
class Victim:
    """A running task that may be evicted for urgent work."""

    job: str
    needs: commands.Resources
    priority: commands.Priority


def choose_victims(
    needs: commands.Resources,
    free: commands.Resources,
    victims: Sequence[Victim],
    below: commands.Priority,
) -> list[Victim] | None:
    """Returns the fewest tasks whose end makes room, or None.

    Lower priorities go first, and among equals the larger task, so that few
    evictions are enough.
    """
    chosen: list[Victim] = []
    ordered = sorted(
        (victim for victim in victims if victim.priority < below),
        key=lambda victim: (
            victim.priority,
            -victim.needs.millicores,
            victim.job,
        ),
    )
    for victim in ordered:
        if needs.fits_in(free):
            break
        chosen.append(victim)
        free = free.plus(victim.needs)
    return chosen if needs.fits_in(free) else None
