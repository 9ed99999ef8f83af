"""Steps on assignments that are made while others await their commit."""

import math
from typing import Any

from behave import given
from behave import then
from behave import when
import msgspec

from features.steps import filling_steps
from features.steps import reporting_steps
from features.steps import serving_moves_steps
from fulmarrouter import commands
from fulmarrouter.cluster import log_commands
from fulmarrouter.cluster import model
from fulmarrouter.cluster import requests
from fulmarrouter.cluster import snapshots

MOVED_TASK = serving_moves_steps.MOVED_TASK
OTHER_TASK = model.TaskId("odd.0.0.1")
LABEL = "special"
# Capacity of a worker with four serving tasks and room for another.
LARGE_WORKER_MILLICORES = 20_000


def _leave(context: Any, worker: str) -> None:
    """Ends the runs of a worker that is gone."""
    context.cluster.tasks_by_worker.pop(worker)
    context.cluster.harness.lose_worker(worker)


def _propose(context: Any, now: float) -> None:
    """Plans a round, whose commit is pending."""
    harness = context.cluster.harness
    planned = harness.dispatcher.planner.plan(now, harness.state)
    if planned is not None:
        context.pending.append(planned)


def _stop_moved_task(context: Any, now: float, worker: str = "w0") -> None:
    """Reports that the task to be moved has stopped."""
    cluster = context.cluster
    cluster.tasks_by_worker[worker].remove(MOVED_TASK)
    running = tuple(
        requests.ActiveRun(task, 1, "", 100, 50)
        for task in cluster.tasks_by_worker[worker]
    )
    end = requests.EndedRun(1, MOVED_TASK, 1, model.Outcome.STOPPED, "")
    millicores = cluster.millicores_by_worker.get(
        worker, serving_moves_steps.WORKER_MILLICORES
    )
    labels = cluster.labels_by_worker.get(worker, ())
    cluster.harness.report(
        now, worker, millicores, running, (end,), labels=labels
    )


@given("a task that is to move to a worker, and another task of its step")
def step_moving_task(context: Any) -> None:
    serving_moves_steps.step_mixed_worker(context)
    serving_moves_steps.step_further_workers(context)
    context.pending = []
    assert context.cluster.stops(5.0) == [MOVED_TASK]


# An assignment awaits its commit.


@when(
    "the other one loses its worker and is planned, and the first one has"
    " stopped before that is committed"
)
def step_stopped_before_commit(context: Any) -> None:
    cluster = context.cluster
    _leave(context, "w2")
    cluster.draining.add("w3")
    for worker in cluster.tasks_by_worker:
        cluster.report(5.1, worker)
    _propose(context, 5.15)
    _stop_moved_task(context, 5.2)
    _propose(context, 5.3)


@when(
    "the commit of its assignment takes longer than a move may, and the other"
    " one loses its worker meanwhile"
)
def step_commit_outlasts_move(context: Any) -> None:
    cluster = context.cluster
    _stop_moved_task(context, 5.2)
    _propose(context, 5.3)
    _leave(context, "w2")
    cluster.draining.add("w3")
    for tenth in range(53, 85):
        now = tenth / 10
        for worker in cluster.tasks_by_worker:
            cluster.report(now, worker)
        harness = cluster.harness
        harness.dispatcher.move_serving_tasks(now, harness.state)
        _propose(context, now + 0.05)


@when("its worker is silent for longer than a move may take")
def step_silent_source(context: Any) -> None:
    cluster = context.cluster
    for tenth in range(51, 85):
        now = tenth / 10
        for worker in ("w1", "w2", "w3"):
            cluster.report(now, worker)
        harness = cluster.harness
        harness.dispatcher.move_serving_tasks(now, harness.state)


@then("the task is no longer told to stop")
def step_not_told_to_stop(context: Any) -> None:
    assert not context.cluster.report(8.5, "w0").stops


@then("each task is planned once, and for a worker of its own")
def step_workers_of_their_own(context: Any) -> None:
    planned = [
        (item.task, item.worker)
        for command in context.pending
        for item in command.assignments
        if item.task in (MOVED_TASK, OTHER_TASK)
    ]
    tasks = [task for task, _ in planned]
    workers = [worker for _, worker in planned]
    assert MOVED_TASK in tasks, planned
    assert len(set(tasks)) == len(tasks), planned
    assert len(set(workers)) == len(workers), planned


# The worker that a task is to move to restarts.


@given("a task that needs a label and is to move to a worker")
def step_moving_labelled_task(context: Any) -> None:
    serving_moves_steps.step_mixed_worker(context)
    cluster = context.cluster
    for worker in ("w0", "w1", "w3"):
        cluster.labels_by_worker[worker] = (LABEL,)
    cluster.tasks_by_worker["w3"] = []
    cluster.run_job(
        "odd", serving_moves_steps._step("b", 1, required_label=LABEL), ["w0"]
    )
    cluster.run_job("roomy", serving_moves_steps._step("a", 2), ["w3"] * 2)
    context.pending = []
    assert cluster.stops(5.0) == [MOVED_TASK]


