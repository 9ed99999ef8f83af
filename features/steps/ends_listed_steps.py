"""Steps on reports that don't list all ends, at the limit and beyond it."""

import json
from typing import Any

from behave import given
from behave import then
from behave import when
from fleet_adapter import worker_format

from features.steps import platform_formats_steps
from features.steps import reporting_steps
from fulmarrouter import commands
from fulmarrouter.cluster import log_commands
from fulmarrouter.cluster import model
from fulmarrouter.cluster import requests

LISTED_ENDS = 500
MILLICORES = 64_000
TURNS = 30
WORKER, OTHER = "w", "other"
BORN_MS = 1_700_000_000_000
JOB = model.JobId("00000000000000d1")
LATE_JOB = model.JobId("00000000000000d2")
# Longer than a new leader waits before it takes a run for absent, and than an answer
# to an earlier incarnation is valid.
SETTLED_S = 3.5
# After this time a report proves that answers to an earlier incarnation are invalid.
ANSWER_VALID_S = 1.6
REPORT_INTERVAL_S = 0.1


class _Workers:
    """Two workers that report to a leader in the platform's format.

    Attributes:
        runs: Runs in progress on the first worker.
        ends: Its ends that have not been acknowledged.
        started: Tasks that it, or the other one, has been told to start, in order.
    """

    def __init__(self, leader: reporting_steps.SingleVoterLeader) -> None:
        self.leader = leader
        self.born_ms = BORN_MS
        self.is_draining = False
        self.runs: dict[str, int] = {}
        self.ends: list[list[Any]] = []
        self.started: list[tuple[str, str]] = []
        self.capacity_by_worker = {WORKER: MILLICORES, OTHER: 0}
        self._last_end = 0
        self._sequence = 0
        self._started_at = leader.now

    def restart(self) -> None:
        self.born_ms += 1
        self.runs, self.ends, self._last_end = {}, [], 0
        self._started_at = self.leader.now

    def end_all(self) -> None:
        for task, run in self.runs.items():
            self._last_end += 1
            self.ends.append([self._last_end, task, run, "done", ""])
        self.runs = {}

    def pass_time(self, seconds: float) -> None:
        """Lets both report for some time."""
        until = self.leader.now + seconds
        while self.leader.now < until:
            self.report(WORKER)
            self.report(OTHER)
            until_next = self.leader.now + REPORT_INTERVAL_S
            while self.leader.now < min(until_next, until):
                self.leader.turn()

    def report(self, worker: str) -> requests.Orders:
        """Sends a report; the worker obeys the answer."""
        self._sequence += 1
        is_first = worker == WORKER
        heartbeat = platform_formats_steps.heartbeat()
        heartbeat.update(
            state="draining" if is_first and self.is_draining else "ready",
            sequence=self._sequence,
            born=self.born_ms if is_first else BORN_MS,
            clock_ms=1 + int(1000 * (self.leader.now - self._started_at)),
            capacity={
                "cpu": self.capacity_by_worker[worker],
                "mem_mb": 100_000,
                "gpu": 0,
            },
            running=[[*item, "", 50] for item in self.runs.items()],
            ended=self.ends[:LISTED_ENDS],
        )
        if not is_first:
            heartbeat.update(running=[], ended=[])
        body = json.dumps(heartbeat).encode()
        report = worker_format.decode_heartbeat(worker, body)
        leader = self.leader
        leader.controller.on_request(
            leader.now, 0, reporting_steps.CLIENT, report
        )
        orders, _ = leader.wait_for_answer(TURNS)
        assert orders is not None
        if is_first:
            acknowledged = orders.acknowledged_end_number
            self.ends = [item for item in self.ends if item[0] > acknowledged]
        self.started += [(worker, item.task) for item in orders.starts]
        return orders

    def take_started(self) -> list[tuple[str, str]]:
        started, self.started = self.started, []
        return started

    def job_phase(self, job: model.JobId) -> model.JobPhase:
        return self.leader.controller.state.job_by_id[job].phase


@when("a heartbeat with {ends:d} ends is decoded for its list")
def step_decode_ends(context: Any, ends: int) -> None:
    heartbeat = platform_formats_steps.heartbeat()
    heartbeat["ended"] = [
        [number, f"0a.0.0.{number}", 1, "done", ""]
        for number in range(1, ends + 1)
    ]
    body = json.dumps(heartbeat).encode()
    context.report = worker_format.decode_heartbeat(WORKER, body)


@then("it says that {text}")
def step_says(context: Any, text: str) -> None:
    expected = text == "more ends may follow"
    assert context.report.has_more_ends == expected


