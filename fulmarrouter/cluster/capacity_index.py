"""Index of the workers' free capacity, kept between planning rounds.

Designed for hundreds of workers that report several times a second while steps
wait that fit nowhere. The capacity of a worker is recomputed only when it has
reported or its runs have changed. A waiting step checks only the workers that
have changed since its last failed search. Neither cost grows with the fleet.
"""

from collections.abc import Callable
from collections.abc import Iterator
import dataclasses

from fulmarrouter.cluster import fleet as fleet_lib
from fulmarrouter.cluster import gaps as gaps_lib
from fulmarrouter.cluster import health
from fulmarrouter.cluster import interference_control
from fulmarrouter.cluster import model
from fulmarrouter.cluster import placement
from fulmarrouter.cluster import state as state_lib

# Interval for recomputing the statistics that cover all workers of a service.
# They change slowly.
STATISTICS_INTERVAL_S = 0.2

# Returns the specs of the tasks that are planned for a worker but not yet
# assigned in the replicated state.
ReservationLookup = Callable[[model.WorkerId], Iterator[model.StepSpec]]


@dataclasses.dataclass
class _IndexedWorker:
    """A worker and its free capacity.

    Attributes:
        version: Version of the index at which the worker last changed.
    """

    view: fleet_lib.WorkerView
    candidate: placement.CandidateWorker
    version: int


@dataclasses.dataclass
class _Pool:
    """The workers of one service.

    Attributes:
        indexed_by_worker: In the order of the last changes, the latest at the
            end.
        free_millicores: Sum over the workers.
        ordinary_runs: Ordinary tasks assigned to the workers.
        free_gaps: Free gaps of the size given by `gap_demand`.
        gap_demand: Gaps that the service's ordinary tasks need.
        ignores_probation: Whether workers on probation get new tasks.
        ignores_suspicion: Whether suspect workers are treated as healthy.
    """

    indexed_by_worker: dict[model.WorkerId, _IndexedWorker] = dataclasses.field(
        default_factory=dict
    )
    free_millicores: int = 0
    capacity_millicores: int = 0
    ordinary_runs: int = 0
    free_gaps: int = 0
    gap_demand: gaps_lib.GapDemand = dataclasses.field(
        default_factory=gaps_lib.GapDemand
    )
    ignores_probation: bool = False
    ignores_suspicion: bool = False

    def add(self, indexed: _IndexedWorker) -> None:
        """Adds a worker as the one that has changed last."""
        self.indexed_by_worker[indexed.view.key.worker] = indexed
        self.free_millicores += max(0, indexed.candidate.free_millicores)
        self.capacity_millicores += indexed.candidate.capacity_millicores

    def remove(self, worker: model.WorkerId) -> None:
        """Removes a worker and its capacity."""
        indexed = self.indexed_by_worker.pop(worker)
        self.free_millicores -= max(0, indexed.candidate.free_millicores)
        self.capacity_millicores -= indexed.candidate.capacity_millicores

    def update_statistics(self, now: float, waiting: int) -> None:
        """Recomputes the statistics that cover all workers.

        Args:
            now: Monotonic time.
            waiting: Ordinary tasks that wait to be placed.
        """
        fresh = [
            indexed
            for indexed in self.indexed_by_worker.values()
            if indexed.view.is_fresh(now)
        ]
        # If more workers than this are on probation or suspect, the fault is
        # probably outside the workers.
        allowed = health.MAX_SHARE_ON_PROBATION * len(fresh)
        on_probation = sum(
            indexed.view.worker_health.is_on_probation(now) for indexed in fresh
        )
        suspects = sum(
            bool(indexed.view.worker_health.failed_jobs) for indexed in fresh
        )
        self.ignores_probation = on_probation > allowed
        self.ignores_suspicion = suspects > allowed
        self.ordinary_runs = sum(
            indexed.view.ordinary_runs for indexed in fresh
        )
        self.gap_demand.update(
            self.ordinary_runs, waiting, self.capacity_millicores
        )
        self.free_gaps = sum(
            gaps_lib.count_gaps(
                indexed.candidate.free_millicores,
                self.gap_demand.typical_task_millicores,
            )
            for indexed in fresh
        )


