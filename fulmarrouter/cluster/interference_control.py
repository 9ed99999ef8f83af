"""Limits the interference of filling tasks with serving tasks, per worker.

Updates the interference model from the workers' reports, sets the pace of each
filling task, and stops tasks that have been paused for long so that they are
placed on another worker.
"""

from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses

from fulmarrouter.cluster import fleet as fleet_lib
from fulmarrouter.cluster import interference_model
from fulmarrouter.cluster import log_commands
from fulmarrouter.cluster import model
from fulmarrouter.cluster import pacing
from fulmarrouter.cluster import requests
from fulmarrouter.cluster import stall_detection
from fulmarrouter.cluster import state as state_lib

# Latency readings are averages over time, so reports in closer succession add
# no information to the model.
EFFECT_UPDATE_INTERVAL_S = 0.2
# Smaller changes of a pace, in percentage points, are not sent, except those to
# a pause or to full pace.
MIN_PACE_CHANGE_PERCENT = 10
# An unchanged pace is sent again after this time, in case an answer was lost. A
# worker applies a pace some time after the last order for it, so sending it in
# answer to each report would postpone it indefinitely.
PACE_RESEND_INTERVAL_S = 0.6
# Time for a change of pace to show in the latency readings. A task's pace is
# not changed again before that.
MIN_PACE_CHANGE_INTERVAL_S = 0.25
# Full pace is sent again only for this long after the change to it.
FULL_PACE_RESEND_PERIOD_S = 1.5


@dataclasses.dataclass(frozen=True)
class _ReportedTask:
    """A running task with its job and step specification."""

    running: requests.ActiveRun
    job: state_lib.Job
    key: state_lib.StepKey
    spec: model.StepSpec


@dataclasses.dataclass
class _PaceState:
    """Pace of one run of a filling task.

    Attributes:
        spec: The step that the task belongs to.
        percent: The pace that was last set.
        changed_at: When the pace last changed.
        sent_at: When the pace was last sent to the worker.
    """

    run: int
    spec: model.StepSpec
    percent: int
    changed_at: float
    sent_at: float = float("-inf")


@dataclasses.dataclass
class _WorkerState:
    """Paces and baselines of the tasks on one worker.

    Attributes:
        pace_by_task: Paces of the filling tasks that have been slowed at least
            once.
        baseline_headroom_by_image: Lowest baseline headroom of the serving
            tasks of each image.
        effects_updated_at: When the worker's readings last went into the
            interference model.
    """

    pace_by_task: dict[model.TaskId, _PaceState] = dataclasses.field(
        default_factory=dict
    )
    baseline_headroom_by_image: dict[str, float] = dataclasses.field(
        default_factory=dict
    )
    effects_updated_at: float = float("-inf")

    def percent(self, task: model.TaskId) -> int:
        """Returns the pace of a task, in percent."""
        pace = self.pace_by_task.get(task)
        return pace.percent if pace is not None else pacing.FULL_PACE_PERCENT


