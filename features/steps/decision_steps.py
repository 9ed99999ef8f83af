"""Steps for tickets, the run ledger, jobs, placement and routing."""

import random
from typing import Any

import behave
import hypothesis
from hypothesis import strategies

from features.steps import core_steps
from fulmarrouter import codes
from fulmarrouter import commands
from fulmarrouter import ids
from fulmarrouter import leader
from fulmarrouter import requests
from fulmarrouter import retry_budgets
from fulmarrouter import routing
from fulmarrouter import slot_allocation
from fulmarrouter import state as state_lib
from fulmarrouter import state_machine


class StateMachine:
    """Applies commands to a state in log order, as a keeper does."""

    def __init__(self) -> None:
        self.state = state_lib.State()
        self.index = 0

    def apply(self, command: commands.AnyCommand) -> commands.Result:
        self.index += 1
        return state_machine.apply(self.state, self.index, command)


def _deadline_ticket(
    number: int, service: str, milliseconds: int
) -> commands.SubmitTicket:
    item = commands.ServicePolicy(name=service, deadline_ms=milliseconds)
    return commands.SubmitTicket(number, (item,))


@behave.given("the accepted tickets {before}")
def accept_earlier_ticket(context: Any, before: str) -> None:
    context.state_machine = StateMachine()
    if before != "none":
        number, service, deadline_ms = before.split()
        context.state_machine.apply(
            _deadline_ticket(int(number), service, int(deadline_ms))
        )


@behave.when(
    'ticket {number:d} sets the deadline of "{service}" to {deadline_ms:d}'
)
def submit_ticket(
    context: Any, number: int, service: str, deadline_ms: int
) -> None:
    context.result = context.state_machine.apply(
        _deadline_ticket(number, service, deadline_ms)
    )


@behave.then("the result is {name}")
def result_code_is(context: Any, name: str) -> None:
    assert context.result.code is codes.Code[name], context.result


def _record_intent(
    session: int, nonce: str, digest: str = "same"
) -> commands.RecordIntent:
    return commands.RecordIntent("key", digest, session, nonce, "p1", 0)


@behave.given("a key that was {before}")
def record_earlier_key(context: Any, before: str) -> None:
    machine = StateMachine()
    context.state_machine = machine
    context.session = machine.apply(
        commands.OpenSession("e1", "n", "d", 0)
    ).index
    if before == "never seen":
        return
    machine.apply(_record_intent(context.session, "first"))
    states = {
        "answered": commands.RunState.DONE,
        "answered, answer not kept": commands.RunState.DONE,
        "not run": commands.RunState.NOT_RUN,
        "left with an unknown outcome": commands.RunState.UNKNOWN,
    }
    if before in states:
        answer = (
            commands.Answer(200, (), b"x") if before == "answered" else None
        )
        machine.apply(
            commands.RecordOutcome("key", "first", states[before], answer, 0)
        )
    elif before == "started by a session that has ended":
        machine.apply(commands.EndSession(context.session, True, 0))
        context.session = machine.apply(
            commands.OpenSession("e2", "n", "d", 0)
        ).index


@behave.when("the key is sent again with {body}")
def resend_key(context: Any, body: str) -> None:
    digest = "same" if body == "the same body" else "other"
    context.result = context.state_machine.apply(
        _record_intent(context.session, "second", digest)
    )


def _announce_worker(
    name: str, millicores: int = 4000, incarnation: int = 1
) -> Any:
    capacity = commands.Resources(millicores, 64_000, 0)
    return commands.AnnounceWorker(name, incarnation, capacity)


def _job_spec(
    name: str, millicores: int = 1000, **options: Any
) -> commands.JobSpec:
    needs = commands.Resources(millicores, 100, 0)
    return commands.JobSpec(name, "team", needs=needs, **options)


@behave.given("a job that is {kind} and runs on a worker")
def run_job_on_worker(context: Any, kind: str) -> None:
    machine = StateMachine()
    context.state_machine = machine
    machine.apply(_announce_worker("w1"))
    spec = _job_spec(
        "j",
        idempotent=kind == "idempotent",
        checkpoints=kind == "checkpointing",
    )
    machine.apply(commands.SubmitJob(spec, 0))
    machine.apply(commands.GrantLease("j", "w1", 1, 1, 0))


def _report_task(
    machine: StateMachine, event: commands.TaskEvent, checkpoint: int = 0
) -> None:
    machine.apply(commands.ReportTask("j", 1, "w1", event, checkpoint, 0, 0))


@behave.when("the worker could not start the job")
def report_not_started(context: Any) -> None:
    _report_task(context.state_machine, commands.TaskEvent.NOT_STARTED)


