"""Assigns waiting tasks to workers while this keeper is the leader.

Does no I/O and reads no clock. A planned run stays reserved until its
assignment has been applied to the replicated state. The next planning round may
come before that and must not assign the task again.
"""

from collections.abc import Collection
from collections.abc import Iterator
import dataclasses

from fulmarrouter import commands
from fulmarrouter.cluster import assignment_limits
from fulmarrouter.cluster import capacity_index
from fulmarrouter.cluster import colocation
from fulmarrouter.cluster import decision_log
from fulmarrouter.cluster import failures
from fulmarrouter.cluster import fleet as fleet_lib
from fulmarrouter.cluster import interference_control
from fulmarrouter.cluster import log_commands
from fulmarrouter.cluster import model
from fulmarrouter.cluster import ordering
from fulmarrouter.cluster import placement
from fulmarrouter.cluster import reservations as reservations_lib
from fulmarrouter.cluster import search_cache
from fulmarrouter.cluster import state as state_lib
from fulmarrouter.cluster import trials

# Bounds the size of a log entry and the duration of a planning round. A gang or a
# colocated step, which is placed as a whole, may exceed it.
MAX_ASSIGNMENTS_PER_ROUND = 256
# Bounds the duration of a planning round too. A worker counts once for each
# step that checks it.
MAX_WORKER_CHECKS = 20_000
# Fitting workers that are compared for one step. Comparing more rarely gives a
# better placement, and comparing all takes longer the larger the fleet is.
MAX_RANKED_WORKERS = 320
# Interval between rounds that cover all open steps. Capacity that is released in
# between is assigned in one round. Newly opened steps are planned at once.
PLANNING_INTERVAL_S = 0.04
# Limit on the age of a job that an earlier leader accepted. Such ages are
# differences of wall-clock times, and wall clocks jump.
MAX_INHERITED_AGE_S = 60.0
# Age of a job above which its filling tasks may also go to workers where
# serving tasks allow them only a slow pace, so that none waits forever.
STARVATION_AGE_S = 8.0
# Least unclaimed share of the processors for placing tasks that way. Each task
# placed so interferes with the serving tasks until its worker applies the pace,
# and under load most jobs exceed the age. The share is below one half so that a job
# is sure to run on workers that are mostly free.
STARVATION_MIN_FREE_SHARE = 0.45