class CapacityIndex:
    """Free capacity by worker, with the version of its last change.

    Args:
        fleet: The workers, as last reported.
        interference: Limits the interference of tasks on the same worker.
        reservations_of: Returns the tasks that are planned for a worker.

    Attributes:
        version: Rises with each change of a worker's capacity.
        statistics_due: When the statistics are to be recomputed.
    """

    def __init__(
        self,
        fleet: fleet_lib.Fleet,
        interference: interference_control.InterferenceController,
        reservations_of: ReservationLookup,
    ) -> None:
        self._fleet = fleet
        self._interference = interference
        self._reservations_of = reservations_of
        self._pool_by_service: dict[model.ServiceName, _Pool] = {}
        self._service_by_worker: dict[model.WorkerId, model.ServiceName] = {}
        self.version = 0
        self.statistics_due = float("-inf")

    def refresh(self, now: float, state: state_lib.State) -> None:
        """Recomputes changed workers, and the statistics when they are due."""
        for worker in self._fleet.take_changed():
            self._remove_worker(worker)
            view = self._fleet.view_by_id.get(worker)
            if view is None or view.report.draining:
                continue
            self.version += 1
            service = view.report.service
            pool = self._pool_by_service.setdefault(service, _Pool())
            pool.add(
                _IndexedWorker(
                    view, self._build_candidate(state, view), self.version
                )
            )
            self._service_by_worker[worker] = service
        if now >= self.statistics_due:
            self.statistics_due = now + STATISTICS_INTERVAL_S
            for service, pool in self._pool_by_service.items():
                pool.update_statistics(
                    now, _count_waiting_ordinary(state, service)
                )

    def changed_since(
        self,
        now: float,
        service: model.ServiceName,
        version: int,
        *,
        for_lasting: bool,
    ) -> Iterator[placement.CandidateWorker]:
        """Yields usable workers changed since a version, the latest first.

        Args:
            now: Monotonic time.
            service: Service of the workers.
            version: Version of the index.
            for_lasting: Whether they are to run tasks until these are cancelled.
        """
        pool = self._pool_by_service.get(service)
        if pool is None:
            return
        for indexed in reversed(pool.indexed_by_worker.values()):
            if indexed.version <= version:
                return
            view = indexed.view
            if not view.takes_tasks(now) or now < view.backoff_until:
                continue
            if (
                not pool.ignores_probation
                and view.worker_health.is_on_probation(
                    now, for_lasting=for_lasting
                )
            ):
                continue
            indexed.candidate.suspicion = (
                health.Suspicion.NONE
                if pool.ignores_suspicion
                else view.worker_health.suspicion(now)
            )
            yield indexed.candidate

    def workers_not_on_trial(
        self, service: model.ServiceName
    ) -> Iterator[placement.CandidateWorker]:
        """Yields the workers not on trial, also those that are silent or full."""
        pool = self._pool_by_service.get(service)
        if pool is None:
            return
        for indexed in pool.indexed_by_worker.values():
            if not indexed.candidate.on_trial:
                yield indexed.candidate

    def free_share(self, service: model.ServiceName) -> float:
        """Returns the share of a service's processors that is not claimed."""
        pool = self._pool_by_service.get(service)
        if pool is None:
            return 0.0
        return pool.free_millicores / max(1, pool.capacity_millicores)

    def record_opened_step(
        self, service: model.ServiceName, spec: model.StepSpec
    ) -> None:
        """Takes a newly opened step into account for the demand for gaps."""
        pool = self._pool_by_service.get(service)
        if pool is not None and gaps_lib.is_ordinary(spec):
            pool.gap_demand.record_step(spec)

    def protected_from_millicores(
        self, service: model.ServiceName, tasks: int
    ) -> int:
        """Returns from which free capacity on a worker is protected.

        Args:
            service: Service of the workers.
            tasks: Long-running tasks that are to be placed.

        Returns:
            The least free millicores of a worker that are protected from the
            tasks; 0 if none are.
        """
        pool = self._pool_by_service.get(service)
        if pool is None:
            return 0
        if not pool.gap_demand.protects_gaps(
            pool.free_gaps, pool.ordinary_runs, tasks
        ):
            return 0
        return pool.gap_demand.small_task_millicores

    def gap_counts(self) -> tuple[int, int]:
        """Returns how many gaps are free and how many are wanted.

        Both are sums over the services. Gaps for tasks that are already
        assigned are not counted as wanted.
        """
        pools = self._pool_by_service.values()
        free = sum(max(0, pool.free_gaps) for pool in pools)
        wanted = sum(
            max(0, round(pool.gap_demand.concurrent_tasks) - pool.ordinary_runs)
            for pool in pools
        )
        return free, wanted

    def record_placed(
        self, service: model.ServiceName, spec: model.StepSpec, tasks: int
    ) -> None:
        """Subtracts the capacity that newly placed tasks claim."""
        if spec.fills:
            return
        pool = self._pool_by_service[service]
        pool.free_millicores -= tasks * spec.needs.millicores
        pool.free_gaps -= tasks
        if gaps_lib.is_ordinary(spec):
            pool.ordinary_runs += tasks

    def _remove_worker(self, worker: model.WorkerId) -> None:
        service = self._service_by_worker.pop(worker, None)
        if service is not None:
            self._pool_by_service[service].remove(worker)

    def _build_candidate(
        self, state: state_lib.State, view: fleet_lib.WorkerView
    ) -> placement.CandidateWorker:
        """Computes a worker's capacity from its assigned and planned tasks.

        What throttled filling tasks leave unused counts as idle.
        """
        self._fleet.refresh_usage(state, view)
        free = view.free_resources()
        capacity = view.report.capacity.millicores
        idle = view.idle_millicores
        shares = dict(view.filling_share_by_image)
        for image, unused in self._interference.throttled_millicores_by_image(
            view.key
        ).items():
            idle += unused
            shares[image] = shares.get(image, 0.0) - unused / max(1, capacity)
        candidate = placement.CandidateWorker(
            worker=view.key.worker,
            incarnation=view.key.incarnation,
            labels=view.report.labels,
            rack=view.report.rack,
            capacity_millicores=capacity,
            free_millicores=free.millicores,
            free_memory_mb=free.memory_mb,
            free_accelerators=free.accelerators,
            idle_millicores=idle,
            baseline_headroom_by_image=self._interference.baseline_headroom_of(
                view.key
            ),
            filling_share_by_image=shares,
            serving_count_by_image=view.serving_count_by_image,
            prefers_ordinary=gaps_lib.prefers_ordinary(view.key.worker),
            on_trial=view.worker_health.on_trial,
            max_new_tasks=(
                max(0, 1 - view.finite_runs)
                if view.worker_health.on_trial
                else placement.UNLIMITED_TASKS
            ),
        )
        for spec in self._reservations_of(view.key.worker):
            candidate.reserve(spec)
        return candidate


def _count_waiting_ordinary(
    state: state_lib.State, service: model.ServiceName
) -> int:
    """Returns how many ordinary tasks of a service wait to be placed."""
    return sum(
        step.waiting_count
        for key, step in state.open_steps.items()
        if state.job_by_id[key.job].newest_queue.service == service
        and gaps_lib.is_ordinary(state.spec_of(key))
    )
