"""Decides when ended jobs are forgotten.

The state holds a limited number of jobs, ended ones included. An ended job is
kept for as long as its caller may ask for its phase or send it again.
"""

from fulmarrouter.cluster import log_commands
from fulmarrouter.cluster import model
from fulmarrouter.cluster import state as state_lib

CHECK_INTERVAL_S = 1.0
MAX_JOBS_PER_COMMAND = 500


class JobRetention:
    """Tracks when jobs have ended, as seen by one leader.

    A new leader does not know when earlier jobs ended, and keeps them for the
    full time again.

    Args:
        retention_s: Time for which an ended job is kept.
    """

    def __init__(self, retention_s: float) -> None:
        self._retention_s = retention_s
        self._ended_at_by_job: dict[model.JobId, float] = {}
        self._check_due = 0.0

    def jobs_to_forget(
        self, now: float, state: state_lib.State
    ) -> log_commands.ForgetJobs | None:
        """Returns the command that forgets jobs, if any are due.

        A job with a run that may still be going on is kept, since the run has
        to be stopped.
        """
        if now < self._check_due:
            return None
        self._check_due = now + CHECK_INTERVAL_S
        self._ended_at_by_job = {
            job.id: self._ended_at_by_job.get(job.id, now)
            for job in state.job_by_id.values()
            if not job.is_active
        }
        due = [
            job_id
            for job_id, ended_at in self._ended_at_by_job.items()
            if now - ended_at >= self._retention_s
            and not _has_assigned_task(state.job_by_id[job_id])
        ]
        if not due:
            return None
        return log_commands.ForgetJobs(tuple(due[:MAX_JOBS_PER_COMMAND]))


def _has_assigned_task(job: state_lib.Job) -> bool:
    return any(
        task.phase is model.TaskPhase.ASSIGNED
        for steps in job.steps_by_occurrence.values()
        for step in steps
        for task in step.tasks
    )
