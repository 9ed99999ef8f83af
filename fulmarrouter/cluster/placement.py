"""Chooses workers for the waiting tasks of a step.

Designed for hundreds of waiting tasks of different sizes and workers that are
mostly full, with tasks that interfere with others on the same worker. All
workers are scored once per step and kept in a heap. Each placed task then costs
one heap operation and a new score for the chosen worker.
"""

from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses
import heapq

from fulmarrouter import commands
from fulmarrouter.cluster import assignment_limits
from fulmarrouter.cluster import gaps
from fulmarrouter.cluster import health
from fulmarrouter.cluster import interference_model
from fulmarrouter.cluster import model
from fulmarrouter.cluster import pacing

# Share of its requested processor time that must be idle on a worker before a
# filling task is placed there.
MIN_FILLING_IDLE_SHARE = 0.5
UNLIMITED_TASKS = 1 << 30  # More tasks than any worker can run.
# Largest share of a serving task's remaining headroom that one filling task may
# use up. A task that uses more would occupy the headroom of several that use
# little.
MAX_HEADROOM_LOSS_SHARE = 0.25
# Losses of headroom up to this can't be told from noise and are ignored.
NEGLIGIBLE_HEADROOM_LOSS = 0.03
MIN_HEADROOM_DIVISOR = 0.01  # Avoids division by zero for relative losses.
# Similarity of a serving task of the same image in another step or job, between
# one of the same step (1) and one of another image (0).
SAME_IMAGE_SIMILARITY = 0.5
# Score of a worker without serving tasks, on the same scale.
NO_SERVING_SIMILARITY = 0.45
# Added to the score of workers that long-running tasks take last; ranks them
# below every worker without it.
PREFERS_ORDINARY_PENALTY = -2.0


@dataclasses.dataclass
class CandidateWorker:
    """Capacity of a worker; updated with each task placed on it.

    Attributes:
        free_millicores: Processor time that no ordinary or serving task
            claims.
        idle_millicores: Processor time that is left for filling tasks.
        baseline_headroom_by_image: Lowest baseline headroom of its serving
            tasks of each image.
        filling_share_by_image: Share of its processors that filling tasks
            request.
        serving_count_by_image: Number of its serving tasks.
        suspicion: Whether tasks have failed here since the last success.
        prefers_ordinary: Whether long-running tasks take it last, so that
            ordinary tasks find capacity even before any has been seen.
        on_trial: Whether it gets one task at a time after a probation.
        max_new_tasks: Tasks that may still be placed here; a gang may exceed
            the limit of a worker on trial.
        remaining_headroom_by_image: Headroom that its filling tasks leave to
            its serving tasks; None until it is computed.
    """

    worker: model.WorkerId
    incarnation: int
    labels: tuple[str, ...]
    rack: str
    capacity_millicores: int
    free_millicores: int
    free_memory_mb: int
    free_accelerators: int
    idle_millicores: int
    baseline_headroom_by_image: dict[str, float] = dataclasses.field(
        default_factory=dict
    )
    filling_share_by_image: dict[str, float] = dataclasses.field(
        default_factory=dict
    )
    serving_count_by_image: dict[str, int] = dataclasses.field(
        default_factory=dict
    )
    suspicion: health.Suspicion = health.Suspicion.NONE
    prefers_ordinary: bool = False
    on_trial: bool = False
    max_new_tasks: int = UNLIMITED_TASKS
    remaining_headroom_by_image: dict[str, float] | None = None

    def fits(self, needs: commands.Resources, fills: bool) -> bool:
        """Whether one more task fits, within the limit of new tasks."""
        return self.max_new_tasks > 0 and self.has_capacity(needs, fills)

    def has_capacity(self, needs: commands.Resources, fills: bool) -> bool:
        """Whether the free capacity is enough for one more task."""
        if needs.memory_mb > self.free_memory_mb:
            return False
        if needs.accelerators > self.free_accelerators:
            return False
        if fills:
            min_idle = needs.millicores * MIN_FILLING_IDLE_SHARE
            return min_idle <= self.idle_millicores
        return needs.millicores <= self.free_millicores

    def reserve(self, spec: model.StepSpec) -> None:
        """Subtracts the capacity that a task placed here claims."""
        self.max_new_tasks -= 1
        self.free_memory_mb -= spec.needs.memory_mb
        self.free_accelerators -= spec.needs.accelerators
        self.idle_millicores -= spec.needs.millicores
        if spec.fills:
            shares = dict(self.filling_share_by_image)
            shares[spec.image] = shares.get(
                spec.image, 0.0
            ) + self.requested_share(spec)
            self.filling_share_by_image = shares
            self.remaining_headroom_by_image = None
        else:
            self.free_millicores -= spec.needs.millicores
        if spec.tail_target_ms:
            counts = dict(self.serving_count_by_image)
            counts[spec.image] = counts.get(spec.image, 0) + 1
            self.serving_count_by_image = counts

    def requested_share(self, spec: model.StepSpec) -> float:
        """Returns the share of the processors that a task requests."""
        return spec.needs.millicores / max(1, self.capacity_millicores)


