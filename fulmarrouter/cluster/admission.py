"""Decides which jobs are accepted.

Protects a keeper against more jobs than it can hold in memory, and a job against another
one under its ID. A refused job has not run and never will.
"""

from collections.abc import Mapping

from fulmarrouter import codes
from fulmarrouter.cluster import job_requests
from fulmarrouter.cluster import model
from fulmarrouter.cluster import requests
from fulmarrouter.cluster import state as state_lib

RETRY_AFTER_MS = 1000
# Limit on the jobs in the state, ended ones included. Bounds the memory of a
# keeper.
MAX_JOBS = 20_000


def refusal(
    state: state_lib.State,
    proposed_queues: Mapping[model.JobId, model.QueueName],
    target: job_requests.Target,
) -> requests.Refused | None:
    """Returns the refusal of a job, or None if it is accepted.

    Args:
        state: The replicated state.
        proposed_queues: Queues of the jobs that have been proposed but not applied.
        target: The queue and the ID that the submission names.
    """
    if belongs_to_other_queue(state, proposed_queues, target):
        return requests.Refused(
            codes.Code.KEY_REUSED, "the ID is that of a job of another queue"
        )
    # A copy of a submission must not be refused while the first one may still be
    # accepted.
    if target.job in state.job_by_id or target.job in proposed_queues:
        return None
    if len(state.job_by_id) + len(proposed_queues) >= MAX_JOBS:
        return requests.Refused(
            codes.Code.OVERLOADED, "too many jobs", RETRY_AFTER_MS
        )
    return None


def belongs_to_other_queue(
    state: state_lib.State,
    proposed_queues: Mapping[model.JobId, model.QueueName],
    target: job_requests.Target,
) -> bool:
    """Whether a target's ID is that of a job of another queue.

    IDs are unique over all queues, since the IDs of tasks don't name the queue.
    """
    if target.job is None:
        return False
    job = state.job_by_id.get(target.job)
    if job is not None:
        return not job_requests.belongs_to(job, target.queue)
    queue = proposed_queues.get(target.job, target.queue.name)
    return queue != target.queue.name
