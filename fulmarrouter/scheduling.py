"""Assigns queued jobs to workers, and preempts tasks for urgent jobs."""

from collections.abc import Iterator
import dataclasses
import enum
import random

from fulmarrouter import commands
from fulmarrouter import interference
from fulmarrouter import jobs
from fulmarrouter import mitigation
from fulmarrouter import placement
from fulmarrouter import state as state_lib

# Queued jobs that the scheduler tries to place in one tick.
MAX_JOBS_TRIED_PER_TICK = 256
# Queued jobs of one priority among which a tick selects those to try.
MAX_JOBS_EXAMINED_PER_TICK = 4096
# How long a worker accepts only urgent jobs after tasks on it were asked to
# stop for one.
RESERVATION_S = 10.0
# How long a job that could not be placed waits until it is tried again.
RETRY_DELAY_S = 0.5
# How often expired reservations and the deferrals of jobs that are no longer
# queued are removed.
CLEANUP_INTERVAL_S = 1.0


class WaitReason(enum.Enum):
    """What a queued job waits for."""

    QUOTA = "quota"
    CAPACITY = "capacity"


@dataclasses.dataclass(frozen=True)
class _Deferral:
    """Why a job could not be placed, and until when it isn't tried again."""

    reason: WaitReason
    until: float


@dataclasses.dataclass(frozen=True)
class _Reservation:
    """A worker on which tasks are being stopped for an urgent job."""

    worker: str
    until: float


@dataclasses.dataclass
class _PlannedLoad:
    """Load that the current tick's decisions have added to a worker so far."""

    needs: commands.Resources = commands.Resources()
    tasks: tuple[placement.Task, ...] = ()

    def add(self, spec: commands.JobSpec) -> None:
        """Adds a job, so that later decisions of the tick count it."""
        task = placement.Task(spec.job, spec.task_class, spec.kind)
        self.needs = self.needs.plus(spec.needs)
        self.tasks = (*self.tasks, task)


