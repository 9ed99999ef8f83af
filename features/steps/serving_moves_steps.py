"""Steps on moves of serving tasks between workers."""

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
from fulmarrouter.cluster import log_commands
from fulmarrouter.cluster import model
from fulmarrouter.cluster import requests
from fulmarrouter.cluster import serving_arrangement
from fulmarrouter.cluster import serving_moves

TASK_MILLICORES = 4000
DRAIN_TIME_LEFT_MS = 10_000
WORKER_MILLICORES = 16_000
CHECK_AT_S = 5.0
STOPPED_AT_S = 5.2
ASSIGNED_AT_S = 5.3
# A worker that has been silent for longer than the fleet accepts.
SILENT_UNTIL_S = 6.6
MOVED_TASK = model.TaskId("odd.0.0.0")


def _step(
    image: str,
    count: int,
    max_unavailable: int = -1,
    max_per_worker: int = 0,
    required_label: str = "",
) -> model.StepSpec:
    return model.StepSpec(
        count,
        commands.Resources(TASK_MILLICORES, 10, 0),
        runs_until_cancelled=True,
        image=image,
        tail_target_ms=150,
        max_unavailable=max_unavailable,
        max_per_worker=max_per_worker,
        required_label=required_label,
    )


# The choice of a move.


@given("workers with the serving tasks {workers}")
def step_hosts(context: Any, workers: str) -> None:
    context.hosts = []
    context.tasks_by_worker = {}
    for number, text in enumerate(workers.split()):
        images, free = text.split("+")
        worker = model.WorkerId(str(number))
        context.hosts.append(
            serving_arrangement.Host(
                worker,
                filling_steps.SERVICE,
                WORKER_MILLICORES,
                commands.Resources(int(free) * 1000, 1000, 0),
                (),
                "r",
                {image: images.count(image) for image in images},
            )
        )
        context.tasks_by_worker[worker] = [
            serving_arrangement.MovableTask(
                model.TaskId(f"{number}.{index}"),
                model.JobId(f"{number}.{index}"),
                filling_steps.SERVICE,
                _step(image, 1),
            )
            for index, image in enumerate(images)
        ]


@when(
    "the best move from the first is sought, where {alike} bear the same"
    " filling images"
)
def step_best_plan(context: Any, alike: str) -> None:
    pair = set() if alike == "no two" else set(alike.split(" and "))

    def compatibility(image: str, other: str) -> float:
        return float(image == other or {image, other} == pair)

    mixes = [
        serving_arrangement.Mix(host, compatibility) for host in context.hosts
    ]
    context.plan = serving_arrangement.best_plan(
        mixes[0], mixes, context.tasks_by_worker
    )


@then("the plan is {plan}")
def step_plan(context: Any, plan: str) -> None:
    transfers = context.plan.transfers if context.plan else ()
    found = " ".join(
        f"{item.item.spec.image}{item.source}>{item.target}"
        for item in transfers
    )
    assert (found or "nothing") == plan, found


# Orders to the workers.


