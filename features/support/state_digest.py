"""A digest of what replicas of all versions have to agree on."""

import hashlib

from fulmarrouter.cluster import state as state_lib


def digest(state: state_lib.State) -> str:
    """Returns a digest of what applying commands depends on."""
    jobs = [
        (
            job.id,
            int(job.phase),
            job.has_started,
            job.accepted_index,
            (job.queue.name, job.queue.service, job.queue.max_attempts),
            [
                (occurrence, [_step_values(step) for step in steps])
                for occurrence, steps in sorted(job.steps_by_occurrence.items())
            ],
        )
        for _, job in sorted(state.job_by_id.items())
    ]
    configuration = state.configuration
    values = (
        jobs,
        (configuration.version, configuration.digest) if configuration else (),
        state.is_open,
        state.early_cancellations.as_list(),
        [
            (*key, sorted(runs.items()))
            for key, runs in sorted(state.runs_by_worker.items())
        ],
        sorted(state.effect_by_images),
    )
    return hashlib.sha256(repr(values).encode()).hexdigest()


def _step_values(step: state_lib.Step) -> tuple[object, ...]:
    tasks = [
        (
            int(task.phase),
            task.run,
            task.worker,
            task.incarnation,
            task.failures,
            task.checkpoint,
            task.failed_run,
        )
        for task in step.tasks
    ]
    return tasks, step.done_count, step.waiting_count
