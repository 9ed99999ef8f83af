"""Steps on planning rounds and on how many workers they check."""

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
from fulmarrouter.cluster import fleet as fleet_lib
from fulmarrouter.cluster import model
from fulmarrouter.cluster import planner as planner_lib
from fulmarrouter.cluster import requests
from fulmarrouter.cluster import state as state_lib

WORKER_MILLICORES = 8_000
LOAD_DURATION_S = 6.0


# Comparison with a planner without cached searches.


def _plan_from_scratch(
    now: float, simulation: load_simulation.Simulation, state: state_lib.State
) -> list[model.TaskId]:
    """Returns the tasks that a new planner would still assign.

    It has no cached searches and considers all workers as changed. The workers
    that are reserved for tasks on the move stay reserved. Filling tasks are left
    out.
    """
    dispatcher = simulation.dispatcher
    fleet = fleet_lib.Fleet()
    fleet.view_by_id = dict(dispatcher.fleet.view_by_id)
    for worker in fleet.view_by_id:
        fleet.mark_changed(worker)
    fresh_planner = planner_lib.Planner(fleet, dispatcher.interference)
    for task, worker in dispatcher.planner.moving_tasks():
        fresh_planner.reserve(task, worker, _spec_of_task(state, task))
    planned = fresh_planner.plan(now, state)
    if planned is None:
        return []
    return [
        item.task
        for item in planned.assignments
        if not _spec_of_task(state, item.task).fills
    ]


def _spec_of_task(state: state_lib.State, task: model.TaskId) -> model.StepSpec:
    found = state.find_task(task)
    assert found is not None
    return state.spec_of(found[1])


@when(
    "the load {load} is run with seed {seed:d}, and each round is planned"
    " again by a planner without cached searches"
)
def step_run_and_replan(context: Any, load: str, seed: int) -> None:
    scenario = load_scenarios.SCENARIO_BY_NAME[load]
    simulation = load_simulation.Simulation(
        scenario, seed, seconds=LOAD_DURATION_S
    )
    context.missed_tasks = []
    context.rounds = 0

    def replan_round(now: float, state: state_lib.State) -> None:
        context.rounds += 1
        context.missed_tasks += _plan_from_scratch(now, simulation, state)

    simulation.after_round = replan_round
    with mock.patch.object(planner_lib, "PLANNING_INTERVAL_S", 0.0):
        simulation.run()


@then("the second planner never assigns an ordinary or serving task")
def step_no_task_missed(context: Any) -> None:
    assert context.rounds > 100, context.rounds
    assert not context.missed_tasks, context.missed_tasks[:5]


# One waiting step.


def _set_up_full_workers(context: Any, count: int) -> None:
    context.harness = filling_steps.DispatcherHarness()
    context.workers = [f"w{n}" for n in range(count)]
    for worker in context.workers:
        context.harness.report(0.0, worker, WORKER_MILLICORES)
    step = model.StepSpec(
        count,
        commands.Resources(WORKER_MILLICORES - 1000, 10, 0),
        60_000,
        max_per_worker=1,
    )
    context.harness.submit("0a", step)
    context.run_by_worker = {}
    while planned := context.harness.plan(
        0.1 + len(context.run_by_worker) / 10_000
    ):
        for item in planned:
            run = requests.ActiveRun(item.task, item.run, "", 10)
            context.run_by_worker[item.worker] = run
    assert len(context.run_by_worker) == count, len(context.run_by_worker)
    _report_running(context, 0.2, context.workers)


def _report_running(context: Any, now: float, workers: list[str]) -> None:
    for worker in workers:
        context.harness.report(
            now, worker, WORKER_MILLICORES, (context.run_by_worker[worker],)
        )


@given("{count:d} full workers")
def step_full_workers(context: Any, count: int) -> None:
    _set_up_full_workers(context, count)


@given("{count:d} full workers and a waiting step of 1 task")
def step_full_workers_and_waiting_step(context: Any, count: int) -> None:
    _set_up_full_workers(context, count)
    context.harness.submit("0b", filling_steps.ordinary_step(4_000))
    assert not context.harness.plan(0.3)


@when("nothing has changed")
def step_nothing_changed(context: Any) -> None:
    del context


@when("a run on {worker} ends")
def step_run_ends(context: Any, worker: str) -> None:
    run = context.run_by_worker[worker]
    ended = requests.EndedRun(1, run.task, run.run, model.Outcome.DONE, "")
    context.harness.report(0.4, worker, WORKER_MILLICORES, ended=(ended,))


@when("an empty worker {worker} joins")
def step_worker_joins(context: Any, worker: str) -> None:
    context.harness.report(0.4, worker, WORKER_MILLICORES)


@when("an empty worker {worker} is draining")
def step_draining_worker_joins(context: Any, worker: str) -> None:
    context.harness.report(0.4, worker, WORKER_MILLICORES, draining=True)


@when("{worker} has restarted")
def step_worker_restarts(context: Any, worker: str) -> None:
    context.harness.report(0.4, worker, WORKER_MILLICORES, incarnation=2)


@then("the task is assigned to {worker}")
def step_task_assigned_to(context: Any, worker: str) -> None:
    assigned_workers = [
        item.worker
        for item in context.harness.plan(0.5)
        if item.task.startswith("0b.")
    ]
    assert assigned_workers == ([] if worker == "nobody" else [worker]), (
        assigned_workers
    )


# Number of worker checks.


@given("{count:d} full workers and {steps:d} waiting steps of different sizes")
def step_full_workers_and_waiting_steps(
    context: Any, count: int, steps: int
) -> None:
    _set_up_full_workers(context, count)
    for number in range(steps):
        # Larger steps first, so that no step rules out a later one.
        spec = filling_steps.ordinary_step(4_000 - 100 * number)
        context.harness.submit(f"{number + 16:x}", spec)
    for round_number in range(steps):
        assert not context.harness.plan(0.3 + round_number)


@when("{count:d} of them report and a round is planned")
def step_report_and_plan(context: Any, count: int) -> None:
    _report_running(context, 40.0, context.workers[:count])
    _plan_and_count_checks(context, 40.1)


@when("steps of 2, 3, 4 and 5 cores wait and a round is planned")
def step_task_sizes_wait(context: Any) -> None:
    for cores in (2, 3, 4, 5):
        spec = filling_steps.ordinary_step(cores * 1000)
        context.harness.submit(f"{cores + 16:x}", spec)
    _plan_and_count_checks(context, 0.3)


def _plan_and_count_checks(context: Any, now: float) -> None:
    context.worker_checks = 0
    original_changed_since = capacity_index.CapacityIndex.changed_since

    def count_candidates(*args: Any, **options: Any) -> Any:
        for candidate in original_changed_since(*args, **options):
            context.worker_checks += 1
            yield candidate

    with mock.patch.object(
        capacity_index.CapacityIndex, "changed_since", count_candidates
    ):
        assert not context.harness.plan(now)


@then("at most {count:d} worker checks are made")
def step_max_worker_checks(context: Any, count: int) -> None:
    assert context.worker_checks <= count, context.worker_checks
