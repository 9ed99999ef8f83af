"""Steps on the room that is kept for ordinary tasks."""

import statistics
from typing import Any
from unittest import mock

from behave import given
from behave import then
from behave import when

from bench import load_simulation
from features.steps import filling_steps
from fulmarrouter import commands
from fulmarrouter.cluster import capacity_index
from fulmarrouter.cluster import gaps
from fulmarrouter.cluster import log_commands
from fulmarrouter.cluster import model
from fulmarrouter.cluster import requests

WORKER_CORES = 140
GAP_CORES = 13


@when(
    "a lasting task of {asks:d} cores meets a worker with {free:d} cores free,"
    " kept from {least:d} on"
)
def step_meets(context: Any, asks: int, free: int, least: int) -> None:
    context.is_protected = gaps.is_protected(
        free * 1000, asks * 1000, least * 1000
    )


@then("the room {verdict} kept from it")
def step_kept(context: Any, verdict: str) -> None:
    assert context.is_protected == (verdict == "is"), context.is_protected


@given(
    "ordinary tasks of 4, 8, 12 and 16 cores on workers of {cores:d} cores in"
    " all"
)
def step_sizes(context: Any, cores: int) -> None:
    context.capacity = cores * 1000
    context.gap_demand = gaps.GapDemand()
    for size in (4, 8, 12, 16):
        context.gap_demand.record_step(filling_steps.ordinary(size * 1000))


@when(
    "{running:d} of them run and {waiting:d} wait, and none do for {later:d} s"
)
def step_look(context: Any, running: int, waiting: int, later: int) -> None:
    context.gap_demand.update(running, waiting, context.capacity)
    for _ in range(round(later / capacity_index.STATISTICS_INTERVAL_S)):
        context.gap_demand.update(0, 0, context.capacity)


@then("gaps of {size:d} cores are kept for {tasks:d} tasks")
def step_need(context: Any, size: int, tasks: int) -> None:
    assert context.gap_demand.typical_task_millicores == size * 1000, (
        context.gap_demand.typical_task_millicores
    )
    assert int(context.gap_demand.concurrent_tasks) == tasks, (
        context.gap_demand.concurrent_tasks
    )


# One lasting task.


@given(
    "{count:d} workers with a gap of 13 cores each, which {tasks:d} ordinary"
    " tasks need"
)
def step_gaps(context: Any, count: int, tasks: int) -> None:
    context.bench = bench = filling_steps.Bench()
    context.workers = [f"w{n}" for n in range(count)]
    _report(context, 0.0)
    bench.submit(
        "0a",
        model.StepSpec(
            count,
            commands.Resources((WORKER_CORES - GAP_CORES) * 1000, 10, 0),
            long_running=True,
            max_per_worker=1,
            tail_target_ms=filling_steps.TARGET_MS,
        ),
    )
    context.long_running_tasks = bench.plan(0.1)
    bench.submit(
        "0b",
        model.StepSpec(
            tasks, commands.Resources(GAP_CORES * 1000, 10, 0), 1000
        ),
    )
    context.ordinary = bench.plan(0.2)
    assert len(context.ordinary) == tasks
    _report(context, 0.3, context.long_running_tasks + context.ordinary)
    assert not bench.plan(0.5)


def _report(
    context: Any, now: float, running: Any = (), ended: Any = ()
) -> None:
    for worker in context.workers:
        rows = tuple(
            requests.ActiveRun(item.task, item.run, "", 100)
            for item in running
            if item.worker == worker
        )
        ends = tuple(
            requests.EndedRun(1, item.task, item.run, model.Outcome.DONE, "")
            for item in ended
            if item.worker == worker
        )
        context.bench.report(now, worker, WORKER_CORES * 1000, rows, ends)


@when(
    "those tasks end and {tasks:d} lasting tasks of {cores:d} cores, of which"
    " one {history}, wait for {later:g} s"
)
def step_waits(
    context: Any, tasks: int, cores: int, history: str, later: float
) -> None:
    _report(context, 0.6, context.long_running_tasks, context.ordinary)
    context.bench.submit(
        "0c",
        model.StepSpec(
            tasks,
            commands.Resources(cores * 1000, 10, 0),
            long_running=True,
            tail_target_ms=filling_steps.TARGET_MS,
        ),
    )
    if history == "failed after a while":
        _run_and_fail(context.bench, model.TaskId("0c.0.0.0"))
    context.given = []
    now = 0.7
    while now < 0.7 + later:
        _report(context, now, context.long_running_tasks)
        context.given += context.bench.plan(now)
        now += capacity_index.STATISTICS_INTERVAL_S


def _run_and_fail(bench: filling_steps.Bench, task: model.TaskId) -> None:
    worker = model.WorkerId("w0")
    bench.commit(
        log_commands.AssignTasks((log_commands.Assignment(task, 1, worker, 1),))
    )
    end = log_commands.RunEnd(task, 1, worker, 1, model.Outcome.FAILED)
    bench.commit(log_commands.EndRuns((end,)))


@then("{count:d} of them are given room, the one that has run first")
def step_given(context: Any, count: int) -> None:
    tasks = [item.task for item in context.given]
    assert len(tasks) == count, tasks
    assert tasks[:1] == ["0c.0.0.0"][:count], tasks


# The load.


def _protects_none(
    self: gaps.GapDemand, free: int, running: int, tasks: int
) -> bool:
    del self, free, running, tasks
    return False


@when(
    "the load {load} is played with seed {seed:d}, with and without keeping gaps"
)
def step_play(context: Any, load: str, seed: int) -> None:
    scenario = load_simulation.SCENARIO_BY_NAME[load]
    context.protected = load_simulation.Simulation(scenario, seed).run()
    with (
        mock.patch.object(gaps.GapDemand, "protects_gaps", _protects_none),
        mock.patch.object(gaps, "ORDINARY_PREFERRED_PERCENT", 0),
    ):
        context.unprotected = load_simulation.Simulation(scenario, seed).run()


@then("urgent jobs earn at least {factor:g} times as much with gaps kept")
def step_urgent(context: Any, factor: float) -> None:
    protected = context.protected.by_kind["urgent"].credit_share
    other = context.unprotected.by_kind["urgent"].credit_share
    assert protected >= factor * other, (protected, other)


@then("with gaps kept no kind gets less than half of what all get")
def step_no_kind_left_out(context: Any) -> None:
    report = context.protected
    shares = {kind: item.credit_share for kind, item in report.by_kind.items()}
    shares["serving"] = report.serving_in_target_share * (
        1 - report.serving_waiting_share
    )
    mean = statistics.fmean(shares.values())
    assert min(shares.values()) >= mean / 2, shares


@when("the load {load} is played with seeds {first:d} to {last:d}")
def step_play_seeds(context: Any, load: str, first: int, last: int) -> None:
    scenario = load_simulation.SCENARIO_BY_NAME[load]
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


@then("the largest tenth of the urgent jobs earns at least half as much as all")
def step_largest_tenth(context: Any) -> None:
    of_all, of_tenth, _ = context.shares
    assert of_tenth >= of_all / 2, context.shares


@then("the fifth below it earns at least half as much as all")
def step_fifth_below(context: Any) -> None:
    of_all, _, of_fifth = context.shares
    assert of_fifth >= of_all / 2, context.shares