class Planner:
    """Assigns waiting tasks to workers.

    Args:
        fleet: The workers, as last reported.
        interference: Limits the interference of tasks on the same worker.
        decisions: Receives the decisions to be logged.
    """

    def __init__(
        self,
        fleet: fleet_lib.Fleet,
        interference: interference_control.InterferenceController,
        decisions: decision_log.DecisionBuffer | None = None,
    ) -> None:
        self._fleet = fleet
        self._interference = interference
        self._decisions = decisions or decision_log.DecisionBuffer()
        self._reservations = reservations_lib.Reservations(fleet)
        self._capacity_index = capacity_index.CapacityIndex(
            fleet, interference, self._reservations.specs_on
        )
        self._search_cache = search_cache.SearchCache()
        self._colocation_waits = colocation.ColocationWaits()
        self._trial_waits = trials.TrialWaits()
        self._set_aside = failures.JobsSetAside(self._decisions)
        self._next_round_at = 0.0
        self._first_seen_by_job: dict[model.JobId, float] = {}

    def restore_job_ages(
        self, now: float, state: state_lib.State, wall_ms: int
    ) -> None:
        """Restores the ages of jobs that earlier leaders accepted.

        Args:
            now: Monotonic time.
            state: The replicated state.
            wall_ms: Wall-clock time, for estimating the ages.
        """
        self._first_seen_by_job = {
            job.id: now - min(MAX_INHERITED_AGE_S, max(0.0, age_ms / 1000))
            for job in state.job_by_id.values()
            if job.is_active
            for age_ms in (wall_ms - job.submitted_ms,)
        }

    def on_assigned(self, command: log_commands.AssignTasks) -> None:
        """Drops the reservations of assignments that have been applied."""
        for item in command.assignments:
            self._reservations.remove(item.task)

    def reserve(
        self,
        task: model.TaskId,
        worker: model.WorkerId,
        spec: model.StepSpec,
    ) -> None:
        """Reserves a worker for a task that is to be moved there.

        The task is assigned to it as soon as it waits.
        """
        self._reservations.add(
            reservations_lib.Reservation(task, worker, spec, is_proposed=False)
        )

    def cancel_move(self, task: model.TaskId) -> None:
        """Gives up the move of a task that has not been assigned yet."""
        self._reservations.cancel_move(task)

    def moving_tasks(self) -> Iterator[tuple[model.TaskId, model.WorkerId]]:
        """Yields the tasks that are being moved and their new workers."""
        for item in self._reservations.moving():
            yield item.task, item.worker

    def planned_indices(self, key: state_lib.StepKey) -> Collection[int]:
        """Returns the tasks of a step that have been planned or are moving."""
        return self._reservations.of_step(key).keys()

    def unreserved_resources(
        self, view: fleet_lib.WorkerView
    ) -> commands.Resources:
        """Returns what neither runs nor planned ones claim on a worker.

        The usage of the worker must be up to date.
        """
        return view.free_beside(self._reservations.specs_on(view.key.worker))

    def workers_at_limit(
        self, state: state_lib.State, key: state_lib.StepKey
    ) -> frozenset[model.WorkerId]:
        """Returns the workers that may not run another task of the step."""
        spec = state.spec_of(key)
        if not spec.max_per_worker:
            return frozenset()
        return frozenset(
            worker
            for worker, tasks in self._count_by_worker(state, key).items()
            if assignment_limits.is_at_limit(spec, tasks)
        )

    def _count_by_worker(
        self, state: state_lib.State, key: state_lib.StepKey
    ) -> dict[model.WorkerId, int]:
        return assignment_limits.count_by_worker(
            state, self._fleet, self._reservations.of_step(key), key
        )

    def forget_jobs(self, state: state_lib.State) -> None:
        """Drops the ages of ended jobs and the searches of closed steps."""
        for job_id in list(self._first_seen_by_job):
            if not state.is_job_active(job_id):
                del self._first_seen_by_job[job_id]
        self._search_cache.retain_steps(state.open_steps)
        self._colocation_waits.retain_steps(state.open_steps)
        self._trial_waits.retain_steps(state.open_steps)

    def gap_counts(self) -> tuple[int, int]:
        """Returns how many gaps are free and how many are wanted."""
        return self._capacity_index.gap_counts()

    def plan(
        self, now: float, state: state_lib.State
    ) -> log_commands.AssignTasks | None:
        """Assigns waiting tasks to workers."""
        assignments = self._assign_moved(now, state)
        opened = state.take_newly_open_steps()
        if now >= self._next_round_at:
            self._next_round_at = now + PLANNING_INTERVAL_S
            keys = list(state.open_steps)
        else:
            # The last full round has covered the other steps.
            keys = [key for key in opened if key in state.open_steps]
        is_idle = not keys and now < self._capacity_index.statistics_due
        if is_idle and not assignments:
            return None
        self._capacity_index.refresh(now, state)
        for key in opened:
            if key in state.open_steps:
                service = state.job_by_id[key.job].newest_queue.service
                self._capacity_index.record_opened_step(
                    service, state.spec_of(key)
                )
        checks = 0
        for key in self._order_steps(now, state, keys):
            found, checked = self._try_place_step(now, state, key)
            assignments += found
            checks += checked
            if (
                len(assignments) >= MAX_ASSIGNMENTS_PER_ROUND
                or checks >= MAX_WORKER_CHECKS
            ):
                # The next call plans the remaining steps.
                self._next_round_at = now
                break
        if not assignments:
            return None
        return log_commands.AssignTasks(tuple(assignments))

    def _try_place_step(
        self, now: float, state: state_lib.State, key: state_lib.StepKey
    ) -> tuple[list[log_commands.Assignment], int]:
        """Places the waiting tasks of a step, or sets its job aside."""
        planned = set(self.planned_indices(key))
        try:
            return self._place_step(now, state, key)
        except Exception as error:
            self._set_aside.add(key.job, error)
        for index in set(self.planned_indices(key)) - planned:
            self._reservations.remove(
                model.format_task_id(key.job, key.occurrence, key.step, index)
            )
        return [], 0

    def _place_step(
        self, now: float, state: state_lib.State, key: state_lib.StepKey
    ) -> tuple[list[log_commands.Assignment], int]:
        """Places the waiting tasks of a step.

        Returns:
            The assignments, and how many workers were checked.
        """
        step = state.open_steps[key]
        spec = state.spec_of(key)
        service = state.job_by_id[key.job].newest_queue.service
        search = search_cache.Search(key, service, spec)
        if spec.fills and self._is_past_starvation_age(now, key.job):
            share = self._capacity_index.free_share(service)
            is_starved = share >= STARVATION_MIN_FREE_SHARE
            search = dataclasses.replace(search, is_starved=is_starved)
        assignments: list[log_commands.Assignment] = []
        checks = 0
        protected_from_millicores = 0
        if spec.runs_until_cancelled:
            protected_from_millicores = (
                self._capacity_index.protected_from_millicores(
                    service, step.waiting_count
                )
            )
        if protected_from_millicores and ordering.has_interrupted_tasks(step):
            # Interrupted tasks had capacity before and belong to a service that
            # was in use, so gaps are not protected from them.
            interrupted_search = dataclasses.replace(
                search, only_interrupted=True
            )
            assignments, checks = self._search_workers(
                now, state, interrupted_search
            )
        search = dataclasses.replace(
            search, protected_from_millicores=protected_from_millicores
        )
        found, checked = self._search_workers(now, state, search)
        return assignments + found, checks + checked

    def _search_workers(
        self, now: float, state: state_lib.State, search: search_cache.Search
    ) -> tuple[list[log_commands.Assignment], int]:
        """Places tasks on workers that changed since the last failed search.

        Returns:
            The assignments, and how many workers were checked.
        """
        spec = search.spec
        searched_version = self._search_cache.searched_version(search)
        fitting: list[placement.CandidateWorker] = []
        checks = 0
        is_exhaustive = True
        changed = self._capacity_index.changed_since(
            now,
            search.service,
            searched_version,
            for_lasting=spec.runs_until_cancelled,
        )
        for candidate in changed:
            checks += 1
            is_fitting = (
                candidate.has_capacity(spec.needs, spec.fills)
                if spec.gang
                else candidate.fits(spec.needs, spec.fills)
            )
            if is_fitting:
                fitting.append(candidate)
                if len(fitting) >= MAX_RANKED_WORKERS:
                    is_exhaustive = False
                    break
        # Workers with equal scores are taken in the order of their changes.
        fitting.reverse()
        demand = None
        chosen: list[tuple[int, placement.CandidateWorker]] = []
        if fitting:
            demand = self._build_demand(now, state, search)
        if demand is not None and demand.indices:
            chosen = self._choose_workers(now, search, demand, fitting)
        if chosen:
            self._capacity_index.record_placed(
                search.service, spec, len(chosen)
            )
            if search.is_starved:
                self._interference.pin_job(search.key.job)
        is_placed = demand is not None and len(chosen) == len(demand.indices)
        if spec.colocate and is_placed:
            self._colocation_waits.stop(search.key)
        elif spec.colocate:
            self._colocation_waits.start(now, search.key)
        if is_exhaustive and not is_placed:
            applies_to_kind = demand is None or not demand.last_attempts
            self._search_cache.record_failure(
                search, self._capacity_index.version, applies_to_kind
            )
        if demand is None or not chosen:
            return [], checks
        return self._assign_chosen(state, search, demand, chosen), checks

    def _choose_workers(
        self,
        now: float,
        search: search_cache.Search,
        demand: placement.Demand,
        fitting: list[placement.CandidateWorker],
    ) -> list[tuple[int, placement.CandidateWorker]]:
        """Chooses among fitting workers for the tasks of a step.

        A gang exceeds the trials of workers only if it doesn't fit otherwise.
        """
        effects = self._interference.effects
        chosen = placement.place_step(fitting, demand, effects)
        if not search.spec.gang:
            return chosen
        others = self._capacity_index.workers_not_on_trial(search.service)
        if not chosen and self._trial_waits.may_exceed(
            now, search.key, search.spec, fitting, others
        ):
            demand = dataclasses.replace(demand, may_exceed_trials=True)
            chosen = placement.place_step(fitting, demand, effects)
        if chosen:
            self._trial_waits.stop(search.key)
        return chosen

    def _is_past_starvation_age(self, now: float, job: model.JobId) -> bool:
        return now - self._first_seen_by_job.get(job, now) > STARVATION_AGE_S

    def _assign_chosen(
        self,
        state: state_lib.State,
        search: search_cache.Search,
        demand: placement.Demand,
        chosen: list[tuple[int, placement.CandidateWorker]],
    ) -> list[log_commands.Assignment]:
        """Assigns tasks to the workers that a search has chosen.

        All tasks of a gang get the same run number.
        """
        key = search.key
        step = state.open_steps[key]
        counts = dict(demand.count_by_worker)
        gang_run = 0
        if search.spec.gang:
            gang_run = 1 + max(task.run for task in step.tasks)
        assignments = []
        for index, candidate in chosen:
            assignment = self._assign(
                search.service,
                search.spec,
                log_commands.Assignment(
                    model.format_task_id(
                        key.job, key.occurrence, key.step, index
                    ),
                    gang_run or step.tasks[index].run + 1,
                    candidate.worker,
                    candidate.incarnation,
                ),
                counts,
            )
            if assignment is not None:
                assignments.append(assignment)
        if search.spec.gang and len(assignments) < len(chosen):
            for assignment in assignments:
                self._reservations.remove(assignment.task)
            return []
        return assignments

    def _assign(
        self,
        service: model.ServiceName,
        spec: model.StepSpec,
        assignment: log_commands.Assignment,
        count_by_worker: dict[model.WorkerId, int],
    ) -> log_commands.Assignment | None:
        """Reserves the worker of an assignment, unless it may not run the task.

        Every assignment is made here. What it may not exceed is checked with all
        that is assigned, planned, or being stopped.

        Args:
            service: Service whose workers may run the task.
            spec: The step of the task.
            assignment: The assignment.
            count_by_worker: Tasks of the step on each worker; updated.
        """
        worker = assignment.worker
        tasks = count_by_worker.get(worker, 0)
        if self._is_refused(service, spec, assignment.task, worker, tasks):
            return None
        count_by_worker[worker] = tasks + 1
        self._reservations.add(
            reservations_lib.Reservation(
                assignment.task, worker, spec, is_proposed=True
            )
        )
        return assignment

    def _is_refused(
        self,
        service: model.ServiceName,
        spec: model.StepSpec,
        task: model.TaskId,
        worker: model.WorkerId,
        tasks: int,
    ) -> bool:
        """Whether a worker may not run a task; logs the reason."""
        refusal = assignment_limits.refusal(
            spec, service, self._fleet.view_by_id[worker], tasks
        )
        if refusal is None:
            return False
        self._decisions.add(
            "assignment refused", task=task, worker=worker, reason=refusal.value
        )
        return True

    def _assign_moved(
        self, now: float, state: state_lib.State
    ) -> list[log_commands.Assignment]:
        """Assigns the moved tasks that wait to their reserved workers.

        A task whose new worker can't take it any more is placed as any other.
        """
        assignments = []
        for reservation in self._reservations.moving():
            task_id = reservation.task
            found = state.find_task(task_id)
            if found is None or not found[0].is_active:
                self.cancel_move(task_id)
                continue
            if found[3].phase is not model.TaskPhase.WAITING:
                continue
            try:
                assignment = self._assign_moved_task(now, state, reservation)
            except Exception as error:
                self._set_aside.add(found[0].id, error)
                self.cancel_move(task_id)
                continue
            if assignment is not None:
                assignments.append(assignment)
        return assignments

    def _assign_moved_task(
        self,
        now: float,
        state: state_lib.State,
        reservation: reservations_lib.Reservation,
    ) -> log_commands.Assignment | None:
        """Assigns a moved task that waits, or gives its move up."""
        task_id, worker = reservation.task, reservation.worker
        found = state.find_task(task_id)
        view = self._fleet.view_by_id.get(worker)
        if (
            found is None
            or view is None
            or view.report.draining
            or not view.is_fresh(now)
        ):
            self.cancel_move(task_id)
            return None
        job, key, _, task = found
        service, spec = job.newest_queue.service, reservation.spec
        self._fleet.refresh_usage(state, view)
        counts = self._count_by_worker(state, key)
        counts[worker] -= 1  # The reservation of the task itself.
        if self._is_refused(service, spec, task_id, worker, counts[worker]):
            self.cancel_move(task_id)
            return None
        free = view.free_beside(self._reservations.proposed_specs_on(worker))
        if not spec.needs.fits_in(free):
            # The task with which it changes places has not ended yet.
            return None
        return self._assign(
            service,
            spec,
            log_commands.Assignment(
                task_id, task.run + 1, worker, view.key.incarnation
            ),
            counts,
        )

    def _order_steps(
        self,
        now: float,
        state: state_lib.State,
        keys: list[state_lib.StepKey],
    ) -> list[state_lib.StepKey]:
        """Returns the steps in the order in which they are to be placed.

        Those of jobs that are set aside are left out.
        """
        rank_by_job: dict[model.JobId, ordering.Rank] = {}
        for key in keys:
            if key.job in rank_by_job or key.job in self._set_aside:
                continue
            first_seen = self._first_seen_by_job.setdefault(key.job, now)
            try:
                rank_by_job[key.job] = ordering.rank(
                    state.job_by_id[key.job], now - first_seen
                )
            except Exception as error:
                self._set_aside.add(key.job, error)
        return sorted(
            (key for key in keys if key.job in rank_by_job),
            key=lambda key: (rank_by_job[key.job], key),
        )

    def _build_demand(
        self, now: float, state: state_lib.State, search: search_cache.Search
    ) -> placement.Demand:
        """Returns the waiting tasks of a step that have not been planned.

        A gang has none unless all of its unfinished tasks can be planned.
        """
        key = search.key
        spec = search.spec
        job = state.job_by_id[key.job]
        step = state.open_steps[key]
        indices: list[int] = []
        avoided_by_index: dict[int, str] = {}
        last_attempts: set[int] = set()
        reserved_by_index = self._reservations.of_step(key)
        for index, task in enumerate(step.tasks):
            if (
                task.phase is not model.TaskPhase.WAITING
                or index in reserved_by_index
                or (search.only_interrupted and not task.run)
            ):
                continue
            indices.append(index)
            if task.worker:
                avoided_by_index[index] = task.worker
            if ordering.is_last_attempt(task, job.queue.max_attempts):
                last_attempts.add(index)
        if spec.gang and len(indices) < len(step.tasks) - step.done_count:
            indices = []
        if not (spec.gang or spec.colocate):
            indices = indices[:MAX_ASSIGNMENTS_PER_ROUND]
        demand = placement.Demand(
            spec,
            indices,
            avoided_by_index,
            self._count_by_worker(state, key),
            frozenset(last_attempts),
            is_starved=search.is_starved,
            protected_from_millicores=search.protected_from_millicores,
        )
        return self._colocate(now, search, demand) if spec.colocate else demand

    def _colocate(
        self,
        now: float,
        search: search_cache.Search,
        demand: placement.Demand,
    ) -> placement.Demand:
        """Returns the demand of a colocated step with the racks it may use."""
        waits = self._colocation_waits
        free_share = self._capacity_index.free_share(search.service)
        may_span_racks = waits.may_span_racks(
            now, search.key, search.spec, free_share
        )
        return dataclasses.replace(
            demand,
            rack=colocation.rack_in_use(
                self._fleet, search.service, demand.count_by_worker
            ),
            may_split=waits.may_split(now, search.key),
            may_span_racks=may_span_racks,
        )
