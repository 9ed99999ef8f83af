"""Chooses the worker for a job among a bounded sample of workers."""

from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import random

from fulmarrouter import commands
from fulmarrouter import interference

SAMPLE_SIZE = 12
SCAN_SIZE = 64
PROTECTED_INFLATION = 0.2
SPREAD_WEIGHT = 0.05


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


def score(
    spec: commands.JobSpec,
    candidate: Candidate,
    estimator: interference.Estimator,
    weights: commands.PlacementPolicy,
) -> float:
    """Returns the cost of placing a job on a worker; lower is better."""
    tail = 0.0
    slowdown = 0.0
    for task in candidate.tasks:
        if task.kind is commands.JobKind.SERVICE:
            tail += estimator.cautious(task.task_class, spec.task_class)
        else:
            slowdown += estimator.expected(task.task_class, spec.task_class)
    suffered = sum(
        estimator.expected(spec.task_class, task.task_class)
        for task in candidate.tasks
    )
    if spec.kind is commands.JobKind.SERVICE:
        tail += suffered
    else:
        slowdown += suffered
    used = 1.0 - candidate.free.millicores / max(
        candidate.capacity.millicores, 1
    )
    # Beyond the protected inflation a later eviction becomes likely.
    risk = max(0.0, tail - PROTECTED_INFLATION)
    return (
        weights.tail_weight * tail
        + weights.throughput_weight * slowdown
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
    for worker in sample:
        candidate = lookup(worker)
        if candidate is None or not spec.needs.fits_in(candidate.free):
            continue
        if is_batch and candidate.closed_to_batch:
            continue
        candidate_score = score(spec, candidate, estimator, weights)
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
