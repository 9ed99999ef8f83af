"""Moves serving tasks so that each worker has few serving images.

Reads the fleet and the replicated state, reserves the new worker of a task, and
has the task stopped. The planner assigns it to the reserved worker once it
waits. A task moves only while all tasks of its job are at work, and one task of
a job at a time.
"""

import dataclasses

from fulmarrouter.cluster import decision_log
from fulmarrouter.cluster import fleet as fleet_lib
from fulmarrouter.cluster import gaps
from fulmarrouter.cluster import interference_model
from fulmarrouter.cluster import model
from fulmarrouter.cluster import planner as planner_lib
from fulmarrouter.cluster import serving_arrangement
from fulmarrouter.cluster import stall_detection
from fulmarrouter.cluster import state as state_lib

CHECK_INTERVAL_S = 0.2
# After a check that has found no move. What moves gain changes slowly.
IDLE_CHECK_INTERVAL_S = 1.0
# Workers from which a move is sought in one check, and workers with which they
# may exchange tasks. Both bound the duration of a check.
MAX_SOURCES_PER_CHECK = 4
MAX_MIXED_PER_CHECK = 24
# One move at a time for this many workers.
WORKERS_PER_MOVE = 4
# A move that takes longer is given up. The task is then placed as any other.
MOVE_TIMEOUT_S = 3.0
# Time until a task that has moved may move again.
MOVE_COOLDOWN_S = 20.0


@dataclasses.dataclass(frozen=True)
class _Move:
    """A move in progress.

    Attributes:
        run: The run that is stopped so that the task can move.
        source: Worker of that run.
    """

    task: model.TaskId
    run: int
    source: model.WorkerId
    started_at: float


