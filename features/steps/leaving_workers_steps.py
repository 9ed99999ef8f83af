"""Steps on workers that leave."""

import json
from typing import Any

from behave import given
from behave import then
from behave import when
from fleet_adapter import worker_format
import msgspec

from features.steps import filling_steps
from fulmarrouter import commands
from fulmarrouter.cluster import log_commands
from fulmarrouter.cluster import model
from fulmarrouter.cluster import requests

WORKER = "w"
OTHER = "other"
MILLICORES = 8000
TASK = model.format_task_id(model.JobId("job"), 0, 0, 0)
LEFT_AT = 1.4
# The lease that was granted at 1.2 s has expired on the slowest clock.
GONE_AT = 7.7


@given("a worker that has restarted as incarnation 2 and runs a task")
def step_restarted_worker(context: Any) -> None:
    if "harness" not in context:
        context.harness = filling_steps.DispatcherHarness()
    harness = context.harness
    harness.report(0.0, WORKER, MILLICORES, incarnation=1)
    harness.report(1.0, WORKER, MILLICORES, incarnation=2)
    harness.submit("job", filling_steps.ordinary_step(1000))
    assert harness.plan(1.1)
    running = (requests.ActiveRun(TASK, 1, "", 10, 1000),)
    harness.report(1.2, WORKER, MILLICORES, running, incarnation=2)


@given("a worker that has restarted as incarnation 2 and runs nothing")
def step_restarted_idle_worker(context: Any) -> None:
    harness = context.harness = filling_steps.DispatcherHarness()
    harness.report(0.0, WORKER, MILLICORES, incarnation=1)
    harness.report(1.2, WORKER, MILLICORES, incarnation=2)


@then("the leader {state} the worker")
def step_is_known(context: Any, state: str) -> None:
    is_known = WORKER in context.harness.dispatcher.fleet.view_by_id
    assert is_known == (state == "knows"), state


def report_draining(harness: filling_steps.DispatcherHarness) -> None:
    """Has incarnation 2 report that it drains, as workers do before they leave."""
    running = (requests.ActiveRun(TASK, 1, "", 10, 1000),)
    harness.report(
        1.2, WORKER, MILLICORES, running, draining=True, incarnation=2
    )


def send_leave(harness: filling_steps.DispatcherHarness, left: int) -> None:
    """Has the worker's leave arrive; `left` is 0 if it names no incarnation."""
    request = requests.WorkerLeft(model.WorkerId(WORKER), left)
    for command in harness.dispatcher.on_left(harness.state, request):
        harness.commit(command)


def _say_left(harness: filling_steps.DispatcherHarness, left: int) -> None:
    if not left:
        report_draining(harness)
    send_leave(harness, left)
    for command in harness.dispatcher.expire(LEFT_AT, harness.state):
        harness.commit(command)


@when(
    "incarnation {left:d} is said to have left, and it is silent for"
    " {seconds:f} s"
)
def step_left_for(context: Any, left: int, seconds: float) -> None:
    harness = context.harness
    _say_left(harness, left)
    for command in harness.dispatcher.expire(LEFT_AT + seconds, harness.state):
        harness.commit(command)


@when("incarnation {left:d} is said to have left, and its lease expires")
def step_left(context: Any, left: int) -> None:
    harness = context.harness
    harness.decision_buffer.take()
    context.left_incarnation = left
    _say_left(harness, left)
    for command in harness.dispatcher.expire(GONE_AT, harness.state):
        harness.commit(command)


@then(
    "a line says that it has left with {runs:d} runs, known {known}, late"
    " {late}"
)
def step_left_line(context: Any, runs: int, known: str, late: str) -> None:
    (fields,) = [
        decision.fields
        for decision in context.harness.decision_buffer.take()
        if decision.event == "worker left"
    ]
    assert fields["worker"] == WORKER, fields
    assert fields["incarnation"] == context.left_incarnation, fields
    assert fields["runs"] == runs, fields
    assert str(fields["is_known"]) == known, fields
    assert str(fields["is_late"]) == late, fields


@given("a configuration with the service {service}")
def step_configuration(context: Any, service: str) -> None:
    context.harness = filling_steps.DispatcherHarness()
    step_replace_configuration(context, service)


