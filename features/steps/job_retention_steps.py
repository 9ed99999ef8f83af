"""Steps on how long ended jobs are kept."""

from typing import Any

from behave import given
from behave import then
from behave import when

from features.steps import filling_steps
from fulmarrouter.cluster import admission
from fulmarrouter.cluster import job_requests
from fulmarrouter.cluster import log_commands
from fulmarrouter.cluster import model

JOB = model.JobId("job")
FORGET_ROUNDS = 3
ROUND_S = 0.3


@given("as many ended jobs as the state holds")
def step_full_state(context: Any) -> None:
    context.harness = filling_steps.DispatcherHarness()
    for number in range(admission.MAX_JOBS):
        context.harness.submit(f"{number}", filling_steps.ordinary_step(1000))
        context.harness.commit(log_commands.CancelJob(model.JobId(f"{number}")))


@given("a job that is cancelled, {when}")
def step_cancelled_job(context: Any, when: str) -> None:
    context.harness = filling_steps.DispatcherHarness()
    context.harness.submit(JOB, filling_steps.ordinary_step(1000))
    if when == "with a run that has not ended":
        task = model.format_task_id(JOB, 0, 0, 0)
        assignment = log_commands.Assignment(task, 1, model.WorkerId("w"), 1)
        context.harness.commit(log_commands.AssignTasks((assignment,)))
    context.harness.commit(log_commands.CancelJob(JOB))


@when("{after:d} s pass")
def step_time_passes(context: Any, after: int) -> None:
    harness = context.harness
    harness.dispatcher.jobs_to_forget(0.0, harness.state)
    for round_number in range(FORGET_ROUNDS):
        # The rounds together stay below the second that the bound leaves.
        now = after + round_number * ROUND_S
        for command in harness.dispatcher.jobs_to_forget(now, harness.state):
            harness.commit(command)


@then("a new job is {verdict}")
def step_new_job(context: Any, verdict: str) -> None:
    target = job_requests.Target(filling_steps.QUEUE, model.JobId("new"))
    refusal = admission.refusal(context.harness.state, {}, target)
    assert (refusal is None) == (verdict == "accepted"), refusal


@then("the state holds the job: {verdict}")
def step_job_is(context: Any, verdict: str) -> None:
    is_known = JOB in context.harness.state.job_by_id
    assert is_known == (verdict == "yes"), is_known
