"""Steps of cluster.feature: storage, gateway, membership and placement."""

import dataclasses
import os
import pathlib
import random
import tempfile
from typing import Any
from unittest import mock

from behave import given
from behave import then
from behave import when

from bench import load_scenarios
from bench import load_simulation
from features.support import recording_transport
from fulmarrouter import codes
from fulmarrouter import commands
from fulmarrouter import consensus
from fulmarrouter import ids
from fulmarrouter import messages
from fulmarrouter import raft_log
from fulmarrouter import storage as storage_lib
from fulmarrouter.cluster import dispatcher
from fulmarrouter.cluster import gateway as gateway_lib
from fulmarrouter.cluster import interference_model
from fulmarrouter.cluster import log_commands
from fulmarrouter.cluster import membership
from fulmarrouter.cluster import model
from fulmarrouter.cluster import requests
from fulmarrouter.cluster import state as state_lib

LOAD_SEED = 2
LOAD_SECONDS = 12.0

# Storage.


def _log_entry(index: int) -> messages.Entry:
    return messages.Entry(index, 1, messages.EntryKind.COMMAND, b"x" * 300)


@given("a data folder with {count:d} synced entries")
def step_data_folder(context: Any, count: int) -> None:
    context.folder = pathlib.Path(tempfile.mkdtemp())
    storage = storage_lib.Storage(context.folder)
    storage.load()
    for index in range(1, count + 1):
        storage.write(consensus.Output(entries=[_log_entry(index)]), [])
    storage.close()
    context.synced_bytes = (context.folder / "log").stat().st_size


@when(
    "{count:d} outputs are written with one sync and the file holds only"
    " {part} of them"
)
def step_write_and_tear(context: Any, count: int, part: str) -> None:
    storage = storage_lib.Storage(context.folder)
    synced_entries = len(storage.load().entries)
    outputs = [
        consensus.Output(entries=[_log_entry(synced_entries + number + 1)])
        for number in range(count)
    ]
    storage.write(storage_lib.merge_outputs(outputs), [])
    storage.close()
    path = context.folder / "log"
    data = bytearray(path.read_bytes())
    start = context.synced_bytes
    third_size = (len(data) - start) // 3
    third_by_part = {
        "the first third": 0,
        "the middle third": 1,
        "the last third": 2,
    }
    for number in range(3):
        if number != third_by_part[part]:
            third_start = start + number * third_size
            data[third_start : third_start + third_size] = bytes(third_size)
    path.write_bytes(data)
    os.sync()


@then("the log loads with the {count:d} synced entries")
def step_log_loads(context: Any, count: int) -> None:
    storage = storage_lib.Storage(context.folder)
    assert len(storage.load().entries) == count
    storage.close()


# Gateway.

LEADER_ADDRESS = "10.0.0.1:7000"
OTHER_ADDRESS = "10.0.0.2:7000"
OWN_ADDRESS = "10.0.0.9:7000"


@given("a gateway that {leader}")
def step_gateway(context: Any, leader: str) -> None:
    context.transport = recording_transport.RecordingTransport()
    context.gateway = gateway_lib.Gateway(
        context.transport, OWN_ADDRESS, (LEADER_ADDRESS,)
    )
    if leader == "knows a leader":
        context.gateway.learn_leader(0.0, LEADER_ADDRESS)
    context.replies = []


def _run_gateway(context: Any, start: float, end: float) -> None:
    now = start
    while now < end:
        context.gateway.tick(now)
        now += 0.05


def _last_submission(context: Any) -> tuple[str, ids.CallId]:
    for address, call, request in reversed(context.transport.sent):
        if isinstance(request, requests.SubmitJob):
            return address, call
    raise AssertionError("nothing was sent")


@when("a job is submitted and {happening}")
def step_submit(context: Any, happening: str) -> None:
    gateway = context.gateway
    request = requests.SubmitJob("host", "/q/1", model.JobSpec("payload", ()))
    gateway.forward_to_leader(0.0, request, 2.5, context.replies.append)
    match happening:
        case "the leader says that it does not lead":
            _, call = _last_submission(context)
            refused = requests.Refused(codes.Code.NOT_LEADER)
            gateway.on_reply(0.1, call, refused)
        case "the connection ends":
            gateway.on_closed(0.1, LEADER_ADDRESS)
        case "the process ends":
            gateway.fail_all()
            assert context.replies
        case "the queue is gone at a second attempt":
            gateway.on_closed(0.1, LEADER_ADDRESS)
            gateway.learn_leader(0.2, OTHER_ADDRESS)
            _, call = _last_submission(context)
            refused = requests.Refused(codes.Code.NO_SUCH_QUEUE)
            gateway.on_reply(0.3, call, refused)
        case "the queue does not exist":
            _, call = _last_submission(context)
            refused = requests.Refused(codes.Code.NO_SUCH_QUEUE)
            gateway.on_reply(0.1, call, refused)
        case "the leader accepts it":
            _, call = _last_submission(context)
            gateway.on_reply(0.1, call, requests.Accepted())
        case "the leader fails over and accepts it":
            gateway.on_closed(0.2, LEADER_ADDRESS)
            gateway.learn_leader(0.5, OTHER_ADDRESS)
            address, call = _last_submission(context)
            assert address == OTHER_ADDRESS
            gateway.on_reply(0.6, call, requests.Accepted())
    _run_gateway(context, 0.7, 3.0)


