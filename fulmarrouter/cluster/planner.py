"""Plans which waiting tasks run where, while this keeper leads.

Pure. A planned run is reserved until the state has taken it in, so that the
next round, which may come before that, doesn't plan it again.
"""

from fulmarrouter.cluster import fleet as fleet_lib
from fulmarrouter.cluster import health
from fulmarrouter.cluster import log_commands
from fulmarrouter.cluster import model
from fulmarrouter.cluster import neighbours
from fulmarrouter.cluster import ordering
from fulmarrouter.cluster import placement
from fulmarrouter.cluster import state as state_lib

# Assignments in one log entry; bounds the time of one planning round.
MAX_ASSIGNMENTS = 256
# Time between planning rounds, unless a step has been opened. Each looks at
# every worker, and what ends meanwhile is planned for in one go.
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
        self._reserved: dict[model.TaskId, log_commands.Assignment] = {}
        self._due = 0.0
        self._open_when_planned = 0
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
            self._reserved.pop(item.task, None)

    def forget_jobs(self, state: state_lib.State) -> None:
        """Drops what is known of jobs that have ended."""
        for job_id in list(self._seen_at):
            if not state.has_active(job_id):
                del self._seen_at[job_id]

    def plan(
        self, now: float, state: state_lib.State
    ) -> log_commands.AssignTasks | None:
        """Assigns waiting tasks to workers."""
        if not state.open_steps:
            return None
        is_new = len(state.open_steps) > self._open_when_planned
        if not is_new and now < self._due:
            return None
        self._due = now + REPLAN_S
        self._open_when_planned = len(state.open_steps)
        slots_by_service: dict[model.ServiceName, list[placement.Slot]] = {}
        # Share that is claimed by nobody, until something is placed.
        free_by_service: dict[model.ServiceName, float] = {}
        assignments: list[log_commands.Assignment] = []
        failed_needs: dict[
            tuple[str, bool, bool, str], list[tuple[int, int]]
        ] = {}
        for key in self._order(now, state):
            job = state.job_by_id[key.job]
            service = job.queue.service
            slots = slots_by_service.get(service)
            if slots is None:
                slots = self._slots(now, state, service)
                slots_by_service[service] = slots
            if not slots:
                continue
            spec = job.spec.steps[key.step]
            shape = (spec.needs.millicores, spec.needs.memory_mb)
            # What a filling task finds depends on its image too.
            image = spec.image if spec.fills else ""
            is_starved = False
            if spec.fills and self._is_old(now, key.job):
                free = free_by_service.get(service)
                if free is None:
                    free = free_by_service[service] = _free_share(slots)
                is_starved = free >= STARVED_FREE_SHARE
            known = failed_needs.setdefault(
                (service, spec.fills, is_starved, image), []
            )
            if any(
                shape[0] >= item[0] and shape[1] >= item[1] for item in known
            ):
                continue
            step = state.open_steps[key]
            demand = self._demand(job, key, step, is_starved)
            if not demand.indices:
                continue
            chosen = placement.place_step(
                slots, demand, self._neighbours.effects
            )
            if chosen:
                free_by_service.pop(service, None)
                if is_starved:
                    self._neighbours.keep_in_place(key.job)
            is_plain = not (
                spec.gang
                or spec.colocate
                or spec.required_label
                or spec.max_per_worker
                or demand.last_attempts
            )
            if is_plain and len(chosen) < len(demand.indices):
                known.append(shape)
            assignments += self._assign(key, step, spec, chosen)
            if len(assignments) >= MAX_ASSIGNMENTS:
                break
        if not assignments:
            return None
        return log_commands.AssignTasks(tuple(assignments))

    def _is_old(self, now: float, job: model.JobId) -> bool:
        return now - self._seen_at.get(job, now) > STARVED_AFTER_S

    def _assign(
        self,
        key: state_lib.StepKey,
        step: state_lib.Step,
        spec: model.StepSpec,
        chosen: list[tuple[int, placement.Slot]],
    ) -> list[log_commands.Assignment]:
        run_of_all = 0
        if spec.gang and chosen:
            run_of_all = 1 + max(task.run for task in step.tasks)
        found = []
        for index, slot in chosen:
            item = log_commands.Assignment(
                model.task_id(key.job, key.occurrence, key.step, index),
                run_of_all or step.tasks[index].run + 1,
                slot.worker,
                slot.incarnation,
            )
            self._reserved[item.task] = item
            found.append(item)
        return found

    def _order(
        self, now: float, state: state_lib.State
    ) -> list[state_lib.StepKey]:
        """Returns the open steps, the ones to be placed first in front."""
        rank_by_job: dict[
            model.JobId, tuple[int, ordering.Prospect, float, int]
        ] = {}
        for key in state.open_steps:
            if key.job not in rank_by_job:
                since = self._seen_at.setdefault(key.job, now)
                rank_by_job[key.job] = ordering.rank(
                    state.job_by_id[key.job], now - since
                )
        return sorted(
            state.open_steps, key=lambda key: (rank_by_job[key.job], key)
        )

    def _demand(
        self,
        job: state_lib.Job,
        key: state_lib.StepKey,
        step: state_lib.Step,
        is_starved: bool,
    ) -> placement.Demand:
        spec = job.spec.steps[key.step]
        indices: list[int] = []
        avoided: dict[int, str] = {}
        last_attempts: set[int] = set()
        counts: dict[str, int] = {}
        for index, task in enumerate(step.tasks):
            if task.phase is model.TaskPhase.ASSIGNED:
                counts[task.worker] = counts.get(task.worker, 0) + 1
            elif task.phase is model.TaskPhase.WAITING:
                name = model.task_id(key.job, key.occurrence, key.step, index)
                reserved = self._reserved.get(name)
                if reserved is not None:
                    worker = reserved.worker
                    counts[worker] = counts.get(worker, 0) + 1
                    continue
                indices.append(index)
                if task.worker:
                    avoided[index] = task.worker
                if (
                    task.failures
                    and task.failures + 1 >= job.queue.max_attempts
                ):
                    last_attempts.add(index)
        if spec.gang and len(indices) < len(step.tasks) - step.done:
            indices = []
        return placement.Demand(
            spec,
            indices,
            avoided,
            counts,
            frozenset(last_attempts),
            is_starved=is_starved,
        )

    def _slots(
        self, now: float, state: state_lib.State, service: model.ServiceName
    ) -> list[placement.Slot]:
        reserved_by_worker: dict[model.WorkerId, list[model.TaskId]] = {}
        for item in self._reserved.values():
            reserved_by_worker.setdefault(item.worker, []).append(item.task)
        slots: list[placement.Slot] = []
        for view in self._usable_workers(now, service):
            self._fleet.refresh_used(state, view)
            slot = self._slot(view)
            for task in reserved_by_worker.get(view.key.worker, ()):
                found = state.find_task(task)
                if found is not None:
                    slot.take(state.spec_of(found[1]))
            slots.append(slot)
        suspects = sum(slot.is_suspect for slot in slots)
        # So many at once speak of a fault that the workers don't have.
        if suspects > health.MAX_SHARE_ON_PROBATION * len(slots):
            for slot in slots:
                slot.is_suspect = False
        return slots

    def _usable_workers(
        self, now: float, service: model.ServiceName
    ) -> list[fleet_lib.WorkerView]:
        """Returns a service's workers that may be given new work."""
        fresh = [
            view
            for view in self._fleet.view_by_id.values()
            if view.report.service == service
            and not view.report.draining
            and now - view.heard_at <= fleet_lib.FRESH_S
        ]
        trusted = [
            view for view in fresh if not view.record.is_on_probation(now)
        ]
        suspects = len(fresh) - len(trusted)
        # So many at once speak of a fault that the workers don't have.
        if suspects > health.MAX_SHARE_ON_PROBATION * len(fresh):
            trusted = fresh
        return [view for view in trusted if now >= view.refused_until]

    def _slot(self, view: fleet_lib.WorkerView) -> placement.Slot:
        free = view.free()
        capacity = view.report.capacity.millicores
        idle = view.idle_millicores
        shares = dict(view.share_by_image)
        for image, unused in self._neighbours.held_back(view.key).items():
            idle += unused
            shares[image] = shares.get(image, 0.0) - unused / max(1, capacity)
        return placement.Slot(
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
            serving_by_image=dict(view.serving_by_image),
            is_suspect=bool(view.record.failed_jobs),
            max_new=(
                max(0, 1 - view.ending_runs)
                if view.record.on_trial
                else placement.UNLIMITED
            ),
        )


def _free_share(slots: list[placement.Slot]) -> float:
    free = sum(max(0, slot.free_millicores) for slot in slots)
    return free / max(1, sum(slot.capacity_millicores for slot in slots))
