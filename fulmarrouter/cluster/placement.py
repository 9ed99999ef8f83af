"""Chooses workers for the waiting tasks of a step.

Load it answers: hundreds of waiting tasks of unequal sizes on workers that
are mostly full, some of them disturbed by what runs beside. The workers are
ranked once for a step; each further task of it costs a look at the best one.
"""

from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses
import heapq

from fulmarrouter import commands
from fulmarrouter.cluster import disturbance
from fulmarrouter.cluster import gaps
from fulmarrouter.cluster import model
from fulmarrouter.cluster import pacing

# Share of its demand that a filling task must find unused on a worker.
MIN_FILL_SHARE = 0.5
UNLIMITED = 1 << 30  # More tasks than any worker holds.
# Largest part of a serving task's headroom that one filling task may take.
# A task that takes more keeps out several that take little.
MAX_LOSS = 0.25
# Loss of headroom that isn't told from noise: such a task is welcome anywhere.
HARMLESS_LOSS = 0.03
LEAST_HEADROOM = 0.01  # Keeps relative losses finite.
# How much a serving task of the same image, but of another job, counts beside
# one of the same step (1) or of another image (0).
SAME_IMAGE_KINSHIP = 0.5
# Where a worker that serves nothing ranks between these.
EMPTY_KINSHIP = 0.45
# Added for workers that lasting tasks take last; below any kinship.
LEAST_KINSHIP = -2.0