@then("the caller is told {answer}")
def step_caller_reply(context: Any, answer: str) -> None:
    (reply,) = context.replies
    if answer == "accepted":
        assert isinstance(reply, requests.Accepted)
        return
    assert reply.code is codes.Code[answer]


@then("the failed attempts are counted as {reasons}")
def step_retry_reasons(context: Any, reasons: str) -> None:
    counted = {reason.name for reason in context.transport.retries}
    expected = set() if reasons == "none" else {reasons}
    assert counted == expected, counted


# Membership.


def _address(keeper: str, host_suffix: str = "") -> commands.KeeperAddress:
    return commands.KeeperAddress(keeper, f"host-{host_suffix or keeper}", 7000)


def leading_replica(
    voters: str, learners: tuple[str, ...] = ()
) -> consensus.Replica:
    """Returns a leader; the first of the voters, which are separated by commas."""
    members = messages.Membership(
        tuple(_address(item) for item in voters.split(",")),
        tuple(_address(item) for item in learners),
    )
    saved = consensus.PersistentState(
        consensus.HardState(1, "a"),
        raft_log.SnapshotData(1, 1, members, b""),
        (),
    )
    replica = consensus.Replica(
        "a", saved, consensus.Timing(), random.Random(1), 0.0
    )
    replica.tick(10.0)
    for is_pre_vote in (True, False):
        for peer in voters.split(",")[1:]:
            vote = messages.VoteReply(2, granted=True, pre=is_pre_vote)
            replica.step(10.0, peer, vote)
    assert replica.is_leader
    return replica


def acknowledge(
    replica: consensus.Replica, now: float, peer: str, index: int
) -> None:
    """Has a peer acknowledge the entries up to an index."""
    replica.step(
        now,
        peer,
        messages.AppendReply(
            term=replica.term,
            success=True,
            match_index=index,
            prev_index=index,
            round=0,
            blank=False,
        ),
    )


def _candidate(keeper: str, host_suffix: str = "") -> membership.Candidate:
    return membership.Candidate(
        _address(keeper, host_suffix), "zone", True, False, 14.0, 14.0
    )


@given("a leading keeper with {voters} voters and {situation}")
def step_leading_keeper(context: Any, voters: str, situation: str) -> None:
    learners: tuple[str, ...] = ()
    candidates: list[membership.Candidate] = []
    reachable_peers = voters.split(",")[1:]
    match situation:
        case "a candidate b has announced itself":
            candidates = [_candidate("b")]
        case "a candidate d has announced itself":
            candidates = [_candidate("d")]
        case "a learner b is caught up":
            learners = ("b",)
        case "b lost its disk and has returned as x":
            candidates = [_candidate("x", "b")]
            reachable_peers = ["c"]
        case "an announcement of x, which b has replaced, is late":
            candidates = [_candidate("x", "b")]
        case "b is silent and a learner d is caught up":
            learners = ("d",)
            reachable_peers = ["c"]
        case "b is silent and nobody can replace it":
            reachable_peers = ["c"]
        case "b is silent and d votes in its place":
            reachable_peers = ["c", "d"]
        case "b and c are silent and d votes in the place of b":
            reachable_peers = ["d"]
        case "b and c are silent and d has just begun to vote":
            reachable_peers = []
        case "b has come back and d votes in its place":
            pass
    replica = leading_replica(voters, learners)
    for peer in (*reachable_peers, *learners):
        acknowledge(replica, 14.0, peer, replica.log.last_index)
    context.membership = membership.next_membership(
        14.0, replica, candidates, 3
    )


@then("the next membership has voters {voters} and learners {learners}")
def step_membership(context: Any, voters: str, learners: str) -> None:
    found = context.membership
    if voters == "unchanged":
        assert found is None, found
        return
    assert found is not None
    assert ",".join(item.keeper for item in found.voters) == voters
    names = ",".join(item.keeper for item in found.learners) or "-"
    assert names == learners


@when("{count:d} keepers announce themselves to the first seed, {kind}")
def step_keepers_announce(context: Any, count: int, kind: str) -> None:
    announcements = membership.Announcements()
    chosen_founders = set()
    now = 0.0
    while now < 10.0:
        for number in range(count):
            holds_log = kind == "one of them holding a log" and number == 0
            announcements.record(
                now,
                _address(f"k{number}"),
                "zone",
                not holds_log,
                kind != "blank after a loss of disks",
            )
            chosen_founders.add(announcements.choose_founder(now, 3))
        now += 0.25
    context.founders = chosen_founders - {""}