@when("that worker restarts {how} before the task has stopped")
def step_target_restarts(context: Any, how: str) -> None:
    cluster = context.cluster
    cluster.tasks_by_worker["w1"] = []
    cluster.incarnation_by_worker["w1"] = 2
    if "in another service" in how:
        cluster.service_by_worker["w1"] = model.ServiceName("other")
    if "without the label" in how:
        cluster.labels_by_worker["w1"] = ()
    if "with little room" in how:
        cluster.millicores_by_worker["w1"] = 1000
    cluster.report(5.1, "w1")
    _stop_moved_task(context, 5.2)
    _propose(context, 5.3)


@then("the task is planned for {worker}")
def step_planned_for(context: Any, worker: str) -> None:
    found = [
        item.worker
        for command in context.pending
        for item in command.assignments
        if item.task == MOVED_TASK
    ]
    assert found == [worker], found


# Orders to stop that are in flight.

# From when on the worker gets its answers; the move is given up after 8.0 s.
ORDER_ARRIVES_AT_S = 7.8
STOP_S = 0.4


@when("its worker learns of the order just before the move is given up")
def step_order_arrives_late(context: Any) -> None:
    cluster = context.cluster
    context.other_stops = []
    stops_at = math.inf
    for tenth in range(50, 90):
        now = tenth / 10
        if now >= stops_at:
            cluster.tasks_by_worker["w0"].remove(MOVED_TASK)
            break
        ordered = cluster.stops(now)
        if now >= ORDER_ARRIVES_AT_S and MOVED_TASK in ordered:
            stops_at = min(stops_at, now + STOP_S)
        context.other_stops += [
            task
            for task in ordered
            if task != MOVED_TASK and task.startswith("odd.")
        ]
    assert stops_at < math.inf


@then("no other task of the step is told to stop before it has stopped")
def step_no_other_stop(context: Any) -> None:
    assert not context.other_stops, context.other_stops


# Capacity.


@given("two tasks that are to change places, on full workers")
def step_exchange(context: Any) -> None:
    serving_moves_steps.step_mixed_worker(context)
    cluster = context.cluster
    step = serving_moves_steps._step("b", 1)
    cluster.run_job("third", step, ["w1"])
    cluster.run_job("back", serving_moves_steps._step("a", 1), ["w1"])
    cluster.run_job("odd", step, ["w0"])
    cluster.millicores_by_worker["w1"] = LARGE_WORKER_MILLICORES
    context.pending = []


@when(
    "an assignment to one of them awaits its commit, and the task that is to"
    " move there has stopped"
)
def step_room_taken(context: Any) -> None:
    cluster = context.cluster
    for worker in cluster.tasks_by_worker:
        cluster.report(4.8, worker)
    cluster.harness.submit("batch", filling_steps.ordinary_step(4000))
    _propose(context, 4.9)
    assert [item.worker for item in context.pending[0].assignments] == ["w1"]
    assert MOVED_TASK in cluster.stops(5.0)
    _stop_moved_task(context, 5.2)
    _propose(context, 5.3)


@then("the task is not planned before the other one has stopped")
def step_not_planned(context: Any) -> None:
    planned = [
        item.task for command in context.pending for item in command.assignments
    ]
    assert MOVED_TASK not in planned, planned


# Runs that are no longer wanted.


def _limited_step() -> model.StepSpec:
    return model.StepSpec(
        2, commands.Resources(1000, 10, 0), 1000, max_per_worker=1
    )


def _assignment(index: int, run: int, worker: str) -> log_commands.AssignTasks:
    task = model.format_task_id(model.JobId("0a"), 0, 0, index)
    return log_commands.AssignTasks(
        (log_commands.Assignment(task, run, model.WorkerId(worker), 1),)
    )


@given("a worker that runs a task of a step with a limit of 1 per worker")
def step_run_of_limited_step(context: Any) -> None:
    context.harness = filling_steps.DispatcherHarness()
    context.harness.report(0.0, "w", 16_000)
    context.harness.submit("0a", _limited_step())
    context.task = model.TaskId("0a.0.0.0")
    context.run = 1


def _end_earlier_run(context: Any, outcome: model.Outcome) -> None:
    end = log_commands.RunEnd(
        context.task, 1, model.WorkerId("earlier"), 1, outcome
    )
    context.harness.commit(log_commands.EndRuns((end,)))


def _assign_second_run(context: Any) -> None:
    """Assigns a task whose first run was lost to the worker."""
    context.harness.commit(_assignment(0, 1, "earlier"))
    _end_earlier_run(context, model.Outcome.LOST)
    context.harness.commit(_assignment(0, 2, "w"))
    context.run = 2


