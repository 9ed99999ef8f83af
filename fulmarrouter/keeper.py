"""Core of a keeper: a replica, the replicated state and the leader's decisions.

The core performs no I/O: the owning task passes the time, stores and syncs the
replica's output, sends its messages, and returns replies to the connections
that the requests came from.
"""

import dataclasses
import random

from fulmarrouter import codes
from fulmarrouter import commands
from fulmarrouter import consensus
from fulmarrouter import leader as leader_lib
from fulmarrouter import messages
from fulmarrouter import queries
from fulmarrouter import raft_log
from fulmarrouter import read_index
from fulmarrouter import requests
from fulmarrouter import state as state_lib
from fulmarrouter import state_machine

# Log entries applied between two snapshots.
SNAPSHOT_INTERVAL_ENTRIES = 10_000

# Commands that clients may propose; the leader alone proposes all others.
PROPOSABLE_COMMANDS = (
    commands.OpenSession,
    commands.EndSession,
    commands.RecordIntent,
    commands.RecordOutcome,
    commands.SubmitJob,
    commands.CancelJobs,
    commands.RequestStop,
    commands.SubmitTicket,
    commands.ReportCounts,
)


Client = read_index.Client
Answered = read_index.Answered[requests.AnyReply]


@dataclasses.dataclass(frozen=True)
class _PendingProposal:
    """A client's proposal that is not yet applied, and the term it is from."""

    client: Client
    term: int