@when("the configuration names the service {service} instead")
def step_replace_configuration(context: Any, service: str) -> None:
    current = context.harness.state.configuration
    version = 1 + (current.version if current else 0)
    configuration = model.Configuration(
        version,
        str(version),
        b"",
        (filling_steps.QUEUE,),
        (),
        (model.ServiceName(service),),
    )
    context.harness.commit(log_commands.ReplaceConfiguration(configuration))


@when(
    "a report under its id names the service {service} and incarnation {born:d}"
)
def step_other_report(context: Any, service: str, born: int) -> None:
    context.harness.report(
        1.3,
        WORKER,
        MILLICORES,
        incarnation=born,
        service=model.ServiceName(service),
    )


@when("its worker says that the task is done")
def step_task_ends(context: Any) -> None:
    ended = (requests.EndedRun(1, TASK, 1, model.Outcome.DONE, ""),)
    context.harness.report(1.3, WORKER, MILLICORES, ended=ended, incarnation=2)


@then("the phase of the task is {phase}")
def step_phase(context: Any, phase: str) -> None:
    found = context.harness.state.find_task(TASK)
    assert found[3].phase.name == phase, found[3]


# Reports that arrive after a leave.


def _done(number: int, task: model.TaskId, run: int) -> requests.EndedRun:
    return requests.EndedRun(number, task, run, model.Outcome.DONE, "")


@given(
    "a worker that has restarted as incarnation 2 and runs a gang of 2 tasks"
)
def step_restarted_worker_with_gang(context: Any) -> None:
    harness = filling_steps.DispatcherHarness()
    harness.report(0.0, WORKER, MILLICORES, incarnation=1)
    harness.report(1.0, WORKER, MILLICORES, incarnation=2)
    needs = commands.Resources(1000, 10, 0)
    harness.submit("job", model.StepSpec(2, needs, 1000, gang=True))
    planned = harness.plan(1.1)
    running = tuple(
        requests.ActiveRun(item.task, 1, "", 10) for item in planned
    )
    assert len(running) == 2, planned
    harness.report(1.2, WORKER, MILLICORES, running, incarnation=2)
    context.harness = harness


@when(
    "incarnation 2 is said to have left, and the commit of its leave is pending"
)
def step_leave_pending(context: Any) -> None:
    harness = context.harness
    _say_left(harness, 2)
    context.pending = harness.dispatcher.expire(GONE_AT, harness.state)
    assert context.pending


@when("incarnation 2 is said to have left, and no other worker has room")
def step_left_without_room(context: Any) -> None:
    harness = context.harness
    step_left(context, 2)
    harness.report(GONE_AT, OTHER, 500)
    assert not harness.plan(GONE_AT + 0.1)
    context.pending = []


@when(
    "incarnation 2 is said to have left, and the assignment to another is"
    " pending"
)
def step_left_and_planned(context: Any) -> None:
    harness = context.harness
    step_left(context, 2)
    harness.report(GONE_AT, OTHER, MILLICORES)
    context.pending = [
        harness.dispatcher.planner.plan(GONE_AT + 0.1, harness.state)
    ]
    assert context.pending[0].assignments


@when(
    "incarnation 2 is said to have left, and another worker has been told to"
    " start"
)
def step_left_and_started(context: Any) -> None:
    harness = context.harness
    step_left(context, 2)
    harness.report(GONE_AT, OTHER, MILLICORES)
    assert harness.plan(GONE_AT + 0.1)
    assert harness.report(GONE_AT + 0.15, OTHER, MILLICORES).starts
    context.pending = []


@when("the report that the task is done arrives late")
def step_late_end(context: Any) -> None:
    """Processes the report; what it leads to follows what is pending."""
    harness = context.harness
    pending = harness.held_commands = list(context.pending)
    context.answer = harness.report(
        GONE_AT + 0.2,
        WORKER,
        MILLICORES,
        ended=(_done(1, TASK, 1),),
        incarnation=2,
    )
    harness.held_commands = None
    for command in pending:
        harness.commit(command)
        if isinstance(command, log_commands.AssignTasks):
            harness.dispatcher.planner.on_assigned(command)


@then("the late report is answered without a lease or an acknowledgement")
def step_late_answer(context: Any) -> None:
    assert not context.answer.lease_ms, context.answer
    assert not context.answer.acknowledged_end_number, context.answer
    assert not context.answer.starts, context.answer


