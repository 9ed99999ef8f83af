"""Steps of handover.feature: replicas under load in simulated time."""

import heapq
import itertools
import random
from typing import Any

from behave import given
from behave import then
from behave import when

from fulmarrouter import commands
from fulmarrouter import consensus
from fulmarrouter import messages
from fulmarrouter import raft_log

TICK_S = 0.002
SYNC_S = 0.009
WARM_UP_S = 3.0
HISTORY_COUNT = 20


class _SimulatedKeeper:
    """A replica on a disk that needs SYNC_S for each sync.

    Attributes:
        sync_ends_at: When the sync in progress ends.
        queued: Outputs that wait for the next sync, each with the term and the
            last log index when it was taken.
        writing: Outputs that the sync in progress covers.
        held_messages: Messages of outputs without a sync of their own, to be
            sent after the syncs that were due before.
        committed: Data of the committed entries, in order.
    """

    def __init__(self, replica: consensus.Replica) -> None:
        self.replica = replica
        self.sync_ends_at = 0.0
        self.queued: list[tuple[consensus.Output, int, int]] = []
        self.writing: list[tuple[consensus.Output, int, int]] = []
        self.held_messages: list[consensus.Outbound] = []
        self.committed: list[bytes] = []


class _SimulatedCluster:
    """Keepers that replicate and transfer leadership; no process fails."""

    def __init__(self, voters: int, load: int, seed: int) -> None:
        self._rng = random.Random(seed)
        self._load = load
        self._event_numbers = itertools.count()
        self._events: list[tuple[float, int, Any]] = []
        self._commands_due = 0.0
        self._last_command = 0
        self.now = 0.0
        self.drops_transfer_requests = False
        members = messages.Membership(
            tuple(
                commands.KeeperAddress(f"k{n}", f"10.0.0.{n}", 7000)
                for n in range(voters)
            )
        )
        saved = consensus.PersistentState(
            consensus.HardState(),
            raft_log.SnapshotData(1, 1, members, b""),
            (),
        )
        self.keeper_by_name = {
            member.keeper: _SimulatedKeeper(
                consensus.Replica(
                    member.keeper,
                    saved,
                    consensus.Timing(),
                    random.Random(self._rng.random()),
                    0.0,
                )
            )
            for member in members.voters
        }
        self.run(WARM_UP_S)

    def leader(self) -> _SimulatedKeeper | None:
        """Returns the keeper that leads in the highest term, if any leads."""
        leaders = [
            item
            for item in self.keeper_by_name.values()
            if item.replica.leads_with_committed_entry
        ]
        return max(
            leaders, key=lambda keeper: keeper.replica.term, default=None
        )

    def propose(self, keeper: _SimulatedKeeper) -> bool:
        """Proposes a command; returns whether the keeper accepts it."""
        replica = keeper.replica
        if not replica.leads_with_committed_entry:
            return False
        self._last_command += 1
        return replica.propose(b"%d" % self._last_command) is not None

    def run(self, seconds: float) -> None:
        """Advances simulated time."""
        end = self.now + seconds
        while self.now < end:
            self.now += TICK_S
            while self._events and self._events[0][0] <= self.now:
                heapq.heappop(self._events)[2]()
            self._commands_due += self._load * TICK_S
            due, self._commands_due = divmod(self._commands_due, 1)
            for keeper in self.keeper_by_name.values():
                for _ in range(int(due)):
                    self.propose(keeper)
                self._advance(keeper)

    def _advance(self, keeper: _SimulatedKeeper) -> None:
        """Runs a keeper for one tick: timers, disk sync and messages."""
        replica = keeper.replica
        was_leader = replica.is_leader
        replica.tick(self.now)
        if replica.is_leader and not was_leader:
            replica.propose(b"elected")
        replica.flush(self.now)
        output = replica.take_output()
        for outbound in output.before_sync:
            self._send(replica.keeper, outbound)
        if output.needs_sync:
            output.after_sync = keeper.held_messages + output.after_sync
            keeper.held_messages = []
            last_index = replica.log.last_index
            keeper.queued.append((output, replica.term, last_index))
        else:
            keeper.held_messages += output.after_sync
        if keeper.writing and keeper.sync_ends_at <= self.now:
            for written, term, last_index in keeper.writing:
                for outbound in written.after_sync:
                    self._send(replica.keeper, outbound)
                if term == replica.term:
                    replica.mark_durable(last_index)
            keeper.writing = []
        if keeper.queued and not keeper.writing:
            keeper.writing, keeper.queued = keeper.queued, []
            keeper.sync_ends_at = self.now + SYNC_S
        if not keeper.writing:
            for outbound in keeper.held_messages:
                self._send(replica.keeper, outbound)
            keeper.held_messages = []
        keeper.committed += [entry.data for entry in replica.take_committed()]

    def _send(self, sender: str, outbound: consensus.Outbound) -> None:
        is_transfer_request = isinstance(
            outbound.message, messages.TransferLeadership
        )
        if is_transfer_request and self.drops_transfer_requests:
            return

        def arrive() -> None:
            replica = self.keeper_by_name[outbound.to].replica
            was_leader = replica.is_leader
            replica.step(self.now, sender, outbound.message)
            if replica.is_leader and not was_leader:
                replica.propose(b"elected")

        delay = self._rng.uniform(0.0005, 0.003)
        event = (self.now + delay, next(self._event_numbers), arrive)
        heapq.heappush(self._events, event)