@dataclasses.dataclass(frozen=True)
class Demand:
    """Waiting tasks of one step.

    Attributes:
        indices: Positions of the tasks in the step.
        avoided_by_index: Worker on which a task ran last; it is used only if
            no other fits.
        last_attempts: Tasks whose job fails if they fail once more; they are
            not placed where a task has just failed.
        count_by_worker: Tasks of the step that are on a worker or planned for
            it.
        rack: Rack on which tasks of a colocated step run, or an empty string.
        may_split: Whether a part of a colocated step may be placed; the rest
            follows on the same rack.
        may_span_racks: Whether a colocated step may be placed on several racks.
        may_exceed_trials: Whether a gang may be placed on workers on trial
            beyond their limit of new tasks.
        is_starved: Whether a filling task has waited so long that it may also
            go where it would run only at a slow pace.
        protected_from_millicores: Least free capacity of a worker that is
            protected from the tasks; 0 if none is.
    """

    spec: model.StepSpec
    indices: Sequence[int]
    avoided_by_index: dict[int, str]
    count_by_worker: dict[model.WorkerId, int]
    last_attempts: frozenset[int] = frozenset()
    rack: str = ""
    may_split: bool = False
    may_span_racks: bool = False
    may_exceed_trials: bool = False
    is_starved: bool = False
    protected_from_millicores: int = 0


class _Scorer:
    """Scores workers for the tasks of one step; the highest score is taken."""

    def __init__(
        self, effects: interference_model.InterferenceModel, demand: Demand
    ) -> None:
        self._effects = effects
        self._spec = demand.spec
        self._is_starved = demand.is_starved
        self._protected_from_millicores = demand.protected_from_millicores
        self._effect_by_serving: dict[str, float] = {}

    def score(
        self, candidate: CandidateWorker, same_step: int
    ) -> tuple[float, float] | None:
        """Returns a worker's score, or None if it may not take the tasks.

        Args:
            candidate: The worker.
            same_step: Number of tasks of the step already on the worker.
        """
        spec = self._spec
        if spec.fills:
            return self._score_filling(candidate)
        if not spec.tail_target_ms:
            # Best fit: leaves larger free capacity for larger tasks.
            return (0.0, float(-candidate.free_millicores))
        if gaps.is_protected(
            candidate.free_millicores,
            spec.needs.millicores,
            self._protected_from_millicores,
        ):
            return None
        # The serving task with the least headroom limits the filling tasks on a
        # worker. The load of one job's tasks varies together, and filling tasks
        # affect all tasks of one image alike. A worker with few different jobs
        # or images therefore has headroom for filling tasks more often.
        idle = candidate.idle_millicores / max(1, candidate.capacity_millicores)
        serving = sum(candidate.serving_count_by_image.values())
        penalty = (
            PREFERS_ORDINARY_PENALTY if candidate.prefers_ordinary else 0.0
        )
        if not serving:
            return (NO_SERVING_SIMILARITY + penalty, idle)
        same_image = candidate.serving_count_by_image.get(spec.image, 0)
        similarity = (
            SAME_IMAGE_SIMILARITY * (same_image - same_step) + same_step
        ) / serving
        return (similarity + penalty, idle)

    def _score_filling(
        self, candidate: CandidateWorker
    ) -> tuple[float, float] | None:
        """Prefers workers whose serving tasks lose the least headroom.

        Returns None where a serving task would lose too much, unless the task
        is starved.
        """
        share = candidate.requested_share(self._spec)
        lost = 0.0
        for image, remaining in self._remaining_headroom(candidate).items():
            loss = self._effect_on(image) * share
            if loss <= NEGLIGIBLE_HEADROOM_LOSS:
                continue
            exceeds_limit = (
                remaining - loss < pacing.MIN_PLACEMENT_HEADROOM
                or loss > MAX_HEADROOM_LOSS_SHARE * remaining
            )
            if exceeds_limit and not self._is_starved:
                return None
            lost = max(lost, loss / max(remaining, MIN_HEADROOM_DIVISOR))
        return (-lost, float(candidate.idle_millicores))

    def _remaining_headroom(
        self, candidate: CandidateWorker
    ) -> dict[str, float]:
        if candidate.remaining_headroom_by_image is None:
            candidate.remaining_headroom_by_image = {
                image: headroom
                - self._effects.expected_loss(
                    image, candidate.filling_share_by_image
                )
                for image, headroom in candidate.baseline_headroom_by_image.items()
            }
        return candidate.remaining_headroom_by_image

    def _effect_on(self, serving: str) -> float:
        known = self._effect_by_serving.get(serving)
        if known is None:
            known = self._effects.effect(self._spec.image, serving)
            self._effect_by_serving[serving] = known
        return known