@behave.when("the worker reports {event}")
def report_outcome(context: Any, event: str) -> None:
    _report_task(context.state_machine, commands.TaskEvent.STARTED)
    events = {
        "success": commands.TaskEvent.SUCCEEDED,
        "failure": commands.TaskEvent.FAILED,
    }
    _report_task(context.state_machine, events[event])


@behave.when("the worker stops responding")
def expire_lease(context: Any) -> None:
    reason = commands.EndReason.EXPIRED
    context.state_machine.apply(commands.EndLease("j", 1, reason, 0))


@behave.when("the worker restarts")
def restart_worker(context: Any) -> None:
    context.state_machine.apply(_announce_worker("w1", incarnation=2))


@behave.when("the job is evicted {stop_point}")
def evict_job(context: Any, stop_point: str) -> None:
    _report_task(context.state_machine, commands.TaskEvent.STARTED)
    context.state_machine.apply(
        commands.RequestStop("j", 1, commands.StopReason.EVICT, 0)
    )
    checkpoint = 3 if stop_point == "at a checkpoint" else 0
    _report_task(context.state_machine, commands.TaskEvent.STOPPED, checkpoint)


@behave.when("the job is cancelled")
def cancel_job(context: Any) -> None:
    context.state_machine.apply(commands.CancelJobs(("j",), 0))
    _report_task(context.state_machine, commands.TaskEvent.STOPPED)


@behave.when("the job is cancelled and the worker stops responding")
def cancel_job_and_expire_lease(context: Any) -> None:
    context.state_machine.apply(commands.CancelJobs(("j",), 0))
    expire_lease(context)


@behave.then("the job is {phase}")
def job_phase_is(context: Any, phase: str) -> None:
    job = context.state_machine.state.job_by_id["j"]
    assert job.phase is state_lib.JobPhase(phase), job.phase
    worker = context.state_machine.state.worker_by_id["w1"]
    assert worker.committed == commands.Resources(), worker.committed


class Fleet:
    """A leader with workers that finish each task within one heartbeat.

    Args:
        workers: Number of workers.
        failing_workers: Number of workers on which every task fails.
        millicores: CPU capacity of each worker.
    """

    def __init__(
        self, workers: int, failing_workers: int, millicores: int = 4000
    ) -> None:
        self.machine = StateMachine()
        self.leader = leader.Leader(leader.LeaseSettings(), random.Random(7))
        self.leader.start_term(0.0, self.machine.state)
        self.now = 0.0
        self.failing_workers = {
            f"w{number}" for number in range(failing_workers)
        }
        self.failing_jobs: set[str] = set()
        self.millicores = millicores
        self.workers = [f"w{number}" for number in range(workers)]
        self.reports_tasks = True

    def run(self, seconds: float) -> None:
        until = self.now + seconds
        while self.now < until:
            self.now += 0.25
            for worker in self.workers:
                self._heartbeat(worker)
            for command in self.leader.tick(self.now, 0, self.machine.state):
                self.machine.apply(command)

    def _heartbeat(self, worker: str) -> None:
        announced = self.machine.state.worker_by_id.get(worker)
        reports = []
        for job, epoch in dict(announced.jobs if announced else {}).items():
            event = commands.TaskEvent.SUCCEEDED
            if worker in self.failing_workers or job in self.failing_jobs:
                event = commands.TaskEvent.FAILED
            if self.reports_tasks:
                reports.append(requests.TaskReport(job, epoch, event))
        request = requests.WorkerHeartbeat(
            worker,
            1,
            commands.Resources(self.millicores, 64_000, 0),
            reports=tuple(reports),
        )
        for command in self.leader.on_worker_heartbeat(
            self.now, 0, self.machine.state, request
        ):
            self.machine.apply(command)


@behave.given(
    "{workers:d} workers of which {failing_workers:d} fail every task"
)
def start_fleet(context: Any, workers: int, failing_workers: int) -> None:
    context.fleet = Fleet(workers, failing_workers)


@behave.when(
    "{jobs:d} idempotent jobs of which {failing_jobs:d} always fail are run"
)
def run_jobs(context: Any, jobs: int, failing_jobs: int) -> None:
    names = [f"j{number}" for number in range(jobs)]
    context.fleet.failing_jobs = set(names[:failing_jobs])
    context.fleet.run(1.0)
    for name in names:
        spec = _job_spec(name, idempotent=True)
        context.fleet.machine.apply(commands.SubmitJob(spec, 0))
    context.fleet.run(60.0)


@behave.then("{done:d} jobs are done and {quarantined:d} are quarantined")
def jobs_done(context: Any, done: int, quarantined: int) -> None:
    phases = [
        job.phase for job in context.fleet.machine.state.job_by_id.values()
    ]
    assert phases.count(state_lib.JobPhase.DONE) == done, phases
    assert phases.count(state_lib.JobPhase.QUARANTINED) == quarantined, phases


