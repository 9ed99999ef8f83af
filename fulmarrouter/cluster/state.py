"""Replicated state: the configuration, the jobs and the assigned runs.

Deterministic and free of I/O: every keeper applies the same commands in the
same order and reaches the same state. Indexes that can be derived from the
jobs are maintained with each command and rebuilt when a snapshot is loaded.

Which definition of its queue counts for a job is told in docs/POLICY.md. What
applying a command depends on is that of the job's acceptance, since replicas of
earlier versions know no other.
"""

from collections.abc import Callable
import enum
from typing import Any
from typing import NamedTuple
from typing import TypeVar

import msgspec

from fulmarrouter.cluster import early_cancellations
from fulmarrouter.cluster import log_commands
from fulmarrouter.cluster import model
from fulmarrouter.cluster import queue_changes

# Limit on stored interference effects; those updated least recently are
# evicted first.
MAX_INTERFERENCE_EFFECTS = 4096


class StepKey(NamedTuple):
    """Identifies one step of one occurrence of a job."""

    job: model.JobId
    occurrence: int
    step: int


class WorkerKey(NamedTuple):
    """Identifies one incarnation of a worker."""

    worker: model.WorkerId
    incarnation: int


class Task(msgspec.Struct, array_like=True):
    """One task and its latest run.

    Attributes:
        run: Number of the latest run, 0 before the first one.
        worker: Worker of the latest run.
        incarnation: Incarnation of that worker.
        failures: Number of failed runs.
        checkpoint: Checkpoint to resume from, or an empty string.
        failed_run: Number of the latest run that was counted as failed.
    """

    phase: model.TaskPhase = model.TaskPhase.WAITING
    run: int = 0
    worker: str = ""
    incarnation: int = 0
    failures: int = 0
    checkpoint: str = ""
    failed_run: int = 0


class Step(msgspec.Struct, array_like=True):
    """Progress of one step.

    Attributes:
        done_count: Number of tasks in phase DONE.
        waiting_count: Number of tasks in phase WAITING.
    """

    tasks: list[Task]
    done_count: int = 0
    waiting_count: int = 0

    @property
    def is_done(self) -> bool:
        """Whether every task is done."""
        return self.done_count == len(self.tasks)


class Job(msgspec.Struct, array_like=True):
    """An accepted job.

    Attributes:
        queue: Definition of the queue when the submission was proposed.
        submitted_ms: Wall-clock time of the submission.
        accepted_index: Log index of the command that accepted the job.
        has_started: Whether any task has been assigned to a worker.
        steps_by_occurrence: Steps of the occurrences that have begun.
        changed_queue: Newest definition of the queue, or the last one if it has
            been removed; None if that is the first one. Applying a command
            doesn't depend on it.
    """

    id: model.JobId
    queue: model.Queue
    spec: model.JobSpec
    submitted_ms: int
    accepted_index: int
    phase: model.JobPhase = model.JobPhase.ACTIVE
    has_started: bool = False
    steps_by_occurrence: dict[int, list[Step]] = msgspec.field(
        default_factory=dict
    )
    changed_queue: model.Queue | None = None

    @property
    def newest_queue(self) -> model.Queue:
        """Newest definition of the queue, by which waiting tasks are placed."""
        return self.changed_queue or self.queue

    @property
    def is_active(self) -> bool:
        """Whether the job has not ended yet."""
        return self.phase is model.JobPhase.ACTIVE

    @property
    def unfinished_task_count(self) -> int:
        """Number of tasks that are not done, over all begun occurrences."""
        return sum(
            len(step.tasks) - step.done_count
            for steps in self.steps_by_occurrence.values()
            for step in steps
        )


class Result(enum.IntEnum):
    """Result of applying a command.

    CONFLICT means that a configuration has the version of the current one but
    other content.
    """

    APPLIED = 0
    UNCHANGED = 1
    CONFLICT = 2
    UNKNOWN_JOB = 3


