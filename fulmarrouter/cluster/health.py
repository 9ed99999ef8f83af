"""Tells workers that fail what they are given from jobs that can't be done.

Load it answers: workers that fail every start while they still report, among
a few percent of tasks that fail by their own fault.
"""

import dataclasses

from fulmarrouter.cluster import model

# Failures of different jobs in a row that put a worker on probation. With the
# few percent of failing tasks of the target deployments, two in a row on a
# good worker come about once in a thousand tasks.
PROBATION_STREAK = 2
# First stay on probation; doubles with each further one.
INITIAL_PROBATION_S = 4.0
MAX_PROBATION_S = 30.0
# Share of a service's workers that may be on probation at the same time, so
# that a broad fault can't shut the service down.
MAX_SHARE_ON_PROBATION = 0.34


@dataclasses.dataclass
class WorkerHealth:
    """Recent ends on one incarnation of a worker.

    Attributes:
        failed_jobs: Jobs that failed here since the last success.
        stalled_jobs: Jobs of which a run stood still here since then.
        probation_until: No new work before this time.
        on_trial: After probation one task at a time, until one succeeds.
    """

    failed_jobs: list[model.JobId] = dataclasses.field(default_factory=list)
    stalled_jobs: list[model.JobId] = dataclasses.field(default_factory=list)
    probation_until: float = 0.0
    probation_s: float = INITIAL_PROBATION_S
    on_trial: bool = False

    def note_success(self) -> None:
        """A task of any job was done here."""
        self.failed_jobs.clear()
        self.stalled_jobs.clear()
        self.on_trial = False
        self.probation_s = INITIAL_PROBATION_S

    def note_failure(self, now: float, job: model.JobId) -> bool:
        """A task of a job failed here; returns whether that looks suspect."""
        if job not in self.failed_jobs:
            self.failed_jobs.append(job)
        if self.on_trial or len(self.failed_jobs) >= PROBATION_STREAK:
            self.begin_probation(now)
            return True
        return False

    def note_stall(self, now: float, job: model.JobId) -> bool:
        """A run stood still here; returns whether the worker looks suspect."""
        if job not in self.stalled_jobs:
            self.stalled_jobs.append(job)
        if self.on_trial or len(self.stalled_jobs) >= PROBATION_STREAK:
            self.begin_probation(now)
            return True
        return False

    def begin_probation(self, now: float) -> None:
        """Keeps new work away for a while."""
        if now < self.probation_until:
            return
        self.probation_until = now + self.probation_s
        self.probation_s = min(MAX_PROBATION_S, 2 * self.probation_s)
        self.on_trial = True

    def is_on_probation(self, now: float) -> bool:
        """Whether no new work may come here."""
        return now < self.probation_until
