"""Steps for the soak with real processes."""

from typing import Any

from behave import given
from behave import then
from behave import when

from features.support import process_soak
from features.support import run_checks
from features.support import soak_workers

NOW = 100.0
HOLD_MS = 2000
JOB = "00000000000000aa"
LIMITED_JOB_STEPS: list[dict[str, Any]] = [
    {"count": 2, "cpu": 9000, "mem_mb": 10, "estimated_ms": 500},
    {"count": 2, "cpu": 100, "mem_mb": 10, "estimated_ms": 500, "after": [0]},
]
FIRST, SECOND, LATER = f"{JOB}.0.0.0", f"{JOB}.0.0.1", f"{JOB}.0.1.0"


@given("workers w1 with label a, w2 with label b, and w3 of another service")
def step_soak_workers(context: Any) -> None:
    record = run_checks.Record(context.folder / "record.txt")
    context.add_cleanup(record.close)
    context.checks = run_checks.RunChecks(record)
    context.checks.job_by_id[JOB] = run_checks.Job(
        JOB, "/a/", "text", [dict(step) for step in LIMITED_JOB_STEPS]
    )
    context.worker_by_name = {}
    for name, service, label in (
        ("w1", "booking", "a"),
        ("w2", "booking", "b"),
        ("w3", "depot", "a"),
    ):
        worker = soak_workers.Worker(
            name, service, (label, "r-1"), False, ["-"], context.checks, name
        )
        context.worker_by_name[name] = worker
        context.checks.lives.append(worker)


def _order(
    context: Any, at: float, worker: str, *tasks: str, **fields: Any
) -> None:
    """Advances the shared view and gives a worker an answer with orders."""
    starts = [[task, 1, "text", ""] for task in tasks]
    orders = {"hold_ms": HOLD_MS, "fencing_token": 1, "start": starts, **fields}
    context.checks.advance(NOW + at)
    context.worker_by_name[worker].obey(orders, NOW + at, NOW + at)


@when("they are given {fault}")
def step_give_orders(context: Any, fault: str) -> None:
    first_step = context.checks.job_by_id[JOB].steps[0]
    first_step["anti_affinity"] = 2 if "capacity" in fault else 1
    match fault:
        case "two tasks of a limited step on two workers":
            _order(context, 0.0, "w1", FIRST)
            _order(context, 0.0, "w2", SECOND)
        case "two tasks of a limited step on one worker":
            first_step["cpu"] = 100
            _order(context, 0.0, "w1", FIRST, SECOND)
        case "a second task while the first one is being stopped":
            first_step["cpu"] = 100
            _order(context, 0.0, "w1", FIRST)
            _order(context, 0.05, "w1", stop=[[FIRST, 1]])
            _order(context, 0.05, "w1", SECOND)
        case "a second task after the first one has stopped":
            _order(context, 0.0, "w1", FIRST)
            _order(context, 0.05, "w1", stop=[[FIRST, 1]])
            _order(context, 0.46, "w1", SECOND)
        case "a task without the label that it requires":
            first_step["requirements"] = "a"
            _order(context, 0.0, "w2", FIRST)
        case "a task of another service":
            _order(context, 0.0, "w3", FIRST)
        case "a task that runs on another worker":
            _order(context, 0.0, "w1", FIRST)
            _order(context, 0.1, "w2", FIRST)
        case "a task whose lease on another worker has expired":
            first_step["estimated_ms"] = 5000
            _order(context, 0.0, "w1", FIRST)
            _order(context, 2.1, "w2", FIRST)
        case "a task after its done end was noted":
            _order(context, 0.0, "w1", FIRST)
            _order(context, 0.6, "w1", ack_seq=1)
            _order(context, 0.7, "w2", FIRST)
        case "a task again before its done end is noted":
            _order(context, 0.0, "w1", FIRST)
            _order(context, 0.6, "w2", FIRST)
            _order(context, 0.7, "w1", ack_seq=1)
        case "a task again before an end noted after the lease expired":
            _order(context, 0.0, "w1", FIRST)
            _order(context, 2.1, "w2", FIRST)
            _order(context, 2.2, "w1", ack_seq=1)
        case "a task before the step that it waits for":
            _order(context, 0.0, "w1", FIRST)
            _order(context, 0.6, "w1", LATER)
        case "a task beyond the capacity":
            _order(context, 0.0, "w1", FIRST, SECOND)
        case "a task beyond the capacity of a worker that guards it":
            context.worker_by_name["w1"].is_guarded = True
            _order(context, 0.0, "w1", FIRST, SECOND)
        case "a task with a lower fencing token":
            _order(context, 0.0, "w1", FIRST)
            _order(context, 0.1, "w1", SECOND, fencing_token=0)
        case "a task that nobody submitted":
            _order(context, 0.0, "w1", "00000000000000ab.0.0.0")
        case _:
            raise AssertionError(fault)


@then("the rules found broken are {rules}")
def step_rules_broken(context: Any, rules: str) -> None:
    found = [item.partition(":")[0] for item in context.checks.violations]
    assert found == ([] if rules == "none" else [rules]), found


@when("the soak runs seed {seed:d} with faults for {seconds:d} s")
def step_run_soak(context: Any, seed: int, seconds: int) -> None:
    context.result = process_soak.run_seed(seed, faults_s=seconds)


@then("no rule was broken")
def step_no_rule_broken(context: Any) -> None:
    assert not context.result.violations, context.result.violations


@then("tasks were started and assigned")
def step_tasks_started(context: Any) -> None:
    assert context.result.starts and context.result.assignments
