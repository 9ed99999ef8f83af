"""Remembers jobs that were cancelled before they were submitted.

The submission may still be on its way, for example at a process that is paused,
and must not run the job after its cancelling was answered.
"""

from collections.abc import Iterable

from fulmarrouter.cluster import model

# The oldest are dropped first.
MAX_EARLY_CANCELLATIONS = 4096


class EarlyCancellations:
    """Jobs in the order of their cancellings. Part of the replicated state."""

    def __init__(self, jobs: Iterable[model.JobId] = ()) -> None:
        self._jobs = dict.fromkeys(jobs)

    def __contains__(self, job: model.JobId) -> bool:
        return job in self._jobs

    def add(self, job: model.JobId) -> None:
        """Adds a job as the latest one."""
        self._jobs.pop(job, None)
        self._jobs[job] = None
        while len(self._jobs) > MAX_EARLY_CANCELLATIONS:
            del self._jobs[next(iter(self._jobs))]

    def as_list(self) -> list[model.JobId]:
        """Returns the jobs, for a snapshot."""
        return list(self._jobs)
