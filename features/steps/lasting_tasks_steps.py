"""Steps on lasting tasks that fail, and on the probation of their worker."""

from typing import Any

from behave import given
from behave import then
from behave import when

from features.steps import filling_steps
from fulmarrouter import commands
from fulmarrouter.cluster import model
from fulmarrouter.cluster import requests

WORKER = "w"
FULL_WORKERS = ("f1", "f2")
MILLICORES = 16_000
NEEDS = commands.Resources(1000, 10, 0)
FAILURE_INTERVAL_S = 4.0
# From when on a run that has been told to start is at work.
STARTUP_S = 0.3


class _Worker:
    """The only worker with room.

    Attributes:
        started_at: When each run on it has started.
        waiting_since: Since when each lasting job has had no run.
        longest_wait_s: Longest time for which a job had none.
    """

    def __init__(self) -> None:
        self.harness = filling_steps.DispatcherHarness()
        self.now = 0.0
        self.runs: dict[model.TaskId, int] = {}
        self.started_at: dict[model.TaskId, float] = {}
        self.ends: list[requests.EndedRun] = []
        self.waiting_since: dict[model.TaskId, float] = {}
        self.longest_wait_s = 0.0

    def pass_time(self, seconds: float, is_starting: bool = False) -> None:
        """Reports for some time; with `is_starting` no run gets to work."""
        until = self.now + seconds
        while self.now < until:
            self.now += 0.1
            self.harness.plan(self.now)
            # With one of three workers, a probation isn't ignored as a common fault.
            for full_worker in FULL_WORKERS:
                self.harness.report(self.now, full_worker, 0)
            orders = self.harness.report(
                self.now,
                WORKER,
                MILLICORES,
                tuple(
                    requests.ActiveRun(
                        task, run, "", self._percent(task, is_starting)
                    )
                    for task, run in self.runs.items()
                ),
                tuple(self.ends),
            )
            self.ends = []
            for start in orders.starts:
                self.runs[start.task] = start.run
                self.started_at[start.task] = self.now
                since = self.waiting_since.pop(start.task, self.now)
                self.longest_wait_s = max(self.longest_wait_s, self.now - since)

    def _percent(self, task: model.TaskId, is_starting: bool) -> int:
        elapsed_s = self.now - self.started_at[task]
        if is_starting or elapsed_s < STARTUP_S:
            return min(99, int(50 * elapsed_s / FAILURE_INTERVAL_S))
        return 100

    def fail(self, task: model.TaskId) -> None:
        """Ends a run with the next report."""
        run = self.runs.pop(task)
        number = self.harness.dispatcher.fleet.view_by_id[
            model.WorkerId(WORKER)
        ].acknowledged_end_number + len(self.ends)
        self.ends.append(
            requests.EndedRun(number + 1, task, run, model.Outcome.FAILED, "")
        )
        self.waiting_since[task] = self.now


@given("a worker that runs {jobs:d} lasting jobs, and no other with room")
def step_lasting_jobs(context: Any, jobs: int) -> None:
    worker = context.worker = _Worker()
    worker.pass_time(0.5)
    step = model.StepSpec(1, NEEDS, 400, runs_until_cancelled=True)
    for number in range(jobs):
        worker.harness.submit(f"{number}a", step)
    worker.pass_time(1.0)
    assert len(worker.runs) == jobs


@when("one of them fails every 4 s, {moment}, {times:d} times")
def step_fail_in_turn(context: Any, moment: str, times: int) -> None:
    worker = context.worker
    is_starting = moment == "before it is at work"
    tasks = sorted(worker.runs)
    # Those that run are at work; each later one fails while it starts up.
    for number in range(times):
        task = tasks[number % len(tasks)]
        if task in worker.runs:
            worker.fail(task)
        worker.pass_time(FAILURE_INTERVAL_S, is_starting)
    worker.pass_time(10.0)


@then("each is running again within {seconds:f} s")
def step_running_again(context: Any, seconds: float) -> None:
    worker = context.worker
    assert not worker.waiting_since, worker.waiting_since
    assert worker.longest_wait_s <= seconds, worker.longest_wait_s


@when("{tasks} fail on it")
def step_fail_on_it(context: Any, tasks: str) -> None:
    worker = context.worker
    lasting = sorted(worker.runs)[:2]
    if tasks == "two ordinary jobs":
        for job in ("x1", "x2"):
            worker.harness.submit(job, model.StepSpec(1, NEEDS, 1000))
        worker.pass_time(0.5)
        failing = [
            model.format_task_id(model.JobId(job), 0, 0, 0)
            for job in ("x1", "x2")
        ]
    elif tasks == "two lasting jobs that were starting up":
        # Their first runs were at work; the next ones are not.
        for task in lasting:
            worker.fail(task)
        worker.pass_time(0.4, is_starting=True)
        failing = lasting
    else:
        failing = lasting
    for task in failing:
        worker.fail(task)
    worker.pass_time(0.1)


@then("it is {state} for ordinary tasks")
def step_state(context: Any, state: str) -> None:
    worker = context.worker
    view = worker.harness.dispatcher.fleet.view_by_id[model.WorkerId(WORKER)]
    is_on_probation = view.worker_health.is_on_probation(worker.now)
    assert is_on_probation == (state == "on probation")
