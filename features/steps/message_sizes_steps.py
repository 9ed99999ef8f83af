"""Steps on the sizes of answers, of log entries and of frames."""

import selectors
import time
from typing import Any

from behave import given
from behave import then
from behave import when
from fleet_adapter import worker_format

from features.steps import filling_steps
from fulmarrouter import codes
from fulmarrouter import commands
from fulmarrouter import connections
from fulmarrouter import ids
from fulmarrouter import wire
from fulmarrouter.cluster import controller
from fulmarrouter.cluster import log_commands
from fulmarrouter.cluster import model
from fulmarrouter.cluster import requests

JOB = model.JobId("0a")
WORKER = "w"
WORKER_MILLICORES = 64_000
TASK_NEEDS = commands.Resources(4, 10, 0)
MAX_REPORTS = 1000


class _RecordingHarness(filling_steps.DispatcherHarness):
    """Records the committed commands."""

    def __init__(self) -> None:
        self.committed: list[log_commands.AnyCommand] = []
        super().__init__()

    def commit(self, command: log_commands.AnyCommand) -> None:
        self.committed.append(command)
        super().commit(command)


def _assign_tasks(context: Any, count: int, payload: str) -> None:
    """Submits a job of one step and plans it on the only worker."""
    harness = _RecordingHarness()
    context.harness = harness
    context.now = 0.0
    harness.report(context.now, WORKER, WORKER_MILLICORES)
    spec = model.JobSpec(payload, (model.StepSpec(count, TASK_NEEDS, 1000),))
    harness.commit(log_commands.SubmitJob(JOB, filling_steps.QUEUE, spec, 0))
    context.runs = {}
    while len(context.runs) < count:
        context.now += 0.001
        planned = harness.plan(context.now)
        assert planned, f"only {len(context.runs)} tasks were assigned"
        context.runs.update({item.task: item.run for item in planned})


def _report(context: Any, running: dict[str, int]) -> requests.Orders:
    """Sends a report after the time that the last answer named.

    The runs make progress, so that none counts as stalled.
    """
    percent = len(context.answer_sizes) % 100
    orders: requests.Orders = context.harness.report(
        context.now,
        WORKER,
        WORKER_MILLICORES,
        tuple(
            requests.ActiveRun(model.TaskId(task), run, "", percent)
            for task, run in running.items()
        ),
    )
    context.answer_sizes.append(len(worker_format.encode_orders(orders)))
    context.intervals_ms.append(orders.next_report_ms)
    context.now += orders.next_report_ms / 1000
    return orders


@given(
    "a worker that is assigned {tasks:d} tasks with payloads of {size:d} bytes"
)
def step_assigned_tasks(context: Any, tasks: int, size: int) -> None:
    _assign_tasks(context, tasks, "x" * size)


@given("a worker that runs {tasks:d} tasks of a job")
def step_running_tasks(context: Any, tasks: int) -> None:
    _assign_tasks(context, tasks, "x")
    context.answer_sizes = []
    context.intervals_ms = []
    _report(context, context.runs)


@when("it reports until it has been told to start all of them")
def step_report_until_started(context: Any) -> None:
    context.answer_sizes = []
    context.intervals_ms = []
    running: dict[str, int] = {}
    for _ in range(MAX_REPORTS):
        orders = _report(context, running)
        running.update({item.task: item.run for item in orders.starts})
        if running == context.runs:
            return
    raise AssertionError(f"{len(running)} of {len(context.runs)} were started")


@when("the job is cancelled and the worker reports until it runs none of them")
def step_cancel_and_report(context: Any) -> None:
    context.harness.commit(log_commands.CancelJob(JOB))
    running = dict(context.runs)
    for _ in range(MAX_REPORTS):
        for stop in _report(context, running).stops:
            del running[stop.task]
        if not running:
            return
    raise AssertionError(f"{len(running)} runs were not stopped")


@when("it is not heard from for {seconds:d} s")
def step_lose_worker(context: Any, seconds: int) -> None:
    harness = context.harness
    context.now += seconds
    for command in harness.dispatcher.expire(context.now, harness.state):
        harness.commit(command)


@then("each answer has at most {limit:d} bytes")
def step_answer_sizes(context: Any, limit: int) -> None:
    assert max(context.answer_sizes) <= limit, max(context.answer_sizes)


@then("it has reported at least every {interval_ms:d} ms")
def step_report_intervals(context: Any, interval_ms: int) -> None:
    assert max(context.intervals_ms) <= interval_ms, context.intervals_ms


@then("no command of the log ends more than {limit:d} runs")
def step_ends_per_command(context: Any, limit: int) -> None:
    counts = [
        len(command.ends)
        for command in context.harness.committed
        if isinstance(command, log_commands.EndRuns)
    ]
    assert counts and max(counts) <= limit, counts


@then("no command of the log assigns more than {limit:d} tasks")
def step_assignments_per_command(context: Any, limit: int) -> None:
    counts = [
        len(command.assignments)
        for command in context.harness.committed
        if isinstance(command, log_commands.AssignTasks)
    ]
    assert counts and max(counts) <= limit, counts


@then("all of the tasks wait again")
def step_tasks_wait(context: Any) -> None:
    (step,) = context.harness.state.job_by_id[JOB].steps_by_occurrence[0]
    assert step.waiting_count == len(context.runs), step.waiting_count


# Frames.


@when("it answers another process with more than a frame holds")
def step_answer_too_large(context: Any) -> None:
    node = context.node
    selector = selectors.DefaultSelector()
    context.replies = []

    def on_event(event: connections.ConnectionEvent) -> None:
        if isinstance(event, connections.FrameReceived):
            context.replies.append(event.envelope.body)

    other = connections.Connections("other", None, selector, on_event)
    context.other_process = (other, selector)
    locate = wire.Call(ids.CallId(1), requests.encode(requests.Locate()))
    assert other.send_to_peer(node._address, locate)
    _exchange(context, replies=1)
    (accepted,) = node._peers._connection_by_id
    context.client = controller.Client(accepted, ids.CallId(2))
    document = bytes(wire.MAX_FRAME_BYTES)
    node._answer(
        controller.Answered(
            context.client, requests.ConfigurationView(document)
        )
    )
    _exchange(context, replies=2)


def _exchange(context: Any, replies: int) -> None:
    """Runs both processes until the other one has received the replies."""
    other, selector = context.other_process
    deadline = time.monotonic() + 5
    while len(context.replies) < replies and time.monotonic() < deadline:
        context.node._run_iteration()
        for key, events in selector.select(0.01):
            other.on_ready(key.data[1], events)


@then("the other process is told {code}")
def step_told(context: Any, code: str) -> None:
    reply = requests.decode_reply(context.replies[-1].payload)
    assert isinstance(reply, requests.Refused), reply
    assert reply.code is codes.Code[code], reply


@then("an answer that fits is still sent to the other process")
def step_small_answer(context: Any) -> None:
    context.node._answer(
        controller.Answered(context.client, requests.Accepted())
    )
    _exchange(context, replies=3)
    reply = requests.decode_reply(context.replies[-1].payload)
    assert reply == requests.Accepted(), reply
    context.other_process[0].close()
    context.node.stop()
    context.node.run()
