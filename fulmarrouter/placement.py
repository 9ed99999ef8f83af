"""Chooses the worker for a job among a bounded sample of workers."""

from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import random

from fulmarrouter import commands
from fulmarrouter import interference

# Workers in the random sample that is examined first.
SAMPLE_SIZE = 12
# Workers examined if none of the sample fits, and when an urgent job preempts.
SCAN_SIZE = 64
# Inflation of services that is tolerated if the weights for throughput and tail
# latency are equal. More adds to the cost as a risk of eviction.
BASE_TOLERATED_INFLATION = 0.17
# Cost of a worker whose cores are all in use; spreads jobs over the workers.
SPREAD_WEIGHT = 0.05
# Bounds of the factor on BASE_TOLERATED_INFLATION, which is the ratio of the
# weights for throughput and tail latency.
MIN_TOLERANCE_FACTOR = 0.5
MAX_TOLERANCE_FACTOR = 3.0


@dataclasses.dataclass(frozen=True)
class Task:
    """The properties of a task on a worker that placement uses."""

    job: str
    task_class: str
    kind: commands.JobKind


@dataclasses.dataclass(frozen=True)
class Candidate:
    """A worker that a job might be placed on.

    Attributes:
        closed_to_batch: Whether its services already suffer from interference,
            so that no batch job is added.
    """

    worker: str
    capacity: commands.Resources
    free: commands.Resources
    tasks: tuple[Task, ...]
    closed_to_batch: bool = False


Lookup = Callable[[str], Candidate | None]


@dataclasses.dataclass(frozen=True)
class Prediction:
    """Predicted interference on a worker once a job has been added.

    Attributes:
        added_service_inflation: Inflation that the job adds to services, its
            own included.
        added_batch_inflation: Inflation that the job adds to batch tasks, its
            own included.
        worst_service_inflation: Highest inflation of a service: of one on the
            worker by its batch tasks and the job, or of the job, if it is a
            service, by all tasks on the worker.
    """

    added_service_inflation: float
    added_batch_inflation: float
    worst_service_inflation: float


def predict(
    spec: commands.JobSpec,
    tasks: Sequence[Task],
    estimator: interference.Estimator,
) -> Prediction:
    """Predicts the interference if a job joins the tasks of a worker."""
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
    own_inflation = sum(
        estimator.expected(spec.task_class, name) * count
        for name, count in count_by_class.items()
    )
    added_service_inflation = 0.0
    worst_service_inflation = 0.0
    for name, count in services.items():
        added = estimator.conservative(name, spec.task_class)
        present = sum(
            estimator.expected(name, other) * other_count
            for other, other_count in batch.items()
        )
        added_service_inflation += added * count
        worst_service_inflation = max(worst_service_inflation, present + added)
    added_batch_inflation = sum(
        estimator.expected(name, spec.task_class) * count
        for name, count in batch.items()
    )
    if spec.kind is commands.JobKind.SERVICE:
        return Prediction(
            added_service_inflation + own_inflation,
            added_batch_inflation,
            max(worst_service_inflation, own_inflation),
        )
    return Prediction(
        added_service_inflation,
        added_batch_inflation + own_inflation,
        worst_service_inflation,
    )


def tolerated_inflation(weights: commands.PlacementPolicy) -> float:
    """Returns the inflation of services beyond which no batch job is added."""
    ratio = weights.throughput_weight / max(weights.tail_weight, 0.01)
    return BASE_TOLERATED_INFLATION * min(
        MAX_TOLERANCE_FACTOR, max(MIN_TOLERANCE_FACTOR, ratio)
    )


def placement_cost(
    prediction: Prediction,
    candidate: Candidate,
    weights: commands.PlacementPolicy,
) -> float:
    """Returns the cost of placing a job on a worker."""
    used = 1.0 - candidate.free.millicores / max(
        candidate.capacity.millicores, 1
    )
    # Beyond this inflation the job is likely to cause an eviction later.
    risk = max(
        0.0, prediction.worst_service_inflation - BASE_TOLERATED_INFLATION
    )
    return (
        weights.tail_weight * prediction.added_service_inflation
        + weights.throughput_weight * prediction.added_batch_inflation
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

    The number of workers examined is bounded, however many there are. If no
    worker of the sample fits, a larger number of consecutive workers is
    scanned, from a random position.

    Args:
        spec: The job.
        workers: All workers that accept jobs.
        lookup: Returns a worker's current load, or None if it can't take the
            job.
        estimator: Estimates of the interference between task classes.
        weights: The deployment's placement policy.
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
        best = _best_candidate(spec, sample, lookup, estimator, weights)
        if best is not None:
            return best
    return None


def _best_candidate(
    spec: commands.JobSpec,
    sample: Sequence[str],
    lookup: Lookup,
    estimator: interference.Estimator,
    weights: commands.PlacementPolicy,
) -> Candidate | None:
    """Returns the worker with the lowest cost on which the job may run."""
    best: Candidate | None = None
    best_cost = float("inf")
    is_batch = spec.kind is commands.JobKind.BATCH
    limit = tolerated_inflation(weights)
    for worker in sample:
        candidate = lookup(worker)
        if candidate is None or not spec.needs.fits_in(candidate.free):
            continue
        if is_batch and candidate.closed_to_batch:
            continue
        prediction = predict(spec, candidate.tasks, estimator)
        if is_batch and prediction.worst_service_inflation > limit:
            continue
        candidate_cost = placement_cost(prediction, candidate, weights)
        if candidate_cost < best_cost:
            best = candidate
            best_cost = candidate_cost
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
    """Returns tasks to evict so that the needs fit, or None if they can't.

    Tasks of lower priority go first. Within a priority larger tasks go first,
    so that few evictions are enough.
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
