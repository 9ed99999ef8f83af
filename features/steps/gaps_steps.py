"""Steps on the gaps of free capacity that are protected for ordinary tasks."""

import statistics
from typing import Any
from unittest import mock

from behave import given
from behave import then
from behave import when

from bench import load_scenarios
from bench import load_simulation
from features.steps import filling_steps
from fulmarrouter import commands
from fulmarrouter.cluster import capacity_index
from fulmarrouter.cluster import gaps
from fulmarrouter.cluster import log_commands
from fulmarrouter.cluster import model
from fulmarrouter.cluster import requests
from fulmarrouter.cluster import serving_moves

WORKER_CORES = 140
GAP_CORES = 13


@when(
    "a long-running task of {asks:d} cores is checked against a worker with"
    " {free:d} free cores, protected from {least:d} on"
)
def step_check_protection(
    context: Any, asks: int, free: int, least: int
) -> None:
    context.is_protected = gaps.is_protected(
        free * 1000, asks * 1000, least * 1000
    )


@then("the free capacity {verdict} protected from it")
def step_is_protected(context: Any, verdict: str) -> None:
    assert context.is_protected == (verdict == "is"), context.is_protected


@given(
    "ordinary tasks of 4, 8, 12 and 16 cores on workers with {cores:d} cores in"
    " total"
)
def step_record_task_sizes(context: Any, cores: int) -> None:
    context.capacity_millicores = cores * 1000
    context.gap_demand = gaps.GapDemand()
    for size in (4, 8, 12, 16):
        context.gap_demand.record_step(filling_steps.ordinary_step(size * 1000))


@when(
    "{running:d} of them run and {waiting:d} wait, and then none run or wait"
    " for {later:d} s"
)
def step_update_demand(
    context: Any, running: int, waiting: int, later: int
) -> None:
    context.gap_demand.update(running, waiting, context.capacity_millicores)
    for _ in range(round(later / capacity_index.STATISTICS_INTERVAL_S)):
        context.gap_demand.update(0, 0, context.capacity_millicores)


@then("gaps of {size:d} cores are needed for {tasks:d} tasks")
def step_gap_demand(context: Any, size: int, tasks: int) -> None:
    assert context.gap_demand.typical_task_millicores == size * 1000, (
        context.gap_demand.typical_task_millicores
    )
    assert int(context.gap_demand.concurrent_tasks) == tasks, (
        context.gap_demand.concurrent_tasks
    )


# Long-running tasks where only gaps are free.


@given(
    "{count:d} workers with a gap of 13 cores each, used by {tasks:d} ordinary"
    " tasks"
)
def step_workers_with_gaps(context: Any, count: int, tasks: int) -> None:
    context.harness = harness = filling_steps.DispatcherHarness()
    context.workers = [f"w{n}" for n in range(count)]
    _report_workers(context, 0.0)
    harness.submit(
        "0a",
        model.StepSpec(
            count,
            commands.Resources((WORKER_CORES - GAP_CORES) * 1000, 10, 0),
            runs_until_cancelled=True,
            max_per_worker=1,
            tail_target_ms=filling_steps.TAIL_TARGET_MS,
        ),
    )
    context.long_running_assignments = harness.plan(0.1)
    harness.submit(
        "0b",
        model.StepSpec(
            tasks, commands.Resources(GAP_CORES * 1000, 10, 0), 1000
        ),
    )
    context.ordinary_assignments = harness.plan(0.2)
    assert len(context.ordinary_assignments) == tasks
    _report_workers(
        context,
        0.3,
        context.long_running_assignments + context.ordinary_assignments,
    )
    assert not harness.plan(0.5)


def _report_workers(
    context: Any, now: float, running: Any = (), ended: Any = ()
) -> None:
    for worker in context.workers:
        active_runs = tuple(
            requests.ActiveRun(item.task, item.run, "", 100)
            for item in running
            if item.worker == worker
        )
        ended_runs = tuple(
            requests.EndedRun(1, item.task, item.run, model.Outcome.DONE, "")
            for item in ended
            if item.worker == worker
        )
        context.harness.report(
            now, worker, WORKER_CORES * 1000, active_runs, ended_runs
        )


