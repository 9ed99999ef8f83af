"""Steps on what a new leader does while the earlier one's orders are in flight."""

from typing import Any

from behave import given
from behave import then
from behave import when

from features.steps import filling_steps
from features.steps import serving_moves_steps
from fulmarrouter import commands
from fulmarrouter.cluster import dispatcher
from fulmarrouter.cluster import log_commands
from fulmarrouter.cluster import model
from fulmarrouter.cluster import requests
from fulmarrouter.cluster import state as state_lib

TASK = model.TaskId("0a.0.0.0")
WORKER_MILLICORES = 8000
ELECTED_AT = 0.5


def _end(run: int, worker: str, outcome: model.Outcome) -> log_commands.EndRuns:
    return log_commands.EndRuns(
        (log_commands.RunEnd(TASK, run, model.WorkerId(worker), 1, outcome),)
    )


def _assign(
    task: model.TaskId, run: int, worker: str
) -> log_commands.AssignTasks:
    return log_commands.AssignTasks(
        (log_commands.Assignment(task, run, model.WorkerId(worker), 1),)
    )


def _change_leader(
    harness: filling_steps.DispatcherHarness, now: float
) -> None:
    harness.dispatcher = dispatcher.Dispatcher(
        dispatcher.DispatchSettings(), harness.decision_buffer
    )
    harness.dispatcher.start_term(now, harness.state)


@given(
    "a worker on which an earlier leader has started a run that is no longer"
    " wanted"
)
def step_unwanted_run(context: Any) -> None:
    """The task is done by the late end of an earlier run."""
    harness = context.harness = filling_steps.DispatcherHarness()
    needs = commands.Resources(6000, 10, 0)
    harness.submit("0a", model.StepSpec(2, needs, 1000, max_per_worker=1))
    harness.commit(_assign(TASK, 1, "earlier"))
    harness.commit(_end(1, "earlier", model.Outcome.LOST))
    harness.commit(_assign(TASK, 2, "w"))
    harness.commit(_end(1, "earlier", model.Outcome.DONE))


@given(
    "a new leader, to which a report without the run arrives after {seconds:g} s"
)
def step_late_first_report(context: Any, seconds: float) -> None:
    _change_leader(context.harness, ELECTED_AT)
    context.first_report_at = ELECTED_AT + seconds
    context.harness.report(context.first_report_at, "w", WORKER_MILLICORES)


@when("a task of {step} is planned for the worker")
def step_planned_in_its_place(context: Any, step: str) -> None:
    harness = context.harness
    harness.commit(_end(2, "w", model.Outcome.LOST))
    task = model.TaskId("0a.0.0.1")
    if step == "another job, which needs its capacity":
        harness.submit("0b", filling_steps.ordinary_step(6000))
        task = model.TaskId("0b.0.0.0")
    harness.commit(_assign(task, 1, "w"))
    context.task = task


@when("a later report lists the run")
def step_run_reported(context: Any) -> None:
    running = (requests.ActiveRun(TASK, 2, "", 50, 100),)
    context.orders = context.harness.report(
        4.3, "w", WORKER_MILLICORES, running
    )


@then(
    "the worker is told to stop the run, and to start nothing until it has"
    " stopped"
)
def step_stopped_first(context: Any) -> None:
    orders = context.orders
    assert [item.task for item in orders.stops] == [TASK], orders
    assert not orders.starts, orders
    end = requests.EndedRun(1, TASK, 2, model.Outcome.STOPPED, "")
    orders = context.harness.report(4.5, "w", WORKER_MILLICORES, (), (end,))
    assert [item.task for item in orders.starts] == [context.task], orders


@when("the run is missing from a report {seconds:g} s later")
def step_run_missing(context: Any, seconds: float) -> None:
    harness = context.harness
    now = context.first_report_at + seconds
    if seconds:
        harness.report(now, "w", WORKER_MILLICORES)
    report = harness.dispatcher.fleet.view_by_id[model.WorkerId("w")].report
    for command in harness.dispatcher.end_absent_runs(
        now, harness.state, report
    ):
        harness.commit(command)


@then("the run is {which}")
def step_run_state(context: Any, which: str) -> None:
    key = state_lib.WorkerKey(model.WorkerId("w"), 1)
    is_assigned = key in context.harness.state.runs_by_worker
    assert is_assigned == (which == "still assigned")