class State:
    """State machine of the replicated log.

    Attributes:
        configuration: The newest configuration, None until there is one.
        is_open: Whether callers are served.
        open_steps: Steps with waiting tasks that depend on no unfinished step. None
            of a job whose task IDs can't be read back.
        runs_by_worker: Run number of each assigned task, by the incarnation of
            the worker.
        changed_workers: Workers whose assigned runs have changed since the
            leader last cleared the set.
        timed_job_by_id: Active jobs whose steps run at set times.
        early_cancellations: Jobs that were cancelled before their submission.
        effect_by_images: Interference effects by filling and serving image,
            ordered from the least to the most recently updated.
    """

    def __init__(self) -> None:
        self.configuration: model.Configuration | None = None
        self._queue_definitions = queue_changes.Definitions(None)
        self.is_open = False
        self.job_by_id: dict[model.JobId, Job] = {}
        self.open_steps: dict[StepKey, Step] = {}
        self.runs_by_worker: dict[WorkerKey, dict[model.TaskId, int]] = {}
        # Insertion-ordered sets.
        self.changed_workers: dict[WorkerKey, None] = {}
        self._newly_open_steps: dict[StepKey, None] = {}
        self.timed_job_by_id: dict[model.JobId, Job] = {}
        self.early_cancellations = early_cancellations.EarlyCancellations()
        self.effect_by_images: dict[
            tuple[str, str], log_commands.InterferenceEffect
        ] = {}
        # Cached results of find_task. They stay valid until a job is removed,
        # because the Step and Task objects of a job are never replaced.
        self._task_lookup_cache: dict[
            model.TaskId, tuple[Job, StepKey, Step, Task]
        ] = {}

    def is_job_active(self, job_id: model.JobId) -> bool:
        """Whether a job is known and has not ended."""
        job = self.job_by_id.get(job_id)
        return job is not None and job.is_active

    def find_step(self, key: StepKey) -> Step | None:
        """Returns a step, or None if it does not exist."""
        job = self.job_by_id.get(key.job)
        if job is None:
            return None
        steps = job.steps_by_occurrence.get(key.occurrence)
        if steps is None or not 0 <= key.step < len(steps):
            return None
        return steps[key.step]

    def find_task(
        self, task_id: model.TaskId
    ) -> tuple[Job, StepKey, Step, Task] | None:
        """Returns a task with its job and step, or None if there is none."""
        cached = self._task_lookup_cache.get(task_id)
        if cached is not None:
            return cached
        parts = model.parse_task_id(task_id)
        if parts is None:
            return None
        job_id, occurrence, step_number, index = parts
        key = StepKey(job_id, occurrence, step_number)
        step = self.find_step(key)
        if step is None or not 0 <= index < len(step.tasks):
            return None
        found = self.job_by_id[job_id], key, step, step.tasks[index]
        self._task_lookup_cache[task_id] = found
        return found

    def set_configuration(
        self, configuration: model.Configuration | None
    ) -> None:
        """Replaces the configuration."""
        self.configuration = configuration
        self._queue_definitions = queue_changes.Definitions(configuration)
        for job in self.job_by_id.values():
            self.follow_queue(job)

    def follow_queue(self, job: Job) -> None:
        """Records the newest definition of a job's queue.

        Also of an ended job, which is looked up by its queue.
        """
        newest = self._queue_definitions.newest(job.newest_queue)
        job.changed_queue = newest if newest != job.queue else None

    def take_newly_open_steps(self) -> list[StepKey]:
        """Returns the steps marked as open since the last call."""
        taken = list(self._newly_open_steps)
        self._newly_open_steps.clear()
        return taken

    def clear_changes(self) -> None:
        """Discards the recorded changes, which only a leader reads."""
        self.changed_workers.clear()
        self._newly_open_steps.clear()

    def mark_open(self, key: StepKey, step: Step) -> None:
        """Records that a step has waiting tasks that may be assigned."""
        self.open_steps[key] = step
        self._newly_open_steps[key] = None

    def spec_of(self, key: StepKey) -> model.StepSpec:
        """Returns the specification of a step that exists."""
        return self.job_by_id[key.job].spec.steps[key.step]

    def apply(self, index: int, command: log_commands.AnyCommand) -> Result:
        """Applies one committed command."""
        return _HANDLER_BY_COMMAND[type(command)](self, index, command)


_Handler = Callable[[State, int, Any], Result]
_HANDLER_BY_COMMAND: dict[type[log_commands.Command], _Handler] = {}
_HandlerT = TypeVar("_HandlerT", bound=_Handler)


def _handles(
    command_type: type[log_commands.Command],
) -> Callable[[_HandlerT], _HandlerT]:
    """Registers the decorated function as the handler of a command type."""

    def register(handler: _HandlerT) -> _HandlerT:
        _HANDLER_BY_COMMAND[command_type] = handler
        return handler

    return register


@_handles(log_commands.LeaderElected)
def _leader_elected(
    state: State, index: int, command: log_commands.LeaderElected
) -> Result:
    del state, index, command
    return Result.APPLIED


@_handles(log_commands.OpenForService)
def _open_for_service(
    state: State, index: int, command: log_commands.OpenForService
) -> Result:
    del index, command
    state.is_open = True
    return Result.APPLIED