@dataclasses.dataclass
class Slot:
    """A worker as the planner sees it, updated with each choice.

    Attributes:
        idle_millicores: Processor time that neither ordinary nor filling
            tasks have claimed.
        alone_by_image: Undisturbed headroom of its serving tasks.
        share_by_image: Share of its processors that filling tasks ask for.
        serving_by_image: Number of its serving tasks.
        is_suspect: Whether a task failed here since the last success.
        is_left_to_ordinary: Whether lasting tasks take it last, so that there
            is room for ordinary ones before any has been seen.
        max_new: Tasks that may still be placed here.
        left_by_image: Headroom that its filling tasks leave to its serving
            tasks; None until it is needed.
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
    alone_by_image: dict[str, float] = dataclasses.field(default_factory=dict)
    share_by_image: dict[str, float] = dataclasses.field(default_factory=dict)
    serving_by_image: dict[str, int] = dataclasses.field(default_factory=dict)
    is_suspect: bool = False
    is_left_to_ordinary: bool = False
    max_new: int = UNLIMITED
    left_by_image: dict[str, float] | None = None

    def fits(self, needs: commands.Resources, fills: bool) -> bool:
        """Whether there is room for one more task."""
        if self.max_new <= 0 or needs.memory_mb > self.free_memory_mb:
            return False
        if needs.accelerators > self.free_accelerators:
            return False
        if fills:
            wanted = needs.millicores * MIN_FILL_SHARE
            return wanted <= self.idle_millicores
        return needs.millicores <= self.free_millicores

    def take(self, spec: model.StepSpec) -> None:
        """Counts a task that has been placed here."""
        self.max_new -= 1
        self.free_memory_mb -= spec.needs.memory_mb
        self.free_accelerators -= spec.needs.accelerators
        self.idle_millicores -= spec.needs.millicores
        if spec.fills:
            shares = dict(self.share_by_image)
            shares[spec.image] = shares.get(spec.image, 0.0) + self.share(spec)
            self.share_by_image = shares
            self.left_by_image = None
        else:
            self.free_millicores -= spec.needs.millicores
        if spec.tail_target_ms:
            counts = dict(self.serving_by_image)
            counts[spec.image] = counts.get(spec.image, 0) + 1
            self.serving_by_image = counts

    def share(self, spec: model.StepSpec) -> float:
        """Returns the part of the processors that a task asks for."""
        return spec.needs.millicores / max(1, self.capacity_millicores)


@dataclasses.dataclass(frozen=True)
class Demand:
    """Tasks of one step that wait.

    Attributes:
        avoided_by_index: Worker on which a task failed last.
        last_attempts: Tasks whose job fails if they fail once more; they keep
            away from suspect workers.
        count_by_worker: Tasks of the step that are already on a worker.
        rack: Rack that the step is bound to, or an empty string.
        is_starved: Whether a filling task has waited so long that it may also
            go where it finds only a slow pace.
        kept_from: Millicores from which on a worker's room is kept from the
            tasks, 0 where none is.
    """

    spec: model.StepSpec
    indices: Sequence[int]
    avoided_by_index: dict[int, str]
    count_by_worker: dict[str, int]
    last_attempts: frozenset[int] = frozenset()
    rack: str = ""
    is_starved: bool = False
    kept_from: int = 0


class _Rank:
    """Compares workers for the tasks of one step; the highest is taken."""

    def __init__(
        self, effects: disturbance.DisturbanceModel, demand: Demand
    ) -> None:
        self._effects = effects
        self._spec = demand.spec
        self._is_starved = demand.is_starved
        self._kept_from = demand.kept_from
        self._effect_by_serving: dict[str, float] = {}

    def of(self, slot: Slot, same_step: int) -> tuple[float, float] | None:
        """Returns a worker's rank, or None where the tasks may not go.

        Args:
            slot: The worker.
            same_step: Tasks of the step that are on the worker already.
        """
        spec = self._spec
        if spec.fills:
            return self._of_filling(slot)
        if not spec.tail_target_ms:
            # The smallest gap that is large enough keeps larger ones free.
            return (0.0, float(-slot.free_millicores))
        if gaps.is_kept(
            slot.free_millicores, spec.needs.millicores, self._kept_from
        ):
            return None
        # The least headroom on a worker decides what fits beside. Tasks of one
        # job rise and fall together and tasks of one image bear the same
        # neighbours, so a worker with few of either has room more often.
        idle = slot.idle_millicores / max(1, slot.capacity_millicores)
        serving = sum(slot.serving_by_image.values())
        rank_of_kept = LEAST_KINSHIP if slot.is_left_to_ordinary else 0.0
        if not serving:
            return (EMPTY_KINSHIP + rank_of_kept, idle)
        same_image = slot.serving_by_image.get(spec.image, 0)
        kinship = (
            SAME_IMAGE_KINSHIP * (same_image - same_step) + same_step
        ) / serving
        return (kinship + rank_of_kept, idle)

    def _of_filling(self, slot: Slot) -> tuple[float, float] | None:
        """Prefers workers whose serving tasks lose little by the task."""
        share = slot.share(self._spec)
        lost = 0.0
        for image, left in self._headroom_left(slot).items():
            added = self._effect_on(image) * share
            if added <= HARMLESS_LOSS:
                continue
            takes_much = (
                left - added < pacing.PLACE_ABOVE or added > MAX_LOSS * left
            )
            if takes_much and not self._is_starved:
                return None
            lost = max(lost, added / max(left, LEAST_HEADROOM))
        return (-lost, float(slot.idle_millicores))

    def _headroom_left(self, slot: Slot) -> dict[str, float]:
        if slot.left_by_image is None:
            slot.left_by_image = {
                image: alone - self._effects.loss(image, slot.share_by_image)
                for image, alone in slot.alone_by_image.items()
            }
        return slot.left_by_image

    def _effect_on(self, serving: str) -> float:
        known = self._effect_by_serving.get(serving)
        if known is None:
            known = self._effects.effect(self._spec.image, serving)
            self._effect_by_serving[serving] = known
        return known


class _Ranking:
    """The workers that a step's tasks may go to, best first."""

    def __init__(
        self, slots: Iterable[Slot], demand: Demand, rank: _Rank
    ) -> None:
        self._demand = demand
        self._rank = rank
        self._counts = dict(demand.count_by_worker)
        self._heap: list[tuple[bool, float, float, int, Slot]] = []
        for order, slot in enumerate(slots):
            item = self._item(slot, order)
            if item is not None:
                self._heap.append(item)
        heapq.heapify(self._heap)

    def take(self, index: int) -> Slot | None:
        """Places one task; returns its worker, or None if it fits nowhere.

        The worker on which it failed last is taken if there is no other, and
        a suspect one isn't taken for a last attempt.
        """
        avoided = self._demand.avoided_by_index.get(index, "")
        is_last_attempt = index in self._demand.last_attempts
        passed_over = []
        found = None
        fallback = None
        while self._heap:
            item = heapq.heappop(self._heap)
            if is_last_attempt and item[-1].is_suspect:
                passed_over.append(item)
            elif item[-1].worker == avoided:
                fallback = item
            else:
                found = item
                break
        if found is None:
            found = fallback
        elif fallback is not None:
            passed_over.append(fallback)
        for item in passed_over:
            heapq.heappush(self._heap, item)
        if found is None:
            return None
        slot = found[-1]
        slot.take(self._demand.spec)
        self._counts[slot.worker] = self._counts.get(slot.worker, 0) + 1
        again = self._item(slot, found[-2])
        if again is not None:
            heapq.heappush(self._heap, again)
        return slot

    def _item(
        self, slot: Slot, order: int
    ) -> tuple[bool, float, float, int, Slot] | None:
        spec = self._demand.spec
        if not slot.fits(spec.needs, spec.fills):
            return None
        same_step = self._counts.get(slot.worker, 0)
        if spec.max_per_worker and same_step >= spec.max_per_worker:
            return None
        rank = self._rank.of(slot, same_step)
        if rank is None:
            return None
        is_far = bool(spec.preferred_rack) and slot.rack != spec.preferred_rack
        return (is_far, -rank[0], -rank[1], order, slot)


