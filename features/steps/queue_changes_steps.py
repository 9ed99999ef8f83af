"""Steps on queues that change while work of them waits or runs."""

from collections.abc import Sequence
from typing import Any

from behave import given
from behave import then
from behave import when
import msgspec

from features.steps import filling_steps
from fulmarrouter import commands
from fulmarrouter.cluster import log_commands
from fulmarrouter.cluster import model
from fulmarrouter.cluster import queue_lengths
from fulmarrouter.cluster import requests
from fulmarrouter.cluster import snapshots

JOB = model.JobId("0a")
MILLICORES = 8000
QUEUE = model.Queue(
    model.QueueName("q"), "h", "/q/", model.ServiceName("s"), 3000
)
OTHER = msgspec.structs.replace(
    QUEUE, name=model.QueueName("r"), path_prefix="/r/"
)
NEEDS = commands.Resources(1000, 10, 0)
STEPS_BY_WORK: dict[str, tuple[model.StepSpec, ...]] = {
    "an ordinary task": (model.StepSpec(1, NEEDS, 1000),),
    "a gang": (model.StepSpec(3, NEEDS, 1000, gang=True),),
    "a colocated step": (model.StepSpec(3, NEEDS, 1000, colocate=True),),
    "a lasting task": (model.StepSpec(2, NEEDS, runs_until_cancelled=True),),
    "a filling task": (
        model.StepSpec(
            1,
            NEEDS,
            1000,
            fills=True,
            image="f",
        ),
    ),
    "a step with a limit per worker": (
        model.StepSpec(1, NEEDS, 1000, max_per_worker=1),
    ),
    "a job of two steps": (
        model.StepSpec(2, NEEDS, 1000),
        model.StepSpec(1, NEEDS, 1000, after=(0,)),
    ),
}


class _Cluster:
    """A leader with a worker of each service, and the operator's queues.

    Attributes:
        rooms: Free processor capacity of the worker of each service.
        running: Runs on each of them.
        started: Tasks that each has been told to start.
    """

    def __init__(self, *queues: model.Queue) -> None:
        self.harness = filling_steps.DispatcherHarness()
        self.now = 0.0
        self.version = 0
        self.queues = list(queues)
        self.rooms = {"s": 0, "t": 0}
        self.running: dict[str, dict[model.TaskId, int]] = {"s": {}, "t": {}}
        self.started: list[tuple[str, model.TaskId]] = []
        self.replace_queues()

    def replace_queues(self) -> None:
        self.version += 1
        configuration = model.Configuration(
            self.version, str(self.version), b"", tuple(self.queues), ()
        )
        self.harness.commit(log_commands.ReplaceConfiguration(configuration))

    def change(self, change: str) -> None:
        """Carries out a change, as one version of the configuration."""
        queue = self.queues[0] if self.queues else QUEUE
        service = model.ServiceName(change[-1])
        match change.split()[0]:
            case "sent":
                self.queues[0] = msgspec.structs.replace(queue, service=service)
            case "renamed":
                name = model.QueueName(f"{queue.name}2")
                self.queues[0] = msgspec.structs.replace(queue, name=name)
            case "moved":
                self.queues[0] = msgspec.structs.replace(
                    queue, path_prefix=f"{queue.path_prefix}2/"
                )
            case "removed":
                del self.queues[0]
            case "added":
                self.queues.append(
                    msgspec.structs.replace(QUEUE, service=service)
                )
            case "another":
                other = msgspec.structs.replace(
                    QUEUE, path_prefix="/new/", service=service
                )
                if "path" in change:
                    other = msgspec.structs.replace(
                        QUEUE, name=model.QueueName("new"), service=service
                    )
                self.queues.append(other)
        self.replace_queues()

    def submit(
        self,
        steps: tuple[model.StepSpec, ...],
        job: model.JobId = JOB,
        queue: model.Queue = QUEUE,
    ) -> None:
        spec = model.JobSpec("payload", steps)
        self.harness.commit(log_commands.SubmitJob(job, queue, spec, 0))

    def pass_time(self, seconds: float) -> None:
        """Lets the workers report; each starts what it is told to start."""
        until = self.now + seconds
        while self.now < until:
            self.now += 0.1
            self.harness.plan(self.now)
            for service, runs in self.running.items():
                self._report(service, runs)
            for command in self.harness.dispatcher.expire(
                self.now, self.harness.state
            ):
                self.harness.commit(command)

    def _report(self, service: str, runs: dict[model.TaskId, int]) -> None:
        if self.rooms[service] < 0:
            return
        orders = self.harness.report(
            self.now,
            f"w{service}",
            self.rooms[service],
            tuple(
                requests.ActiveRun(task, run, "", round(10 * self.now) % 100)
                for task, run in runs.items()
            ),
            service=model.ServiceName(service),
            rack=f"r{service}",
        )
        assert not orders.stops, orders
        for start in orders.starts:
            runs[start.task] = start.run
            self.started.append((service, start.task))

    def end_runs(self, outcome: model.Outcome) -> None:
        """Ends all runs of the worker of service s."""
        ends = tuple(
            log_commands.RunEnd(task, run, model.WorkerId("ws"), 1, outcome)
            for task, run in self.running["s"].items()
        )
        self.harness.commit(log_commands.EndRuns(ends))
        self.running["s"] = {}

    def change_leader(self, is_earlier: bool) -> None:
        """Starts another leader from a snapshot of the state."""
        if is_earlier:
            for job in self.harness.state.job_by_id.values():
                job.changed_queue = None
        data = snapshots.encode(self.harness.state)
        self.harness.state = snapshots.decode(data)
        self.harness.dispatcher.start_term(self.now, self.harness.state)