@_handles(log_commands.ReplaceConfiguration)
def _replace_configuration(
    state: State, index: int, command: log_commands.ReplaceConfiguration
) -> Result:
    del index
    proposed = command.configuration
    current = state.configuration
    if current is None or proposed.version > current.version:
        state.set_configuration(proposed)
        return Result.APPLIED
    if (
        proposed.version == current.version
        and proposed.digest != current.digest
    ):
        return Result.CONFLICT
    return Result.UNCHANGED


@_handles(log_commands.SubmitJob)
def _submit_job(
    state: State, index: int, command: log_commands.SubmitJob
) -> Result:
    if command.job in state.job_by_id:
        return Result.UNCHANGED
    if command.job in state.early_cancellations:
        return Result.UNKNOWN_JOB
    job = Job(
        command.job, command.queue, command.spec, command.submitted_ms, index
    )
    state.job_by_id[command.job] = job
    # The configuration may have changed since the command was proposed.
    state.follow_queue(job)
    if command.spec.repetitions == 0:
        _begin_occurrence(state, job, 0)
    else:
        state.timed_job_by_id[job.id] = job
    return Result.APPLIED


def _begin_occurrence(state: State, job: Job, occurrence: int) -> None:
    steps = [
        Step([Task() for _ in range(spec.count)], waiting_count=spec.count)
        for spec in job.spec.steps
    ]
    job.steps_by_occurrence[occurrence] = steps
    for number in range(len(steps)):
        _open_if_ready(state, job, StepKey(job.id, occurrence, number))


def is_ready(job: Job, key: StepKey) -> bool:
    """Whether the tasks of a step that has begun may run."""
    if not model.has_readable_task_ids(job.id):
        return False
    steps = job.steps_by_occurrence[key.occurrence]
    return all(
        steps[number].is_done for number in job.spec.steps[key.step].after
    )


def _open_if_ready(state: State, job: Job, key: StepKey) -> None:
    step = job.steps_by_occurrence[key.occurrence][key.step]
    if step.waiting_count and is_ready(job, key):
        state.mark_open(key, step)


@_handles(log_commands.OpenOccurrence)
def _open_occurrence(
    state: State, index: int, command: log_commands.OpenOccurrence
) -> Result:
    del index
    job = state.job_by_id.get(command.job)
    if job is None or not job.is_active:
        return Result.UNKNOWN_JOB
    if command.occurrence in job.steps_by_occurrence:
        return Result.UNCHANGED
    _begin_occurrence(state, job, command.occurrence)
    return Result.APPLIED


@_handles(log_commands.CancelJob)
def _cancel_job(
    state: State, index: int, command: log_commands.CancelJob
) -> Result:
    del index
    job = state.job_by_id.get(command.job)
    if job is None:
        state.early_cancellations.add(command.job)
        return Result.UNKNOWN_JOB
    if not job.is_active:
        return Result.UNCHANGED
    _finish_job(state, job, model.JobPhase.CANCELLED)
    return Result.APPLIED


def _finish_job(state: State, job: Job, phase: model.JobPhase) -> None:
    job.phase = phase
    state.timed_job_by_id.pop(job.id, None)
    for occurrence, steps in job.steps_by_occurrence.items():
        for number in range(len(steps)):
            state.open_steps.pop(StepKey(job.id, occurrence, number), None)


@_handles(log_commands.AssignTasks)
def _assign_tasks(
    state: State, index: int, command: log_commands.AssignTasks
) -> Result:
    del index
    for item in command.assignments:
        found = state.find_task(item.task)
        if found is None:
            continue
        job, key, step, task = found
        is_startable = (
            job.is_active
            and task.phase is model.TaskPhase.WAITING
            and item.run > task.run
        )
        if not is_startable:
            continue
        task.phase = model.TaskPhase.ASSIGNED
        task.run = item.run
        task.worker = item.worker
        task.incarnation = item.incarnation
        job.has_started = True
        step.waiting_count -= 1
        if step.waiting_count == 0:
            state.open_steps.pop(key, None)
        worker_key = WorkerKey(item.worker, item.incarnation)
        state.runs_by_worker.setdefault(worker_key, {})[item.task] = item.run
        state.changed_workers[worker_key] = None
    return Result.APPLIED


@_handles(log_commands.EndRuns)
def _end_runs(
    state: State, index: int, command: log_commands.EndRuns
) -> Result:
    del index
    for end in command.ends:
        _end_run(state, end)
    return Result.APPLIED


