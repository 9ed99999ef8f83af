"""Steps on workers that start again while messages are on their way."""

import json
import math
import re
from typing import Any

from behave import given
from behave import then
from behave import when
from fleet_adapter import worker_format

from features.steps import filling_steps
from features.steps import leaving_workers_steps
from fulmarrouter import errors
from fulmarrouter.cluster import model
from fulmarrouter.cluster import requests

WORKER = "w"
OTHER = "other"
MILLICORES = 8000
TASK = model.format_task_id(model.JobId("job"), 0, 0, 0)
ORDERED_AT = 0.2
CRASHED_AT = 0.3
BORN_AT = 0.7
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
        held_until: When its last report before that arrives.
        has_clock: Whether its reports tell what its clock shows.
        stops_at: When its run ends by an order to stop it.
    """

    def __init__(self) -> None:
        self.taken_at = math.inf
        self.cut_at = math.inf
        self.held_until = math.inf
        self.has_clock = True
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
            clock_ms=self._clock_ms(now),
        )
        if orders.lease_ms:
            self.lease_until = max(self.lease_until, now + LEASE_S)
        if self.is_running and any(stop.run == 1 for stop in orders.stops):
            self.stops_at = min(self.stops_at, now + STOP_S)
        if orders.acknowledged_end_number:
            self.ended = ()

    def _clock_ms(self, now: float) -> int:
        return int(1000 * (now - BORN_AT)) if self.has_clock else 0

    def deliver_held_report(
        self, now: float, harness: filling_steps.DispatcherHarness
    ) -> None:
        """Delivers a report that was sent just before the worker was cut off."""
        self.held_until = math.inf
        harness.report(
            now,
            WORKER,
            0,
            incarnation=self.incarnation,
            clock_ms=self._clock_ms(self.cut_at - TURN_S),
        )


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
        if now >= worker.held_until:
            worker.deliver_held_report(now, harness)
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
    elif event == "its reports from then on are held back for 3 s":
        worker.cut_at = worker.taken_at
        worker.held_until = worker.cut_at + 3.0
    elif event == "goes on reporting without its clock":
        worker.has_clock = False
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


@given("a worker that was answered at 0.2 s and has crashed")
def step_answered(context: Any) -> None:
    harness = context.harness = filling_steps.DispatcherHarness()
    assert harness.report(ORDERED_AT, WORKER, MILLICORES).lease_ms


@when("it starts again at 0.5 s, and a task waits for it")
def step_task_waits(context: Any) -> None:
    harness = context.harness
    harness.submit("job", filling_steps.ordinary_step(1000))
    context.started_at = math.inf
    now = 0.5
    while now < 3.0 and context.started_at == math.inf:
        harness.plan(now)
        if harness.report(now, WORKER, MILLICORES, incarnation=2).starts:
            context.started_at = now
        now = round(now + TURN_S, 1)


@then("it is told to start the task between {first:f} s and {last:f} s")
def step_started_between(context: Any, first: float, last: float) -> None:
    assert first <= context.started_at <= last, context.started_at


@when("a heartbeat arrives whose clock_ms is {value}")
def step_heartbeat(context: Any, value: str) -> None:
    heartbeat: dict[str, Any] = {
        "service": "s",
        "address": "127.0.0.1:9",
        "zone": "z",
        "version": "v1",
        "slots": 8,
        "cold_remaining_ms": 0,
        "capacity": {"cpu": 1000, "mem_mb": 100, "gpu": 0},
        "labels": ["a", "r1"],
        "state": "ready",
        "sequence": 1,
        "born": 1796594272423,
        "running": [],
        "ended": [],
    }
    if value != "missing":
        heartbeat["clock_ms"] = json.loads(value)
    body = json.dumps(heartbeat).encode()
    try:
        report = worker_format.decode_heartbeat(WORKER, body)
    except errors.RequestError:
        context.clock = "refused"
    else:
        context.clock = str(report.clock_ms)


@then("the clock of the report is {clock}")
def step_clock(context: Any, clock: str) -> None:
    assert context.clock == clock, context.clock


@when(
    "it is cut off, and a leave of incarnation 1 that names none arrives at"
    " {leader}"
)
def step_late_leave(context: Any, leader: str) -> None:
    harness = context.harness
    context.lease_granted_at = 1.2
    if leader == "a new leader":
        context.lease_granted_at = 1.3
        harness.dispatcher.start_term(1.3, harness.state)
    harness.report(1.3, OTHER, MILLICORES)
    leaving_workers_steps.send_leave(harness, 0)


@then("the task is started elsewhere once the worker's lease has expired")
def step_after_lease(context: Any) -> None:
    harness = context.harness
    starts: tuple[requests.StartOrder, ...] = ()
    now = 1.4
    while not starts:
        for command in harness.dispatcher.expire(now, harness.state):
            harness.commit(command)
        harness.plan(now)
        starts = harness.report(now, OTHER, MILLICORES).starts
        now = round(now + TURN_S, 1)
    waited_s = now - TURN_S - context.lease_granted_at
    assert LEASE_S <= waited_s <= LEASE_S + 0.8, waited_s
