"""Plans which waiting tasks run where, while this keeper leads.

Pure. A planned run is reserved until the state has taken it in, so that the
next round, which may come before that, doesn't plan it again.
"""

from collections.abc import Iterator
import dataclasses

from fulmarrouter.cluster import fleet as fleet_lib
from fulmarrouter.cluster import log_commands
from fulmarrouter.cluster import model
from fulmarrouter.cluster import neighbours
from fulmarrouter.cluster import ordering
from fulmarrouter.cluster import placement
from fulmarrouter.cluster import room_index
from fulmarrouter.cluster import searches
from fulmarrouter.cluster import state as state_lib

# Assignments in one log entry; bounds the time of one planning round.
MAX_ASSIGNMENTS = 256
# Looks of steps at workers in one planning round, for the same reason.
MAX_LOOKS = 20_000
# Workers with room among which a step's tasks are placed. More change little
# for the step, and ranking them all takes longer the larger the fleet is.
MAX_RANKED = 320
# Time between planning rounds, unless a step has been opened. Each goes
# through all open steps, and what ends meanwhile is planned for in one go.
REPLAN_S = 0.04
# Ages of jobs taken over are read off wall clocks, which jump.
MAX_AGE_S = 60.0
# Age of a job from which its filling tasks may also go where their
# neighbours leave them only a slow pace, so that none waits for ever.
STARVED_AFTER_S = 8.0
# Only while at least this part of the processors is claimed by nobody: each
# such start disturbs its neighbours until the worker follows its pace, and
# under load most jobs are that old. Below half, so that a job is sure to run
# on workers that are mostly free.
STARVED_FREE_SHARE = 0.45