def _end_run(state: State, end: log_commands.RunEnd) -> None:
    """Applies the end of a run to its task.

    DONE completes the task, or all tasks of a gang, unless the task is long
    running. After any other end of the latest run, the task waits again.
    """
    _release_run(state, end)
    found = state.find_task(end.task)
    if found is None:
        return
    job, key, step, task = found
    if end.run > task.run or task.phase is model.TaskPhase.DONE:
        return
    spec = job.spec.steps[key.step]
    if end.outcome is model.Outcome.DONE and not spec.runs_until_cancelled:
        # Also accepted from a run that was counted as lost, while a later one
        # may be running: the later run is stopped and no other is started.
        members = step.tasks if spec.gang else [task]
        for member in members:
            if member.phase is not model.TaskPhase.DONE:
                if member.phase is model.TaskPhase.WAITING:
                    step.waiting_count -= 1
                _complete_task(state, job, key, step, member)
        return
    is_current = end.run == task.run and task.phase is model.TaskPhase.ASSIGNED
    if is_current:
        if end.checkpoint:
            _store_checkpoint(step, spec, task, end)
        task.phase = model.TaskPhase.WAITING
        step.waiting_count += 1
    if end.outcome is model.Outcome.FAILED and not spec.runs_until_cancelled:
        _count_failure(state, job, step, spec, task, end.run)
    if job.is_active:
        _open_if_ready(state, job, key)


def _count_failure(
    state: State,
    job: Job,
    step: Step,
    spec: model.StepSpec,
    task: Task,
    run: int,
) -> None:
    """Counts a failed run once, even if its end is reported repeatedly."""
    members = step.tasks if spec.gang else [task]
    for member in members:
        if run > member.failed_run:
            member.failed_run = run
            member.failures += 1
    if task.failures >= job.queue.max_attempts and job.is_active:
        _finish_job(state, job, model.JobPhase.FAILED)


def _store_checkpoint(
    step: Step, spec: model.StepSpec, task: Task, end: log_commands.RunEnd
) -> None:
    """Stores a checkpoint; that of a gang member is valid for all members."""
    if not spec.gang:
        task.checkpoint = end.checkpoint
        return
    for member in step.tasks:
        member.checkpoint = end.checkpoint


def _release_run(state: State, end: log_commands.RunEnd) -> None:
    """Removes a run from the runs assigned to its worker."""
    worker_key = WorkerKey(end.worker, end.incarnation)
    runs = state.runs_by_worker.get(worker_key)
    if runs is None or runs.get(end.task) != end.run:
        return
    del runs[end.task]
    if not runs:
        del state.runs_by_worker[worker_key]
    state.changed_workers[worker_key] = None


def _complete_task(
    state: State, job: Job, key: StepKey, step: Step, task: Task
) -> None:
    if task.phase is model.TaskPhase.ASSIGNED:
        # A later run than the one that is done may go on there.
        worker_key = WorkerKey(model.WorkerId(task.worker), task.incarnation)
        state.changed_workers[worker_key] = None
    task.phase = model.TaskPhase.DONE
    step.done_count += 1
    if step.waiting_count == 0:
        state.open_steps.pop(key, None)
    if not step.is_done or not job.is_active:
        return
    steps = job.steps_by_occurrence[key.occurrence]
    for number in range(len(steps)):
        _open_if_ready(state, job, StepKey(job.id, key.occurrence, number))
    occurrence_count = max(1, job.spec.repetitions)
    if len(job.steps_by_occurrence) < occurrence_count:
        return
    if all(
        item.is_done
        for known in job.steps_by_occurrence.values()
        for item in known
    ):
        _finish_job(state, job, model.JobPhase.DONE)


@_handles(log_commands.ForgetJobs)
def _forget_jobs(
    state: State, index: int, command: log_commands.ForgetJobs
) -> Result:
    del index
    state._task_lookup_cache.clear()
    for job_id in command.jobs:
        job = state.job_by_id.get(job_id)
        if job is not None and not job.is_active:
            del state.job_by_id[job_id]
    return Result.APPLIED


@_handles(log_commands.KeepEffects)
def _keep_effects(
    state: State, index: int, command: log_commands.KeepEffects
) -> Result:
    del index
    for item in command.effects:
        # Moves the pair to the end of the eviction order.
        state.effect_by_images.pop((item.filling, item.serving), None)
        state.effect_by_images[item.filling, item.serving] = item
    while len(state.effect_by_images) > MAX_INTERFERENCE_EFFECTS:
        del state.effect_by_images[next(iter(state.effect_by_images))]
    return Result.APPLIED