# A worker, after what it is ordered by: whether the task exceeds its trial, whether
# it is on another rack than the preferred one, two scores, and a tiebreaker.
_HeapItem = tuple[bool, bool, float, float, int, CandidateWorker]


class _CandidateQueue:
    """Priority queue of the workers that may take a step's tasks."""

    def __init__(
        self,
        candidates: Iterable[CandidateWorker],
        demand: Demand,
        scorer: _Scorer,
    ) -> None:
        self._demand = demand
        self._scorer = scorer
        self._counts = dict(demand.count_by_worker)
        self._heap: list[_HeapItem] = []
        for order, candidate in enumerate(candidates):
            item = self._heap_item(candidate, order)
            if item is not None:
                self._heap.append(item)
        heapq.heapify(self._heap)

    def place_task(self, index: int) -> CandidateWorker | None:
        """Places one task; returns its worker, or None if it fits nowhere.

        The worker to be avoided is taken only if no other fits. A last attempt
        goes to a suspect worker only if the suspicion is old and no other
        worker fits.
        """
        avoided = self._demand.avoided_by_index.get(index, "")
        is_last_attempt = index in self._demand.last_attempts
        popped = []
        found = None
        found_reluctance = None
        while self._heap and found_reluctance != (0, False):
            item = heapq.heappop(self._heap)
            popped.append(item)
            candidate = item[-1]
            suspicion = health.Suspicion.NONE
            if is_last_attempt:
                suspicion = candidate.suspicion
            if suspicion is health.Suspicion.RECENT:
                continue
            reluctance = (int(suspicion), candidate.worker == avoided)
            if found_reluctance is None or reluctance < found_reluctance:
                found, found_reluctance = item, reluctance
        for item in popped:
            if item is not found:
                heapq.heappush(self._heap, item)
        if found is None:
            return None
        candidate = found[-1]
        candidate.reserve(self._demand.spec)
        self._counts[candidate.worker] = (
            self._counts.get(candidate.worker, 0) + 1
        )
        updated = self._heap_item(candidate, found[-2])
        if updated is not None:
            heapq.heappush(self._heap, updated)
        return candidate

    def _heap_item(
        self, candidate: CandidateWorker, order: int
    ) -> _HeapItem | None:
        spec = self._demand.spec
        exceeds_trial = candidate.max_new_tasks <= 0
        if exceeds_trial and not self._demand.may_exceed_trials:
            return None
        if not candidate.has_capacity(spec.needs, spec.fills):
            return None
        same_step = self._counts.get(candidate.worker, 0)
        if assignment_limits.is_at_limit(spec, same_step):
            return None
        scores = self._scorer.score(candidate, same_step)
        if scores is None:
            return None
        is_other_rack = (
            bool(spec.preferred_rack) and candidate.rack != spec.preferred_rack
        )
        return (
            exceeds_trial,
            is_other_rack,
            -scores[0],
            -scores[1],
            order,
            candidate,
        )