@given("{voters:d} voters and a leader with {load:d} commands a second")
def step_voters(context: Any, voters: int, load: int) -> None:
    context.voters = voters
    context.load = load


def _transfer_leadership(cluster: _SimulatedCluster) -> float:
    """Returns the seconds until another keeper leads, at most about 5."""
    old_leader = cluster.leader()
    assert old_leader is not None
    started_at = cluster.now
    old_leader.replica.transfer_leadership()
    while cluster.now < started_at + 5.0:
        cluster.run(TICK_S)
        new_leader = cluster.leader()
        if new_leader is not None and new_leader is not old_leader:
            break
    return cluster.now - started_at


@when("the leader transfers its leadership, in each of 20 histories")
def step_transfer_leadership(context: Any) -> None:
    context.clusters = [
        _SimulatedCluster(context.voters, context.load, seed)
        for seed in range(HISTORY_COUNT)
    ]
    context.transfer_durations_s = [
        _transfer_leadership(cluster) for cluster in context.clusters
    ]


@then("another keeper leads within {limit:f} s in all of them")
def step_new_leader_within(context: Any, limit: float) -> None:
    too_slow = [
        round(duration_s, 2)
        for duration_s in context.transfer_durations_s
        if duration_s > limit
    ]
    assert not too_slow, f"{len(too_slow)} of {HISTORY_COUNT} took {too_slow} s"


@then("no committed command is lost")
def step_no_command_lost(context: Any) -> None:
    for cluster in context.clusters:
        cluster.run(1.0)
        logs = [keeper.committed for keeper in cluster.keeper_by_name.values()]
        longest = max(logs, key=len)
        for log in logs:
            assert log == longest[: len(log)]


@when(
    "the leader transfers its leadership and no other keeper receives the"
    " request"
)
def step_transfer_request_lost(context: Any) -> None:
    cluster = _SimulatedCluster(context.voters, context.load, 0)
    context.cluster = cluster
    leader = cluster.leader()
    assert leader is not None
    context.leader = leader
    cluster.drops_transfer_requests = True
    leader.replica.transfer_leadership()


@then("it accepts commands again within {limit:f} s")
def step_accepts_commands_again(context: Any, limit: float) -> None:
    context.cluster.run(limit)
    assert context.cluster.leader() is context.leader
    assert context.cluster.propose(context.leader)
