"""Steps on the size of the log between two snapshots."""

from typing import Any

from behave import given
from behave import then
from behave import when

from features.steps import cluster_steps
from fulmarrouter import consensus
from fulmarrouter import messages
from fulmarrouter.cluster import controller
from fulmarrouter.cluster import dispatcher
from fulmarrouter.cluster import log_commands
from fulmarrouter.cluster import model

KILOBYTE = 1000
MEGABYTE = 1000 * KILOBYTE
NOW = 10.0


@given("a keeper that leads alone")
def step_lone_leader(context: Any) -> None:
    replica = cluster_steps.leading_replica("a")
    context.keeper = controller.Controller(
        replica,
        controller.ControllerSettings(1, 8080),
        dispatcher.DispatchSettings(),
    )


@when("{changes:d} changes of a configuration of {kilobytes:d} KB are applied")
def step_apply_changes(context: Any, changes: int, kilobytes: int) -> None:
    keeper = context.keeper
    replica = keeper.replica
    context.snapshots = 0
    context.most_uncovered = context.most_held = 0
    for version in range(1, changes + 1):
        configuration = model.Configuration(
            version, str(version), b"x" * (kilobytes * KILOBYTE), (), ()
        )
        command = log_commands.ReplaceConfiguration(configuration)
        replica.propose(log_commands.encode(command))
        replica.flush(NOW)
        replica.take_output()
        keeper.apply_committed(NOW, 0, replica.log.last_index)
        log = replica.log
        uncovered = log.range(log.snapshot.last_index + 1, log.last_index)
        held = log.range(log.base_index + 1, log.last_index)
        context.most_uncovered = max(context.most_uncovered, _size(uncovered))
        context.most_held = max(context.most_held, _size(held))
        if keeper.take_snapshot() is not None:
            context.snapshots += 1


def _size(entries: list[messages.Entry]) -> int:
    return sum(len(entry.data) for entry in entries)


@then("{count:d} snapshots were taken")
def step_snapshots(context: Any, count: int) -> None:
    assert context.snapshots == count, context.snapshots


@then("its log never held more than {limit:d} MB that no snapshot covers")
def step_uncovered(context: Any, limit: int) -> None:
    assert context.most_uncovered <= limit * MEGABYTE, context.most_uncovered


@then("it never held more than {limit:d} MB in memory")
def step_held(context: Any, limit: int) -> None:
    assert context.most_held <= limit * MEGABYTE, context.most_held


# What is sent ahead.

PEER = "b"


@given(
    "a leader with {entries:d} entries of {kilobytes:d} KB that a peer lacks"
)
def step_leader_ahead(context: Any, entries: int, kilobytes: int) -> None:
    replica = context.replica = cluster_steps.leading_replica(f"a,{PEER},c")
    for _ in range(entries):
        replica.propose(b"x" * (kilobytes * KILOBYTE))
    # What was sent until now had no entries, or the first ones as a probe.
    replica.flush(NOW)
    replica.take_output()


def _take_sent(replica: consensus.Replica) -> list[messages.Entry]:
    return [
        entry
        for item in replica.take_output().before_sync
        if item.to == PEER and isinstance(item.message, messages.Append)
        for entry in item.message.entries
    ]


@when("the peer has acknowledged the first entry and is sent more for 10 s")
def step_send_ahead(context: Any) -> None:
    replica = context.replica
    cluster_steps.acknowledge(replica, NOW, PEER, 2)
    sent = _take_sent(replica)
    for tenth in range(1, 101):
        now = NOW + tenth / 10
        replica.tick(now)
        replica.flush(now)
        sent += _take_sent(replica)
    context.sent_bytes = _size(sent)


@then("it has been sent at most {limit:d} MB")
def step_sent(context: Any, limit: int) -> None:
    assert 0 < context.sent_bytes <= limit * MEGABYTE, context.sent_bytes


@when("the peer acknowledges all that it is sent")
def step_acknowledge_all(context: Any) -> None:
    replica = context.replica
    context.held_index = 2
    for _ in range(10_000):
        cluster_steps.acknowledge(replica, NOW, PEER, context.held_index)
        replica.flush(NOW)
        sent = _take_sent(replica)
        if not sent:
            return
        assert sent[0].index <= context.held_index + 1, sent[0].index
        context.held_index = max(context.held_index, sent[-1].index)


@then("it holds the whole log")
def step_holds_all(context: Any) -> None:
    assert context.held_index == context.replica.log.last_index
