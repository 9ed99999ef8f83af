"""Decides which jobs are accepted.

Load it answers: more work than the workers can finish while it is still worth
something to its callers. A refused job has not run and never will.
"""

from fulmarrouter import codes
from fulmarrouter.cluster import fleet as fleet_lib
from fulmarrouter.cluster import model
from fulmarrouter.cluster import requests
from fulmarrouter.cluster import state as state_lib

RETRY_AFTER_MS = 1000
MAX_ACTIVE_JOBS = 20_000  # Bounds the memory of a keeper.


class Admission:
    """Admission of new jobs by the leader."""

    def decide(
        self,
        now: float,
        state: state_lib.State,
        fleet: fleet_lib.Fleet,
        queue: model.Queue,
        request: requests.SubmitJob,
    ) -> requests.Refused | None:
        """Returns a refusal, or None where the job is to be accepted."""
        del now, fleet, queue, request
        if len(state.job_by_id) >= MAX_ACTIVE_JOBS:
            return requests.Refused(
                codes.Code.OVERLOADED, "too many jobs", RETRY_AFTER_MS
            )
        return None
