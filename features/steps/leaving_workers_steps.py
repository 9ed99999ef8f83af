"""Steps on workers that leave."""

from typing import Any

from behave import given
from behave import then
from behave import when

from features.steps import filling_steps
from fulmarrouter.cluster import log_commands
from fulmarrouter.cluster import model
from fulmarrouter.cluster import requests

WORKER = "w"
MILLICORES = 8000
TASK = model.format_task_id(model.JobId("job"), 0, 0, 0)


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


@when("incarnation {left:d} is said to have left, and 0.2 s pass")
def step_left(context: Any, left: int) -> None:
    harness = context.harness
    harness.decision_buffer.take()
    context.left_incarnation = left
    request = requests.WorkerLeft(model.WorkerId(WORKER), left)
    for command in harness.dispatcher.on_left(harness.state, request):
        harness.commit(command)
    for command in harness.dispatcher.expire(1.4, harness.state):
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


@when("another worker reports twice")
def step_other_worker(context: Any) -> None:
    harness = context.harness
    harness.report(1.5, "other", MILLICORES)
    harness.plan(1.55)
    context.orders = harness.report(1.6, "other", MILLICORES)


@when("the report that the task is done arrives late")
def step_late_end(context: Any) -> None:
    step_task_ends(context)
    found = context.harness.state.find_task(TASK)
    assert found[3].phase is model.TaskPhase.DONE, found[3]


@then("the other worker has not been told to start the task")
def step_not_started_again(context: Any) -> None:
    assert not context.orders.starts, context.orders
