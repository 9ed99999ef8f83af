"""Checks that nothing has failed on a leader which goes on all the same."""

from fulmarrouter.cluster import controller as controller_lib

FAILURES = ("job set aside", "duty failed", "request failed")


def check(controller: controller_lib.Controller) -> None:
    """Checks the decisions that have not been logged yet.

    Raises:
        AssertionError: The handling of a job or a request, or a duty, has raised
            an exception.
    """
    for decision in controller.decisions.pending:
        assert decision.event not in FAILURES, decision