@given("two tasks of a step, of which one is to move")
def step_one_moves(context: Any) -> None:
    cluster = context.cluster = serving_moves_steps._Cluster()
    cluster.learn_effects()
    cluster.tasks_by_worker["w2"] = []
    cluster.run_job("like", serving_moves_steps._step("a", 3), ["w2"] * 3)
    step = serving_moves_steps._step("b", 2, max_unavailable=1)
    cluster.run_job("odd", step, ["w0", "w2"])
    assert cluster.stops(5.0) == [serving_moves_steps.MOVED_TASK]


@when("a new leader hears of the workers before the task has stopped")
def step_new_leader_hears(context: Any) -> None:
    cluster = context.cluster
    _change_leader(cluster.harness, 5.15)
    cluster.learn_effects()
    context.stops = []
    # The worker that is left alone so far reports first.
    for now in (5.2, 5.3, 5.4, 5.5):
        for worker in ("w2", "w1", "w0"):
            orders = cluster.report(now, worker)
            context.stops += [stop.task for stop in orders.stops]
        cluster.harness.dispatcher.move_serving_tasks(
            now, cluster.harness.state
        )


@then("it moves no other task of the step")
def step_no_other_move(context: Any) -> None:
    assert not set(context.stops) - {serving_moves_steps.MOVED_TASK}, (
        context.stops
    )


def _configure(
    harness: filling_steps.DispatcherHarness, version: int, service: str
) -> None:
    configuration = model.Configuration(
        version,
        str(version),
        b"",
        (filling_steps.QUEUE,),
        (),
        (model.ServiceName(service),),
    )
    harness.commit(log_commands.ReplaceConfiguration(configuration))


@given("a worker that runs a task and whose service has been removed")
def step_removed_service(context: Any) -> None:
    harness = context.harness = filling_steps.DispatcherHarness()
    _configure(harness, 1, filling_steps.SERVICE)
    harness.report(0.0, "w", WORKER_MILLICORES)
    harness.submit("0a", filling_steps.ordinary_step(1000))
    assert harness.plan(0.1)
    harness.report(0.2, "w", WORKER_MILLICORES)
    _configure(harness, 2, "another")


@when("a new leader hears that the task is done")
def step_new_leader_hears_end(context: Any) -> None:
    harness = context.harness
    _change_leader(harness, 0.3)
    end = requests.EndedRun(1, TASK, 1, model.Outcome.DONE, "")
    harness.report(0.4, "w", WORKER_MILLICORES, (), (end,))


@then("the task's job is done")
def step_job_done(context: Any) -> None:
    job = context.harness.state.job_by_id[model.JobId("0a")]
    assert job.phase is model.JobPhase.DONE, job.phase


@given("a worker whose filling task an earlier leader has paused")
def step_paused_by_earlier_leader(context: Any) -> None:
    harness = context.harness = filling_steps.DispatcherHarness()
    harness.report(0.0, "w", 64_000)
    harness.submit("0a", filling_steps._serving_step(13_000))
    harness.submit("0b", filling_steps._filling_step(8_000))
    assert len(harness.plan(0.1)) == 2
    paces = _report_tail(harness, 0.2, tail_ms=500)
    assert [item.percent for item in paces] == [0], paces


def _report_tail(
    harness: filling_steps.DispatcherHarness, now: float, tail_ms: int
) -> tuple[requests.PaceOrder, ...]:
    """Reports a serving and a filling task; returns the ordered paces."""
    running = (
        requests.ActiveRun(model.TaskId("0a.0.0.0"), 1, "", 100, tail_ms),
        requests.ActiveRun(model.TaskId("0b.0.0.0"), 1, "", 5, 0),
    )
    return harness.report(now, "w", 64_000, running).paces


@when("a new leader hears of it, and nothing needs the pause any more")
def step_pause_not_needed(context: Any) -> None:
    _change_leader(context.harness, 0.4)
    context.paces = [
        item.percent
        for now in (0.5, 0.6, 0.7)
        for item in _report_tail(context.harness, now, tail_ms=10)
    ]


@then("the task is ordered to run at full pace once")
def step_resumed(context: Any) -> None:
    assert context.paces == [100], context.paces