class ServingMover:
    """Starts moves of serving tasks and gives up those that take too long.

    Args:
        fleet: The workers, as last reported.
        planner: Assigns the moved tasks to their new workers.
        effects: Tells which serving images bear the same filling images.
        decisions: Receives the decisions to be logged.
        started_at: When the leader's term began. The moves of an earlier leader
            may go on for some time.
    """

    def __init__(
        self,
        fleet: fleet_lib.Fleet,
        planner: planner_lib.Planner,
        effects: interference_model.InterferenceModel,
        decisions: decision_log.DecisionBuffer,
        started_at: float,
    ) -> None:
        self._fleet = fleet
        self._planner = planner
        self._effects = effects
        self._decisions = decisions
        self._move_by_job: dict[model.JobId, _Move] = {}
        self._moved_at_by_task: dict[model.TaskId, float] = {}
        self._check_due = started_at + MOVE_TIMEOUT_S

    def run(self, now: float, state: state_lib.State) -> None:
        """Starts the moves that gain enough, if a check is due."""
        if now < self._check_due:
            return
        self._check_due = now + CHECK_INTERVAL_S
        self._finish_moves(now, state)
        allowed = max(1, len(self._fleet.view_by_id) // WORKERS_PER_MOVE)
        if (
            len(self._move_by_job) >= allowed
            or not self._effects.has_observations
        ):
            return
        plan = self._find_plan(now, state)
        if plan is None:
            self._check_due = now + IDLE_CHECK_INTERVAL_S
            return
        # What is free on both workers is known again at the next check.
        for transfer in plan.transfers:
            self._start_move(now, state, transfer)

    def _find_plan(
        self, now: float, state: state_lib.State
    ) -> serving_arrangement.Plan | None:
        """Returns a move from one of the workers that are mixed most."""
        self._effects.clear_compatibilities()
        mixes = [
            serving_arrangement.Mix(host, self._effects.compatibility)
            for host in self._hosts(now, state)
        ]
        mixed = sorted(
            (mix for mix in mixes if len(mix.host.count_by_image) > 1),
            key=lambda mix: -mix.closed_millicores,
        )[:MAX_MIXED_PER_CHECK]
        by_free_capacity = sorted(
            mixes, key=lambda mix: -mix.host.free.millicores
        )[:MAX_MIXED_PER_CHECK]
        target_by_worker = {
            mix.host.worker: mix for mix in (*mixed, *by_free_capacity)
        }
        is_at_work_by_step: dict[state_lib.StepKey, bool] = {}
        tasks_by_worker = {
            mix.host.worker: self._movable_tasks(
                now, state, mix.host.worker, is_at_work_by_step
            )
            for mix in mixed
        }
        for source in mixed[:MAX_SOURCES_PER_CHECK]:
            plan = serving_arrangement.best_plan(
                source, list(target_by_worker.values()), tasks_by_worker
            )
            if plan is not None:
                return plan
        return None

    def _finish_moves(self, now: float, state: state_lib.State) -> None:
        """Drops the moves that have ended or taken too long."""
        for job_id, move in list(self._move_by_job.items()):
            found = state.find_task(move.task)
            is_over = (
                found is None
                or not found[0].is_active
                or found[3].run != move.run
                or now - move.started_at > MOVE_TIMEOUT_S
            )
            if is_over:
                del self._move_by_job[job_id]
                self._give_up(move)
        self._moved_at_by_task = {
            task: moved_at
            for task, moved_at in self._moved_at_by_task.items()
            if now - moved_at < MOVE_COOLDOWN_S
        }

    def _give_up(self, move: _Move) -> None:
        """Drops what is left of a move: its reservation and its stop request.

        Later, other tasks of the step may be away when the worker is heard again.
        """
        self._planner.cancel_move(move.task)
        view = self._fleet.view_by_id.get(move.source)
        if view is not None and view.stop_requested.get(move.task) == move.run:
            del view.stop_requested[move.task]

    def _hosts(
        self, now: float, state: state_lib.State
    ) -> list[serving_arrangement.Host]:
        """Returns the workers that may give up and take serving tasks."""
        hosts = []
        is_capacity_wanted = self._is_capacity_wanted(state)
        for view in self._fleet.view_by_id.values():
            if (
                view.report.draining
                or not view.takes_tasks(now)
                or now < view.backoff_until
                or view.worker_health.on_trial
                or view.worker_health.failed_jobs
            ):
                continue
            self._fleet.refresh_usage(state, view)
            hosts.append(
                serving_arrangement.Host(
                    view.key.worker,
                    view.report.service,
                    view.report.capacity.millicores,
                    self._planner.unreserved_resources(view),
                    view.report.labels,
                    view.report.rack,
                    view.serving_count_by_image,
                    takes_more=not (
                        is_capacity_wanted
                        or gaps.prefers_ordinary(view.key.worker)
                    ),
                )
            )
        return hosts

    def _is_capacity_wanted(self, state: state_lib.State) -> bool:
        """Whether tasks that claim processors wait, but for moves."""
        return any(
            not state.spec_of(key).fills and key.job not in self._move_by_job
            for key in state.open_steps
        )

    def _movable_tasks(
        self,
        now: float,
        state: state_lib.State,
        worker: model.WorkerId,
        is_at_work_by_step: dict[state_lib.StepKey, bool],
    ) -> list[serving_arrangement.MovableTask]:
        """Returns the tasks of a worker that may move.

        Args:
            now: Monotonic time.
            state: The replicated state.
            worker: The worker.
            is_at_work_by_step: Whether all tasks of a step are at work, for the
                steps that have been looked at; extended by this call.
        """
        view = self._fleet.view_by_id[worker]
        movable = []
        for task_id, run in state.runs_by_worker.get(view.key, {}).items():
            found = state.find_task(task_id)
            if found is None or task_id in self._moved_at_by_task:
                continue
            job, key, step, _ = found
            spec = job.spec.steps[key.step]
            service = job.newest_queue.service
            # What runs where its queue was sent to before stays there.
            if (
                not view.is_running(task_id, run)
                or view.report.service != service
                or not _may_move(spec)
                or job.id in self._move_by_job
            ):
                continue
            if key not in is_at_work_by_step:
                is_at_work_by_step[key] = self._is_all_at_work(now, key, step)
            if not is_at_work_by_step[key]:
                continue
            movable.append(
                serving_arrangement.MovableTask(
                    task_id,
                    job.id,
                    service,
                    spec,
                    self._planner.workers_at_limit(state, key),
                )
            )
        return movable

    def _is_all_at_work(
        self, now: float, key: state_lib.StepKey, step: state_lib.Step
    ) -> bool:
        """Whether all tasks of a step are ready and none is being stopped."""
        for index, task in enumerate(step.tasks):
            view = self._fleet.view_by_id.get(model.WorkerId(task.worker))
            if (
                view is None
                or task.phase is not model.TaskPhase.ASSIGNED
                or view.key.incarnation != task.incarnation
                or not view.takes_tasks(now)
            ):
                return False
            task_id = model.format_task_id(
                key.job, key.occurrence, key.step, index
            )
            running = view.running.get(task_id)
            if (
                running is None
                or running.run != task.run
                or running.percent < stall_detection.READY_PERCENT
                or view.may_be_stopping(now, task_id, task.run)
            ):
                return False
        return True

    def _start_move(
        self,
        now: float,
        state: state_lib.State,
        transfer: serving_arrangement.Transfer,
    ) -> None:
        task_id = transfer.item.task
        found = state.find_task(task_id)
        assert found is not None
        job, _, _, task = found
        self._planner.reserve(task_id, transfer.target, transfer.item.spec)
        view = self._fleet.view_by_id[transfer.source]
        view.stop_requested[task_id] = task.run
        self._move_by_job[job.id] = _Move(
            task_id, task.run, transfer.source, now
        )
        self._moved_at_by_task[task_id] = now
        self._decisions.add(
            "serving task moved",
            task=task_id,
            image=transfer.item.spec.image,
            worker=transfer.source,
            target=transfer.target,
        )


def _may_move(spec: model.StepSpec) -> bool:
    """Whether the tasks of a step may be stopped one at a time."""
    return (
        spec.tail_target_ms > 0
        and spec.runs_until_cancelled
        and spec.max_unavailable != 0
        and not spec.gang
        and not spec.colocate
    )
