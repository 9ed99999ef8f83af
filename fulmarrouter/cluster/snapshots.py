"""Encodes the replicated state for snapshots, and decodes them.

New fields are only appended, with a default, so that older snapshots stay readable.
Earlier versions ignore them.
"""

import msgspec

from fulmarrouter.cluster import early_cancellations
from fulmarrouter.cluster import log_commands
from fulmarrouter.cluster import model
from fulmarrouter.cluster import state as state_lib


class _Snapshot(msgspec.Struct, array_like=True):
    configuration: model.Configuration | None
    is_open: bool
    jobs: list[state_lib.Job]
    effects: list[log_commands.InterferenceEffect] = []
    early_cancellations: list[model.JobId] = []
    unwanted_runs: list[log_commands.Assignment] = []


def encode(state: state_lib.State) -> bytes:
    """Encodes a state."""
    return msgspec.msgpack.encode(
        _Snapshot(
            state.configuration,
            state.is_open,
            list(state.job_by_id.values()),
            list(state.effect_by_images.values()),
            state.early_cancellations.as_list(),
            _unwanted_runs(state),
        )
    )


def _unwanted_runs(state: state_lib.State) -> list[log_commands.Assignment]:
    """Returns the runs that go on although their tasks are done."""
    return [
        log_commands.Assignment(task, run, key.worker, key.incarnation)
        for key, runs in state.runs_by_worker.items()
        for task, run in runs.items()
        if (found := state.find_task(task)) is not None
        and found[3].phase is model.TaskPhase.DONE
    ]


def decode(data: bytes) -> state_lib.State:
    """Decodes a snapshot and rebuilds the indexes.

    Empty data yields the initial state.
    """
    state = state_lib.State()
    if not data:
        return state
    snapshot = msgspec.msgpack.decode(data, type=_Snapshot)
    state.set_configuration(snapshot.configuration)
    state.is_open = snapshot.is_open
    state.effect_by_images = {
        (item.filling, item.serving): item for item in snapshot.effects
    }
    state.early_cancellations = early_cancellations.EarlyCancellations(
        snapshot.early_cancellations
    )
    for job in snapshot.jobs:
        state.job_by_id[job.id] = job
        # Earlier versions don't store what has become of its queue.
        state.follow_queue(job)
        if job.is_active and job.spec.repetitions:
            state.timed_job_by_id[job.id] = job
        for occurrence, steps in job.steps_by_occurrence.items():
            for number, step in enumerate(steps):
                key = state_lib.StepKey(job.id, occurrence, number)
                is_open = job.is_active and step.waiting_count
                if is_open and state_lib.is_ready(job, key):
                    state.open_steps[key] = step
                _index_runs(state, key, step)
    for item in snapshot.unwanted_runs:
        worker_key = state_lib.WorkerKey(item.worker, item.incarnation)
        state.runs_by_worker.setdefault(worker_key, {})[item.task] = item.run
    return state


def _index_runs(
    state: state_lib.State, key: state_lib.StepKey, step: state_lib.Step
) -> None:
    for index, task in enumerate(step.tasks):
        if task.phase is not model.TaskPhase.ASSIGNED:
            continue
        worker = model.WorkerId(task.worker)
        worker_key = state_lib.WorkerKey(worker, task.incarnation)
        task_id = model.format_task_id(key.job, key.occurrence, key.step, index)
        state.runs_by_worker.setdefault(worker_key, {})[task_id] = task.run