@given("a queue of service s, and nothing of it that waits")
def step_queue(context: Any) -> None:
    context.cluster = _Cluster(QUEUE)
    context.cluster.pass_time(0.5)


@given("a queue of service s, and {work} of it that waits")
def step_waiting_work(context: Any, work: str) -> None:
    step_queue(context)
    context.cluster.submit(STEPS_BY_WORK[work])
    context.cluster.pass_time(1.0)
    assert not context.cluster.started


@given("a queue of service s, and {work} of it that runs")
def step_running_work(context: Any, work: str) -> None:
    step_queue(context)
    cluster = context.cluster
    cluster.rooms["s"] = MILLICORES
    cluster.submit(STEPS_BY_WORK[work])
    cluster.pass_time(1.0)
    context.running = dict(cluster.running["s"])
    assert len(context.running) == STEPS_BY_WORK[work][0].count


@given("a queue of service s, and a colocated step of it of which a part runs")
def step_partly_running(context: Any) -> None:
    step_queue(context)
    cluster = context.cluster
    cluster.rooms["s"] = 2000
    cluster.submit(STEPS_BY_WORK["a colocated step"])
    cluster.pass_time(4.0)
    assert len(cluster.running["s"]) == 2, cluster.running


@when("the queue is {changes}")
def step_change(context: Any, changes: str) -> None:
    for change in changes.split(", "):
        if change != "kept":
            context.cluster.change(change)


@when(
    "the leader changes {when_changed} the queue is sent to t, with a snapshot"
    " of {version}"
)
def step_change_with_leader(
    context: Any, when_changed: str, version: str
) -> None:
    cluster = context.cluster
    is_earlier = version == "earlier version"
    if when_changed == "before":
        cluster.change_leader(is_earlier)
    cluster.change("sent to t")
    if when_changed == "after":
        cluster.change_leader(is_earlier)


@when("a submission that was proposed before is applied")
def step_late_submission(context: Any) -> None:
    context.cluster.submit(STEPS_BY_WORK["an ordinary task"])


@then("all its tasks are started on the worker of service {service}")
def step_started_on(context: Any, service: str) -> None:
    cluster = context.cluster
    cluster.started = []
    for name in cluster.rooms:
        if cluster.rooms[name] >= 0:
            cluster.rooms[name] = MILLICORES
    # A colocated step or a gang may wait for a rack of its own at first.
    cluster.pass_time(4.0)
    step = cluster.harness.state.job_by_id[JOB].steps_by_occurrence[0][0]
    tasks = {
        (service, model.format_task_id(JOB, 0, 0, index))
        for index in range(len(step.tasks))
    }
    assert set(cluster.started) == tasks, cluster.started


@then("it goes on")
def step_goes_on(context: Any) -> None:
    cluster = context.cluster
    cluster.rooms["t"] = MILLICORES
    cluster.started = []
    cluster.pass_time(2.0)
    assert not cluster.started, cluster.started
    assert cluster.running["s"] == context.running


@when("its worker is lost")
def step_worker_lost(context: Any) -> None:
    context.cluster.rooms["s"] = -1
    context.cluster.running["s"] = {}
    context.cluster.pass_time(6.0)


@when("its run is broken")
def step_run_broken(context: Any) -> None:
    context.cluster.end_runs(model.Outcome.GANG_BROKEN)


@then("the other part is started on the worker of service t")
def step_other_part(context: Any) -> None:
    cluster = context.cluster
    cluster.rooms["t"] = MILLICORES
    cluster.started = []
    cluster.pass_time(4.0)
    assert [service for service, _ in cluster.started] == ["t"], cluster.started


