"""Decides which jobs are accepted.

Protects a keeper against more jobs than it can hold in memory. A refused job
has not run and never will.
"""

from fulmarrouter import codes
from fulmarrouter.cluster import requests
from fulmarrouter.cluster import state as state_lib

RETRY_AFTER_MS = 1000
# Limit on the jobs in the state, ended ones included. Bounds the memory of a
# keeper.
MAX_JOBS = 20_000


def refusal(
    state: state_lib.State, proposed_jobs: int
) -> requests.Refused | None:
    """Returns the refusal of a new job, or None if it is accepted.

    Args:
        state: The replicated state.
        proposed_jobs: Number of jobs that have been proposed but not applied.
    """
    if len(state.job_by_id) + proposed_jobs >= MAX_JOBS:
        return requests.Refused(
            codes.Code.OVERLOADED, "too many jobs", RETRY_AFTER_MS
        )
    return None
