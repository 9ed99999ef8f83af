"""Checks that nothing has failed on a leader which goes on all the same."""

from features.support import worker_limits
from fulmarrouter.cluster import controller as controller_lib

FAILURES = ("job set aside", "duty failed", "request failed")


def check(controller: controller_lib.Controller) -> None:
    """Checks the decisions that have not been logged yet.

    Raises:
        InvariantViolationError: The handling of a job or a request, or a duty, has
            raised an exception.
    """
    for decision in controller.decisions.pending:
        if decision.event in FAILURES:
            raise worker_limits.InvariantViolationError(str(decision))
