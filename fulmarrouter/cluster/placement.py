"""Chooses workers for the waiting tasks of a step.

Load it answers: hundreds of waiting tasks of unequal sizes on workers that
are mostly full, some of them disturbed by what runs beside. The cost of a
decision grows with the number of workers of the service, not with what waits.
"""

from collections.abc import Callable
from collections.abc import Sequence
import dataclasses

from fulmarrouter import commands
from fulmarrouter.cluster import model

# Share of its demand that a filling task must find unused on a worker.
MIN_FILL_SHARE = 0.5


@dataclasses.dataclass
class Slot:
    """A worker as the planner sees it, updated with each choice.

    Attributes:
        idle_millicores: Processor time that neither ordinary nor filling
            tasks have claimed.
        serving: Serving tasks on it.
        filling: Filling tasks on it.
        fill_pace: Pace of its filling tasks, in percent.
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
    serving: int = 0
    filling: int = 0
    fill_pace: int = 100
    max_new: int = 1 << 30

    def fits(self, needs: commands.Resources, fills: bool) -> bool:
        """Whether there is room for one more task."""
        if self.max_new <= 0 or needs.memory_mb > self.free_memory_mb:
            return False
        if needs.accelerators > self.free_accelerators:
            return False
        if fills:
            wanted = needs.millicores * MIN_FILL_SHARE
            return self.fill_pace == 100 and wanted <= self.idle_millicores
        return needs.millicores <= self.free_millicores

    def take(self, spec: model.StepSpec) -> None:
        """Counts a task that has been placed here."""
        self.max_new -= 1
        self.free_memory_mb -= spec.needs.memory_mb
        self.free_accelerators -= spec.needs.accelerators
        self.idle_millicores -= spec.needs.millicores
        if spec.fills:
            self.filling += 1
        else:
            self.free_millicores -= spec.needs.millicores
        if spec.tail_target_ms:
            self.serving += 1


@dataclasses.dataclass(frozen=True)
class Demand:
    """Tasks of one step that wait.

    Attributes:
        avoided_by_index: Worker on which a task failed last.
        count_by_worker: Tasks of the step that are already on a worker.
        rack: Rack that the step is bound to, or an empty string.
    """

    spec: model.StepSpec
    indices: Sequence[int]
    avoided_by_index: dict[int, str]
    count_by_worker: dict[str, int]
    rack: str = ""


def _ordinary_rank(slot: Slot, spec: model.StepSpec) -> tuple[int, float]:
    """Spreads load, and keeps serving tasks away from filling ones."""
    disturbed = slot.filling if spec.tail_target_ms else 0
    share = slot.idle_millicores / max(1, slot.capacity_millicores)
    return (-disturbed, share)


def _filling_rank(slot: Slot, spec: model.StepSpec) -> tuple[int, float]:
    """Puts filling tasks where nobody is disturbed and much is unused."""
    del spec
    return (-slot.serving, float(slot.idle_millicores))


Rank = Callable[[Slot, model.StepSpec], tuple[int, float]]


def _choose(
    slots: Sequence[Slot], demand: Demand, avoided: str, rank: Rank
) -> Slot | None:
    spec = demand.spec
    best: Slot | None = None
    best_rank: tuple[bool, bool, int, float] | None = None
    for slot in slots:
        if not slot.fits(spec.needs, spec.fills):
            continue
        if spec.max_per_worker and (
            demand.count_by_worker.get(slot.worker, 0) >= spec.max_per_worker
        ):
            continue
        is_near = not spec.near_rack or slot.rack == spec.near_rack
        found = (slot.worker != avoided, is_near, *rank(slot, spec))
        if best_rank is None or found > best_rank:
            best, best_rank = slot, found
    return best


def place_step(slots: Sequence[Slot], demand: Demand) -> list[tuple[int, Slot]]:
    """Chooses a worker for each waiting task that fits somewhere.

    A gang is placed whole or not at all; a colocated step goes to one rack.

    Returns:
        Pairs of a task's index and its worker; the slots are updated.
    """
    spec = demand.spec
    usable = [
        slot
        for slot in slots
        if not spec.required_label or spec.required_label in slot.labels
    ]
    if not spec.colocate:
        return _place(usable, demand)
    racks = [demand.rack] if demand.rack else _racks_by_room(usable)
    for rack in racks:
        chosen = _place(
            [slot for slot in usable if slot.rack == rack], demand, whole=True
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
    slots: Sequence[Slot], demand: Demand, whole: bool = False
) -> list[tuple[int, Slot]]:
    spec = demand.spec
    must_be_whole = whole or spec.gang
    trial = [dataclasses.replace(slot) for slot in slots]
    targets = trial if must_be_whole else list(slots)
    original_by_worker = {slot.worker: slot for slot in slots}
    counts = dict(demand.count_by_worker)
    working = dataclasses.replace(demand, count_by_worker=counts)
    rank = _filling_rank if spec.fills else _ordinary_rank
    chosen: list[tuple[int, Slot]] = []
    for index in demand.indices:
        avoided = demand.avoided_by_index.get(index, "")
        slot = _choose(targets, working, avoided, rank)
        if slot is None:
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