@given(
    "a worker that was told to start a task of a step with a limit of 1 per"
    " worker"
)
def step_told_to_start_limited_task(context: Any) -> None:
    step_run_of_limited_step(context)
    _assign_second_run(context)
    assert context.harness.report(0.1, "w", 16_000).starts


@when(
    "an earlier run of the task ends as done, and a leader starts from a"
    " snapshot"
)
def step_leader_from_snapshot(context: Any) -> None:
    harness = context.harness
    _end_earlier_run(context, model.Outcome.DONE)
    harness.state = snapshots.decode(snapshots.encode(harness.state))
    harness.dispatcher.start_term(0.2, harness.state)
    harness.report(0.3, "w", 16_000)
    context.assignments = harness.plan(0.4)


@when("{event}, and the worker still reports the run")
def step_run_unwanted(context: Any, event: str) -> None:
    harness = context.harness
    if event == "an earlier run of the task has ended as done":
        _assign_second_run(context)
        _end_earlier_run(context, model.Outcome.DONE)
    else:
        harness.commit(_assignment(0, 1, "w"))
        harness.lose_worker("w")
    running = (requests.ActiveRun(context.task, context.run, "", 50),)
    harness.report(0.2, "w", 16_000, running)
    context.assignments = harness.plan(0.3)


@then("no task of the step is planned for the worker until the run has stopped")
def step_planned_after_stop(context: Any) -> None:
    assert not context.assignments, context.assignments
    end = requests.EndedRun(
        1, context.task, context.run, model.Outcome.STOPPED, ""
    )
    context.harness.report(0.5, "w", 16_000, (), (end,))
    planned = context.harness.plan(0.6)
    assert [item.worker for item in planned] == ["w"], planned


@given("a worker of 16 cores that runs a task of 10 cores")
def step_busy_worker(context: Any) -> None:
    harness = context.harness = filling_steps.DispatcherHarness()
    harness.report(0.0, "w", 16_000)
    harness.submit("0a", filling_steps.ordinary_step(10_000))
    assert harness.plan(0.1)
    context.running = (requests.ActiveRun(model.TaskId("0a.0.0.0"), 1, "", 50),)
    harness.report(0.2, "w", 16_000, context.running)


@when("the state ends the run, but the worker still reports it")
def step_ended_run_goes_on(context: Any) -> None:
    harness = context.harness
    harness.lose_worker("w")
    harness.report(0.3, "w", 16_000, context.running)


@when("{what} is to be planned for its worker")
def step_plan_beside(context: Any, what: str) -> None:
    harness = context.harness
    context.started_job = "0a"
    if what != "the same task":
        harness.commit(log_commands.CancelJob(model.JobId("0a")))
        harness.submit("0b", filling_steps.ordinary_step(8_000))
        context.started_job = "0b"
    harness.plan(0.4)


@then("nothing is started on the worker until the run has stopped")
def step_nothing_started(context: Any) -> None:
    harness = context.harness
    orders = harness.report(0.5, "w", 16_000, context.running)
    assert not orders.starts, orders
    assert len(orders.stops) == 1, orders
    end = requests.EndedRun(
        1, model.TaskId("0a.0.0.0"), 1, model.Outcome.STOPPED, ""
    )
    harness.report(0.6, "w", 16_000, (), (end,))
    harness.plan(0.7)
    orders = harness.report(0.8, "w", 16_000, (), (end,))
    started = [item.task.split(".")[0] for item in orders.starts]
    assert started == [context.started_job], orders


# What the log tells.


@given("a leader and a worker that has run a step {kind} to its end")
def step_logged_run(context: Any, kind: str) -> None:
    leader = reporting_steps.SingleVoterLeader()
    limit = 1 if "limit" in kind else 0
    step = msgspec.structs.replace(
        filling_steps.ordinary_step(1), max_per_worker=limit
    )
    leader.controller.replica.propose(
        log_commands.encode(
            log_commands.SubmitJob(
                model.JobId("0a"),
                filling_steps.QUEUE,
                model.JobSpec("payload", (step,)),
                0,
            )
        )
    )
    leader.report()
    for _ in range(20):
        leader.turn()
    end = requests.EndedRun(
        1, model.TaskId("0a.0.0.0"), 1, model.Outcome.DONE, ""
    )
    leader.report((), (end,))
    for _ in range(6):
        leader.turn()
    context.events = [item.event for item in leader.controller.decisions.take()]


@then(
    "its log has {assigned:d} lines on assignments and {ended:d} on ends"
    " without a failure"
)
def step_logged_lines(context: Any, assigned: int, ended: int) -> None:
    found = context.events
    assert found.count("tasks assigned") == assigned, found
    assert found.count("runs ended") == ended, found
