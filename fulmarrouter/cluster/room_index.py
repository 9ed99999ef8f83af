"""Room on the workers, kept from one planning round to the next.

Load it answers: hundreds of workers that report several times a second while
steps wait that fit nowhere. A worker is looked at again when it has reported
or its runs have changed; a waiting step looks only at workers that have
changed since it last found no room. Neither costs more on a larger fleet.
"""

from collections.abc import Callable
from collections.abc import Iterator
import dataclasses

from fulmarrouter.cluster import fleet as fleet_lib
from fulmarrouter.cluster import health
from fulmarrouter.cluster import model
from fulmarrouter.cluster import neighbours as neighbours_lib
from fulmarrouter.cluster import placement
from fulmarrouter.cluster import state as state_lib

# How often it is counted whether most workers look suspect.
COUNT_SUSPECTS_S = 0.2

# Returns the specs of the tasks that are planned for a worker and not yet
# assigned by the state.
ReservedOn = Callable[[model.WorkerId], Iterator[model.StepSpec]]


@dataclasses.dataclass
class _Known:
    """A worker's room.

    Attributes:
        version: Value of the index's counter when it last changed.
    """

    view: fleet_lib.WorkerView
    slot: placement.Slot
    version: int


@dataclasses.dataclass
class _Pool:
    """The workers of one service.

    Attributes:
        known_by_worker: The one that has changed last at the end.
        free_millicores: Sum over the workers.
    """

    known_by_worker: dict[model.WorkerId, _Known] = dataclasses.field(
        default_factory=dict
    )
    free_millicores: int = 0
    capacity_millicores: int = 0
    ignores_probation: bool = False
    ignores_suspicion: bool = False
    count_due: float = float("-inf")

    def add(self, known: _Known) -> None:
        """Counts a worker's room, as the one that has changed last."""
        self.known_by_worker[known.view.key.worker] = known
        self.free_millicores += max(0, known.slot.free_millicores)
        self.capacity_millicores += known.slot.capacity_millicores

    def remove(self, worker: model.WorkerId) -> None:
        """Counts a worker's room no more."""
        known = self.known_by_worker.pop(worker)
        self.free_millicores -= max(0, known.slot.free_millicores)
        self.capacity_millicores -= known.slot.capacity_millicores

    def count_suspects(self, now: float) -> None:
        """Finds out whether so many look suspect that the fault isn't theirs."""
        if now < self.count_due:
            return
        self.count_due = now + COUNT_SUSPECTS_S
        fresh = [
            known
            for known in self.known_by_worker.values()
            if known.view.is_fresh(now)
        ]
        allowed = health.MAX_SHARE_ON_PROBATION * len(fresh)
        on_probation = sum(
            known.view.record.is_on_probation(now) for known in fresh
        )
        suspects = sum(bool(known.view.record.failed_jobs) for known in fresh)
        self.ignores_probation = on_probation > allowed
        self.ignores_suspicion = suspects > allowed


class RoomIndex:
    """Room by worker, and what has changed since when.

    Args:
        fleet: The workers, as last reported.
        neighbours: What is known of tasks beside one another.
        reserved_on: Returns what is planned for a worker.
    """

    def __init__(
        self,
        fleet: fleet_lib.Fleet,
        neighbours: neighbours_lib.Neighbours,
        reserved_on: ReservedOn,
    ) -> None:
        self._fleet = fleet
        self._neighbours = neighbours
        self._reserved_on = reserved_on
        self._pool_by_service: dict[model.ServiceName, _Pool] = {}
        self._service_by_worker: dict[model.WorkerId, model.ServiceName] = {}
        self.version = 0

    def refresh(self, now: float, state: state_lib.State) -> None:
        """Takes in what has changed on the workers."""
        for worker in self._fleet.take_changed():
            self._drop(worker)
            view = self._fleet.view_by_id.get(worker)
            if view is None or view.report.draining:
                continue
            self.version += 1
            service = view.report.service
            pool = self._pool_by_service.setdefault(service, _Pool())
            pool.add(_Known(view, self._slot(state, view), self.version))
            self._service_by_worker[worker] = service
        for pool in self._pool_by_service.values():
            pool.count_suspects(now)

    def changed_since(
        self, now: float, service: model.ServiceName, version: int
    ) -> Iterator[placement.Slot]:
        """Yields the usable workers that have changed after a version."""
        pool = self._pool_by_service.get(service)
        if pool is None:
            return
        for known in reversed(pool.known_by_worker.values()):
            if known.version <= version:
                return
            view = known.view
            if not view.is_fresh(now) or now < view.refused_until:
                continue
            if view.record.is_on_probation(now) and not pool.ignores_probation:
                continue
            known.slot.is_suspect = (
                bool(view.record.failed_jobs) and not pool.ignores_suspicion
            )
            yield known.slot

    def free_share(self, service: model.ServiceName) -> float:
        """Returns the part of a service's processors that nobody claims."""
        pool = self._pool_by_service.get(service)
        if pool is None:
            return 0.0
        return pool.free_millicores / max(1, pool.capacity_millicores)

    def note_taken(
        self, service: model.ServiceName, spec: model.StepSpec, tasks: int
    ) -> None:
        """Counts room that tasks have been placed in."""
        if not spec.fills:
            pool = self._pool_by_service[service]
            pool.free_millicores -= tasks * spec.needs.millicores

    def _drop(self, worker: model.WorkerId) -> None:
        service = self._service_by_worker.pop(worker, None)
        if service is not None:
            self._pool_by_service[service].remove(worker)

    def _slot(
        self, state: state_lib.State, view: fleet_lib.WorkerView
    ) -> placement.Slot:
        self._fleet.refresh_used(state, view)
        free = view.free()
        capacity = view.report.capacity.millicores
        idle = view.idle_millicores
        shares = dict(view.share_by_image)
        for image, unused in self._neighbours.held_back(view.key).items():
            idle += unused
            shares[image] = shares.get(image, 0.0) - unused / max(1, capacity)
        slot = placement.Slot(
            worker=view.key.worker,
            incarnation=view.key.incarnation,
            labels=view.report.labels,
            rack=view.report.rack,
            capacity_millicores=capacity,
            free_millicores=free.millicores,
            free_memory_mb=free.memory_mb,
            free_accelerators=free.accelerators,
            idle_millicores=idle,
            alone_by_image=self._neighbours.alone_by_image(view.key),
            share_by_image=shares,
            serving_by_image=view.serving_by_image,
            max_new=(
                max(0, 1 - view.ending_runs)
                if view.record.on_trial
                else placement.UNLIMITED
            ),
        )
        for spec in self._reserved_on(view.key.worker):
            slot.take(spec)
        return slot
