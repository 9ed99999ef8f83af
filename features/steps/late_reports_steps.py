"""Steps on reports that arrive late."""

from typing import Any

from behave import given
from behave import then
from behave import when

from features.steps import filling_steps
from features.steps import leaving_workers_steps as leaving
from fulmarrouter import commands
from fulmarrouter.cluster import model
from fulmarrouter.cluster import requests

INTERVAL_S = 0.4
# Long enough for a slow clock to be behind by more than an answer may be late.
REPORTS = 300
TURN_S = 0.1
END_S = 20.0


def _report(context: Any, sent_at: float, late_s: float) -> requests.Orders:
    running = (requests.ActiveRun(leaving.TASK, 1, "", 100, 1000),)
    clock_ms = int(1000 * sent_at * context.clock_rate)
    harness: filling_steps.DispatcherHarness = context.harness
    return harness.report(
        sent_at + late_s,
        leaving.WORKER,
        leaving.MILLICORES,
        running,
        clock_ms=clock_ms,
    )


@given("a worker that runs a lasting task, with a clock that runs at {rate:f}")
def step_running(context: Any, rate: float) -> None:
    """A rate of 0 stands for reports without a clock."""
    context.clock_rate = rate
    harness = context.harness = filling_steps.DispatcherHarness()
    harness.report(0.0, leaving.WORKER, leaving.MILLICORES)
    needs = commands.Resources(1000, 10, 0)
    harness.submit("job", model.StepSpec(1, needs, runs_until_cancelled=True))
    assert harness.plan(0.1)
    assert harness.report(0.2, leaving.WORKER, leaving.MILLICORES).starts
    for number in range(1, REPORTS + 1):
        context.now = number * INTERVAL_S
        assert _report(context, context.now, 0.0).lease_ms, context.now


@when("it crashes, and its last report arrives {late:f} s late")
def step_crash(context: Any, late: float) -> None:
    context.crashed_at = context.now + INTERVAL_S
    _wait_for_start(context, context.crashed_at + late)
    if not context.starts:
        _report(context, context.crashed_at, late)
        _wait_for_start(context, context.crashed_at + END_S)


def _wait_for_start(context: Any, end: float) -> None:
    harness = context.harness
    context.starts = ()
    while not context.starts and context.now < end - 0.01:
        context.now = round(context.now + TURN_S, 1)
        for command in harness.dispatcher.expire(context.now, harness.state):
            harness.commit(command)
        harness.plan(context.now)
        context.starts = harness.report(
            context.now, leaving.OTHER, leaving.MILLICORES
        ).starts


@then(
    "another worker is told to start the task within {seconds:f} s of the crash"
)
def step_started(context: Any, seconds: float) -> None:
    assert context.starts
    assert context.now <= context.crashed_at + seconds, context.now


@when("one of its reports arrives {late:f} s late")
def step_late_report(context: Any, late: float) -> None:
    context.orders = _report(context, context.now + INTERVAL_S, late)


@then("that report gets an answer {answer}")
def step_answered(context: Any, answer: str) -> None:
    assert bool(context.orders.lease_ms) == (answer == "with a lease")


@when("it is suspended for {seconds:f} s while its clock stands still")
def step_suspended(context: Any, seconds: float) -> None:
    sent_at = context.now
    context.leases = []
    for _ in range(12):
        sent_at += INTERVAL_S
        orders = _report(context, sent_at, seconds)
        context.leases.append((sent_at - context.now, bool(orders.lease_ms)))


@then("it is answered with a lease again before it has counted {seconds:d} s")
def step_leased_again(context: Any, seconds: int) -> None:
    counted = [at for at, has_lease in context.leases if has_lease]
    assert counted, context.leases
    assert counted[0] < seconds, context.leases


@when("{count:d} of its reports arrive at once, the first {late:f} s late")
def step_held_reports(context: Any, count: int, late: float) -> None:
    arrives_at = context.now + INTERVAL_S + late
    context.leases = []
    for number in range(1, count + 1):
        sent_at = context.now + number * INTERVAL_S
        orders = _report(context, sent_at, arrives_at - sent_at)
        context.leases.append((arrives_at - sent_at, bool(orders.lease_ms)))


@then("none of them that is more than 1.2 s late grants a lease")
def step_no_lease(context: Any) -> None:
    assert not [
        late for late, has_lease in context.leases if late > 1.3 and has_lease
    ], context.leases
