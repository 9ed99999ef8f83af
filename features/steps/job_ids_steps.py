"""Steps on paths and job IDs, and on stored jobs with names that are no IDs."""

import pathlib
import tempfile
from typing import Any

from behave import given
from behave import then
from behave import when
import msgspec

from features.steps import filling_steps
from features.steps import platform_steps
from features.steps import reporting_steps
from fulmarrouter import commands
from fulmarrouter import ids
from fulmarrouter import messages
from fulmarrouter import raft_log
from fulmarrouter import read_index
from fulmarrouter import storage
from fulmarrouter.cluster import identity
from fulmarrouter.cluster import log_commands
from fulmarrouter.cluster import model
from fulmarrouter.cluster import requests
from fulmarrouter.cluster import snapshots
from fulmarrouter.cluster import state as state_lib

TURNS = 20
REPORTS = 20
GOOD_JOB = model.JobId("00000000000000b1")
REQUEST_BY_VERB: dict[str, Any] = {
    "submit": lambda host, path: requests.SubmitJob(host, path, _spec("job")),
    "show": requests.ShowTarget,
    "cancel": requests.CancelJob,
}


def _spec(kind: str) -> model.JobSpec:
    step = filling_steps.ordinary_step(1000)
    match kind:
        case "gang":
            needs = commands.Resources(1000, 10, 0)
            return model.JobSpec("", (model.StepSpec(2, needs, gang=True),))
        case "timed job":
            return model.JobSpec("", (step,), repetitions=2, interval_ms=1)
    return model.JobSpec("payload", (step,))


def _split(location: str) -> tuple[str, str]:
    host, separator, path = location.rpartition(":")
    return (host, path) if separator else ("h", location)


def _replace_queues(context: Any, locations: str, name: str = "q") -> None:
    queues = []
    for location in locations.split():
        host, prefix = _split(location)
        queues.append(
            model.Queue(
                model.QueueName(f"{name} {location}"),
                host,
                prefix,
                filling_steps.SERVICE,
                3000,
            )
        )
    context.version += 1
    configuration = model.Configuration(
        context.version, str(context.version), b"", tuple(queues), ()
    )
    _send(context, requests.ReplaceConfiguration(configuration))


def _send(context: Any, request: requests.AnyRequest) -> None:
    leader = context.leader
    leader.controller.on_request(leader.now, 0, reporting_steps.CLIENT, request)
    context.replies = [
        item.reply for _ in range(TURNS) for item in leader.turn()
    ]


@given(
    "a leader whose jobs have IDs of {digits:d} hexadecimal digits, and the"
    " queues {locations}"
)
def step_leader_with_queues(context: Any, digits: int, locations: str) -> None:
    _start(context, digits)
    _replace_queues(context, locations)


def _start(context: Any, digits: int) -> None:
    context.leader = reporting_steps.SingleVoterLeader(job_id_hex_digits=digits)
    context.version = 0


@when("the queues are changed to {locations}")
def step_change_queues(context: Any, locations: str) -> None:
    _replace_queues(context, locations)


@when("the path {location} is sent to {verb:w} a job")
def step_request(context: Any, verb: str, location: str) -> None:
    _send(context, REQUEST_BY_VERB[verb](*_split(location)))


@when("{location} is sent to {verb:w} a job afterwards")
def step_request_afterwards(context: Any, location: str, verb: str) -> None:
    step_request(context, verb, location)


@when("{location} is sent to {verb:w} a job before the first one is committed")
def step_request_at_once(context: Any, location: str, verb: str) -> None:
    # Both are sent again to a leader that has applied neither.
    _start(context, 16)
    _replace_queues(context, "/a/ /b/")
    first = requests.SubmitJob("h", "/a/00000000000000a1", _spec("job"))
    leader = context.leader
    for number, request in enumerate(
        (first, REQUEST_BY_VERB[verb](*_split(location)))
    ):
        client = read_index.Client(ids.ConnectionId(1), ids.CallId(number))
        leader.controller.on_request(leader.now, 0, client, request)
    context.replies = [
        item.reply
        for _ in range(TURNS)
        for item in leader.turn()
        if item.client.call == 1
    ]


@then("the job {job} is active, of the queue {prefix}")
def step_active_job(context: Any, job: str, prefix: str) -> None:
    known = context.leader.controller.state.job_by_id[job]
    assert known.is_active
    assert known.newest_queue.path_prefix == prefix, known.newest_queue


