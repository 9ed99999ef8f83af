"""Steps on what callers are told of their jobs."""

from typing import Any

from behave import given
from behave import then
from behave import when
import msgspec

from features.steps import filling_steps
from features.steps import reporting_steps
from fulmarrouter import codes
from fulmarrouter import ids
from fulmarrouter import read_index
from fulmarrouter.cluster import job_requests
from fulmarrouter.cluster import log_commands
from fulmarrouter.cluster import model
from fulmarrouter.cluster import queue_lengths
from fulmarrouter.cluster import requests
from fulmarrouter.cluster import snapshots
from fulmarrouter.cluster import state as state_lib

JOB = model.JobId("0a")
QUEUE = msgspec.structs.replace(filling_steps.QUEUE, max_attempts=2)
WORKER = "w"
MILLICORES = 8000


@given("a queue with a job {situation}")
def step_queue(context: Any, situation: str) -> None:
    harness = filling_steps.DispatcherHarness()
    context.harness = harness
    step = filling_steps.ordinary_step(1000)
    spec = model.JobSpec("payload", (step, step))
    harness.commit(log_commands.SubmitJob(JOB, QUEUE, spec, 0))
    if situation == "that waits":
        return
    if situation == "that is cancelled":
        harness.commit(log_commands.CancelJob(JOB))
        return
    harness.report(0.0, WORKER, MILLICORES)
    (first, _) = harness.plan(0.1)
    match situation:
        case "that is assigned to a worker that has crashed":
            harness.dispatcher.fleet.remove(model.WorkerId(WORKER))
        case "that a worker has reported as running":
            run = requests.ActiveRun(first.task, first.run, "", 5)
            harness.report(0.2, WORKER, MILLICORES, (run,))
        case "of two tasks, the first of which is done":
            _end(context, first, model.Outcome.DONE)
        case "whose only run has failed":
            _end(context, first, model.Outcome.FAILED)


def _end(
    context: Any, run: log_commands.Assignment, outcome: model.Outcome
) -> None:
    ended = (requests.EndedRun(1, run.task, run.run, outcome, ""),)
    context.harness.report(0.2, WORKER, MILLICORES, ended=ended)


@then("its queue length is {length:d}")
def step_queue_length(context: Any, length: int) -> None:
    harness = context.harness
    counted = queue_lengths.count_waiting_jobs(
        harness.state, harness.dispatcher.fleet, filling_steps.QUEUE.name
    )
    assert counted == length, counted


@given(
    "a leader that has answered the cancelling of a job that it doesn't know"
)
def step_early_cancelling(context: Any) -> None:
    context.state = state_lib.State()
    result = context.state.apply(1, log_commands.CancelJob(JOB))
    reply = job_requests.reply_from_result(result)
    assert reply == requests.Refused(codes.Code.NO_SUCH_JOB), reply


@when("the job is submitted {when}")
def step_late_submission(context: Any, when: str) -> None:
    match when:
        case "after a snapshot was loaded":
            context.state = snapshots.decode(snapshots.encode(context.state))
        case "after 4096 other cancellings":
            for number in range(4096):
                other = model.JobId(f"other-{number}")
                context.state.apply(2, log_commands.CancelJob(other))
    spec = model.JobSpec("payload", (filling_steps.ordinary_step(1000),))
    context.result = context.state.apply(
        3, log_commands.SubmitJob(JOB, filling_steps.QUEUE, spec, 0)
    )


@then("the submission is answered {code}")
def step_submission_answer(context: Any, code: str) -> None:
    reply = job_requests.reply_from_result(context.result)
    if code == "accepted":
        assert isinstance(reply, requests.Accepted), reply
        return
    assert reply == requests.Refused(codes.Code[code]), reply
    assert JOB not in context.state.job_by_id


@given("a leader without a configuration")
def step_leader_without_configuration(context: Any) -> None:
    context.leader = reporting_steps.SingleVoterLeader()


@when("{request} arrives, and then the configuration that adds its queue")
def step_queue_is_added(context: Any, request: str) -> None:
    controller = context.leader.controller
    host, path = QUEUE.host, f"{QUEUE.path_prefix}{JOB}"
    call: requests.AnyRequest = requests.CancelJob(host, path)
    if request == "a submission":
        spec = model.JobSpec("payload", (filling_steps.ordinary_step(1000),))
        call = requests.SubmitJob(host, path, spec)
    added = model.Configuration(1, "1", b"{}", (QUEUE,), ())
    clients = [
        read_index.Client(ids.ConnectionId(1), ids.CallId(number))
        for number in (1, 2)
    ]
    for client, item in zip(
        clients, (call, requests.ReplaceConfiguration(added)), strict=True
    ):
        controller.on_request(context.leader.now, 0, client, item)
    answered = [item for _ in range(5) for item in context.leader.turn()]
    reply_by_client = {item.client: item.reply for item in answered}
    assert reply_by_client[clients[1]] == requests.Accepted()
    context.reply = reply_by_client[clients[0]]


@then("it is answered that there is no such queue")
def step_no_such_queue(context: Any) -> None:
    expected = requests.Refused(codes.Code.NO_SUCH_QUEUE)
    assert context.reply == expected, context.reply