@then("another worker is told to start {count:d} tasks")
def step_told_to_start(context: Any, count: int) -> None:
    harness = context.harness
    harness.report(GONE_AT + 0.3, OTHER, MILLICORES)
    harness.plan(GONE_AT + 0.35)
    context.orders = harness.report(GONE_AT + 0.4, OTHER, MILLICORES)
    assert len(context.orders.starts) == count, context.orders
    assert not context.orders.stops, context.orders


@then("all tasks are done once what it runs is done")
def step_all_done(context: Any) -> None:
    harness = context.harness
    ended = tuple(
        _done(number, start.task, start.run)
        for number, start in enumerate(context.orders.starts, 1)
    )
    harness.report(GONE_AT + 1.4, OTHER, MILLICORES, ended=ended)
    job = harness.state.job_by_id[model.JobId("job")]
    assert job.phase is model.JobPhase.DONE, job


@when("incarnation {born:d} says {seconds:d} s later that the task is done")
def step_later_report(context: Any, born: int, seconds: int) -> None:
    context.now = GONE_AT + seconds
    context.answer = context.harness.report(
        context.now,
        WORKER,
        MILLICORES,
        ended=(_done(1, TASK, 1),),
        incarnation=born,
    )


@when(
    "it restarts as incarnation 3 before the report that the task is done"
    " arrives"
)
def step_late_end_after_restart(context: Any) -> None:
    harness = context.harness
    harness.report(GONE_AT + 0.1, WORKER, MILLICORES, incarnation=3)
    harness.report(
        GONE_AT + 0.2,
        WORKER,
        MILLICORES,
        ended=(_done(1, TASK, 1),),
        incarnation=2,
    )


@then("no end of incarnation 3 is acknowledged")
def step_no_end_acknowledged(context: Any) -> None:
    orders = context.harness.report(
        GONE_AT + 0.3, WORKER, MILLICORES, incarnation=3
    )
    assert orders.lease_ms, orders
    assert not orders.acknowledged_end_number, orders


@when("incarnation 2 says 1 s later that the task runs")
def step_later_report_of_run(context: Any) -> None:
    running = (requests.ActiveRun(TASK, 1, "", 20, 1000),)
    context.answer = context.harness.report(
        GONE_AT + 1.0, WORKER, MILLICORES, running, incarnation=2
    )


@then("it is told to stop the task, with the fencing token of the leader")
def step_told_to_stop(context: Any) -> None:
    body = json.loads(worker_format.encode_orders(context.answer))
    assert body == {"stop": [[TASK, 1]], "fencing_token": 1}, body


@then("its report is {answer}")
def step_report_answered(context: Any, answer: str) -> None:
    assert (context.answer.lease_ms > 0) == (answer == "answered"), (
        context.answer
    )


@then("a task that waits is assigned to no worker")
def step_assigned_to_none(context: Any) -> None:
    context.harness.submit("0c", filling_steps.ordinary_step(1000))
    assert not context.harness.plan(context.now + 0.1)


@given(
    "a task with 2 attempts, of which the first was lost with its worker's"
    " lease"
)
def step_lost_attempt(context: Any) -> None:
    harness = context.harness = filling_steps.DispatcherHarness()
    queue = msgspec.structs.replace(filling_steps.QUEUE, max_attempts=2)
    spec = model.JobSpec("payload", (filling_steps.ordinary_step(1000),))
    harness.report(0.0, "w0", 8000)
    harness.commit(log_commands.SubmitJob(model.JobId("0a"), queue, spec, 0))
    assert harness.plan(0.1)
    harness.report(0.2, "w0", 8000)
    for command in harness.dispatcher.expire(7.0, harness.state):
        harness.commit(command)
    harness.report(7.1, "w1", 8000)
    assert harness.plan(7.2)
    harness.report(7.3, "w1", 8000)


@when(
    "the second run fails, and then the first worker reports that its run has"
    " failed"
)
def step_failures_change_places(context: Any) -> None:
    task = model.TaskId("0a.0.0.0")
    for now, worker, run in ((7.5, "w1", 2), (7.6, "w0", 1)):
        failed = requests.EndedRun(1, task, run, model.Outcome.FAILED, "")
        context.harness.report(now, worker, 8000, (), (failed,))


@then("no third run is started")
def step_no_third_run(context: Any) -> None:
    harness = context.harness
    harness.report(17.0, "w2", 8000)
    harness.plan(17.1)
    orders = harness.report(17.2, "w2", 8000)
    assert not orders.starts, orders
