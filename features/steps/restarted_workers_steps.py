"""Steps on workers that start again while messages are on their way."""

import math
import re
from typing import Any

from behave import given
from behave import then
from behave import when

from features.steps import filling_steps
from fulmarrouter.cluster import model
from fulmarrouter.cluster import requests

WORKER = "w"
OTHER = "other"
MILLICORES = 8000
TASK = model.format_task_id(model.JobId("job"), 0, 0, 0)
ORDERED_AT = 0.2
CRASHED_AT = 0.3
RESTARTED_AT = 0.8
TURN_S = 0.1
STOP_S = 0.4
# The lease that the leader grants, on the slowest clock.
LEASE_S = 6.0 * 1.02
END_S = 12.0


class _RestartedWorker:
    """A worker that follows the protocol and may take an earlier answer.

    Attributes:
        taken_at: When it starts the run by an order to its earlier incarnation.
        cut_at: From when on it is cut off.
        stops_at: When its run ends by an order to stop it.
    """

    def __init__(self) -> None:
        self.taken_at = math.inf
        self.cut_at = math.inf
        self.incarnation = 2
        self.lease_until = ORDERED_AT + LEASE_S
        self.is_running = False
        self.stops_at = math.inf
        self.ended: tuple[requests.EndedRun, ...] = ()

    def advance(self, now: float) -> None:
        """Starts the run when it is due, and ends it when it has to end."""
        if now >= self.taken_at:
            self.taken_at = math.inf
            self.is_running = True
        if now >= self.lease_until:
            self.is_running = False
        if self.is_running and now >= self.stops_at:
            self.is_running = False
            stopped = model.Outcome.STOPPED
            self.ended = (requests.EndedRun(1, TASK, 1, stopped, ""),)

    def restart(self) -> None:
        """Starts as the next incarnation, which may still take the order."""
        self.incarnation += 1
        self.is_running = False
        self.ended = ()

    def report(
        self, now: float, harness: filling_steps.DispatcherHarness
    ) -> None:
        """Reports, and carries out the answer; its capacity is used up."""
        running: tuple[requests.ActiveRun, ...] = ()
        if self.is_running:
            running = (requests.ActiveRun(TASK, 1, "", 10, 1000),)
        orders = harness.report(
            now,
            WORKER,
            0,
            running,
            self.ended,
            incarnation=self.incarnation,
        )
        if orders.lease_ms:
            self.lease_until = max(self.lease_until, now + LEASE_S)
        if self.is_running and any(stop.run == 1 for stop in orders.stops):
            self.stops_at = min(self.stops_at, now + STOP_S)
        if orders.acknowledged_end_number:
            self.ended = ()


def _play(
    context: Any, worker: _RestartedWorker, changes: dict[str, float]
) -> None:
    """Plays until the task is started elsewhere; times are of each change."""
    harness = context.harness
    context.started_at = math.inf
    pending = dict(changes)
    running: tuple[requests.ActiveRun, ...] = ()
    now = RESTARTED_AT
    while now < END_S:
        worker.advance(now)
        assert not (running and worker.is_running), f"two runs at {now} s"
        for change in [name for name, at in pending.items() if now >= at]:
            del pending[change]
            if change == "leader":
                harness.dispatcher.start_term(now, harness.state)
            else:
                worker.restart()
        if now < worker.cut_at:
            worker.report(now, harness)
        for command in harness.dispatcher.expire(now, harness.state):
            harness.commit(command)
        harness.plan(now)
        orders = harness.report(now, OTHER, MILLICORES, running)
        for start in orders.starts:
            assert not worker.is_running, f"two runs at {now} s"
            context.started_at = now
            running = (requests.ActiveRun(TASK, start.run, "", 10, 1000),)
        now = round(now + TURN_S, 1)


def _order_task(context: Any) -> None:
    harness = context.harness = filling_steps.DispatcherHarness()
    harness.report(0.0, WORKER, MILLICORES)
    harness.submit("job", filling_steps.ordinary_step(1000))
    assert harness.plan(0.1)
    assert harness.report(ORDERED_AT, WORKER, MILLICORES).starts


@given("a worker that was told to start a task and has crashed")
def step_ordered(context: Any) -> None:
    _order_task(context)
    context.harness.report(CRASHED_AT, OTHER, MILLICORES)


@given(
    "a worker that has reported the task it was told to start and has crashed"
)
def step_reported(context: Any) -> None:
    _order_task(context)
    running = (requests.ActiveRun(TASK, 1, "", 10, 1000),)
    context.harness.report(CRASHED_AT, WORKER, MILLICORES, running)
    context.harness.report(CRASHED_AT, OTHER, MILLICORES)


@when("it starts again, takes the order after 0.3 s and is cut off")
def step_take_and_cut(context: Any) -> None:
    step_restart(
        context, "takes the order after 0.3 s", "is cut off after 0.3 s"
    )


@when("it starts again, {state}, and {event}")
def step_restart(context: Any, state: str, event: str) -> None:
    worker = _RestartedWorker()
    if state == "takes the order after 0.3 s":
        worker.taken_at = RESTARTED_AT + 0.3
    elif state == "takes the order before its first report":
        worker.taken_at = RESTARTED_AT
    else:
        assert state == "never takes the order", state
    changes = {}
    delay = re.search(r"after (.*) s$", event)
    at = RESTARTED_AT + (float(delay[1]) if delay else 0.0)
    if event.startswith("is cut off"):
        worker.cut_at = at
    elif event.startswith("starts again"):
        changes["restart"] = at
    elif event == "the leader changes":
        changes["leader"] = RESTARTED_AT
        worker.cut_at = RESTARTED_AT + 0.5
    else:
        assert event == "goes on reporting", event
    _play(context, worker, changes)


@then(
    "another worker starts the task within {seconds:f} s of the order, once the"
    " first run has ended"
)
def step_started_elsewhere(context: Any, seconds: float) -> None:
    assert context.started_at <= ORDERED_AT + seconds, context.started_at


@when("it is cut off, and a leave of incarnation 1 arrives that names none")
def step_late_leave(context: Any) -> None:
    harness = context.harness
    harness.report(1.3, OTHER, MILLICORES)
    request = requests.WorkerLeft(model.WorkerId(WORKER), 0)
    for command in harness.dispatcher.on_left(harness.state, request):
        harness.commit(command)


@then("the task is not started elsewhere before the worker's lease has expired")
def step_not_before_lease(context: Any) -> None:
    harness = context.harness
    now = 1.4
    # The worker was last answered at 1.2 s.
    while now < 1.2 + LEASE_S:
        for command in harness.dispatcher.expire(now, harness.state):
            harness.commit(command)
        harness.plan(now)
        orders = harness.report(now, OTHER, MILLICORES)
        assert not orders.starts, f"started elsewhere at {now} s"
        now = round(now + TURN_S, 1)
