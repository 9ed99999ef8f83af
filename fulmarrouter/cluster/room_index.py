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
from fulmarrouter.cluster import gaps as gaps_lib
from fulmarrouter.cluster import health
from fulmarrouter.cluster import model
from fulmarrouter.cluster import neighbours as neighbours_lib
from fulmarrouter.cluster import placement
from fulmarrouter.cluster import state as state_lib

# How often all workers of a service are gone through for what changes slowly.
SURVEY_S = 0.2

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
        ordinary_runs: Ordinary tasks that have room.
        gaps: Gaps that are free, of the size in `need`.
        need: What the service's ordinary tasks need.
    """

    known_by_worker: dict[model.WorkerId, _Known] = dataclasses.field(
        default_factory=dict
    )
    free_millicores: int = 0
    capacity_millicores: int = 0
    ordinary_runs: int = 0
    gaps: int = 0
    need: gaps_lib.Need = dataclasses.field(default_factory=gaps_lib.Need)
    ignores_probation: bool = False
    ignores_suspicion: bool = False

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

    def survey(self, now: float, waiting: int) -> None:
        """Goes through all workers for what changes slowly.

        Args:
            now: Monotonic time.
            waiting: Ordinary tasks that wait for room.
        """
        fresh = [
            known
            for known in self.known_by_worker.values()
            if known.view.is_fresh(now)
        ]
        # So many suspects at once speak of a fault that isn't the workers'.
        allowed = health.MAX_SHARE_ON_PROBATION * len(fresh)
        on_probation = sum(
            known.view.record.is_on_probation(now) for known in fresh
        )
        suspects = sum(bool(known.view.record.failed_jobs) for known in fresh)
        self.ignores_probation = on_probation > allowed
        self.ignores_suspicion = suspects > allowed
        self.ordinary_runs = sum(known.view.ordinary_runs for known in fresh)
        self.need.look(self.ordinary_runs, waiting, self.capacity_millicores)
        self.gaps = sum(
            gaps_lib.count(known.slot.free_millicores, self.need.size)
            for known in fresh
        )


class RoomIndex:
    """Room by worker, and what has changed since when.

    Args:
        fleet: The workers, as last reported.
        neighbours: What is known of tasks beside one another.
        reserved_on: Returns what is planned for a worker.

    Attributes:
        version: Rises with each change of a worker's room.
        survey_due: When all workers are to be gone through again.
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
        self.survey_due = float("-inf")

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
        if now >= self.survey_due:
            self.survey_due = now + SURVEY_S
            for service, pool in self._pool_by_service.items():
                pool.survey(now, _waiting_ordinary(state, service))

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

    def note_opened(
        self, service: model.ServiceName, spec: model.StepSpec
    ) -> None:
        """Takes in a step whose turn has come."""
        pool = self._pool_by_service.get(service)
        if pool is not None and gaps_lib.is_ordinary(spec):
            pool.need.note_opened(spec)

    def kept_from(self, service: model.ServiceName, tasks: int) -> int:
        """Returns from which room on it is kept from tasks, 0 for none."""
        pool = self._pool_by_service.get(service)
        if pool is None:
            return 0
        if not pool.need.keeps(pool.gaps, pool.ordinary_runs, tasks):
            return 0
        return pool.need.least

    def gap_counts(self) -> tuple[int, int]:
        """Returns the free gaps of all services, and how many are wanted."""
        pools = self._pool_by_service.values()
        free = sum(max(0, pool.gaps) for pool in pools)
        wanted = sum(
            max(0, round(pool.need.tasks) - pool.ordinary_runs)
            for pool in pools
        )
        return free, wanted

    def note_taken(
        self, service: model.ServiceName, spec: model.StepSpec, tasks: int
    ) -> None:
        """Counts room that tasks have been placed in."""
        if spec.fills:
            return
        pool = self._pool_by_service[service]
        pool.free_millicores -= tasks * spec.needs.millicores
        pool.gaps -= tasks
        if gaps_lib.is_ordinary(spec):
            pool.ordinary_runs += tasks

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
            is_left_to_ordinary=gaps_lib.is_left_to_ordinary(view.key.worker),
            max_new=(
                max(0, 1 - view.ending_runs)
                if view.record.on_trial
                else placement.UNLIMITED
            ),
        )
        for spec in self._reserved_on(view.key.worker):
            slot.take(spec)
        return slot


def _waiting_ordinary(
    state: state_lib.State, service: model.ServiceName
) -> int:
    """Returns how many ordinary tasks wait for room on a service's workers."""
    return sum(
        step.waiting_count
        for key, step in state.open_steps.items()
        if state.job_by_id[key.job].queue.service == service
        and gaps_lib.is_ordinary(state.spec_of(key))
    )