class InterferenceController:
    """Sets the paces of filling tasks from the workers' reports.

    Args:
        restore_s: Time that a task needs to resume from a checkpoint.
        inherited_effects: Effects learned by earlier leaders.

    Attributes:
        effects: The interference model, updated from all workers' readings.
    """

    def __init__(
        self,
        restore_s: float,
        inherited_effects: Iterable[log_commands.InterferenceEffect] = (),
    ) -> None:
        self._move_delay_s = pacing.move_delay_s(restore_s)
        self.effects = interference_model.InterferenceModel(inherited_effects)
        self._state_by_worker: dict[state_lib.WorkerKey, _WorkerState] = {}
        self._pinned_jobs: set[model.JobId] = set()
        # Runs at work of long-running filling tasks of which only some may be
        # unavailable.
        self._run_at_work_by_task: dict[model.TaskId, int] = {}

    def pin_job(self, job: model.JobId) -> None:
        """Keeps a job's paused filling tasks on their workers.

        Called for tasks that have long found no worker with enough headroom.
        Moving them would not help, and each start interferes with the serving
        tasks there.
        """
        self._pinned_jobs.add(job)

    def on_report(
        self, now: float, state: state_lib.State, view: fleet_lib.WorkerView
    ) -> None:
        """Updates the model and the paces from a worker's report."""
        is_first_report = view.key not in self._state_by_worker
        worker_state = self._state_by_worker.setdefault(
            view.key, _WorkerState()
        )
        reported_tasks = list(_reported_tasks(state, view))
        for task in [
            task
            for task in worker_state.pace_by_task
            if task not in view.running
        ]:
            del worker_state.pace_by_task[task]
        if now - worker_state.effects_updated_at >= EFFECT_UPDATE_INTERVAL_S:
            worker_state.effects_updated_at = now
            self._update_effects(now, view, reported_tasks)
            worker_state.baseline_headroom_by_image = (
                self._min_baseline_by_image(now, reported_tasks)
            )
        self._record_tasks_at_work(now, view, reported_tasks)
        if is_first_report:
            _assume_unknown_paces(now, worker_state, reported_tasks)
        self._update_paces(now, state, view, worker_state, reported_tasks)

    def forget_worker(self, key: state_lib.WorkerKey) -> None:
        """Drops the state of a worker incarnation that has ended."""
        self._state_by_worker.pop(key, None)

    def forget_jobs(self, state: state_lib.State) -> None:
        """Drops the readings and pins of jobs that have ended."""
        for job_id in self.effects.jobs():
            if not state.is_job_active(job_id):
                self.effects.forget_job(job_id)
        self._pinned_jobs = set(filter(state.is_job_active, self._pinned_jobs))
        self._run_at_work_by_task = {
            task: run
            for task, run in self._run_at_work_by_task.items()
            if (found := state.find_task(task)) is not None
            and found[0].is_active
        }

    def is_paused(self, key: state_lib.WorkerKey, task: model.TaskId) -> bool:
        """Whether a filling task's pace is 0."""
        worker_state = self._state_by_worker.get(key)
        return worker_state is not None and not worker_state.percent(task)

    def next_pace_order(
        self, now: float, key: state_lib.WorkerKey, task: model.TaskId
    ) -> int | None:
        """Returns the pace of a filling task if it is due to be sent.

        Marks it as sent. None if there is nothing to send.
        """
        worker_state = self._state_by_worker.get(key)
        pace = (
            worker_state.pace_by_task.get(task)
            if worker_state is not None
            else None
        )
        if pace is None:
            return None
        is_new = pace.sent_at < pace.changed_at
        if not is_new and now - pace.sent_at < PACE_RESEND_INTERVAL_S:
            return None
        is_old = now - pace.changed_at >= FULL_PACE_RESEND_PERIOD_S
        if pace.percent == pacing.FULL_PACE_PERCENT and is_old and not is_new:
            return None
        pace.sent_at = now
        return pace.percent

    def paused_count(self, key: state_lib.WorkerKey) -> int:
        """Returns how many tasks are paused on a worker."""
        worker_state = self._state_by_worker.get(key)
        if worker_state is None:
            return 0
        return sum(
            not item.percent for item in worker_state.pace_by_task.values()
        )

    def throttled_millicores_by_image(
        self, key: state_lib.WorkerKey
    ) -> dict[str, int]:
        """Returns the millicores that slowed tasks leave unused, by image."""
        worker_state = self._state_by_worker.get(key)
        found: dict[str, int] = {}
        if worker_state is None:
            return found
        for pace in worker_state.pace_by_task.values():
            slack = pacing.FULL_PACE_PERCENT - pace.percent
            unused = (
                pace.spec.needs.millicores * slack // pacing.FULL_PACE_PERCENT
            )
            image = pace.spec.image
            found[image] = found.get(image, 0) + unused
        return found

    def baseline_headroom_of(
        self, key: state_lib.WorkerKey
    ) -> dict[str, float]:
        """Returns the baseline headroom of a worker's serving tasks.

        The lowest value of each image, as of the last update of the model from
        this worker's reports.
        """
        worker_state = self._state_by_worker.get(key)
        return (
            worker_state.baseline_headroom_by_image
            if worker_state is not None
            else {}
        )

    def _min_baseline_by_image(
        self, now: float, reported_tasks: list[_ReportedTask]
    ) -> dict[str, float]:
        found: dict[str, float] = {}
        for reported in reported_tasks:
            if not reported.spec.tail_target_ms:
                continue
            baseline = self.effects.baseline_headroom(now, reported.job.id)
            if baseline is None:
                continue
            image = reported.spec.image
            found[image] = min(found.get(image, baseline), baseline)
        return found

    def _update_effects(
        self,
        now: float,
        view: fleet_lib.WorkerView,
        reported_tasks: list[_ReportedTask],
    ) -> None:
        capacity = max(1, view.report.capacity.millicores)
        shares: interference_model.ShareByImage = {}
        for reported in reported_tasks:
            if reported.spec.fills and reported.running.usage > 0:
                share = reported.running.usage / capacity
                shares[reported.spec.image] = (
                    shares.get(reported.spec.image, 0.0) + share
                )
        for reported in reported_tasks:
            if reported.spec.tail_target_ms and reported.running.usage > 0:
                self.effects.add_reading(
                    now,
                    reported.running.task,
                    reported.job.id,
                    reported.spec.image,
                    interference_model.compute_headroom(
                        reported.running.usage, reported.spec.tail_target_ms
                    ),
                    shares,
                )

    def _update_paces(
        self,
        now: float,
        state: state_lib.State,
        view: fleet_lib.WorkerView,
        worker_state: _WorkerState,
        reported_tasks: list[_ReportedTask],
    ) -> None:
        capacity = max(1, view.report.capacity.millicores)
        filling = [
            _to_filling_task(reported, capacity)
            for reported in reported_tasks
            if reported.spec.fills
        ]
        if not filling:
            return
        serving = [
            pacing.ServingTask(
                reported.spec.image,
                interference_model.compute_headroom(
                    reported.running.usage, reported.spec.tail_target_ms
                ),
                self.effects.baseline_headroom(now, reported.job.id),
            )
            for reported in reported_tasks
            if reported.spec.tail_target_ms and reported.running.usage > 0
        ]
        wanted = pacing.compute_paces(self.effects, serving, filling)
        for reported in reported_tasks:
            if not reported.spec.fills:
                continue
            task, run = reported.running.task, reported.running.run
            percent = wanted[task]
            pace = worker_state.pace_by_task.get(task)
            if pace is None or pace.run != run:
                if percent == pacing.FULL_PACE_PERCENT:
                    continue
                pace = _PaceState(
                    run,
                    reported.spec,
                    pacing.FULL_PACE_PERCENT,
                    now - MIN_PACE_CHANGE_INTERVAL_S,
                )
                worker_state.pace_by_task[task] = pace
            is_settled = now - pace.changed_at >= MIN_PACE_CHANGE_INTERVAL_S
            if is_settled and _is_significant_change(pace.percent, percent):
                pace.percent = percent
                pace.changed_at = now
            is_move_due = now - pace.changed_at >= self._move_delay_s
            if (
                not pace.percent
                and is_move_due
                and self._can_move(state, reported)
            ):
                view.stop_requested[task] = run
                self._run_at_work_by_task.pop(task, None)

    def _can_move(
        self, state: state_lib.State, reported: _ReportedTask
    ) -> bool:
        """Whether a filling task may be moved without losing much work."""
        if reported.job.id in self._pinned_jobs:
            return False
        if not (
            reported.spec.supports_checkpoints
            or reported.running.percent < pacing.UNSAVED_MOVE_LIMIT_PERCENT
        ):
            return False
        return not _is_availability_limited(
            reported.spec
        ) or self._may_lose_task(state, reported)

    def _may_lose_task(
        self, state: state_lib.State, reported: _ReportedTask
    ) -> bool:
        """Whether one more task of the step may be unavailable."""
        key = reported.key
        step = state.find_step(key)
        assert step is not None
        away = 0
        for index, task in enumerate(step.tasks):
            task_id = model.format_task_id(
                key.job, key.occurrence, key.step, index
            )
            away += (
                task.phase is not model.TaskPhase.ASSIGNED
                or self._run_at_work_by_task.get(task_id) != task.run
            )
        return away < reported.spec.max_unavailable

    def _record_tasks_at_work(
        self,
        now: float,
        view: fleet_lib.WorkerView,
        reported_tasks: list[_ReportedTask],
    ) -> None:
        for reported in reported_tasks:
            running = reported.running
            if (
                _is_availability_limited(reported.spec)
                and running.percent >= stall_detection.READY_PERCENT
                and not view.may_be_stopping(now, running.task, running.run)
            ):
                self._run_at_work_by_task[running.task] = running.run


