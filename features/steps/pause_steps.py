"""Steps on filling tasks that are paused for long."""

from typing import Any

from behave import given
from behave import then
from behave import when
import msgspec

from features.steps import filling_steps
from fulmarrouter.cluster import log_commands
from fulmarrouter.cluster import model
from fulmarrouter.cluster import requests


@given(
    "3 workers with a long-running filling task each, of which {limit} may be"
    " unavailable"
)
def step_lasting_filling_tasks(context: Any, limit: str) -> None:
    harness = context.harness = filling_steps.DispatcherHarness()
    harness.submit(
        "0a",
        msgspec.structs.replace(filling_steps._serving_step(13_000), count=3),
    )
    filling = msgspec.structs.replace(
        filling_steps._filling_step(8_000),
        count=3,
        runs_until_cancelled=True,
        max_unavailable=-1 if limit == "all" else int(limit),
    )
    harness.submit("0b", filling)
    for number in range(3):
        harness.report(0.0, f"w{number}", 64_000)
        worker = model.WorkerId(f"w{number}")
        assignments = tuple(
            log_commands.Assignment(
                model.TaskId(f"{job}.0.0.{number}"), 1, worker, 1
            )
            for job in ("0a", "0b")
        )
        harness.commit(log_commands.AssignTasks(assignments))


@when("serving tasks beside them keep them paused for 4 s")
def step_keep_paused(context: Any) -> None:
    context.stopped_tasks = set()
    for tenth in range(2, 42):
        for number in range(3):
            running = (
                requests.ActiveRun(
                    model.TaskId(f"0a.0.0.{number}"), 1, "", 100, 600
                ),
                requests.ActiveRun(
                    model.TaskId(f"0b.0.0.{number}"), 1, "c", 100, 8_000
                ),
            )
            orders = context.harness.report(
                tenth / 10, f"w{number}", 64_000, running
            )
            context.stopped_tasks |= {stop.task for stop in orders.stops}


@then("{count:d} of them are told to stop")
def step_stopped_count(context: Any, count: int) -> None:
    assert len(context.stopped_tasks) == count, context.stopped_tasks