def _submit_to_both(context: Any, queues: Sequence[model.Queue]) -> None:
    """Submits a job to each of two queues, whose services have no room."""
    cluster = context.cluster = _Cluster(*queues)
    cluster.pass_time(0.5)
    for job, queue in zip(("0a", "0b"), queues, strict=True):
        cluster.submit(
            STEPS_BY_WORK["an ordinary task"], model.JobId(job), queue
        )
    cluster.pass_time(0.5)


def _with_fields(**fields: str) -> list[model.Queue]:
    """Returns the queues q and r, each with its value of the given fields."""
    return [
        msgspec.structs.replace(
            queue,
            **{name: int(text.split()[index]) for name, text in fields.items()},
        )
        for index, queue in enumerate((QUEUE, OTHER))
    ]


@given("jobs of the queues q and r that wait, with priorities {values}")
def step_priorities(context: Any, values: str) -> None:
    _submit_to_both(context, _with_fields(priority=values))


@when("the priorities become {values}")
def step_change_priorities(context: Any, values: str) -> None:
    context.cluster.queues = _with_fields(priority=values)
    context.cluster.replace_queues()


@given("jobs of the queues q and r that wait, with targets of {values} ms")
def step_targets(context: Any, values: str) -> None:
    _submit_to_both(context, _with_fields(target_ms=values))


@when("the targets become {values} ms, and {seconds:d} s pass")
def step_change_targets(context: Any, values: str, seconds: int) -> None:
    context.cluster.queues = _with_fields(target_ms=values)
    context.cluster.replace_queues()
    context.cluster.pass_time(seconds)


@then("the job of {name} is started first")
def step_started_first(context: Any, name: str) -> None:
    cluster = context.cluster
    cluster.rooms["s"] = NEEDS.millicores
    cluster.pass_time(1.0)
    job = {"q": "0a", "r": "0b"}[name]
    assert [task for _, task in cluster.started] == [f"{job}.0.0.0"]


@given("a queue that allows {count:d} attempts, and a job of it")
def step_attempts(context: Any, count: int) -> None:
    queue = msgspec.structs.replace(QUEUE, max_attempts=count)
    cluster = context.cluster = _Cluster(queue)
    cluster.pass_time(0.5)
    cluster.submit(STEPS_BY_WORK["an ordinary task"], queue=queue)


@when(
    "it allows {count:d} attempts and the job's task fails {failures:d} times"
)
def step_fail(context: Any, count: int, failures: int) -> None:
    cluster = context.cluster
    cluster.queues[0] = msgspec.structs.replace(QUEUE, max_attempts=count)
    cluster.replace_queues()
    cluster.rooms["s"] = MILLICORES
    for _ in range(failures):
        while not cluster.running["s"]:
            cluster.pass_time(0.1)
        cluster.end_runs(model.Outcome.FAILED)


@then("that job is {phase}")
def step_job_phase(context: Any, phase: str) -> None:
    job = context.cluster.harness.state.job_by_id[JOB]
    assert job.phase is model.JobPhase[phase], job.phase


@then("{count:d} jobs of {name} wait")
def step_count(context: Any, count: int, name: str) -> None:
    harness = context.cluster.harness
    found = queue_lengths.count_waiting_jobs(
        harness.state, harness.dispatcher.fleet, model.QueueName(name)
    )
    assert found == count, found


@given("jobs of two queues of service s that are both named q")
def step_same_name(context: Any) -> None:
    same_name = msgspec.structs.replace(OTHER, name=QUEUE.name)
    _submit_to_both(context, (QUEUE, same_name))


@when("the queue of {prefix} is sent to t")
def step_send_one(context: Any, prefix: str) -> None:
    cluster = context.cluster
    cluster.queues = [
        msgspec.structs.replace(queue, service=model.ServiceName("t"))
        if queue.path_prefix == prefix
        else queue
        for queue in cluster.queues
    ]
    cluster.replace_queues()


@then("the job of {prefix} is started on t, and the other one on s")
def step_started_by_prefix(context: Any, prefix: str) -> None:
    cluster = context.cluster
    cluster.rooms = dict.fromkeys(cluster.rooms, MILLICORES)
    cluster.pass_time(1.0)
    jobs = ("0a", "0b") if prefix == "/q/" else ("0b", "0a")
    expected = {("t", f"{jobs[0]}.0.0.0"), ("s", f"{jobs[1]}.0.0.0")}
    assert set(cluster.started) == expected, cluster.started
