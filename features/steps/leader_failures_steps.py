"""Steps on exceptions in what a leader does."""

from typing import Any
from unittest import mock

from behave import given
from behave import then
from behave import when

from features.steps import assignment_steps
from features.steps import reporting_steps
from fulmarrouter import codes
from fulmarrouter.cluster import dispatcher
from fulmarrouter.cluster import ordering
from fulmarrouter.cluster import planner
from fulmarrouter.cluster import requests
from fulmarrouter.cluster import state as state_lib

TURNS = 20
REPORTS = 30
FAILED_JOB = "bad"


class _FailureError(Exception):
    """The exception that is raised."""


def _start(context: Any, target: Any, name: str, replacement: Any) -> None:
    patch = mock.patch.object(target, name, replacement)
    patch.start()
    context.add_cleanup(patch.stop)


def _fail(*arguments: Any) -> Any:
    raise _FailureError


def _failing_duty(name: str) -> Any:
    def fail(*arguments: Any) -> Any:
        raise _FailureError

    fail.__name__ = name
    return fail


@given("a leader")
def step_leader(context: Any) -> None:
    context.leader = reporting_steps.SingleVoterLeader(fails=True)


@given("a leader that fails when it {handles} the job bad")
def step_leader_that_fails(context: Any, handles: str) -> None:
    step_leader(context)
    match handles:
        case "ranks":
            original_rank = ordering.rank

            def rank(job: state_lib.Job, elapsed_s: float) -> Any:
                if job.id == FAILED_JOB:
                    raise _FailureError
                return original_rank(job, elapsed_s)

            _start(context, ordering, "rank", rank)
        case "searches a worker for":
            original_build = planner.Planner._build_demand

            def build(self: Any, now: float, state: Any, search: Any) -> Any:
                if search.key.job == FAILED_JOB:
                    raise _FailureError
                return original_build(self, now, state, search)

            _start(context, planner.Planner, "_build_demand", build)
        case "has chosen a worker for":
            original_assign = planner.Planner._assign_chosen

            def assign(
                self: Any, state: Any, search: Any, demand: Any, chosen: Any
            ) -> Any:
                found = original_assign(self, state, search, demand, chosen)
                if search.key.job == FAILED_JOB:
                    raise _FailureError
                return found

            _start(context, planner.Planner, "_assign_chosen", assign)


@given("a leader whose {duty} fails")
def step_leader_with_failing_duty(context: Any, duty: str) -> None:
    step_leader(context)
    _start(context, dispatcher.Dispatcher, duty, _failing_duty(duty))


@when("the jobs bad and good are submitted")
def step_submit_both(context: Any) -> None:
    leader = context.leader
    leader.report()
    assert leader.wait_for_answer(TURNS)[0]
    for job in (FAILED_JOB, "good"):
        leader.submit(job, 1000)
    context.started = set()
    for _ in range(REPORTS):
        leader.report()
        orders, _ = leader.wait_for_answer(TURNS)
        assert orders is not None
        context.started |= {item.task for item in orders.starts}
    context.logged = [
        (decision.event, decision.fields)
        for decision in leader.controller.decisions.take()
    ]


@then("the tasks of good are started and those of bad are not")
def step_only_good(context: Any) -> None:
    assert context.started == {"good.0.0.0"}, context.started


@then("the log says that the job bad was set aside, once")
def step_set_aside(context: Any) -> None:
    (fields,) = [
        fields for event, fields in context.logged if event == "job set aside"
    ]
    assert fields["job"] == FAILED_JOB, fields
    assert "_FailureError" in str(fields["error"]), fields
    assert "leader_failures_steps.py" in str(fields["where"]), fields


@then("nothing on the worker is reserved for it")
def step_nothing_reserved(context: Any) -> None:
    leading = context.leader.controller.dispatcher.planner
    key = state_lib.StepKey(FAILED_JOB, 0, 0)  # type: ignore[arg-type]
    assert not leading.planned_indices(key)


@then("the tasks of good are started and the log says that {duty} failed")
def step_duty_failed(context: Any, duty: str) -> None:
    assert "good.0.0.0" in context.started, context.started
    failed = {
        fields["of"]
        for event, fields in context.logged
        if event == "duty failed"
    }
    assert failed == {duty}, failed


@when("assigning moved tasks fails, and the task has stopped")
def step_moved_fails(context: Any) -> None:
    _start(context, planner.Planner, "_assign_moved_task", _fail)
    context.cluster.harness.decision_buffer.take()
    assignment_steps._stop_moved_task(context, 5.2)
    assignment_steps._propose(context, 5.3)


@then("its job is set aside and the task is no longer moving")
def step_move_given_up(context: Any) -> None:
    harness = context.cluster.harness
    jobs = [
        decision.fields["job"]
        for decision in harness.decision_buffer.take()
        if decision.event == "job set aside"
    ]
    assert jobs == [assignment_steps.MOVED_TASK.partition(".")[0]], jobs
    assert not list(harness.dispatcher.planner.moving_tasks())


@when("a report fails when it is {handled}")
def step_report_fails(context: Any, handled: str) -> None:
    name = {"read": "on_report", "answered": "orders"}[handled]
    leader = context.leader
    with mock.patch.object(dispatcher.Dispatcher, name, _fail):
        leader.report()
        (answered,) = [item for _ in range(TURNS) for item in leader.turn()]
    context.reply = answered.reply


@then("it is answered {code}, and the next report with orders")
def step_report_answered(context: Any, code: str) -> None:
    assert context.reply == requests.Refused(codes.Code[code]), context.reply
    context.leader.report()
    orders, _ = context.leader.wait_for_answer(TURNS)
    assert orders is not None and orders.lease_ms, orders