class _Cluster:
    """Two or three workers with serving tasks of the images `a` and `b`."""

    def __init__(self) -> None:
        self.harness = filling_steps.DispatcherHarness()
        self.tasks_by_worker: dict[str, list[model.TaskId]] = {
            "w0": [],
            "w1": [],
        }
        self.percent_by_task: dict[model.TaskId, int] = {}
        self.draining: set[str] = set()
        self.service_by_worker: dict[str, model.ServiceName] = {}
        self.labels_by_worker: dict[str, tuple[str, ...]] = {}
        self.incarnation_by_worker: dict[str, int] = {}
        self.millicores_by_worker: dict[str, int] = {}
        self.run_job("same", _step("a", 3), ["w0"] * 3)
        self.run_job("others", _step("b", 2), ["w1"] * 2)

    def run_job(
        self, job: str, step: model.StepSpec, workers: list[str]
    ) -> None:
        """Submits a job and assigns its first tasks to the given workers."""
        self.harness.submit(job, step)
        for index, worker in enumerate(workers):
            task = model.format_task_id(model.JobId(job), 0, 0, index)
            self.harness.commit(
                log_commands.AssignTasks(
                    (
                        log_commands.Assignment(
                            task, 1, model.WorkerId(worker), 1
                        ),
                    )
                )
            )
            self.tasks_by_worker[worker].append(task)
            self.percent_by_task[task] = 100

    def move_by_hand(
        self, now: float, task: model.TaskId, source: str, target: str
    ) -> None:
        """Ends a task's first run as lost and assigns the second one."""
        self.tasks_by_worker[source].remove(task)
        self.report(now, source)
        end = log_commands.RunEnd(
            task, 1, model.WorkerId(source), 1, model.Outcome.LOST
        )
        self.harness.commit(log_commands.EndRuns((end,)))
        assignment = log_commands.Assignment(task, 2, model.WorkerId(target), 1)
        self.harness.commit(log_commands.AssignTasks((assignment,)))

    def learn_effects(self) -> None:
        """Makes each image bear another one of two filling images."""
        self.harness.dispatcher.interference.effects.inherit(
            log_commands.InterferenceEffect(filling, serving, loss, 20)
            for filling, serving, loss in (
                ("f", "a", 0.0),
                ("f", "b", 20.0),
                ("g", "a", 20.0),
                ("g", "b", 0.0),
            )
        )

    def report(self, now: float, worker: str) -> requests.Orders:
        """Reports a worker's tasks; returns the orders that answer it."""
        running = tuple(
            requests.ActiveRun(task, 1, "", self.percent_by_task[task], 50)
            for task in self.tasks_by_worker[worker]
        )
        return self.harness.report(
            now,
            worker,
            self.millicores_by_worker.get(worker, WORKER_MILLICORES),
            running,
            draining=worker in self.draining,
            # Long enough that nothing is stopped because the worker leaves.
            drain_time_left_ms=DRAIN_TIME_LEFT_MS,
            incarnation=self.incarnation_by_worker.get(worker, 1),
            labels=self.labels_by_worker.get(worker, ()),
            service=self.service_by_worker.get(worker, filling_steps.SERVICE),
        )

    def stops(self, now: float) -> list[model.TaskId]:
        """Starts due moves; returns the tasks that are ordered to stop."""
        for worker in self.tasks_by_worker:
            self.report(now, worker)
        self.harness.dispatcher.move_serving_tasks(now, self.harness.state)
        return [
            stop.task
            for worker in self.tasks_by_worker
            for stop in self.report(now, worker).stops
        ]


@given(
    "a worker with 3 serving tasks of one image and 1 of another, and a worker"
    " with room beside 2 tasks of the other"
)
def step_mixed_worker(context: Any) -> None:
    context.cluster = _Cluster()
    context.cluster.learn_effects()


@given("all tasks are at work")
def step_all_at_work(context: Any) -> None:
    context.cluster.run_job("odd", _step("b", 1), ["w0"])


@given("another task of its job waits")
def step_another_waits(context: Any) -> None:
    context.cluster.run_job("odd", _step("b", 2), ["w0"])


@given("another task of its job is starting")
def step_another_starts(context: Any) -> None:
    context.cluster.run_job("odd", _step("b", 2), ["w0", "w1"])
    starting = model.TaskId("odd.0.0.1")
    context.cluster.percent_by_task[starting] = 20


@given("its job must not lose a task")
def step_no_task_to_lose(context: Any) -> None:
    step = _step("b", 1, max_unavailable=0)
    context.cluster.run_job("odd", step, ["w0"])


@given("no filling task has run")
def step_no_filling(context: Any) -> None:
    context.cluster = _Cluster()
    context.cluster.run_job("odd", _step("b", 1), ["w0"])


@given("the other worker is draining")
def step_other_drains(context: Any) -> None:
    context.cluster.run_job("odd", _step("b", 1), ["w0"])
    context.cluster.draining.add("w1")


@given("the other worker serves another service")
def step_other_service(context: Any) -> None:
    context.cluster.run_job("odd", _step("b", 1), ["w0"])
    context.cluster.service_by_worker["w1"] = model.ServiceName("other")


@given("the other worker is at the limit of its step")
def step_other_at_limit(context: Any) -> None:
    step = _step("b", 2, max_per_worker=1)
    context.cluster.run_job("odd", step, ["w0", "w1"])


@given("another task of its job on a worker of its own, and one with room")
def step_further_workers(context: Any) -> None:
    cluster = context.cluster
    cluster.tasks_by_worker.update({"w2": [], "w3": []})
    cluster.run_job("odd", _step("b", 2, max_per_worker=1), ["w0", "w2"])
    cluster.run_job("roomy", _step("a", 2), ["w3"] * 2)


@when("moves are due")
def step_moves_due(context: Any) -> None:
    context.stops = context.cluster.stops(CHECK_AT_S)


