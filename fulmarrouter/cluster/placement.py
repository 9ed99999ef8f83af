"""Chooses workers for the waiting tasks of a step.

Load it answers: hundreds of waiting tasks of unequal sizes on workers that
are mostly full, some of them disturbed by what runs beside. The cost of a
decision grows with the number of workers of the service, not with what waits.
"""

from collections.abc import Sequence
import dataclasses

from fulmarrouter import commands
from fulmarrouter.cluster import disturbance
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
        max_new: Tasks that may still be placed here.
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
    max_new: int = UNLIMITED

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
    """

    spec: model.StepSpec
    indices: Sequence[int]
    avoided_by_index: dict[int, str]
    count_by_worker: dict[str, int]
    last_attempts: frozenset[int] = frozenset()
    rack: str = ""
    is_starved: bool = False


@dataclasses.dataclass(frozen=True)
class _Rank:
    """Compares workers for a task; the highest is taken."""

    effects: disturbance.DisturbanceModel
    is_starved: bool = False

    def of(
        self, slot: Slot, spec: model.StepSpec, same_step: int
    ) -> tuple[float, float] | None:
        """Returns a worker's rank, or None where the task may not go.

        Args:
            slot: The worker.
            spec: The task's step.
            same_step: Tasks of that step that are on the worker already.
        """
        if spec.fills:
            return self._of_filling(slot, spec)
        idle = slot.idle_millicores / max(1, slot.capacity_millicores)
        if not spec.tail_target_ms:
            # The smallest gap that is large enough keeps larger ones free.
            return (0.0, float(-slot.free_millicores))
        # The least headroom on a worker decides what fits beside. Tasks of one
        # job rise and fall together and tasks of one image bear the same
        # neighbours, so a worker with few of either has room more often.
        serving = sum(slot.serving_by_image.values())
        if not serving:
            return (EMPTY_KINSHIP, idle)
        same_image = slot.serving_by_image.get(spec.image, 0)
        kinship = (
            SAME_IMAGE_KINSHIP * (same_image - same_step) + same_step
        ) / serving
        return (kinship, idle)

    def _of_filling(
        self, slot: Slot, spec: model.StepSpec
    ) -> tuple[float, float] | None:
        """Prefers workers whose serving tasks lose little by the task."""
        share = slot.share(spec)
        lost = 0.0
        for image, alone in slot.alone_by_image.items():
            added = self.effects.effect(spec.image, image) * share
            held = self.effects.loss(image, slot.share_by_image)
            left = alone - held
            if added <= HARMLESS_LOSS:
                continue
            takes_much = (
                left - added < pacing.PLACE_ABOVE or added > MAX_LOSS * left
            )
            if takes_much and not self.is_starved:
                return None
            lost = max(lost, added / max(left, LEAST_HEADROOM))
        return (-lost, float(slot.idle_millicores))


def _choose(
    slots: Sequence[Slot], demand: Demand, index: int, rank: _Rank
) -> Slot | None:
    spec = demand.spec
    avoided = demand.avoided_by_index.get(index, "")
    is_last_attempt = index in demand.last_attempts
    best: Slot | None = None
    best_rank: tuple[bool, bool, tuple[float, float]] | None = None
    for slot in slots:
        if not slot.fits(spec.needs, spec.fills):
            continue
        if is_last_attempt and slot.is_suspect:
            continue
        if spec.max_per_worker and (
            demand.count_by_worker.get(slot.worker, 0) >= spec.max_per_worker
        ):
            continue
        own_rank = rank.of(
            slot, spec, demand.count_by_worker.get(slot.worker, 0)
        )
        if own_rank is None:
            continue
        is_near = not spec.near_rack or slot.rack == spec.near_rack
        found = (slot.worker != avoided, is_near, own_rank)
        if best_rank is None or found > best_rank:
            best, best_rank = slot, found
    return best


def place_step(
    slots: Sequence[Slot],
    demand: Demand,
    effects: disturbance.DisturbanceModel,
) -> list[tuple[int, Slot]]:
    """Chooses a worker for each waiting task that fits somewhere.

    A gang is placed whole or not at all; a colocated step goes to one rack.

    Returns:
        Pairs of a task's index and its worker; the slots are updated.
    """
    spec = demand.spec
    rank = _Rank(effects, demand.is_starved)
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
    spec = demand.spec
    must_be_whole = whole or spec.gang
    trial = [dataclasses.replace(slot) for slot in slots]
    targets = trial if must_be_whole else list(slots)
    original_by_worker = {slot.worker: slot for slot in slots}
    counts = dict(demand.count_by_worker)
    working = dataclasses.replace(demand, count_by_worker=counts)
    chosen: list[tuple[int, Slot]] = []
    for index in demand.indices:
        slot = _choose(targets, working, index, rank)
        if slot is None:
            if index in demand.last_attempts and not must_be_whole:
                continue
            break
        slot.take(spec)
        counts[slot.worker] = counts.get(slot.worker, 0) + 1
        chosen.append((index, original_by_worker[slot.worker]))
    if not must_be_whole:
        return chosen
    if len(chosen) < len(demand.indices):
        return []
    for _, slot in chosen:
        slot.take(spec)
    return chosen
