"""Steps for the timing of a graceful shutdown."""

from typing import Any

from behave import given
from behave import then
from behave import when

from fulmarrouter.cluster import graceful_shutdown


@given(
    "a process that was told to stop {after:f} s ago with a grace period of"
    " {grace:g} s"
)
def step_request_shutdown(context: Any, after: float, grace: float) -> None:
    context.now = 100.0 + after
    context.shutdown = graceful_shutdown.GracefulShutdown(100.0, grace)


@when("its callers {callers}")
def step_set_callers(context: Any, callers: str) -> None:
    context.is_idle = callers == "are gone"


@then("it {answers} and {ends}")
def step_shutdown_state(context: Any, answers: str, ends: str) -> None:
    must_answer = answers == "answers all immediately"
    assert context.shutdown.must_answer_all(context.now) == must_answer
    is_over = context.shutdown.is_over(context.now, context.is_idle)
    assert is_over == (ends == "exits")
