"""Decides which jobs are accepted.

Load it answers: more jobs than a keeper can hold. A refused job has not run
and never will.
"""

from fulmarrouter import codes
from fulmarrouter.cluster import requests
from fulmarrouter.cluster import state as state_lib

RETRY_AFTER_MS = 1000
MAX_ACTIVE_JOBS = 20_000  # Bounds the memory of a keeper.


def refusal(state: state_lib.State) -> requests.Refused | None:
    """Returns why no new job is accepted, or None where one is."""
    if len(state.job_by_id) >= MAX_ACTIVE_JOBS:
        return requests.Refused(
            codes.Code.OVERLOADED, "too many jobs", RETRY_AFTER_MS
        )
    return None
