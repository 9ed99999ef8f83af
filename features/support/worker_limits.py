"""Checks that simulated workers run only what they may run.

The checks look at what a worker runs, not at what keepers know of it.
"""

import collections
from collections.abc import Collection
from collections.abc import Mapping

from features.support import simulated_processes
from fulmarrouter import commands
from fulmarrouter.cluster import model


class InvariantViolationError(AssertionError):
    """An invariant of the cluster does not hold."""


def check_worker(
    worker: simulated_processes.Worker,
    spec_by_job: Mapping[model.JobId, model.JobSpec],
    services_by_job: Mapping[model.JobId, Collection[model.ServiceName]],
) -> None:
    """Checks a worker's runs against its capacity and the limits of its steps.

    Args:
        worker: The worker.
        spec_by_job: Specifications of all submitted jobs.
        services_by_job: Services to which their queues are or were sent.

    Raises:
        InvariantViolationError: The worker exceeds its capacity or a limit per
            worker, lacks a label that a task requires, or belongs to another
            service than a task's queue.
    """
    claimed = commands.Resources()
    count_by_step: collections.Counter[tuple[model.JobId, int, int]]
    count_by_step = collections.Counter()
    for task in worker.runs:
        job, occurrence, number, _ = _parse(task)
        spec = spec_by_job[job].steps[number]
        claimed = claimed.plus(_claimed(spec))
        key = (job, occurrence, number)
        count_by_step[key] += 1
        if 0 < spec.max_per_worker < count_by_step[key]:
            raise InvariantViolationError(
                f"{worker.worker} runs {task} and {count_by_step[key] - 1}"
                f" other tasks of its step, of which it may run"
                f" {spec.max_per_worker}"
            )
        if spec.required_label and spec.required_label not in worker.labels:
            raise InvariantViolationError(
                f"{worker.worker} runs {task} without its label"
                f" {spec.required_label}"
            )
        if worker.service not in services_by_job[job]:
            raise InvariantViolationError(
                f"{worker.worker} of service {worker.service} runs {task} of"
                f" services {services_by_job[job]}"
            )
    if not claimed.fits_in(worker.capacity):
        raise InvariantViolationError(
            f"{worker.worker} runs tasks that claim {claimed} of"
            f" {worker.capacity}"
        )


def _claimed(spec: model.StepSpec) -> commands.Resources:
    """Returns what a task claims; filling tasks claim no processor time."""
    millicores = 0 if spec.fills else spec.needs.millicores
    return commands.Resources(
        millicores, spec.needs.memory_mb, spec.needs.accelerators
    )


def _parse(task: model.TaskId) -> tuple[model.JobId, int, int, int]:
    parts = model.parse_task_id(task)
    assert parts is not None
    return parts