@behave.then("at most {limit:d} workers are on probation")
def on_probation(context: Any, limit: int) -> None:
    workers = context.fleet.machine.state.worker_by_id.values()
    assert sum(worker.on_probation for worker in workers) <= limit


@behave.given("a worker with {millicores:d} millicores and a quota of {quota}")
def add_worker_and_quota(context: Any, millicores: int, quota: str) -> None:
    context.state_machine = StateMachine()
    context.state_machine.apply(_announce_worker("w1", millicores))
    if quota != "none":
        limit = commands.Resources(int(quota), 64_000, 0)
        item = commands.TeamQuota(name="team", limit=limit)
        context.state_machine.apply(commands.SubmitTicket(1, (item,)))


@behave.when("a job that needs {millicores:d} millicores is submitted")
def submit_sized_job(context: Any, millicores: int) -> None:
    spec = _job_spec("j", millicores)
    context.result = context.state_machine.apply(commands.SubmitJob(spec, 0))


@behave.given("a worker that is full of {count:d} checkpointing jobs")
def fill_worker(context: Any, count: int) -> None:
    context.fleet = Fleet(1, 0)
    context.fleet.reports_tasks = False
    context.fleet.run(1.0)
    for number in range(count):
        spec = _job_spec(f"j{number}", checkpoints=True)
        context.fleet.machine.apply(commands.SubmitJob(spec, 0))
    context.fleet.run(2.0)
    phases = [
        job.phase for job in context.fleet.machine.state.job_by_id.values()
    ]
    assert phases == [state_lib.JobPhase.LEASED] * count, phases


@behave.when("an urgent job as large as {size:d} of them is submitted")
def submit_urgent_job(context: Any, size: int) -> None:
    spec = _job_spec("urgent", 1000 * size, priority=commands.Priority.URGENT)
    context.fleet.machine.apply(commands.SubmitJob(spec, 0))
    context.fleet.run(1.0)


@behave.then(
    "{count:d} jobs are asked to stop and the urgent job is granted next"
)
def urgent_granted(context: Any, count: int) -> None:
    machine = context.fleet.machine
    stopping = [
        job
        for job in machine.state.job_by_id.values()
        if job.phase is state_lib.JobPhase.STOPPING
    ]
    assert len(stopping) == count, stopping
    for job in stopping:
        machine.apply(
            commands.ReportTask(
                job.spec.job, 1, "w0", commands.TaskEvent.STOPPED, 5, 0, 0
            )
        )
    context.fleet.run(1.0)
    urgent = machine.state.job_by_id["urgent"]
    assert urgent.phase is state_lib.JobPhase.LEASED, urgent


@behave.when(
    "{count:d} jobs that need a whole worker are queued before a small one"
)
def queue_large_jobs(context: Any, count: int) -> None:
    for number in range(count):
        spec = _job_spec(f"large{number}", 4000)
        context.fleet.machine.apply(commands.SubmitJob(spec, 0))
    context.fleet.machine.apply(commands.SubmitJob(_job_spec("small"), 0))
    context.fleet.run(1.0)


@behave.when("the first running job succeeds")
def finish_first_job(context: Any) -> None:
    succeeded = commands.TaskEvent.SUCCEEDED
    report = commands.ReportTask("j0", 1, "w0", succeeded, 0, 0, 0)
    context.fleet.machine.apply(report)
    context.fleet.run(2.0)


@behave.then("the small job is granted")
def small_job_granted(context: Any) -> None:
    phase = context.fleet.machine.state.job_by_id["small"].phase
    assert phase is state_lib.JobPhase.LEASED, phase


@behave.given("a worker with a service and {count:d} checkpointing batch jobs")
def start_service_and_jobs(context: Any, count: int) -> None:
    machine = StateMachine()
    machine.apply(_announce_worker("w0", 64_000))
    specs = [_job_spec("service", kind=commands.JobKind.SERVICE)]
    specs += [_job_spec(f"j{item}", checkpoints=True) for item in range(count)]
    for spec in specs:
        machine.apply(commands.SubmitJob(spec, 0))
        machine.apply(commands.GrantLease(spec.job, "w0", 1, 1, 0))
        started = commands.TaskEvent.STARTED
        machine.apply(commands.ReportTask(spec.job, 1, "w0", started, 0, 0, 0))
    context.state_machine = machine
    context.leader = leader.Leader(leader.LeaseSettings(), random.Random(7))
    context.leader.start_term(0.0, machine.state)


