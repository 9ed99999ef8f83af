"""Steps on the racks of colocated steps."""

from typing import Any

from behave import given
from behave import then
from behave import when
import msgspec

from features.steps import filling_steps
from fulmarrouter import commands
from fulmarrouter.cluster import log_commands
from fulmarrouter.cluster import model
from fulmarrouter.cluster import requests

QUEUE = msgspec.structs.replace(filling_steps.QUEUE, max_attempts=3)
RACKS = ("r0", "r1")
WORKERS_PER_RACK = 3
WORKER_MILLICORES = 16_000
TASK_MILLICORES = 4000
TASK_S = 0.5
TURN_S = 0.1
PLAYED_S = 14.0
ROUNDS_PER_TURN = 3


class _Racks:
    """Workers on two racks, whose finite tasks take TASK_S.

    Attributes:
        first_start_s: When the first task of the step started.
        racks_at_once: Largest number of racks on which tasks ran together.
        most_running: Largest number of tasks that ran together.
    """

    def __init__(self, used_millicores: int) -> None:
        self.harness = filling_steps.DispatcherHarness()
        self.now = 0.0
        self.first_start_s: float | None = None
        self.racks_at_once = 0
        self.most_running = 0
        self.fails_next = False
        self._rack_by_worker = {
            f"w{rack}{number}": rack
            for rack in RACKS
            for number in range(WORKERS_PER_RACK)
        }
        self._used_millicores = used_millicores // WORKERS_PER_RACK
        self._started_at: dict[str, tuple[str, int, float]] = {}
        self._end_count = dict.fromkeys(self._rack_by_worker, 0)
        self._is_finite = True

    def use_capacity(self) -> None:
        """Fills each worker with a task that lasts."""
        for worker in self._rack_by_worker:
            self._report(worker)
        if not self._used_millicores:
            return
        step = model.StepSpec(
            len(self._rack_by_worker),
            commands.Resources(self._used_millicores, 10, 0),
            runs_until_cancelled=True,
            max_per_worker=1,
        )
        self.harness.submit("0b", step)
        assert len(self.harness.plan(0.0)) == len(self._rack_by_worker)

    def play(self, step: model.StepSpec) -> None:
        """Submits a step and runs the workers for PLAYED_S."""
        self._is_finite = not (step.gang or step.runs_until_cancelled)
        spec = model.JobSpec("payload", (step,))
        self.harness.commit(
            log_commands.SubmitJob(model.JobId("0a"), QUEUE, spec, 0)
        )
        submitted_at = self.now
        while self.now < submitted_at + PLAYED_S:
            self.now += TURN_S
            for worker in self._rack_by_worker:
                self._report(worker)
            for _ in range(ROUNDS_PER_TURN):
                self.now += 0.001
                for item in self.harness.plan(self.now):
                    self._started_at[item.task] = (
                        item.worker,
                        item.run,
                        self.now,
                    )
                    if self.first_start_s is None:
                        self.first_start_s = self.now - submitted_at
            workers = {worker for worker, _, _ in self._started_at.values()}
            racks = {self._rack_by_worker[worker] for worker in workers}
            self.racks_at_once = max(self.racks_at_once, len(racks))
            self.most_running = max(self.most_running, len(self._started_at))

    def _report(self, worker: str) -> None:
        running, ended = [], []
        for task, (host, run, started_at) in list(self._started_at.items()):
            if host != worker:
                continue
            name = model.TaskId(task)
            if not self._is_finite or self.now < started_at + TASK_S:
                percent = int(100 * (self.now - started_at)) % 100
                running.append(requests.ActiveRun(name, run, "", percent))
                continue
            outcome = model.Outcome.DONE
            if self.fails_next:
                outcome = model.Outcome.FAILED
                self.fails_next = False
            self._end_count[worker] += 1
            number = self._end_count[worker]
            ended.append(requests.EndedRun(number, name, run, outcome, ""))
            del self._started_at[task]
        self.harness.report(
            self.now,
            worker,
            WORKER_MILLICORES,
            tuple(running),
            tuple(ended),
            rack=self._rack_by_worker[worker],
        )


@given("two racks of which {cores:d} cores each are in use")
def step_racks(context: Any, cores: int) -> None:
    context.racks = _Racks(cores * 1000)
    context.racks.use_capacity()


@when(
    "a colocated step of {tasks:d} {kind} tasks with 4 cores each waits and its"
    " first run fails"
)
def step_colocated_step_fails(context: Any, tasks: int, kind: str) -> None:
    context.racks.fails_next = True
    step_colocated_step(context, tasks, kind)


@when("a colocated step of {tasks:d} {kind} tasks that need a label waits")
def step_labelled_step(context: Any, tasks: int, kind: str) -> None:
    step_colocated_step(context, tasks, kind, "label")


@when("a colocated step of {tasks:d} {kind} tasks with 4 cores each waits")
def step_colocated_step(
    context: Any, tasks: int, kind: str, required_label: str = ""
) -> None:
    context.tasks = tasks
    context.racks.play(
        model.StepSpec(
            tasks,
            commands.Resources(TASK_MILLICORES, 10, 0),
            500,
            colocate=True,
            gang=kind == "gang",
            runs_until_cancelled=kind == "lasting",
            required_label=required_label,
        )
    )


@then("its first tasks start after {least:f} to {most:f} s")
def step_first_start(context: Any, least: float, most: float) -> None:
    first = context.racks.first_start_s
    assert first is not None and least <= first <= most, first


@then("none of its tasks starts")
def step_none_starts(context: Any) -> None:
    assert context.racks.first_start_s is None


@then("all of them are done, never on two racks at a time")
def step_done_on_one_rack(context: Any) -> None:
    job = context.racks.harness.state.job_by_id[model.JobId("0a")]
    assert job.phase is model.JobPhase.DONE, job
    assert context.racks.racks_at_once == 1, context.racks.racks_at_once


@then("all of them run together")
def step_run_together(context: Any) -> None:
    assert context.racks.most_running == context.tasks


@then("all of them run together on one rack")
def step_run_together_on_rack(context: Any) -> None:
    step_run_together(context)
    assert context.racks.racks_at_once == 1, context.racks.racks_at_once