class Scheduler:
    """Plans placements; its state is not replicated."""

    def __init__(
        self,
        estimator: interference.Estimator,
        mitigator: mitigation.Mitigator,
        rng: random.Random,
    ) -> None:
        self._estimator = estimator
        self._mitigator = mitigator
        self._rng = rng
        self._reservation_by_job: dict[str, _Reservation] = {}
        self._deferral_by_job: dict[str, _Deferral] = {}
        self._cleanup_due = 0.0

    def reset(self) -> None:
        """Drops the reservations and deferrals of an earlier term."""
        self._reservation_by_job = {}
        self._deferral_by_job = {}

    def wait_reason(self, job: str) -> WaitReason | None:
        """Returns what a queued job waits for, if it is known."""
        deferral = self._deferral_by_job.get(job)
        return deferral.reason if deferral else None

    def plan(
        self,
        now: float,
        wall_ms: int,
        state: state_lib.State,
        workers: list[str],
    ) -> list[commands.AnyCommand]:
        """Returns grants for queued jobs, and stops of tasks that they preempt.

        Args:
            now: Monotonic time in seconds.
            wall_ms: Wall clock in milliseconds, put into the commands.
            state: The replicated state, with all earlier plans applied.
            workers: Workers that are alive and not leaving.
        """
        self._remove_stale(now, state)
        queued = self._jobs_to_try(now, state)
        proposals: list[commands.AnyCommand] = []
        planned: dict[str, _PlannedLoad] = {}
        held_by_team: dict[str, commands.Resources] = {}
        weights = _weights(state)
        for job in queued:
            team = job.spec.team
            held = held_by_team.get(team) or state.held_by_team.get(
                team, commands.Resources()
            )
            held = held.plus(job.spec.needs)
            quota = jobs.quota_of(state, team)
            if quota is not None and not held.fits_in(quota):
                self._defer(now, job, WaitReason.QUOTA)
                continue
            chosen = placement.choose_worker(
                job.spec,
                workers,
                self._candidate_lookup(state, job, planned),
                self._estimator,
                weights,
                self._rng,
            )
            if chosen is None:
                self._defer(now, job, WaitReason.CAPACITY)
                if job.spec.priority is commands.Priority.URGENT:
                    proposals += self._preempt(
                        now, wall_ms, state, job, workers
                    )
                continue
            self._deferral_by_job.pop(job.spec.job, None)
            self._reservation_by_job.pop(job.spec.job, None)
            held_by_team[team] = held
            planned.setdefault(chosen.worker, _PlannedLoad()).add(job.spec)
            proposals.append(
                commands.GrantLease(
                    job=job.spec.job,
                    worker=chosen.worker,
                    incarnation=state.worker_by_id[
                        chosen.worker
                    ].announcement.incarnation,
                    epoch=job.epoch + 1,
                    at_ms=wall_ms,
                )
            )
        return proposals

    def _candidate_lookup(
        self,
        state: state_lib.State,
        job: state_lib.Job,
        planned: dict[str, _PlannedLoad],
    ) -> placement.Lookup:
        """Returns the lookup of workers for a job.

        It excludes workers that are unknown, on probation or draining, those on
        which the job has failed unless there is no other worker, and reserved
        ones unless the job is urgent.
        """
        is_urgent = job.spec.priority is commands.Priority.URGENT
        reserved = self._reserved_workers()
        no_planned_load = _PlannedLoad()

        def lookup(worker_id: str) -> placement.Candidate | None:
            worker = state.worker_by_id.get(worker_id)
            if worker is None or worker.on_probation:
                return None
            if worker_id in job.failed_on and len(state.worker_by_id) > 1:
                return None
            if jobs.is_draining(state, worker_id):
                return None
            if worker_id in reserved and not is_urgent:
                return None
            added = planned.get(worker_id, no_planned_load)
            free = jobs.free_capacity(worker).minus(added.needs)
            level = self._mitigator.level_of(worker_id)
            return placement.Candidate(
                worker=worker_id,
                capacity=worker.announcement.capacity,
                free=free,
                tasks=_tasks_of(state, worker) + added.tasks,
                closed_to_batch=level >= mitigation.Level.CLOSED,
            )

        return lookup

    def _reserved_workers(self) -> set[str]:
        return {item.worker for item in self._reservation_by_job.values()}

    def _preempt(
        self,
        now: float,
        wall_ms: int,
        state: state_lib.State,
        job: state_lib.Job,
        workers: list[str],
    ) -> list[commands.AnyCommand]:
        """Stops lower-priority tasks on one worker and reserves it."""
        if not workers or job.spec.job in self._reservation_by_job:
            return []
        reserved = self._reserved_workers()
        start = self._rng.randrange(len(workers))
        best: tuple[str, list[placement.Victim]] | None = None
        for offset in range(min(len(workers), placement.SCAN_SIZE)):
            worker_id = workers[(start + offset) % len(workers)]
            worker = state.worker_by_id.get(worker_id)
            if worker is None or worker_id in reserved:
                continue
            if worker.on_probation or jobs.is_draining(state, worker_id):
                continue
            victims = placement.choose_victims(
                job.spec.needs,
                jobs.free_capacity(worker),
                _victims_on(state, worker),
                job.spec.priority,
            )
            if victims and (best is None or len(victims) < len(best[1])):
                best = (worker_id, victims)
        if best is None:
            return []
        worker_id, victims = best
        self._reservation_by_job[job.spec.job] = _Reservation(
            worker_id, now + RESERVATION_S
        )
        return [
            commands.RequestStop(
                victim.job,
                state.job_by_id[victim.job].epoch,
                commands.StopReason.EVICT,
                wall_ms,
            )
            for victim in victims
        ]

    def _defer(
        self, now: float, job: state_lib.Job, reason: WaitReason
    ) -> None:
        """Keeps a job that could not be placed from being tried for a while."""
        self._deferral_by_job[job.spec.job] = _Deferral(
            reason, now + RETRY_DELAY_S
        )

    def _remove_stale(self, now: float, state: state_lib.State) -> None:
        """Removes expired reservations and deferrals of jobs not queued."""
        if now < self._cleanup_due:
            return
        self._cleanup_due = now + CLEANUP_INTERVAL_S
        self._reservation_by_job = {
            job: item
            for job, item in self._reservation_by_job.items()
            if item.until > now
        }
        self._deferral_by_job = {
            job_id: item
            for job_id, item in self._deferral_by_job.items()
            if _is_queued(state, job_id)
        }

    def _jobs_to_try(
        self, now: float, state: state_lib.State
    ) -> list[state_lib.Job]:
        """Returns the queued jobs to place in this tick.

        Higher priorities go first. Within a priority, jobs that have not been
        tried yet go before those that could not be placed, so that the latter
        don't block the queue. The former are taken from the teams in turn, the
        latter by the end of their deferral.
        """
        chosen: list[str] = []
        for priority in sorted(state.queue_by_priority, reverse=True):
            untried: list[str] = []
            due: list[tuple[float, str]] = []
            for job_id in _team_round_robin(state.queue_by_priority[priority]):
                deferral = self._deferral_by_job.get(job_id)
                if deferral is None:
                    untried.append(job_id)
                elif deferral.until <= now:
                    due.append((deferral.until, job_id))
            chosen += untried
            chosen += [job_id for _, job_id in sorted(due)]
        return [
            state.job_by_id[job_id]
            for job_id in chosen[:MAX_JOBS_TRIED_PER_TICK]
        ]


def _is_queued(state: state_lib.State, job_id: str) -> bool:
    job = state.job_by_id.get(job_id)
    return job is not None and job.phase is state_lib.JobPhase.QUEUED


def _team_round_robin(by_team: dict[str, dict[str, None]]) -> Iterator[str]:
    """Yields the first jobs of one priority, one from each team in turn."""
    iterators = [iter(queued) for queued in by_team.values()]
    examined = 0
    while iterators and examined < MAX_JOBS_EXAMINED_PER_TICK:
        remaining = []
        for iterator in iterators:
            job_id = next(iterator, None)
            if job_id is not None:
                yield job_id
                examined += 1
                remaining.append(iterator)
        iterators = remaining


def _tasks_of(
    state: state_lib.State, worker: state_lib.Worker
) -> tuple[placement.Task, ...]:
    tasks = []
    for job_id in worker.jobs:
        spec = state.job_by_id[job_id].spec
        tasks.append(placement.Task(job_id, spec.task_class, spec.kind))
    return tuple(tasks)


def _victims_on(
    state: state_lib.State, worker: state_lib.Worker
) -> list[placement.Victim]:
    """Returns the tasks on a worker that may be evicted."""
    held = [state.job_by_id[job] for job in worker.jobs]
    return [
        placement.Victim(job.spec.job, job.spec.needs, job.spec.priority)
        for job in held
        if job.phase is state_lib.JobPhase.LEASED and jobs.can_evict(job)
    ]


def _weights(state: state_lib.State) -> commands.PlacementPolicy:
    known = state.config_by_name.get("placement_policy/default")
    if known is None or not isinstance(known.item, commands.PlacementPolicy):
        return commands.PlacementPolicy()
    return known.item