@behave.when(
    "the service reports {inflation:g} times its baseline latency for {seconds:d} seconds"
)
def report_latency_inflation(
    context: Any, inflation: float, seconds: int
) -> None:
    machine = context.state_machine
    # The first report sets the baseline; the later ones are inflated.
    for second in range(seconds + 1):
        tail_ms = 10.0 if second == 0 else 10.0 * inflation
        usage = requests.UsageReport("service", 1, tail_ms=tail_ms)
        capacity = commands.Resources(64_000, 64_000, 0)
        request = requests.WorkerHeartbeat("w0", 1, capacity, usage=(usage,))
        now = float(second)
        context.leader.on_worker_heartbeat(now, 0, machine.state, request)
        for command in context.leader.tick(now, 0, machine.state):
            machine.apply(command)
    context.orders = context.leader.worker_orders(machine.state, request)


@behave.then(
    "{throttled:d} jobs are throttled, {checkpointed:d} asked for a checkpoint and"
    " {stopped:d} to stop"
)
def orders_match(
    context: Any, throttled: int, checkpointed: int, stopped: int
) -> None:
    orders = context.orders
    seen = (len(orders.throttle), len(orders.checkpoint), len(orders.stop))
    assert seen == (throttled, checkpointed, stopped), seen


@behave.when("{examples:d} random sets of demands are divided")
def set_example_count(context: Any, examples: int) -> None:
    context.examples = examples


@behave.then("no slot is left over or given twice")
def slots_divided_exactly(context: Any) -> None:
    @core_steps.derandomized(context.examples)
    @hypothesis.given(
        total=strategies.integers(0, 500),
        demands=strategies.lists(
            strategies.floats(0, 1e4), min_size=1, max_size=12
        ),
    )
    def check(total: int, demands: list[float]) -> None:
        shares = slot_allocation.divide_slots(total, dict(enumerate(demands)))
        assert sum(shares.values()) == total
        assert min(shares.values()) >= 0

    check()


@behave.when(
    "{count:d} requests all fail and are retried with a budget of {percent:d} percent"
)
def retry_failed_requests(context: Any, count: int, percent: int) -> None:
    budget = retry_budgets.RetryBudget()
    context.retries = 0
    for _ in range(count):
        budget.deposit(percent)
        context.retries += budget.try_withdraw()


@behave.then("at most {limit:d} retries are admitted")
def few_retries_admitted(context: Any, limit: int) -> None:
    assert 0 < context.retries <= limit, context.retries


def _create_router(
    endpoints: int, slots: int, queue_limit: int
) -> routing.Router:
    router = routing.Router(random.Random(3))
    views = tuple(
        requests.EndpointView(
            f"p{number}",
            1,
            "booking",
            "127.0.0.1",
            1,
            "",
            True,
            slots,
            64,
            1,
            slots,
        )
        for number in range(endpoints)
    )
    policy = commands.ServicePolicy(name="booking", queue_limit=queue_limit)
    router.open_session(ids.SessionId(1))
    router.apply_view(
        0.0, requests.EntryView(3000, "v", True, 1, views, (policy,), ())
    )
    return router


def _slot_request(slot_request_id: int, caller: str) -> routing.SlotRequest:
    return routing.SlotRequest(slot_request_id, "booking", caller, 2.0)


@behave.when(
    "one caller sends {count:d} requests to a full service with a queue of {limit:d}"
)
def fill_queue(context: Any, count: int, limit: int) -> None:
    router = _create_router(1, 1, limit)
    router.admit(0.0, _slot_request(0, "first"))
    context.router = router
    context.results = [
        router.admit(0.0, _slot_request(number, "greedy"))
        for number in range(1, count + 1)
    ]


@behave.then("{count:d} of them are queued")
def requests_queued(context: Any, count: int) -> None:
    assert context.results.count(None) == count
    refused = [item for item in context.results if item is not None]
    assert {item.code for item in refused} == {codes.Code.CALLER_SHARE_EXCEEDED}


@behave.then("another caller's request is still queued")
def other_caller_queued(context: Any) -> None:
    assert context.router.admit(0.0, _slot_request(999, "modest")) is None


@behave.when("all {endpoints:d} endpoints of a service fail {failures:d} times")
def fail_endpoints(context: Any, endpoints: int, failures: int) -> None:
    router = _create_router(endpoints, 4, 10)
    context.router = router
    context.endpoints = endpoints
    for number in range(endpoints * failures):
        assignment = router.admit(0.0, _slot_request(number, "c"))
        assert isinstance(assignment, routing.Assignment)
        router.release(0.0, assignment, routing.AttemptOutcome.LOST)


@behave.then("at most {limit:d} endpoints are ejected")
def few_endpoints_ejected(context: Any, limit: int) -> None:
    assigned_endpoints = set()
    for number in range(200):
        assignment = context.router.admit(
            0.0, _slot_request(10_000 + number, "c")
        )
        assert isinstance(assignment, routing.Assignment)
        assigned_endpoints.add(assignment.endpoint)
        context.router.release(0.0, assignment, routing.AttemptOutcome.UNUSED)
    assert len(assigned_endpoints) >= context.endpoints - limit, (
        assigned_endpoints
    )