@then("{count:d} of them found a quorum")
def step_founders(context: Any, count: int) -> None:
    assert len(context.founders) == count, context.founders


# Workers on probation.

QUEUE = model.Queue(
    model.QueueName("q"), "host", "/q/", model.ServiceName("s"), 3000
)


def _submit(context: Any, job: str, count: int, serving: bool) -> None:
    step = model.StepSpec(
        count,
        commands.Resources(1000, 10, 0),
        1000,
        runs_until_cancelled=serving,
        max_per_worker=1 if serving else 0,
    )
    spec = model.JobSpec("payload", (step,))
    _commit(context, log_commands.SubmitJob(model.JobId(job), QUEUE, spec, 0))


def _commit(context: Any, command: log_commands.AnyCommand) -> None:
    context.index += 1
    context.state.apply(context.index, command)
    context.dispatcher.on_applied(context.state, context.index)


def _report_all(context: Any, now: float) -> None:
    context.sequence += 1
    for worker in context.worker_ids:
        key = state_lib.WorkerKey(worker, 1)
        runs = context.state.runs_by_worker.get(key, {})
        report = requests.WorkerReport(
            worker,
            1,
            context.sequence,
            model.ServiceName("s"),
            "",
            "z",
            worker,
            "r",
            (),
            commands.Resources(8000, 1000, 0),
            False,
            0,
            tuple(
                requests.ActiveRun(task, run, "", 100)
                for task, run in runs.items()
            ),
            (),
        )
        context.dispatcher.on_report(now, context.state, report)


@given("a cluster of {count:d} workers with serving tasks, one of them {state}")
def step_serving_workers(context: Any, count: int, state: str) -> None:
    context.state = state_lib.State()
    context.dispatcher = dispatcher.Dispatcher(dispatcher.DispatchSettings())
    context.dispatcher.start_term(0.0, context.state)
    context.index = 0
    context.sequence = 0
    context.worker_ids = [model.WorkerId(f"w{n}") for n in range(count)]
    _report_all(context, 0.0)
    _submit(context, "0a", count, serving=True)
    planned = context.dispatcher.planner.plan(0.1, context.state)
    _commit(context, planned)
    context.dispatcher.planner.on_assigned(planned)
    views = context.dispatcher.fleet.view_by_id
    workers_on_probation = [model.WorkerId("w0")]
    if state == "on probation with all others":
        workers_on_probation = context.worker_ids
    for worker in workers_on_probation:
        views[worker].worker_health.begin_probation(0.2)
    context.now = 20.0 if state == "on trial after probation" else 1.0


@when("{count:d} tasks wait")
def step_tasks_wait(context: Any, count: int) -> None:
    _report_all(context, context.now)
    _submit(context, "0b", count, serving=False)
    planned = context.dispatcher.planner.plan(context.now, context.state)
    context.assigned_workers = [item.worker for item in planned.assignments]


@then("that worker is assigned {count:d} of them")
def step_assigned_tasks(context: Any, count: int) -> None:
    assert context.assigned_workers.count("w0") == count, (
        context.assigned_workers
    )


# Simulated loads.


def _run_load(name: str) -> load_simulation.Results:
    scenario = dataclasses.replace(
        load_scenarios.SCENARIO_BY_NAME[name], seconds=LOAD_SECONDS
    )
    return load_simulation.Simulation(scenario, LOAD_SEED).run()


@when("the load {name} is run")
def step_run_load(context: Any, name: str) -> None:
    context.report = _run_load(name)
    context.load = name


@then("urgent jobs earn at least {share:f} of their credit")
def step_urgent_share(context: Any, share: float) -> None:
    assert context.report.by_kind["urgent"].credit_share >= share


@then(
    "serving tasks are below their target latency for at least {share:f} of the"
    " time"
)
def step_serving_share(context: Any, share: float) -> None:
    assert context.report.serving_in_target_share >= share, (
        context.report.serving_in_target_share
    )


def _prior_effect(
    self: interference_model.InterferenceModel, filling: str, serving: str
) -> float:
    del self, filling, serving
    return interference_model.PRIOR_EFFECT


@then(
    "filling jobs earn at least {gain:f} times what they earn without learned"
    " effects"
)
def step_filling_gain(context: Any, gain: float) -> None:
    with mock.patch.object(
        interference_model.InterferenceModel, "effect", _prior_effect
    ):
        without_effects = _run_load(context.load)
    earned = context.report.by_kind["filling"].credit_share
    assert earned >= gain * without_effects.by_kind["filling"].credit_share, (
        earned,
        without_effects.by_kind["filling"].credit_share,
    )