class Planner:
    """Assigns waiting tasks to workers.

    Args:
        fleet: The workers, as last reported.
        watch: What is known of tasks beside one another.
    """

    def __init__(
        self, fleet: fleet_lib.Fleet, watch: neighbours.Neighbours
    ) -> None:
        self._fleet = fleet
        self._neighbours = watch
        self._rooms = room_index.RoomIndex(fleet, watch, self._reserved_on)
        self._searches = searches.Searches()
        self._reserved_by_worker: dict[
            model.WorkerId, dict[model.TaskId, model.StepSpec]
        ] = {}
        self._worker_by_reserved: dict[model.TaskId, model.WorkerId] = {}
        self._due = 0.0
        self._seen_at: dict[model.JobId, float] = {}

    def take_over(
        self, now: float, state: state_lib.State, wall_ms: int
    ) -> None:
        """Notes how old the jobs of earlier leaders are.

        Args:
            now: Monotonic time.
            state: The replicated state.
            wall_ms: Wall clock, to tell roughly how old jobs are.
        """
        self._seen_at = {
            job.id: now - min(MAX_AGE_S, max(0.0, age_ms / 1000))
            for job in state.job_by_id.values()
            if job.is_active
            for age_ms in (wall_ms - job.submitted_ms,)
        }

    def on_assigned(self, command: log_commands.AssignTasks) -> None:
        """Drops the reservations of assignments that have been applied."""
        for item in command.assignments:
            worker = self._worker_by_reserved.pop(item.task, None)
            if worker is None:
                continue
            reserved = self._reserved_by_worker[worker]
            del reserved[item.task]
            if not reserved:
                del self._reserved_by_worker[worker]
            self._fleet.note_changed(worker)

    def forget_jobs(self, state: state_lib.State) -> None:
        """Drops what is known of jobs that have ended."""
        for job_id in list(self._seen_at):
            if not state.is_job_active(job_id):
                del self._seen_at[job_id]
        self._searches.keep_only(state.open_steps)

    def gap_counts(self) -> tuple[int, int]:
        """Returns the gaps for ordinary tasks, and how many are wanted."""
        return self._rooms.gap_counts()

    def plan(
        self, now: float, state: state_lib.State
    ) -> log_commands.AssignTasks | None:
        """Assigns waiting tasks to workers."""
        opened = state.take_newly_open_steps()
        if now >= self._due:
            self._due = now + REPLAN_S
            keys = list(state.open_steps)
        else:
            # The others have been looked at a moment ago.
            keys = [key for key in opened if key in state.open_steps]
        if not keys and now < self._rooms.survey_due:
            return None
        self._rooms.refresh(now, state)
        for key in opened:
            if key in state.open_steps:
                service = state.job_by_id[key.job].queue.service
                self._rooms.note_opened(service, state.spec_of(key))
        assignments: list[log_commands.Assignment] = []
        looks = 0
        for key in self._order(now, state, keys):
            found, looked_at = self._place(now, state, key)
            assignments += found
            looks += looked_at
            if len(assignments) >= MAX_ASSIGNMENTS or looks >= MAX_LOOKS:
                self._due = now
                break
        if not assignments:
            return None
        return log_commands.AssignTasks(tuple(assignments))

    def _place(
        self, now: float, state: state_lib.State, key: state_lib.StepKey
    ) -> tuple[list[log_commands.Assignment], int]:
        """Places the waiting tasks of a step.

        Returns:
            The assignments, and how many workers were looked at.
        """
        step = state.open_steps[key]
        spec = state.spec_of(key)
        service = state.job_by_id[key.job].queue.service
        search = searches.Search(key, service, spec)
        if spec.fills and self._is_old(now, key.job):
            share = self._rooms.free_share(service)
            is_starved = share >= STARVED_FREE_SHARE
            search = dataclasses.replace(search, is_starved=is_starved)
        assignments: list[log_commands.Assignment] = []
        looks = 0
        kept_from = 0
        if spec.long_running:
            kept_from = self._rooms.kept_from(service, step.waiting_count)
        if kept_from and ordering.is_interrupted(step):
            # These have had room before, and somebody has been using them.
            first = dataclasses.replace(search, only_interrupted=True)
            assignments, looks = self._search(now, state, first)
        search = dataclasses.replace(search, kept_from=kept_from)
        found, looked_at = self._search(now, state, search)
        return assignments + found, looks + looked_at

    def _search(
        self, now: float, state: state_lib.State, search: searches.Search
    ) -> tuple[list[log_commands.Assignment], int]:
        """Looks for room on the workers that may have some."""
        spec = search.spec
        known_version = self._searches.known_version(search)
        fitting: list[placement.Slot] = []
        looks = 0
        is_exhaustive = True
        changed = self._rooms.changed_since(now, search.service, known_version)
        for slot in changed:
            looks += 1
            if slot.fits(spec.needs, spec.fills):
                fitting.append(slot)
                if len(fitting) >= MAX_RANKED:
                    is_exhaustive = False
                    break
        fitting.reverse()  # Equal ones in the order of their reports.
        demand = None
        chosen: list[tuple[int, placement.Slot]] = []
        if fitting:
            demand = self._demand(state, search)
        if demand is not None and demand.indices:
            chosen = placement.place_step(
                fitting, demand, self._neighbours.effects
            )
        if chosen:
            self._rooms.note_taken(search.service, spec, len(chosen))
            if search.is_starved:
                self._neighbours.keep_in_place(search.key.job)
        is_placed = demand is not None and len(chosen) == len(demand.indices)
        if is_exhaustive and not is_placed:
            is_for_all = demand is None or not demand.last_attempts
            self._searches.note_failure(search, self._rooms.version, is_for_all)
        return self._assign(state, search.key, chosen), looks

    def _reserved_on(self, worker: model.WorkerId) -> Iterator[model.StepSpec]:
        return iter(self._reserved_by_worker.get(worker, {}).values())

    def _is_old(self, now: float, job: model.JobId) -> bool:
        return now - self._seen_at.get(job, now) > STARVED_AFTER_S

    def _assign(
        self,
        state: state_lib.State,
        key: state_lib.StepKey,
        chosen: list[tuple[int, placement.Slot]],
    ) -> list[log_commands.Assignment]:
        if not chosen:
            return []
        step = state.open_steps[key]
        spec = state.spec_of(key)
        run_of_all = 0
        if spec.gang:
            run_of_all = 1 + max(task.run for task in step.tasks)
        found = []
        for index, slot in chosen:
            item = log_commands.Assignment(
                model.format_task_id(key.job, key.occurrence, key.step, index),
                run_of_all or step.tasks[index].run + 1,
                slot.worker,
                slot.incarnation,
            )
            self._worker_by_reserved[item.task] = item.worker
            reserved = self._reserved_by_worker.setdefault(item.worker, {})
            reserved[item.task] = spec
            found.append(item)
        return found

    def _order(
        self,
        now: float,
        state: state_lib.State,
        keys: list[state_lib.StepKey],
    ) -> list[state_lib.StepKey]:
        """Returns steps, the ones to be placed first in front."""
        rank_by_job: dict[model.JobId, ordering.Rank] = {}
        for key in keys:
            if key.job not in rank_by_job:
                since = self._seen_at.setdefault(key.job, now)
                rank_by_job[key.job] = ordering.rank(
                    state.job_by_id[key.job], now - since
                )
        return sorted(keys, key=lambda key: (rank_by_job[key.job], key))

    def _demand(
        self, state: state_lib.State, search: searches.Search
    ) -> placement.Demand:
        key = search.key
        spec = search.spec
        job = state.job_by_id[key.job]
        step = state.open_steps[key]
        indices: list[int] = []
        avoided: dict[int, str] = {}
        last_attempts: set[int] = set()
        counts: dict[str, int] = {}
        for index, task in enumerate(step.tasks):
            if task.phase is model.TaskPhase.ASSIGNED:
                counts[task.worker] = counts.get(task.worker, 0) + 1
            elif task.phase is model.TaskPhase.WAITING:
                name = model.format_task_id(
                    key.job, key.occurrence, key.step, index
                )
                worker = self._worker_by_reserved.get(name)
                if worker is not None:
                    counts[worker] = counts.get(worker, 0) + 1
                    continue
                if search.only_interrupted and not task.run:
                    continue
                indices.append(index)
                if task.worker:
                    avoided[index] = task.worker
                if (
                    task.failures
                    and task.failures + 1 >= job.queue.max_attempts
                ):
                    last_attempts.add(index)
        if spec.gang and len(indices) < len(step.tasks) - step.done_count:
            indices = []
        return placement.Demand(
            spec,
            indices,
            avoided,
            counts,
            frozenset(last_attempts),
            is_starved=search.is_starved,
            kept_from=search.kept_from,
        )
