"""Finds the queue and job that a caller's path names, and answers for them."""

import dataclasses
import enum

from fulmarrouter import codes
from fulmarrouter.cluster import log_commands
from fulmarrouter.cluster import model
from fulmarrouter.cluster import request_checks
from fulmarrouter.cluster import requests
from fulmarrouter.cluster import state as state_lib


class Unresolved(enum.Enum):
    """Why a path names no queue."""

    NO_CONFIGURATION = "no_configuration"
    NO_SUCH_QUEUE = "no_such_queue"


@dataclasses.dataclass(frozen=True)
class Target:
    """A queue, and the job in it that a path names, if any."""

    queue: model.Queue
    job: model.JobId | None


def resolve(
    configuration: model.Configuration | None, host: str, path: str
) -> Target | Unresolved:
    """Finds the queue with the longest prefix of a path."""
    if configuration is None:
        return Unresolved.NO_CONFIGURATION
    best: model.Queue | None = None
    for queue in configuration.queues:
        if queue.host != host or not path.startswith(queue.path_prefix):
            continue
        if best is None or len(queue.path_prefix) > len(best.path_prefix):
            best = queue
    if best is None:
        return Unresolved.NO_SUCH_QUEUE
    rest = path[len(best.path_prefix) :]
    return Target(best, model.JobId(rest) if rest else None)


_REFUSED_BY_REASON = {
    Unresolved.NO_CONFIGURATION: requests.Refused(
        codes.Code.NO_CONFIGURATION, retry_after_ms=1000
    ),
    Unresolved.NO_SUCH_QUEUE: requests.Refused(codes.Code.NO_SUCH_QUEUE),
}


def answer(
    state: state_lib.State,
    request: requests.SubmitJob | requests.CancelJob | requests.ShowTarget,
) -> requests.AnyReply:
    """Answers a caller from the state, after what it asked was applied."""
    target = resolve(state.configuration, request.host, request.path)
    if isinstance(target, Unresolved):
        return _REFUSED_BY_REASON[target]
    if target.job is None:
        if isinstance(request, requests.ShowTarget):
            return requests.QueueView(state.waiting_jobs(target.queue.name))
        return requests.Refused(codes.Code.BAD_REQUEST, "the path names no job")
    job = state.job_by_id.get(target.job)
    if job is None:
        return requests.Refused(codes.Code.NO_SUCH_JOB)
    if isinstance(request, requests.ShowTarget):
        return requests.JobView(job.phase, job.has_started)
    return requests.Accepted()


def due_occurrences(
    state: state_lib.State, wall_ms: int
) -> list[log_commands.AnyCommand]:
    """Returns commands that begin the occurrences whose time has come.

    Those of a job that would have too many tasks at a time begin later.
    """
    found: list[log_commands.AnyCommand] = []
    for job in state.timed_job_by_id.values():
        begun = len(job.steps_by_occurrence)
        if begun >= job.spec.repetitions or wall_ms < _due_ms(job, begun):
            continue
        tasks = sum(step.count for step in job.spec.steps)
        room = request_checks.MAX_TASKS - job.unfinished_tasks
        while (
            begun < job.spec.repetitions
            and wall_ms >= _due_ms(job, begun)
            and room >= tasks
        ):
            found.append(log_commands.OpenOccurrence(job.id, begun))
            begun += 1
            room -= tasks
    return found


def _due_ms(job: state_lib.Job, occurrence: int) -> int:
    return job.spec.first_due_ms + occurrence * job.spec.interval_ms