def place_step(
    slots: Iterable[Slot],
    demand: Demand,
    effects: disturbance.DisturbanceModel,
) -> list[tuple[int, Slot]]:
    """Chooses a worker for each waiting task that fits somewhere.

    A gang is placed whole or not at all; a colocated step goes to one rack.

    Returns:
        Pairs of a task's index and its worker; the slots are updated.
    """
    spec = demand.spec
    rank = _Rank(effects, demand)
    usable = [
        slot
        for slot in slots
        if not spec.required_label or spec.required_label in slot.labels
    ]
    if not spec.colocate:
        return _place(usable, demand, rank)
    racks = [demand.rack] if demand.rack else _racks_by_room(usable)
    for rack in racks:
        chosen = _place(
            [slot for slot in usable if slot.rack == rack],
            demand,
            rank,
            whole=True,
        )
        if chosen:
            return chosen
    return []


def _racks_by_room(slots: Sequence[Slot]) -> list[str]:
    room_by_rack: dict[str, int] = {}
    for slot in slots:
        room_by_rack[slot.rack] = (
            room_by_rack.get(slot.rack, 0) + slot.free_millicores
        )
    return sorted(room_by_rack, key=lambda rack: -room_by_rack[rack])


def _place(
    slots: Sequence[Slot], demand: Demand, rank: _Rank, whole: bool = False
) -> list[tuple[int, Slot]]:
    if not (whole or demand.spec.gang):
        return _place_each(_Ranking(slots, demand, rank), demand)
    trial = [dataclasses.replace(slot) for slot in slots]
    found = _place_each(_Ranking(trial, demand, rank), demand)
    if len(found) < len(demand.indices):
        return []
    original_by_worker = {slot.worker: slot for slot in slots}
    chosen = [(index, original_by_worker[slot.worker]) for index, slot in found]
    for _, slot in chosen:
        slot.take(demand.spec)
    return chosen


def _place_each(ranking: _Ranking, demand: Demand) -> list[tuple[int, Slot]]:
    chosen: list[tuple[int, Slot]] = []
    for index in demand.indices:
        slot = ranking.take(index)
        if slot is not None:
            chosen.append((index, slot))
        elif index not in demand.last_attempts:
            # Nothing holds a further task of the step either.
            break
    return chosen