def _submit(context: Any, job: model.JobId, tasks: int) -> None:
    queue = model.Queue(
        model.QueueName("q"), "h", "/q/", model.ServiceName("s1"), 3000
    )
    step = model.StepSpec(tasks, commands.Resources(10, 1, 0), 3000)
    command = log_commands.SubmitJob(
        job, queue, model.JobSpec("payload", (step,)), 0
    )
    replica = context.workers.leader.controller.replica
    replica.propose(log_commands.encode(command))


@given(
    "a leader, and a worker that is told to start {tasks:d} tasks beside an idle one"
)
def step_told_to_start(context: Any, tasks: int) -> None:
    leader = reporting_steps.SingleVoterLeader()
    workers = context.workers = _Workers(leader)
    workers.pass_time(SETTLED_S)
    _submit(context, JOB, tasks)
    while len(workers.started) < tasks:
        workers.pass_time(REPORT_INTERVAL_S)
    # The other worker has room from now on.
    workers.capacity_by_worker[OTHER] = MILLICORES
    context.tasks = [task for _, task in workers.take_started()]
    assert len(set(context.tasks)) == tasks


@given("a leader, and a worker that runs {tasks:d} tasks beside an idle one")
def step_runs(context: Any, tasks: int) -> None:
    step_told_to_start(context, tasks)
    context.workers.runs = dict.fromkeys(context.tasks, 1)
    context.workers.pass_time(SETTLED_S)


@given("another task that the worker has not been told of")
def step_late_task(context: Any) -> None:
    workers = context.workers
    workers.capacity_by_worker[OTHER] = 0
    workers.report(OTHER)
    _submit(context, LATE_JOB, 1)
    for _ in range(TURNS):
        workers.leader.turn()
    workers.capacity_by_worker[OTHER] = MILLICORES
    job = workers.leader.controller.state.job_by_id[LATE_JOB]
    assert job.steps_by_occurrence[0][0].tasks[0].worker == WORKER


@when("they all end while the worker is {state}")
def step_end_all(context: Any, state: str) -> None:
    workers = context.workers
    workers.is_draining = state == "draining"
    workers.report(WORKER)
    workers.end_all()
    workers.take_started()
    _count_reports(context)


@when(
    "they all end, and a job of {tasks:d} tasks is submitted after the first"
    " report"
)
def step_submit_meanwhile(context: Any, tasks: int) -> None:
    workers = context.workers
    workers.report(WORKER)
    workers.end_all()
    workers.report(OTHER)
    workers.report(WORKER)
    _submit(context, LATE_JOB, tasks)
    for _ in range(TURNS):
        workers.leader.turn()
    job = workers.leader.controller.state.job_by_id[LATE_JOB]
    step = job.steps_by_occurrence[0][0]
    context.chosen = {task.worker for task in step.tasks}


@then("the tasks of that job are assigned to {chosen}")
def step_assigned_to(context: Any, chosen: str) -> None:
    allowed = {OTHER} if chosen == "the idle one" else {WORKER, OTHER}
    assert context.chosen <= allowed, context.chosen
    assert context.chosen


@when("its next incarnation takes the order and all tasks end there")
def step_restart(context: Any) -> None:
    workers = context.workers
    workers.restart()
    workers.report(WORKER)
    workers.runs = dict.fromkeys(context.tasks, 1)
    workers.pass_time(ANSWER_VALID_S)
    workers.end_all()
    workers.take_started()
    _count_reports(context)


def _count_reports(context: Any) -> None:
    workers = context.workers
    context.reports = 0
    context.phases = []
    while workers.job_phase(JOB) is model.JobPhase.ACTIVE:
        context.reports += 1
        assert context.reports < 100
        workers.pass_time(REPORT_INTERVAL_S)
        if len(workers.ends) >= LISTED_ENDS:
            assert (OTHER, f"{LATE_JOB}.0.0.0") not in workers.started
    workers.pass_time(SETTLED_S)
    context.started = workers.take_started()


@then("none of them is started again")
def step_none_again(context: Any) -> None:
    again = [item for item in context.started if item[1].startswith(JOB)]
    assert not again, (len(again), again[:3])


@then("all are done after at most {reports:d} reports")
def step_all_done(context: Any, reports: int) -> None:
    assert context.workers.job_phase(JOB) is model.JobPhase.DONE
    assert context.reports <= reports, context.reports
    assert not context.workers.ends


@then(
    "that task is started on the idle one, once the worker has listed all ends"
)
def step_late_started(context: Any) -> None:
    started = set(context.started)
    assert started == {(OTHER, f"{LATE_JOB}.0.0.0")}, started