@then("{count:d} tasks are ordered to stop")
def step_stop_count(context: Any, count: int) -> None:
    assert len(context.stops) == count, context.stops


@when("the load is logged")
def step_load_logged(context: Any) -> None:
    harness = context.cluster.harness
    for worker in context.cluster.tasks_by_worker:
        context.cluster.report(CHECK_AT_S, worker)
    harness.dispatcher.log_load(CHECK_AT_S, harness.state)
    context.load = harness.decision_buffer.take()[-1]


@then("it shows {images:g} images per worker")
def step_images_per_worker(context: Any, images: float) -> None:
    found = context.load.fields["images_per_worker"]
    assert found == images, context.load


@when("a task has stopped to move and {event}")
def step_stopped(context: Any, event: str) -> None:
    cluster = context.cluster
    assert cluster.stops(CHECK_AT_S) == [MOVED_TASK]
    cluster.tasks_by_worker["w0"].remove(MOVED_TASK)
    end = requests.EndedRun(1, MOVED_TASK, 1, model.Outcome.STOPPED, "")
    running = tuple(
        requests.ActiveRun(task, 1, "", 100, 50)
        for task in cluster.tasks_by_worker["w0"]
    )
    cluster.harness.report(
        STOPPED_AT_S, "w0", WORKER_MILLICORES, running, (end,)
    )
    assigned_at = ASSIGNED_AT_S
    if event == "its new worker drains":
        cluster.draining.add("w1")
        cluster.report(ASSIGNED_AT_S, "w1")
    elif event == "its new worker is silent":
        assigned_at = SILENT_UNTIL_S
        cluster.report(assigned_at, "w3")
    elif event == "its job is cancelled":
        cluster.harness.commit(log_commands.CancelJob(model.JobId("odd")))
    elif event == "the other task was put there":
        other = model.TaskId("odd.0.0.1")
        cluster.move_by_hand(STOPPED_AT_S, other, "w2", "w1")
    context.assigned = cluster.harness.plan(assigned_at)


@when("the task has stalled and the order to stop it is lost")
def step_stop_lost(context: Any) -> None:
    cluster = context.cluster
    cluster.percent_by_task[MOVED_TASK] = 50
    orders = [cluster.report(now / 10, "w0") for now in range(10, 53)]
    assert [stop.task for stop in orders[-1].stops] == [MOVED_TASK]


@when("it becomes ready")
def step_becomes_ready(context: Any) -> None:
    context.cluster.percent_by_task[MOVED_TASK] = 100


@then("the task at work is not told to stop")
def step_ready_task_not_stopped(context: Any) -> None:
    assert not context.cluster.report(6.4, "w0").stops


@then("it is assigned to {worker}")
def step_new_worker(context: Any, worker: str) -> None:
    found = [item.worker for item in context.assigned] or ["nobody"]
    assert found == [worker], context.assigned


# What callers get on a simulated load.


@when(
    "the load {load} is run with seeds {first:d} to {last:d}, with and without"
    " moves of serving tasks"
)
def step_run_with_and_without(
    context: Any, load: str, first: int, last: int
) -> None:
    scenario = load_scenarios.SCENARIO_BY_NAME[load]

    def run_all() -> list[load_simulation.Results]:
        return [
            load_simulation.Simulation(scenario, seed).run()
            for seed in range(first, last + 1)
        ]

    context.results_with = run_all()
    with mock.patch.object(serving_moves.ServingMover, "run"):
        context.results_without = run_all()


def _mean_credit(results: list[load_simulation.Results], kind: str) -> float:
    return statistics.fmean(item.by_kind[kind].credit_share for item in results)


@then("filling jobs earn more credit with moves")
def step_filling_gains(context: Any) -> None:
    with_moves = _mean_credit(context.results_with, "filling")
    without_moves = _mean_credit(context.results_without, "filling")
    assert with_moves > without_moves, (with_moves, without_moves)


@then("urgent jobs earn at least {factor:g} times as much credit with moves")
def step_urgent_keeps(context: Any, factor: float) -> None:
    with_moves = _mean_credit(context.results_with, "urgent")
    without_moves = _mean_credit(context.results_without, "urgent")
    assert with_moves >= factor * without_moves, (with_moves, without_moves)


@then("serving tasks are within their target for at least as long with moves")
def step_serving_keeps(context: Any) -> None:
    with_moves, without_moves = (
        statistics.fmean(item.serving_in_target_share for item in results)
        for results in (context.results_with, context.results_without)
    )
    assert with_moves >= without_moves, (with_moves, without_moves)