@then("that is answered {answer:w}")
def step_answer(context: Any, answer: str) -> None:
    (reply,) = context.replies
    if isinstance(reply, requests.Refused):
        assert reply.code.name == answer, reply
    else:
        assert type(reply).__name__ == answer, reply


@given("a leader that starts with a {kind} named {name} in {place}")
def step_leader_with_stored_job(
    context: Any, kind: str, name: str, place: str
) -> None:
    command = log_commands.SubmitJob(
        model.JobId(name), filling_steps.QUEUE, _spec(kind), 0
    )
    if place == "its log":
        context.leader = reporting_steps.SingleVoterLeader([command])
        return
    state = state_lib.State()
    state.apply(1, command)
    context.leader = reporting_steps.SingleVoterLeader(
        state=state, job_id_hex_digits=16
    )


@when("{state} job is ended if it is to be, and its queue is {change}")
def step_rename_queue(context: Any, state: str, change: str) -> None:
    if state == "an ended":
        cancelling = requests.CancelJob("h", "/a/00000000000000a1")
        _send(context, cancelling)
    if "removed" in change:
        _replace_queues(context, "/b/")
    _replace_queues(context, "/a/", name="other")


@when("the queues exchange their names")
def step_exchange_names(context: Any) -> None:
    configuration = context.leader.controller.state.configuration
    first, second = configuration.queues
    context.version += 1
    exchanged = msgspec.structs.replace(
        configuration,
        version=context.version,
        digest="exchanged",
        queues=(
            msgspec.structs.replace(first, name=second.name),
            msgspec.structs.replace(second, name=first.name),
        ),
    )
    _send(context, requests.ReplaceConfiguration(exchanged))


@when("its callers send {verb:w} for the job named {name}")
def step_request_stored(context: Any, verb: str, name: str) -> None:
    configuration = model.Configuration(1, "1", b"", (filling_steps.QUEUE,), ())
    _send(context, requests.ReplaceConfiguration(configuration))
    prefix = filling_steps.QUEUE.path_prefix
    _send(context, REQUEST_BY_VERB[verb]("host", prefix + name))


@when("another job is submitted to it")
def step_submit_good_job(context: Any) -> None:
    leader = context.leader
    leader.submit(GOOD_JOB, 1000)
    context.started = []
    for _ in range(REPORTS):
        leader.report()
        orders, _ = leader.wait_for_answer(TURNS)
        assert orders is not None
        context.started += [item.task for item in orders.starts]


@then("the other job's task is started")
def step_good_job_started(context: Any) -> None:
    assert f"{GOOD_JOB}.0.0.0" in context.started, context.started


@then("the job named {name} is {phase}, and none of its tasks was started")
def step_bad_job(context: Any, name: str, phase: str) -> None:
    job = context.leader.controller.state.job_by_id[name]
    assert job.phase is model.JobPhase[phase], job
    assert not [
        task for task in context.started if not task.startswith(GOOD_JOB)
    ]


@given("a disk that holds a job named {name}")
def step_disk_with_job(context: Any, name: str) -> None:
    context.folder = pathlib.Path(tempfile.mkdtemp())
    member = commands.KeeperAddress(
        identity.load_or_create(context.folder),
        "127.0.1.1",
        platform_steps.PEER_PORT,
    )
    service = model.ServiceName("s1")  # That of the fake workers.
    queue = model.Queue(
        model.QueueName("r1"), "h.example", "/a/", service, 3000
    )
    state = state_lib.State()
    state.apply(
        1, log_commands.SubmitJob(model.JobId(name), queue, _spec("job"), 0)
    )
    disk = storage.Storage(context.folder)
    disk.load()
    membership = messages.Membership(voters=(member,))
    snapshot = raft_log.SnapshotData(1, 1, membership, snapshots.encode(state))
    disk.store_snapshot(snapshot, [])
    disk.close()


@given(
    "{disks:d} processes of a cluster with that disk and two others, and"
    " {others:d} without"
)
def step_start_on_disk(context: Any, disks: int, others: int) -> None:
    folders = [
        context.folder,
        *(pathlib.Path(tempfile.mkdtemp()) for _ in range(disks - 1)),
        *[None] * others,
    ]
    platform_steps.start_processes(context, folders, disks)