@when(
    "those tasks end and {tasks:d} long-running tasks of {cores:d} cores, one"
    " of which {history}, wait for {later:g} s"
)
def step_long_running_tasks_wait(
    context: Any, tasks: int, cores: int, history: str, later: float
) -> None:
    _report_workers(
        context,
        0.6,
        context.long_running_assignments,
        context.ordinary_assignments,
    )
    context.harness.submit(
        "0c",
        model.StepSpec(
            tasks,
            commands.Resources(cores * 1000, 10, 0),
            runs_until_cancelled=True,
            tail_target_ms=filling_steps.TAIL_TARGET_MS,
        ),
    )
    if history == "failed after a while":
        _run_and_fail(context.harness, model.TaskId("0c.0.0.0"))
    context.assignments = []
    now = 0.7
    while now < 0.7 + later:
        _report_workers(context, now, context.long_running_assignments)
        context.assignments += context.harness.plan(now)
        now += capacity_index.STATISTICS_INTERVAL_S


def _run_and_fail(
    harness: filling_steps.DispatcherHarness, task: model.TaskId
) -> None:
    worker = model.WorkerId("w0")
    harness.commit(
        log_commands.AssignTasks((log_commands.Assignment(task, 1, worker, 1),))
    )
    end = log_commands.RunEnd(task, 1, worker, 1, model.Outcome.FAILED)
    harness.commit(log_commands.EndRuns((end,)))


@then("{count:d} of them are assigned, first the one that has run before")
def step_assigned_tasks(context: Any, count: int) -> None:
    tasks = [item.task for item in context.assignments]
    assert len(tasks) == count, tasks
    assert tasks[:1] == ["0c.0.0.0"][:count], tasks


# Simulated loads.


def _never_protects_gaps(
    self: gaps.GapDemand, free: int, running: int, tasks: int
) -> bool:
    del self, free, running, tasks
    return False


@when(
    "the load {load} is run with seed {seed:d}, with and without protected gaps"
)
def step_run_with_and_without_protection(
    context: Any, load: str, seed: int
) -> None:
    scenario = load_scenarios.SCENARIO_BY_NAME[load]
    context.report = load_simulation.Simulation(scenario, seed).run()
    # Moves of serving tasks make room for urgent jobs too, so they would hide
    # what the gaps are worth.
    with mock.patch.object(serving_moves.ServingMover, "run"):
        context.protected_report = load_simulation.Simulation(
            scenario, seed
        ).run()
        with (
            mock.patch.object(
                gaps.GapDemand, "protects_gaps", _never_protects_gaps
            ),
            mock.patch.object(gaps, "ORDINARY_PREFERRED_PERCENT", 0),
        ):
            context.unprotected_report = load_simulation.Simulation(
                scenario, seed
            ).run()


@then(
    "urgent jobs earn at least {factor:g} times as much credit with protected"
    " gaps"
)
def step_urgent_jobs_gain(context: Any, factor: float) -> None:
    protected_share = context.protected_report.by_kind["urgent"].credit_share
    unprotected_share = context.unprotected_report.by_kind[
        "urgent"
    ].credit_share
    assert protected_share >= factor * unprotected_share, (
        protected_share,
        unprotected_share,
    )


@then("moves of serving tasks don't cost urgent jobs any of it")
def step_moves_cost_nothing(context: Any) -> None:
    with_moves = context.report.by_kind["urgent"].credit_share
    without_moves = context.protected_report.by_kind["urgent"].credit_share
    assert with_moves >= without_moves, (with_moves, without_moves)


@then(
    "with protected gaps no kind of job gets less than half of the mean share"
)
def step_no_kind_left_out(context: Any) -> None:
    report = context.report
    shares = {kind: item.credit_share for kind, item in report.by_kind.items()}
    shares["serving"] = report.serving_in_target_share * (
        1 - report.serving_waiting_share
    )
    mean = statistics.fmean(shares.values())
    assert min(shares.values()) >= mean / 2, shares


@when("the load {load} is run with seeds {first:d} to {last:d}")
def step_run_seeds(context: Any, load: str, first: int, last: int) -> None:
    scenario = load_scenarios.SCENARIO_BY_NAME[load]
    reports = [
        load_simulation.Simulation(scenario, seed).run()
        for seed in range(first, last + 1)
    ]
    context.shares = load_simulation.mean_credit_by_size(
        [
            outcome
            for report in reports
            for outcome in report.by_kind["urgent"].job_results
        ]
    )


@then(
    "the largest tenth of the urgent jobs earns at least half of the mean share"
)
def step_largest_tenth(context: Any) -> None:
    all_share, largest_tenth_share, _ = context.shares
    assert largest_tenth_share >= all_share / 2, context.shares


@then("the next largest fifth earns at least half of the mean share")
def step_next_fifth(context: Any) -> None:
    all_share, _, next_fifth_share = context.shares
    assert next_fifth_share >= all_share / 2, context.shares