class Keeper:
    """Core of a keeper process.

    While this keeper leads, it answers clients and proposes the decisions of
    its `leader`; it starts doing so once an entry of its own term is committed.
    """

    def __init__(
        self,
        replica: consensus.Replica,
        lease_settings: leader_lib.LeaseSettings,
        rng: random.Random,
    ) -> None:
        self.replica = replica
        self.state = state_lib.decode(replica.log.snapshot.data)
        self.leader = leader_lib.Leader(lease_settings, rng)
        self.applied_commands = 0
        self._elected_term = 0
        self._is_active_leader = False
        self._last_decision_index = 0
        self._proposal_by_index: dict[int, _PendingProposal] = {}
        self._reads: read_index.ReadIndexQueue[requests.AnyRequest] = (
            read_index.ReadIndexQueue(replica)
        )
        self._answered: list[Answered] = []
        self._snapshot_index = replica.log.snapshot.last_index

    def on_message(
        self, now: float, sender: str, message: messages.AnyMessage
    ) -> None:
        """Handles a message from another keeper."""
        self.replica.step(now, sender, message)

    def on_request(
        self,
        now: float,
        wall_ms: int,
        client: Client,
        request: requests.AnyRequest,
    ) -> None:
        """Handles a request; its reply is returned by a later `after_sync`."""
        if not self._is_active_leader or not self.replica.accepts_commands:
            self._refuse(client)
            return
        if isinstance(request, requests.Propose):
            self._propose_for(client, request.command)
            return
        for command in self._commands_for(now, wall_ms, request):
            self.replica.propose(commands.encode(command))
        self._reads.add(now, client, request)

    def tick(self, now: float, wall_ms: int) -> None:
        """Handles timeouts, proposes decisions and queues due messages.

        Must be called at least once for each batch of input.
        """
        self.replica.tick(now)
        self._update_role(now, wall_ms)
        self._reads.start_round(now)
        if self._is_active_leader and self.replica.accepts_commands:
            self._propose_decisions(now, wall_ms)
            self._reconcile_membership(now)
        self.replica.flush(now)

    def after_sync(self, now: float, wall_ms: int) -> list[Answered]:
        """Applies committed entries and returns the replies that are ready.

        Must be called once all output of the replica is synced.
        """
        self.replica.mark_durable()
        if self._snapshot_index < self.replica.log.snapshot.last_index:
            self._load_installed_snapshot()
        for entry in self.replica.take_committed():
            self._apply(entry)
        self._update_role(now, wall_ms)
        self._answer_reads(now)
        answered = self._answered
        self._answered = []
        return answered

    def take_snapshot(self) -> raft_log.SnapshotData | None:
        """Returns a snapshot to store if one is due, otherwise None."""
        applied = self.replica.applied_index
        if applied - self._snapshot_index < SNAPSHOT_INTERVAL_ENTRIES:
            return None
        self._snapshot_index = applied
        return self.replica.compact(state_lib.encode(self.state))

    def leader_address(self) -> str:
        """Returns the leader's address as host:port, or an empty string."""
        return self.replica.membership.address_of(self.replica.leader)

    def _refuse(self, client: Client) -> None:
        self._answered.append(
            Answered(
                client,
                requests.Refused(
                    codes.Code.NOT_LEADER, leader=self.leader_address()
                ),
            )
        )

    def _propose_for(
        self, client: Client, command: commands.AnyCommand
    ) -> None:
        if not isinstance(command, PROPOSABLE_COMMANDS):
            refused = requests.Refused(
                codes.Code.INVALID, type(command).__name__
            )
            self._answered.append(Answered(client, refused))
            return
        index = self.replica.propose(commands.encode(command))
        assert index is not None
        self._proposal_by_index[index] = _PendingProposal(
            client, self.replica.term
        )

    def _commands_for(
        self, now: float, wall_ms: int, request: requests.AnyRequest
    ) -> list[commands.AnyCommand]:
        """Returns the commands that the leader derives from a heartbeat."""
        match request:
            case requests.WorkerHeartbeat():
                return self.leader.on_worker_heartbeat(
                    now, wall_ms, self.state, request
                )
            case requests.EndpointHeartbeat():
                return self.leader.on_endpoint_heartbeat(
                    now, wall_ms, self.state, request
                )
            case requests.EntryHeartbeat():
                return self.leader.on_entry_heartbeat(now, self.state, request)
            case _:
                return []

    def _update_role(self, now: float, wall_ms: int) -> None:
        """Follows the replica's role.

        A new leader first proposes an entry of its own term, and becomes active
        once that is committed and everything committed is applied.
        """
        if self.replica.is_leader and self._elected_term != self.replica.term:
            self._reset_leadership()
            self._elected_term = self.replica.term
            elected = commands.LeaderElected(
                self.replica.keeper, self.replica.term, wall_ms
            )
            self.replica.propose(commands.encode(elected))
        if (
            not self._is_active_leader
            and self.replica.leads_with_committed_entry
            and self.replica.applied_index >= self.replica.commit_index
        ):
            self._is_active_leader = True
            self._last_decision_index = 0
            self.leader.start_term(now, self.state)
        if not self.replica.is_leader:
            self._reset_leadership()

    def _reset_leadership(self) -> None:
        """Ends this keeper's term as leader and refuses all waiting clients.

        Proposals that are not yet applied may still be committed by the next
        leader, so their outcome is reported as unknown.
        """
        self._is_active_leader = False
        self._elected_term = 0
        for pending in self._proposal_by_index.values():
            refused = requests.Refused(
                codes.Code.PROPOSAL_UNKNOWN, leader=self.leader_address()
            )
            self._answered.append(Answered(pending.client, refused))
        self._proposal_by_index = {}
        for read in self._reads.take_all():
            self._refuse(read.client)

    def _answer_reads(self, now: float) -> None:
        for read in self._reads.take_confirmed(now):
            reply = self._reply_to(now, read.request)
            self._answered.append(Answered(read.client, reply))
        for read in self._reads.take_expired(now):
            self._refuse(read.client)

    def _reply_to(
        self, now: float, request: requests.AnyRequest
    ) -> requests.AnyReply:
        match request:
            case requests.WorkerHeartbeat():
                return self._worker_reply(request)
            case requests.EndpointHeartbeat():
                return self._endpoint_reply(request)
            case requests.EntryHeartbeat():
                if request.session not in self.state.session_by_id:
                    return requests.Refused(codes.Code.SESSION_ENDED)
                return self.leader.entry_view(
                    self.state,
                    request,
                    self.replica.term,
                    self.replica.membership.voters,
                )
            case _:
                context = queries.Context(
                    now, self.state, self.leader, lambda: self._status(now)
                )
                handler = queries.HANDLER_BY_REQUEST[type(request)]
                return handler(context, request)

    def _worker_reply(
        self, request: requests.WorkerHeartbeat
    ) -> requests.AnyReply:
        registered = self.state.worker_by_id.get(request.worker)
        if (
            registered
            and registered.announcement.incarnation > request.incarnation
        ):
            return requests.Refused(codes.Code.STALE_INCARNATION)
        return self.leader.worker_orders(self.state, request)

    def _endpoint_reply(
        self, request: requests.EndpointHeartbeat
    ) -> requests.AnyReply:
        registered = self.state.endpoint_by_id.get(request.endpoint)
        if (
            registered
            and registered.announcement.incarnation > request.incarnation
        ):
            return requests.Refused(codes.Code.STALE_INCARNATION)
        return self.leader.endpoint_accepted(self.state, request)

    def _status(self, now: float) -> requests.Status:
        jobs_by_phase: dict[str, int] = {}
        for job in self.state.job_by_id.values():
            phase = job.phase.value
            jobs_by_phase[phase] = jobs_by_phase.get(phase, 0) + 1
        return requests.Status(
            leader=self.replica.keeper,
            term=self.replica.term,
            commit_index=self.replica.commit_index,
            config_version=self.state.config_version,
            keepers=tuple(
                self._keeper_view(now, member)
                for member in self.replica.membership.all_keepers()
            ),
            sessions=self.leader.session_views(now, self.state),
            jobs_by_phase=jobs_by_phase,
        )

    def _keeper_view(
        self, now: float, member: commands.KeeperAddress
    ) -> requests.KeeperView:
        peer = self.replica.peer_status(now, member.keeper)
        return requests.KeeperView(
            keeper=member.keeper,
            address=member.host_port,
            voter=self.replica.membership.is_voter(member.keeper),
            match_index=peer.match_index,
            last_heard_ms=int(peer.seconds_since_ack * 1000),
            lost_disk=member.keeper in self.replica.blank_voters,
        )

    def _apply(self, entry: messages.Entry) -> None:
        if entry.kind is messages.EntryKind.MEMBERS:
            return
        command = commands.decode(entry.data)
        result = state_machine.apply(self.state, entry.index, command)
        self.applied_commands += 1
        pending = self._proposal_by_index.pop(entry.index, None)
        if pending is None:
            return
        reply: requests.AnyReply = requests.Proposed(result)
        if pending.term != entry.term:
            reply = requests.Refused(codes.Code.PROPOSAL_UNKNOWN)
        self._answered.append(Answered(pending.client, reply))

    def _load_installed_snapshot(self) -> None:
        """Replaces the state by that of a snapshot received from a leader."""
        snapshot = self.replica.log.snapshot
        self._snapshot_index = snapshot.last_index
        self.state = state_lib.decode(snapshot.data)

    def _propose_decisions(self, now: float, wall_ms: int) -> None:
        """Proposes the leader's decisions, once all earlier ones are applied."""
        if self.replica.applied_index < self._last_decision_index:
            return
        for command in self.leader.tick(now, wall_ms, self.state):
            index = self.replica.propose(commands.encode(command))
            assert index is not None
            self._last_decision_index = index

    def _reconcile_membership(self, now: float) -> None:
        """Proposes the next change towards the keeper set of the last ticket."""
        config_object = self.state.config_by_name.get("keeper_set/keepers")
        if config_object is None or not isinstance(
            config_object.item, commands.KeeperSet
        ):
            return
        wanted = config_object.item.keepers
        change = next_membership(self.replica, wanted)
        if change is not None:
            self.replica.propose_membership(now, change)


def next_membership(
    replica: consensus.Replica, wanted: tuple[commands.KeeperAddress, ...]
) -> messages.Membership | None:
    """Returns the next membership on the way to the wanted one, or None.

    New keepers join as learners and become voters once they hold every
    committed entry. Only then are surplus keepers removed, the leader last.
    """
    current = replica.membership
    wanted_ids = {member.keeper for member in wanted}
    for member in wanted:
        if current.is_voter(member.keeper):
            continue
        if not current.is_learner(member.keeper):
            return messages.Membership(
                current.voters, (*current.learners, member)
            )
        if replica.is_caught_up(member.keeper):
            learners = tuple(
                item
                for item in current.learners
                if item.keeper != member.keeper
            )
            return messages.Membership((*current.voters, member), learners)
        return None
    to_remove = [
        member
        for member in current.all_keepers()
        if member.keeper not in wanted_ids
    ]
    to_remove.sort(key=lambda member: member.keeper == replica.keeper)
    for removed in to_remove:
        return messages.Membership(
            tuple(
                item for item in current.voters if item.keeper != removed.keeper
            ),
            tuple(
                item
                for item in current.learners
                if item.keeper != removed.keeper
            ),
        )
    return None
