"""Resolves callers' paths to queues and jobs, and replies from the state.

Also determines which occurrences of timed jobs are due.
"""

from collections.abc import Container
import dataclasses
import enum

from fulmarrouter import codes
from fulmarrouter.cluster import fleet as fleet_lib
from fulmarrouter.cluster import log_commands
from fulmarrouter.cluster import model
from fulmarrouter.cluster import queue_lengths
from fulmarrouter.cluster import request_checks
from fulmarrouter.cluster import requests
from fulmarrouter.cluster import state as state_lib


class Unresolved(enum.Enum):
    """Why a path could not be resolved to a queue."""

    NO_CONFIGURATION = "no_configuration"
    NO_SUCH_QUEUE = "no_such_queue"
    NO_JOB_ID = "no_job_id"


@dataclasses.dataclass(frozen=True)
class Target:
    """The queue that a path resolves to, and the job if the path names one."""

    queue: model.Queue
    job: model.JobId | None


def resolve_path(
    configuration: model.Configuration | None,
    host: str,
    path: str,
    job_id_hex_digits: int = 0,
    known_jobs: Container[model.JobId] = (),
) -> Target | Unresolved:
    """Finds the queue of a host with the longest matching path prefix.

    What follows the prefix is empty or a job's ID. Any other path belongs to a
    queue that doesn't exist: the queue may have been removed, and the prefix is
    that of another one.

    Args:
        configuration: The current configuration.
        host: The host that the caller has named.
        path: The path of the request.
        job_id_hex_digits: Number of hexadecimal digits of a job's ID; 0 if that
            isn't prescribed.
        known_jobs: Jobs that have been accepted. Earlier versions may have taken
            other names for IDs.
    """
    if configuration is None:
        return Unresolved.NO_CONFIGURATION
    longest_match: model.Queue | None = None
    for queue in configuration.queues:
        if queue.host != host or not path.startswith(queue.path_prefix):
            continue
        if longest_match is None or len(queue.path_prefix) > len(
            longest_match.path_prefix
        ):
            longest_match = queue
    if longest_match is None:
        return Unresolved.NO_SUCH_QUEUE
    name = path[len(longest_match.path_prefix) :]
    if not name:
        return Target(longest_match, None)
    job = model.JobId(name)
    if not model.is_job_id(name, job_id_hex_digits) and job not in known_jobs:
        return Unresolved.NO_JOB_ID
    return Target(longest_match, job)


def belongs_to(job: state_lib.Job, queue: model.Queue) -> bool:
    """Whether a job is one of a queue.

    Its caller may go on to use the path that the job was submitted to, so it is
    one of the queue that has this path now, too.
    """
    return job.newest_queue.name == queue.name or (
        (job.queue.host, job.queue.path_prefix)
        == (queue.host, queue.path_prefix)
    )


_REFUSAL_BY_REASON = {
    Unresolved.NO_CONFIGURATION: requests.Refused(
        codes.Code.NO_CONFIGURATION, retry_after_ms=1000
    ),
    Unresolved.NO_SUCH_QUEUE: requests.Refused(codes.Code.NO_SUCH_QUEUE),
    Unresolved.NO_JOB_ID: requests.Refused(
        codes.Code.NO_SUCH_QUEUE, "what follows the prefix is no job's ID"
    ),
}


def reply_from_state(
    state: state_lib.State,
    fleet: fleet_lib.Fleet,
    request: requests.SubmitJob | requests.CancelJob | requests.ShowTarget,
    job_id_hex_digits: int = 0,
) -> requests.AnyReply:
    """Builds the reply to a caller for whom nothing has been proposed."""
    target = resolve_path(
        state.configuration,
        request.host,
        request.path,
        job_id_hex_digits,
        state.job_by_id,
    )
    if isinstance(target, Unresolved):
        return _REFUSAL_BY_REASON[target]
    if target.job is None:
        if isinstance(request, requests.ShowTarget):
            return requests.QueueView(
                queue_lengths.count_waiting_jobs(
                    state, fleet, target.queue.name
                )
            )
        return requests.Refused(codes.Code.BAD_REQUEST, "the path names no job")
    job = state.job_by_id.get(target.job)
    if job is not None and not belongs_to(job, target.queue):
        return requests.Refused(codes.Code.NO_SUCH_JOB)
    if not isinstance(request, requests.ShowTarget):
        # The queue was added after the request had arrived.
        return requests.Refused(codes.Code.NO_SUCH_QUEUE)
    if job is None:
        return requests.Refused(codes.Code.NO_SUCH_JOB)
    return requests.JobView(job.phase, job.has_started)


def reply_from_result(result: state_lib.Result) -> requests.AnyReply:
    """Builds the reply to a caller whose command has been applied.

    The configuration may have changed since the command was proposed, so its
    path is not resolved again.
    """
    if result is state_lib.Result.UNKNOWN_JOB:
        return requests.Refused(codes.Code.NO_SUCH_JOB)
    return requests.Accepted()


def cancel_unreadable_jobs(
    state: state_lib.State,
) -> list[log_commands.AnyCommand]:
    """Returns commands that end the jobs whose tasks can never run.

    An earlier version may have accepted jobs whose task IDs can't be read back. A
    process of that version ends when it places one as the leader, and applies these
    commands like this one.
    """
    return [
        log_commands.CancelJob(job.id)
        for job in state.job_by_id.values()
        if job.is_active and not model.has_readable_task_ids(job.id)
    ]


def commands_for_due_occurrences(
    state: state_lib.State, wall_ms: int
) -> list[log_commands.AnyCommand]:
    """Returns commands that begin the due occurrences.

    An occurrence is deferred while its job would exceed the limit on
    unfinished tasks.
    """
    due_commands: list[log_commands.AnyCommand] = []
    for job in state.timed_job_by_id.values():
        next_occurrence = len(job.steps_by_occurrence)
        if next_occurrence >= job.spec.repetitions or wall_ms < _due_ms(
            job, next_occurrence
        ):
            continue
        occurrence_tasks = sum(step.count for step in job.spec.steps)
        task_budget = request_checks.MAX_JOB_TASKS - job.unfinished_task_count
        while (
            next_occurrence < job.spec.repetitions
            and wall_ms >= _due_ms(job, next_occurrence)
            and task_budget >= occurrence_tasks
        ):
            due_commands.append(
                log_commands.OpenOccurrence(job.id, next_occurrence)
            )
            next_occurrence += 1
            task_budget -= occurrence_tasks
    return due_commands


def _due_ms(job: state_lib.Job, occurrence: int) -> int:
    return job.spec.first_due_ms + occurrence * job.spec.interval_ms