def _is_availability_limited(spec: model.StepSpec) -> bool:
    """Whether only some of a step's filling tasks may be unavailable."""
    return (
        spec.fills and spec.runs_until_cancelled and spec.max_unavailable >= 0
    )


def _assume_unknown_paces(
    now: float,
    worker_state: _WorkerState,
    reported_tasks: list[_ReportedTask],
) -> None:
    """Has the paces of filling tasks sent that run when a worker is first heard.

    An earlier leader may have paused them.
    """
    for reported in reported_tasks:
        if reported.spec.fills:
            worker_state.pace_by_task[reported.running.task] = _PaceState(
                reported.running.run,
                reported.spec,
                pacing.FULL_PACE_PERCENT,
                now - MIN_PACE_CHANGE_INTERVAL_S,
            )


def _is_significant_change(current: int, wanted: int) -> bool:
    """Whether a change of pace is large enough to be sent to the worker."""
    if wanted in (0, pacing.FULL_PACE_PERCENT):
        return current != wanted
    return abs(current - wanted) >= MIN_PACE_CHANGE_PERCENT


def _to_filling_task(
    reported: _ReportedTask, capacity: int
) -> pacing.FillingTask:
    return pacing.FillingTask(
        reported.running.task,
        reported.spec.image,
        reported.spec.needs.millicores / capacity,
        max(0, reported.running.usage) / capacity,
    )


def _reported_tasks(
    state: state_lib.State, view: fleet_lib.WorkerView
) -> Iterator[_ReportedTask]:
    for item in view.running.values():
        found = state.find_task(item.task)
        if found is not None:
            job, key, _, _ = found
            yield _ReportedTask(item, job, key, job.spec.steps[key.step])