# The index of each placed task, and its worker.
_Placement = list[tuple[int, CandidateWorker]]


def place_step(
    candidates: Iterable[CandidateWorker],
    demand: Demand,
    effects: interference_model.InterferenceModel,
) -> _Placement:
    """Chooses a worker for each waiting task that fits somewhere.

    A gang is placed completely or not at all. A colocated step is placed
    completely on one rack, unless the demand allows less.

    Returns:
        Pairs of a task's index and its worker. The chosen candidates are
        updated.
    """
    spec = demand.spec
    scorer = _Scorer(effects, demand)
    eligible = [
        candidate
        for candidate in candidates
        if assignment_limits.has_label(spec, candidate.labels)
    ]
    if not spec.colocate:
        return _place_tasks(eligible, demand, scorer)
    racks = [demand.rack] if demand.rack else _racks_by_free_capacity(eligible)
    most: _Placement = []
    for rack in racks:
        on_rack = [item for item in eligible if item.rack == rack]
        found = _try_to_place(on_rack, demand, scorer)
        if len(found) == len(demand.indices):
            return _reserve_all(found, spec)
        if len(found) > len(most):
            most = found
    chosen: _Placement = []
    if demand.may_split and not spec.gang:
        chosen = _reserve_all(most, spec)
    if demand.may_span_racks:
        placed = {index for index, _ in chosen}
        rest = [index for index in demand.indices if index not in placed]
        remaining = dataclasses.replace(demand, indices=rest)
        chosen = chosen + _place_tasks(eligible, remaining, scorer)
    return chosen


def _racks_by_free_capacity(candidates: Sequence[CandidateWorker]) -> list[str]:
    free_millicores_by_rack: dict[str, int] = {}
    for candidate in candidates:
        free_millicores_by_rack[candidate.rack] = (
            free_millicores_by_rack.get(candidate.rack, 0)
            + candidate.free_millicores
        )
    return sorted(
        free_millicores_by_rack, key=lambda rack: -free_millicores_by_rack[rack]
    )


def _place_tasks(
    candidates: Sequence[CandidateWorker],
    demand: Demand,
    scorer: _Scorer,
) -> _Placement:
    """Places the tasks one by one, those of a gang all together or not at all."""
    if not demand.spec.gang:
        return _place_each(_CandidateQueue(candidates, demand, scorer), demand)
    found = _try_to_place(candidates, demand, scorer)
    if len(found) < len(demand.indices):
        return []
    return _reserve_all(found, demand.spec)


def _try_to_place(
    candidates: Sequence[CandidateWorker], demand: Demand, scorer: _Scorer
) -> _Placement:
    """Returns where the tasks fit; the candidates are not updated."""
    copies = [dataclasses.replace(candidate) for candidate in candidates]
    found = _place_each(_CandidateQueue(copies, demand, scorer), demand)
    original_by_worker = {
        candidate.worker: candidate for candidate in candidates
    }
    return [
        (index, original_by_worker[candidate.worker])
        for index, candidate in found
    ]


def _reserve_all(found: _Placement, spec: model.StepSpec) -> _Placement:
    """Updates the candidates of a placement that was tried on copies."""
    for _, candidate in found:
        candidate.reserve(spec)
    return found


def _place_each(queue: _CandidateQueue, demand: Demand) -> _Placement:
    chosen: _Placement = []
    for index in demand.indices:
        candidate = queue.place_task(index)
        if candidate is not None:
            chosen.append((index, candidate))
        elif index not in demand.last_attempts:
            # No further task of the step fits either.
            break
    return chosen
