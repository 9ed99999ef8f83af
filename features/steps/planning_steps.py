"""Steps on planning rounds and what they look at."""

from typing import Any
from unittest import mock

from behave import given
from behave import then
from behave import when

from bench import load_simulation
from features.steps import filling_steps
from fulmarrouter import commands
from fulmarrouter.cluster import capacity_index
from fulmarrouter.cluster import fleet as fleet_lib
from fulmarrouter.cluster import model
from fulmarrouter.cluster import planner as planner_lib
from fulmarrouter.cluster import requests
from fulmarrouter.cluster import state as state_lib

CORES = 8_000  # Millicores of a stand-in worker.
SECONDS = 6.0


# A second planner.


def _plan_afresh(
    now: float, simulation: load_simulation.Simulation, state: state_lib.State
) -> list[model.TaskId]:
    """Returns what a planner that remembers nothing would still assign."""
    dispatcher = simulation.dispatcher
    fleet = fleet_lib.Fleet()
    fleet.view_by_id = dict(dispatcher.fleet.view_by_id)
    for worker in fleet.view_by_id:
        fleet.mark_changed(worker)
    second = planner_lib.Planner(fleet, dispatcher.interference)
    planned = second.plan(now, state)
    if planned is None:
        return []
    return [
        item.task
        for item in planned.assignments
        if not _spec(state, item.task).fills
    ]


def _spec(state: state_lib.State, task: model.TaskId) -> model.StepSpec:
    found = state.find_task(task)
    assert found is not None
    return state.spec_of(found[1])


@when(
    "the load {load} is planned with seed {seed:d}, and each round again by a"
    " planner without a memory"
)
def step_plan_twice(context: Any, load: str, seed: int) -> None:
    scenario = load_simulation.SCENARIO_BY_NAME[load]
    simulation = load_simulation.Simulation(scenario, seed, seconds=SECONDS)
    context.missed = []
    context.rounds = 0

    def check(now: float, state: state_lib.State) -> None:
        context.rounds += 1
        context.missed += _plan_afresh(now, simulation, state)

    simulation.after_round = check
    with mock.patch.object(planner_lib, "PLANNING_INTERVAL_S", 0.0):
        simulation.run()


@then("the second planner never finds room for an ordinary or serving task")
def step_none_missed(context: Any) -> None:
    assert context.rounds > 100, context.rounds
    assert not context.missed, context.missed[:5]


# One waiting step.


def _full_workers(context: Any, count: int) -> None:
    context.bench = filling_steps.Bench()
    context.workers = [f"w{n}" for n in range(count)]
    for worker in context.workers:
        context.bench.report(0.0, worker, CORES)
    step = model.StepSpec(
        count,
        commands.Resources(CORES - 1000, 10, 0),
        60_000,
        max_per_worker=1,
    )
    context.bench.submit("0a", step)
    context.runs = {}
    while planned := context.bench.plan(0.1 + len(context.runs) / 10_000):
        for item in planned:
            run = requests.ActiveRun(item.task, item.run, "", 10)
            context.runs[item.worker] = run
    assert len(context.runs) == count, len(context.runs)
    _report(context, 0.2, context.workers)


def _report(context: Any, now: float, workers: list[str]) -> None:
    for worker in workers:
        context.bench.report(now, worker, CORES, (context.runs[worker],))


@given("{count:d} full workers")
def step_full(context: Any, count: int) -> None:
    _full_workers(context, count)


@given("{count:d} full workers and a step of 1 task that waits")
def step_waits(context: Any, count: int) -> None:
    _full_workers(context, count)
    context.bench.submit("0b", filling_steps.ordinary(4_000))
    assert not context.bench.plan(0.3)


@when("nothing has changed")
def step_nothing(context: Any) -> None:
    del context


@when("a run on {worker} ends")
def step_run_ends(context: Any, worker: str) -> None:
    run = context.runs[worker]
    ended = requests.EndedRun(1, run.task, run.run, model.Outcome.DONE, "")
    context.bench.report(0.4, worker, CORES, ended=(ended,))


@when("an empty worker {worker} joins")
def step_joins(context: Any, worker: str) -> None:
    context.bench.report(0.4, worker, CORES)


@when("an empty worker {worker} is draining")
def step_joins_draining(context: Any, worker: str) -> None:
    context.bench.report(0.4, worker, CORES, draining=True)


@when("{worker} is born again")
def step_born_again(context: Any, worker: str) -> None:
    context.bench.report(0.4, worker, CORES, incarnation=2)


@then("the task is given to {worker}")
def step_given_to(context: Any, worker: str) -> None:
    given_to = [
        item.worker
        for item in context.bench.plan(0.5)
        if item.task.startswith("0b.")
    ]
    assert given_to == ([] if worker == "nobody" else [worker]), given_to


# Looks.


@given(
    "{count:d} full workers and {steps:d} steps of different sizes that wait"
)
def step_many_wait(context: Any, count: int, steps: int) -> None:
    _full_workers(context, count)
    for number in range(steps):
        # Larger ones first, so that no step rules out a later one.
        spec = filling_steps.ordinary(4_000 - 100 * number)
        context.bench.submit(f"{number + 16:x}", spec)
    for turn in range(steps):
        assert not context.bench.plan(0.3 + turn)


@when("{count:d} of them report and a round is planned")
def step_some_report(context: Any, count: int) -> None:
    _report(context, 40.0, context.workers[:count])
    _count_checks(context, 40.1)


@when("steps of 2, 3, 4 and 5 cores wait and a round is planned")
def step_sizes(context: Any) -> None:
    for cores in (2, 3, 4, 5):
        spec = filling_steps.ordinary(cores * 1000)
        context.bench.submit(f"{cores + 16:x}", spec)
    _count_checks(context, 0.3)


def _count_checks(context: Any, now: float) -> None:
    context.checks = 0
    original = capacity_index.CapacityIndex.changed_since

    def counted(*args: Any) -> Any:
        for candidate in original(*args):
            context.checks += 1
            yield candidate

    with mock.patch.object(
        capacity_index.CapacityIndex, "changed_since", counted
    ):
        assert not context.bench.plan(now)


@then("at most {count:d} looks at workers are taken")
def step_checks(context: Any, count: int) -> None:
    assert context.checks <= count, context.checks
