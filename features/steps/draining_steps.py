"""Steps on runs that are stopped before their worker leaves."""

from typing import Any

from behave import given
from behave import then
from behave import when

from features.steps import filling_steps
from features.steps import leaving_workers_steps as leaving
from fulmarrouter import commands
from fulmarrouter.cluster import dispatcher
from fulmarrouter.cluster import model
from fulmarrouter.cluster import requests

FIRST_SEEN_AT = 1.0
DRAINS_AT = 2.0
TURN_S = 0.1
END_S = 12.0
ESTIMATED_MS = 3000


def _step(kind: str) -> model.StepSpec:
    return model.StepSpec(
        1,
        commands.Resources(1000, 10, 0),
        ESTIMATED_MS,
        supports_checkpoints=kind == "task that saves its progress",
        runs_until_cancelled=kind == "lasting task",
    )


def _report(
    context: Any, now: float, percent: int, drain_s: float | None
) -> requests.Orders:
    running = (requests.ActiveRun(leaving.TASK, 1, "c1", percent, 1000),)
    harness: filling_steps.DispatcherHarness = context.harness
    return harness.report(
        now,
        leaving.WORKER,
        leaving.MILLICORES,
        running,
        draining=drain_s is not None,
        drain_time_left_ms=round(1000 * (drain_s or 0.0)),
    )


@given("a worker that runs a {kind} at 10 %")
def step_running(context: Any, kind: str) -> None:
    harness = context.harness = filling_steps.DispatcherHarness()
    harness.report(0.0, leaving.WORKER, leaving.MILLICORES)
    harness.submit("job", _step(kind))
    assert harness.plan(0.1)
    assert harness.report(0.2, leaving.WORKER, leaving.MILLICORES).starts
    _report(context, FIRST_SEEN_AT, 10, None)


@when(
    "it reports {seconds:f} s later that the run is at {percent:d} % and that it"
    " drains for {left:f} s"
)
def step_drains(
    context: Any, seconds: float, percent: int, left: float
) -> None:
    context.harness.decision_buffer.take()
    context.orders = _report(context, FIRST_SEEN_AT + seconds, percent, left)


@when(
    "it reports {seconds:f} s later that the run is at {percent:d} % and that it"
    " doesn't drain"
)
def step_does_not_drain(context: Any, seconds: float, percent: int) -> None:
    context.orders = _report(context, FIRST_SEEN_AT + seconds, percent, None)


@when("it reports 0.3 s later that the run is at {percent:d} %")
def step_reports_again(context: Any, percent: int) -> None:
    context.orders = _report(context, DRAINS_AT + 0.3, percent, 0.3)


@then("its run {event}")
def step_event(context: Any, event: str) -> None:
    expected = (
        (requests.StopOrder(leaving.TASK, 1),) if event == "is stopped" else ()
    )
    assert context.orders.stops == expected, context.orders


def _list_end(context: Any) -> None:
    ended = (
        requests.EndedRun(1, leaving.TASK, 1, model.Outcome.STOPPED, "c2"),
    )
    context.harness.report(
        DRAINS_AT + 0.3,
        leaving.WORKER,
        leaving.MILLICORES,
        ended=ended,
        draining=True,
    )


@when("its end is listed after 0.3 s")
def step_end_listed(context: Any) -> None:
    _list_end(context)


@when("its end is listed to a new leader")
def step_end_listed_to_new_leader(context: Any) -> None:
    harness = context.harness
    harness.dispatcher = dispatcher.Dispatcher(
        dispatcher.DispatchSettings(), harness.decision_buffer
    )
    harness.dispatcher.start_term(DRAINS_AT + 0.1, harness.state)
    _list_end(context)


@when("the worker leaves and nothing is listed")
def step_leaves(context: Any) -> None:
    leaving.send_leave(context.harness, 0)


@then(
    "another worker is told to start it from checkpoint {checkpoint} at"
    " {seconds:f} s"
)
def step_resumes(context: Any, checkpoint: str, seconds: float) -> None:
    harness = context.harness
    starts: tuple[requests.StartOrder, ...] = ()
    now = DRAINS_AT + 0.4
    while not starts and now < END_S:
        for command in harness.dispatcher.expire(now, harness.state):
            harness.commit(command)
        harness.plan(now)
        starts = harness.report(now, leaving.OTHER, leaving.MILLICORES).starts
        now = round(now + TURN_S, 1)
    assert [start.checkpoint for start in starts] == [checkpoint], starts
    assert abs(now - TURN_S - seconds) < 1.5 * TURN_S, now - TURN_S


@then("a line names the run, with {left:d} ms left")
def step_line(context: Any, left: int) -> None:
    (fields,) = [
        decision.fields
        for decision in context.harness.decision_buffer.take()
        if decision.event == "runs evicted"
    ]
    assert fields["tasks"] == leaving.TASK, fields
    assert fields["time_left_ms"] == left, fields
