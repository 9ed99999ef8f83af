"""Steps on successes that arrive after a run has been taken for over."""

from typing import Any

from behave import given
from behave import then
from behave import when

from features.steps import filling_steps
from features.steps import leaving_workers_steps as leaving
from fulmarrouter.cluster import model
from fulmarrouter.cluster import requests

REPORT_INTERVAL_S = 0.2
SECOND_TASK = model.format_task_id(model.JobId("second"), 0, 0, 0)


def _pass_time(
    context: Any, seconds: float, report_of_worker: dict[str, Any] | None
) -> None:
    """Lets time pass at the leader, while another worker reports.

    Args:
        context: The context of the scenario.
        seconds: How long.
        report_of_worker: What the worker that leaves reports meanwhile; None if
            it is silent.
    """
    harness = context.harness
    end = context.now + seconds
    while context.now < end - 0.01:
        context.now += REPORT_INTERVAL_S
        if report_of_worker is not None:
            context.answer = harness.report(
                context.now,
                leaving.WORKER,
                leaving.MILLICORES,
                incarnation=2,
                **report_of_worker,
            )
        for command in harness.dispatcher.expire(context.now, harness.state):
            harness.commit(command)
        harness.plan(context.now)
        orders = harness.report(context.now, leaving.OTHER, leaving.MILLICORES)
        context.started |= {item.task for item in orders.starts}


def _leave(context: Any, left: int, *, is_draining: bool) -> None:
    harness = context.harness
    context.started = set()
    context.now = 1.2
    if not left and is_draining:
        leaving.report_draining(harness)
    leaving.send_leave(harness, left)


@when("it leaves, naming incarnation {left:d}, and is silent for {seconds:f} s")
def step_leave_silently(context: Any, left: int, seconds: float) -> None:
    _leave(context, left, is_draining=True)
    _pass_time(context, seconds, None)


@when(
    "a leader elected {elected:f} s after its lease {event}, and it is silent"
    " for {seconds:f} s"
)
def step_leave_at_new_leader(
    context: Any, elected: float, event: str, seconds: float
) -> None:
    harness = context.harness
    _leave(context, 2, is_draining=False)
    _pass_time(context, elected, None)
    harness.dispatcher.start_term(context.now, harness.state)
    if event == "hears that incarnation 2 has left":
        leaving.send_leave(harness, 2)
    else:
        assert event == "follows one that heard of its leave", event
    _pass_time(context, seconds, None)


@then("another worker has been told to start {count:d} tasks")
def step_started_elsewhere(context: Any, count: int) -> None:
    assert len(context.started) == count, context.started


@when(
    "it leaves, naming incarnation {left:d}, and still reports {state} for"
    " {seconds:d} s"
)
def step_leave_and_report(
    context: Any, left: int, state: str, seconds: int
) -> None:
    _leave(context, left, is_draining=state == "draining")
    running = (requests.ActiveRun(leaving.TASK, 1, "", 10, 1000),)
    report = {"running": running, "draining": state == "draining"}
    _pass_time(context, seconds, report)


@when("it is silent for {seconds:d} s")
def step_silent(context: Any, seconds: int) -> None:
    _pass_time(context, seconds, None)


@when("its report that the task is done arrives")
def step_success_arrives(context: Any) -> None:
    ended = (requests.EndedRun(1, leaving.TASK, 1, model.Outcome.DONE, ""),)
    _pass_time(context, 0.4, {"ended": ended, "draining": True})


@then(
    "the success is {answer}, and another worker has been told to start"
    " {count:d} tasks"
)
def step_success_answered(context: Any, answer: str, count: int) -> None:
    is_acknowledged = context.answer.acknowledged_end_number == 1
    assert is_acknowledged == (answer == "acknowledged"), context.answer
    assert len(context.started) == count, context.started
    found = context.harness.state.find_task(leaving.TASK)
    is_done = found[3].phase is model.TaskPhase.DONE
    assert is_done or not is_acknowledged, found[3]


@given(
    "a worker whose run was lost and whose task another worker was told to start"
)
def step_superseded_run(context: Any) -> None:
    harness = context.harness = filling_steps.DispatcherHarness()
    harness.report(0.0, leaving.WORKER, leaving.MILLICORES)
    harness.submit("job", filling_steps.ordinary_step(1000))
    assert harness.plan(0.1)
    harness.report(0.2, leaving.WORKER, leaving.MILLICORES)
    harness.lose_worker(leaving.WORKER)
    harness.report(0.4, leaving.OTHER, leaving.MILLICORES)
    assert harness.plan(0.5)
    assert harness.report(0.6, leaving.OTHER, leaving.MILLICORES).starts


@when("a new leader hears for {seconds:d} s that the lost run is done")
def step_new_leader_hears(context: Any, seconds: int) -> None:
    harness = context.harness
    harness.dispatcher.start_term(1.0, harness.state)
    ended = tuple(
        requests.EndedRun(number, task, 1, outcome, "")
        for number, task, outcome in (
            (1, SECOND_TASK, model.Outcome.STOPPED),
            (2, leaving.TASK, model.Outcome.DONE),
            (3, SECOND_TASK, model.Outcome.STOPPED),
        )
    )
    for tenth in range(10 * seconds + 2):
        context.answer = harness.report(
            1.1 + tenth / 10, leaving.WORKER, leaving.MILLICORES, ended=ended
        )


@then("it has acknowledged the ends up to number {number:d}")
def step_acknowledged_up_to(context: Any, number: int) -> None:
    assert context.answer.acknowledged_end_number == number, context.answer


@given("a worker that was told to start a task")
def step_told_to_start(context: Any) -> None:
    harness = context.harness = filling_steps.DispatcherHarness()
    for tenth in range(40):
        harness.report(tenth / 10, leaving.WORKER, leaving.MILLICORES)
    harness.submit("job", filling_steps.ordinary_step(1000))
    assert harness.plan(4.0)
    assert harness.report(4.0, leaving.WORKER, leaving.MILLICORES).starts


@when("it reports {seconds:f} s later that it drains and runs nothing")
def step_drains_without_task(context: Any, seconds: float) -> None:
    harness = context.harness
    now = 4.0 + seconds
    harness.report(now, leaving.WORKER, leaving.MILLICORES, draining=True)
    report = harness.dispatcher.fleet.view_by_id[leaving.WORKER].report
    for command in harness.dispatcher.end_absent_runs(
        now, harness.state, report
    ):
        harness.commit(command)
