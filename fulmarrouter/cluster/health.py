"""Tells faulty workers from jobs that fail on any worker.

Designed for workers that fail every start while they still report, in a load
where a few percent of the tasks fail through their own fault.
"""

import dataclasses
import enum

from fulmarrouter.cluster import model

# Number of different jobs that must fail in a row to put a worker on probation.
# With a few percent of failing tasks, as in the target deployments, two in a
# row on a healthy worker occur about once in a thousand tasks.
PROBATION_STREAK = 2
# Length of the first probation; doubles with each further one.
INITIAL_PROBATION_S = 4.0
MAX_PROBATION_S = 30.0
# Share of a service's workers that may be on probation at the same time, so
# that a fault that affects many of them can't shut the service down.
MAX_SHARE_ON_PROBATION = 0.34
# A suspect worker takes last attempts again this long after its latest failure.
# Without other tasks it would remain suspect, and the attempts would wait.
SUSPICION_S = 8.0


class Suspicion(enum.IntEnum):
    """Whether the next task is likely to fail through the worker's fault.

    NONE if the latest run succeeded, OLD and RECENT by the age of the failure.
    """

    NONE = 0
    OLD = 1
    RECENT = 2


@dataclasses.dataclass
class WorkerHealth:
    """Recent outcomes of runs on one incarnation of a worker.

    Attributes:
        failed_jobs: Jobs that failed here since the last success.
        stalled_jobs: Jobs with a run that stalled here since the last success.
        last_failure_at: When a run last failed here.
        probation_until: The worker gets no new tasks before this time.
        probation_began_at: When its latest probation began.
        probation_s: Length of the next probation.
        on_trial: Set from the start of a probation until a task succeeds.
            After the probation, the worker gets one task at a time.
    """

    failed_jobs: list[model.JobId] = dataclasses.field(default_factory=list)
    stalled_jobs: list[model.JobId] = dataclasses.field(default_factory=list)
    last_failure_at: float = float("-inf")
    probation_until: float = 0.0
    probation_began_at: float = float("-inf")
    probation_s: float = INITIAL_PROBATION_S
    on_trial: bool = False

    def record_success(self) -> None:
        """Records a task that succeeded here."""
        self.failed_jobs.clear()
        self.stalled_jobs.clear()
        self.on_trial = False
        self.probation_s = INITIAL_PROBATION_S

    def record_failure(self, now: float, job: model.JobId) -> bool:
        """Records a failure; returns whether it calls for a probation."""
        self.last_failure_at = now
        if job not in self.failed_jobs:
            self.failed_jobs.append(job)
        if self.on_trial or len(self.failed_jobs) >= PROBATION_STREAK:
            self.begin_probation(now)
            return True
        return False

    def record_stall(self, now: float, job: model.JobId) -> bool:
        """Records a stall; returns whether it calls for a probation."""
        if job not in self.stalled_jobs:
            self.stalled_jobs.append(job)
        if self.on_trial or len(self.stalled_jobs) >= PROBATION_STREAK:
            self.begin_probation(now)
            return True
        return False

    def begin_probation(self, now: float) -> None:
        """Puts the worker on probation, unless it already is."""
        if now < self.probation_until:
            return
        self.probation_began_at = now
        self.probation_until = now + self.probation_s
        self.probation_s = min(MAX_PROBATION_S, 2 * self.probation_s)
        self.on_trial = True

    def suspicion(self, now: float) -> Suspicion:
        """Returns whether runs have failed here since the last success."""
        if not self.failed_jobs:
            return Suspicion.NONE
        if now - self.last_failure_at > SUSPICION_S:
            return Suspicion.OLD
        return Suspicion.RECENT

    def is_on_probation(self, now: float, *, for_lasting: bool = False) -> bool:
        """Whether the worker must not get new tasks.

        Args:
            now: Monotonic time.
            for_lasting: Whether these are tasks that run until they are cancelled.
                Further probations don't keep those away for longer: they serve
                their users all the time, and no other worker may fit.
        """
        if for_lasting and now >= self.probation_began_at + INITIAL_PROBATION_S:
            return False
        return now < self.probation_until
