"""Decides when a gang may take more of workers on trial than one task each.

A worker on trial gets one task at a time, so that few fail if it is still faulty.
A gang is placed completely or not at all. If it needs several tasks on such a
worker and no other task ends the trial, neither would change.
"""

from collections.abc import Iterable

from fulmarrouter.cluster import assignment_limits
from fulmarrouter.cluster import model
from fulmarrouter.cluster import placement
from fulmarrouter.cluster import state as state_lib
from fulmarrouter.cluster import step_waits

# How long a gang waits for workers that are not on trial, if there are any that
# may run its tasks.
TRIAL_WAIT_S = 2.0


class TrialWaits(step_waits.StepWaits):
    """Since when gangs wait that only fit if they exceed a trial."""

    def may_exceed(
        self,
        now: float,
        key: state_lib.StepKey,
        spec: model.StepSpec,
        fitting: Iterable[placement.CandidateWorker],
        others: Iterable[placement.CandidateWorker],
    ) -> bool:
        """Whether a gang that fits nowhere else may exceed the trials.

        Starts its wait if workers that are not on trial may run its tasks.

        Args:
            now: Monotonic time.
            key: The gang.
            spec: Its specification.
            fitting: Workers that have capacity for one of its tasks.
            others: All workers of the service that are not on trial.
        """
        is_useful = any(
            candidate.on_trial and _may_run(spec, candidate)
            for candidate in fitting
        )
        if not is_useful:
            return False
        if not any(_may_run(spec, candidate) for candidate in others):
            return True
        self.start(now, key)
        return self.waited_s(now, key) >= TRIAL_WAIT_S


def _may_run(
    spec: model.StepSpec, candidate: placement.CandidateWorker
) -> bool:
    """Whether a worker may run a task of the gang once it has capacity."""
    return (
        assignment_limits.has_label(spec, candidate.labels)
        and spec.needs.millicores <= candidate.capacity_millicores
    )
