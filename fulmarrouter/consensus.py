"""Raft replica: elections, log replication, membership changes and reads.

The algorithm is Raft with pre-vote, a leader that steps down when it loses
contact with a majority, and linearizable reads confirmed by a heartbeat round.
The replica performs no I/O: time and randomness are arguments, and writes and
messages are collected until the caller takes them. The caller must sync what
`take_output` returns before it sends the messages in `after_sync`.
"""

import dataclasses
import enum
import random

import msgspec

from fulmarrouter import messages
from fulmarrouter import raft_log

# Limits of the entries in one Append message.
MAX_APPEND_ENTRIES = 512
MAX_APPEND_BYTES = 1 << 20
# Snapshot bytes sent in one SnapshotChunk message.
SNAPSHOT_CHUNK_BYTES = 1 << 19
# A peer with more unacknowledged entries than this, or more bytes of them, gets only
# heartbeats until it acknowledges some of them.
MAX_IN_FLIGHT_ENTRIES = 8192
MAX_IN_FLIGHT_BYTES = 4 << 20
# Entries kept in memory below the latest snapshot, so that a follower that is
# slightly behind can catch up without receiving the snapshot.
RETAINED_ENTRIES = 4096
RETAINED_BYTES = 8 << 20


class Role(enum.Enum):
    """Role of a replica in its current term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre_candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclasses.dataclass(frozen=True)
class Timing:
    """Timing parameters of a replica, in seconds.

    Attributes:
        heartbeat: Interval at which a leader sends heartbeats.
        election_min: Lower bound of the random election timeout.
        election_max: Upper bound of the random election timeout. A leader
            that has not heard from a majority for this long steps down.
    """

    heartbeat: float = 0.1
    election_min: float = 1.0
    election_max: float = 2.0


class HardState(msgspec.Struct, frozen=True, array_like=True):
    """Current term and the vote cast in it, which must survive a restart."""

    term: int = 0
    voted_for: str = ""


class PersistentState(msgspec.Struct, frozen=True):
    """State that a replica loads from disk when it starts."""

    hard_state: HardState
    snapshot: raft_log.SnapshotData
    entries: tuple[messages.Entry, ...]


class Outbound(msgspec.Struct, frozen=True):
    """A message and the keeper to send it to."""

    to: str
    message: messages.AnyMessage


class Output(msgspec.Struct):
    """Writes and messages that a replica requests from its caller.

    Attributes:
        installed: Snapshot received from a leader, to be stored first.
        hard_state: New term and vote, if changed.
        entries: Entries to be stored. They replace every stored entry from
            the index of the first one on.
        before_sync: Messages that may be sent at once.
        after_sync: Messages that may be sent only after all writes are synced.
    """

    installed: raft_log.SnapshotData | None = None
    hard_state: HardState | None = None
    entries: list[messages.Entry] = msgspec.field(default_factory=list)
    before_sync: list[Outbound] = msgspec.field(default_factory=list)
    after_sync: list[Outbound] = msgspec.field(default_factory=list)

    @property
    def needs_sync(self) -> bool:
        """Whether there is anything to write and sync."""
        return bool(
            self.entries
            or self.hard_state is not None
            or self.installed is not None
        )


@dataclasses.dataclass(frozen=True)
class PeerStatus:
    """What the leader knows of one keeper's log and connectivity."""

    match_index: int
    seconds_since_ack: float


@dataclasses.dataclass
class _Progress:
    """Replication progress of one peer, as tracked by the leader.

    Attributes:
        next_index: Index of the next entry to send.
        probing: Whether the last index at which the logs agree is still
            unknown. If so, one message is sent at a time and `next_index`
            does not advance before a reply.
        match_index: Last index known to agree with the leader's log.
        acked_at: When the peer last replied in this term; at first, when the
            leader began to track it.
        acked_round: Highest read round that the peer has answered.
        snapshot_index: Last index of the snapshot being sent, 0 for none.
        snapshot_offset: Offset of the next snapshot chunk to send.
    """

    next_index: int
    probing: bool = True
    match_index: int = 0
    acked_at: float = 0.0
    acked_round: int = 0
    snapshot_index: int = 0
    snapshot_offset: int = 0


class Replica:
    """One keeper's copy of the replicated log.

    Attributes:
        leader: Keeper known to lead the current term, or an empty string.
        blank_voters: Voters that reported a blank log to this leader, which
            happens when they have lost their disk.
    """

    def __init__(
        self,
        keeper: str,
        saved: PersistentState,
        timing: Timing,
        rng: random.Random,
        now: float,
    ) -> None:
        self.keeper = keeper
        self.timing = timing
        self.term = saved.hard_state.term
        self.voted_for = saved.hard_state.voted_for
        self.log = raft_log.RaftLog(saved.snapshot, saved.entries)
        self.membership, self._membership_index = self.log.membership_at_end()
        self.commit_index = saved.snapshot.last_index
        self.applied_index = saved.snapshot.last_index
        self.role = Role.FOLLOWER
        self.leader: str = ""
        self.blank_voters: set[str] = set()
        self._durable_index = self.log.last_index
        self._rng = rng
        self._leader_seen_at = float("-inf")
        self._election_due = now + self._election_timeout()
        self._heartbeat_due = now
        self._votes: dict[str, bool] = {}
        self._progress: dict[str, _Progress] = {}
        self._round = 0
        self._term_start_index = 0
        self._transferee = ""
        self._transfer_deadline = float("inf")
        self._snapshot_parts: list[bytes] = []
        self._snapshot_parts_index = 0
        self._output = Output()

    # Public operations.

    @property
    def is_blank(self) -> bool:
        """Whether this replica has neither a log nor a membership."""
        return self.log.last_index == 0 and not self.membership.voters

    @property
    def is_leader(self) -> bool:
        """Whether this replica leads its term."""
        return self.role is Role.LEADER

    @property
    def leads_with_committed_entry(self) -> bool:
        """Whether an entry of this leader's own term is committed."""
        return self.is_leader and self.commit_index >= self._term_start_index

    @property
    def accepts_commands(self) -> bool:
        """Whether this leader accepts new commands and confirms reads.

        It accepts none during a leadership transfer, because the transferee
        can win an election only if no voter's log is ahead of its own.
        """
        return self.leads_with_committed_entry and not self._transferee

    def next_deadline(self) -> float:
        """Returns the time at which `tick` next has a timeout to handle."""
        if self.is_leader:
            return self._heartbeat_due
        return self._election_due

    def tick(self, now: float) -> None:
        """Handles the timeouts that have expired."""
        if self.is_leader:
            self._tick_leader(now)
            return
        if now < self._election_due:
            return
        self._election_due = now + self._election_timeout()
        if self.membership.is_voter(self.keeper):
            self._start_campaign(now, pre=True)

    def step(
        self, now: float, sender: str, message: messages.AnyMessage
    ) -> None:
        """Handles a message from another keeper."""
        if self._has_prospective_term(message):
            self._dispatch(now, sender, message)
            return
        if message.term > self.term:
            self._become_follower(now, message.term, "")
        self._dispatch(now, sender, message)

    def propose(self, data: bytes) -> int | None:
        """Appends a command and returns its index.

        Returns None if this isn't the leader or a leadership transfer is in
        progress.
        """
        if not self.is_leader or self._transferee:
            return None
        return self._append_as_leader(messages.EntryKind.COMMAND, data)

    def propose_membership(
        self, now: float, membership: messages.Membership
    ) -> int | None:
        """Appends a membership that differs from the current one by one keeper.

        Returns its index, or None while this isn't the leader, an earlier
        change is not yet committed, the leader has committed nothing in its
        own term, or a leadership transfer is in progress.
        """
        if not self.accepts_commands:
            return None
        if self._membership_index > self.commit_index:
            return None
        data = msgspec.msgpack.encode(membership)
        index = self._append_as_leader(messages.EntryKind.MEMBERS, data)
        self._set_membership(membership, index)
        self._sync_progress(now)
        return index

    def begin_read_round(self) -> int | None:
        """Starts a heartbeat round that confirms leadership for reads.

        Returns the number of the round, or None if this replica accepts no
        commands.
        """
        if not self.accepts_commands:
            return None
        self._round += 1
        self._heartbeat_due = float("-inf")
        return self._round

    def is_round_confirmed(self, read_round: int) -> bool:
        """Returns whether a majority has answered the round or a later one."""
        return self.is_leader and self._quorum_round() >= read_round

    def is_caught_up(self, keeper: str) -> bool:
        """Returns whether a peer holds every committed entry."""
        progress = self._progress.get(keeper)
        return (
            progress is not None and progress.match_index >= self.commit_index
        )

    def peer_status(self, now: float, keeper: str) -> PeerStatus:
        """Returns what the leader knows of a keeper, itself included."""
        if keeper == self.keeper:
            return PeerStatus(self._durable_index, 0.0)
        progress = self._progress.get(keeper)
        if progress is None:
            return PeerStatus(0, 0.0)
        return PeerStatus(progress.match_index, now - progress.acked_at)

    def transfer_leadership(self) -> None:
        """Asks the most up-to-date voter to campaign once it has caught up.

        No commands are accepted meanwhile. If the voter has not taken over
        within `election_min` of the next tick, the transfer is abandoned and
        this leader accepts commands again.
        """
        if not self.is_leader or self._transferee:
            return
        peers = [
            (progress.match_index, progress.acked_at, member.keeper)
            for member in self.membership.voters
            if member.keeper != self.keeper
            for progress in (self._progress[member.keeper],)
        ]
        if not peers:
            return
        _, _, self._transferee = max(peers)
        self._transfer_deadline = float("inf")
        self._request_campaign()

    def _request_campaign(self) -> None:
        """Asks the transferee to campaign if it holds the whole log."""
        progress = self._progress.get(self._transferee)
        if progress and progress.match_index == self.log.last_index:
            message = messages.TransferLeadership(term=self.term)
            # The message depends on no unsynced write.
            self._output.before_sync.append(Outbound(self._transferee, message))

    def flush(self, now: float) -> None:
        """Sends the peers new entries and, if due, heartbeats."""
        if not self.is_leader:
            return
        is_due = now >= self._heartbeat_due
        if is_due:
            self._heartbeat_due = now + self.timing.heartbeat
        for peer in sorted(self._progress):
            self._send_append(peer, even_if_empty=is_due)

    def take_output(self) -> Output:
        """Returns the output collected so far and clears it."""
        output = self._output
        self._output = Output()
        return output

    def mark_durable(self, index: int | None = None) -> None:
        """Records that the output taken so far has been synced.

        Args:
            index: Last index of the log when that output was taken. Defaults
                to the current last index.
        """
        if index is None:
            index = self.log.last_index
        # If the log has become shorter since then, the removed entries were
        # uncommitted and are no longer needed.
        self._durable_index = min(index, self.log.last_index)
        self._advance_commit()

    def take_committed(self) -> list[messages.Entry]:
        """Returns the committed entries not yet returned for applying."""
        entries = self.log.range(self.applied_index + 1, self.commit_index)
        self.applied_index = self.commit_index
        return entries

    def compact(self, data: bytes) -> raft_log.SnapshotData:
        """Replaces the applied prefix of the log by a snapshot.

        The last applied entries stay in memory, up to `RETAINED_ENTRIES` and
        `RETAINED_BYTES`.

        Args:
            data: State at `applied_index`.
        """
        term = self.log.term_at(self.applied_index)
        assert term is not None
        snapshot = raft_log.SnapshotData(
            self.applied_index,
            term,
            self.log.membership_at(self.applied_index),
            data,
        )
        self.log.compact(snapshot, RETAINED_ENTRIES, RETAINED_BYTES)
        return snapshot

    # Elections.

    def _election_timeout(self) -> float:
        return self._rng.uniform(
            self.timing.election_min, self.timing.election_max
        )

    def _has_prospective_term(self, message: messages.AnyMessage) -> bool:
        """Returns whether a message carries a term that nobody has entered yet.

        That holds for pre-vote requests and granted pre-votes, so their term
        must not be adopted.
        """
        if isinstance(message, messages.VoteRequest):
            return message.pre
        if isinstance(message, messages.VoteReply):
            return message.pre and message.granted
        return False

    def _start_campaign(self, now: float, pre: bool) -> None:
        self.leader = ""
        self._votes = {self.keeper: True}
        if pre:
            self.role = Role.PRE_CANDIDATE
        else:
            self.role = Role.CANDIDATE
            self._set_hard_state(self.term + 1, self.keeper)
        request = messages.VoteRequest(
            term=self.term + 1 if pre else self.term,
            last_index=self.log.last_index,
            last_term=self.log.last_term,
            pre=pre,
        )
        for member in self.membership.voters:
            if member.keeper != self.keeper:
                self._send(member.keeper, request)
        self._count_votes(now)

    def _count_votes(self, now: float) -> None:
        """Goes on to the next phase of the election on a majority of votes."""
        granted = sum(
            1
            for member in self.membership.voters
            if self._votes.get(member.keeper, False)
        )
        if granted < self.membership.quorum:
            return
        if self.role is Role.PRE_CANDIDATE:
            self._start_campaign(now, pre=False)
        elif self.role is Role.CANDIDATE:
            self._become_leader(now)

    def _become_leader(self, now: float) -> None:
        self.role = Role.LEADER
        self.leader = self.keeper
        self._progress = {}
        self.blank_voters = set()
        self._sync_progress(now)
        self._heartbeat_due = now
        self._term_start_index = self.log.last_index + 1
        self._transferee = ""

    def _become_follower(self, now: float, term: int, leader: str) -> None:
        if term > self.term:
            self._set_hard_state(term, "")
        self.role = Role.FOLLOWER
        self.leader = leader
        self._progress = {}
        self._election_due = now + self._election_timeout()

    def _has_active_leader(self, now: float) -> bool:
        """Returns whether this leads or heard a leader within `election_min`.

        While this holds, pre-votes are refused.
        """
        if self.is_leader:
            return True
        return now - self._leader_seen_at < self.timing.election_min

    def _on_vote_request(
        self, now: float, sender: str, message: messages.VoteRequest
    ) -> None:
        log_is_up_to_date = (message.last_term, message.last_index) >= (
            self.log.last_term,
            self.log.last_index,
        )
        if message.pre:
            granted = (
                log_is_up_to_date
                and not self.is_blank
                and message.term > self.term
                and not self._has_active_leader(now)
            )
            term = message.term if granted else self.term
            self._send(
                sender, messages.VoteReply(term=term, granted=granted, pre=True)
            )
            return
        granted = (
            message.term == self.term
            and log_is_up_to_date
            and not self.is_blank
            and self.voted_for in ("", sender)
            and not self.is_leader
        )
        if granted and not self.voted_for:
            self._set_hard_state(self.term, sender)
        if granted:
            self._election_due = now + self._election_timeout()
        self._send(
            sender,
            messages.VoteReply(term=self.term, granted=granted, pre=False),
        )

    def _on_vote_reply(
        self, now: float, sender: str, message: messages.VoteReply
    ) -> None:
        expected = Role.PRE_CANDIDATE if message.pre else Role.CANDIDATE
        if self.role is not expected:
            return
        expected_term = self.term + 1 if message.pre else self.term
        if message.granted and message.term == expected_term:
            self._votes[sender] = True
            self._count_votes(now)

    # Leader.

    def _tick_leader(self, now: float) -> None:
        """Steps down without a quorum; otherwise sends what is due."""
        active = 1 if self.membership.is_voter(self.keeper) else 0
        for member in self.membership.voters:
            progress = self._progress.get(member.keeper)
            if progress and now - progress.acked_at < self.timing.election_max:
                active += 1
        if active < self.membership.quorum:
            self._become_follower(now, self.term, "")
            return
        if self._transferee:
            deadline = now + self.timing.election_min
            self._transfer_deadline = min(self._transfer_deadline, deadline)
            if now >= self._transfer_deadline:
                self._transferee = ""
        self.flush(now)

    def _sync_progress(self, now: float) -> None:
        """Tracks the progress of exactly the other keepers in the membership."""
        peers = {
            member.keeper
            for member in self.membership.all_keepers()
            if member.keeper != self.keeper
        }
        self._progress = {
            peer: self._progress.get(
                peer,
                _Progress(next_index=self.log.last_index + 1, acked_at=now),
            )
            for peer in sorted(peers)
        }

    def _append_as_leader(self, kind: messages.EntryKind, data: bytes) -> int:
        entry = messages.Entry(self.log.last_index + 1, self.term, kind, data)
        self.log.append(entry)
        self._output.entries.append(entry)
        return entry.index

    def _set_membership(
        self, membership: messages.Membership, index: int
    ) -> None:
        self.membership = membership
        self._membership_index = index

    def _send_append(self, peer: str, even_if_empty: bool) -> None:
        """Sends the next entries to a peer, or the snapshot if they are gone.

        Args:
            peer: Keeper to send to.
            even_if_empty: Whether to send a message also if there are no
                entries to send, or while the peer is being probed or
                receives a snapshot.
        """
        progress = self._progress[peer]
        if progress.snapshot_index:
            if even_if_empty:
                self._send_snapshot_chunk(peer, progress)
            return
        prev_term = self.log.term_at(progress.next_index - 1)
        if prev_term is None:
            progress.snapshot_index = self.log.snapshot.last_index
            progress.snapshot_offset = 0
            self._send_snapshot_chunk(peer, progress)
            return
        entries: tuple[messages.Entry, ...] = ()
        if progress.probing or self._may_send_ahead(progress):
            entries = self.log.slice(
                progress.next_index, MAX_APPEND_ENTRIES, MAX_APPEND_BYTES
            )
        may_send = even_if_empty or (entries and not progress.probing)
        if not may_send:
            return
        self._send(
            peer,
            messages.Append(
                term=self.term,
                prev_index=progress.next_index - 1,
                prev_term=prev_term,
                commit=self.commit_index,
                round=self._round,
                entries=entries,
            ),
        )
        if not progress.probing:
            progress.next_index += len(entries)

    def _may_send_ahead(self, progress: _Progress) -> bool:
        """Whether a peer may be sent more than it has acknowledged."""
        in_flight = progress.next_index - progress.match_index
        in_flight_bytes = self.log.bytes_between(
            progress.match_index, progress.next_index - 1
        )
        return (
            in_flight <= MAX_IN_FLIGHT_ENTRIES
            and in_flight_bytes <= MAX_IN_FLIGHT_BYTES
        )

    def _send_snapshot_chunk(self, peer: str, progress: _Progress) -> None:
        snapshot = self.log.snapshot
        if progress.snapshot_index != snapshot.last_index:
            progress.snapshot_index = snapshot.last_index
            progress.snapshot_offset = 0
        end = progress.snapshot_offset + SNAPSHOT_CHUNK_BYTES
        self._send(
            peer,
            messages.SnapshotChunk(
                term=self.term,
                last_index=snapshot.last_index,
                last_term=snapshot.last_term,
                membership=snapshot.membership,
                offset=progress.snapshot_offset,
                data=snapshot.data[progress.snapshot_offset : end],
                to_learner=self.membership.is_learner(peer),
                done=end >= len(snapshot.data),
                round=self._round,
            ),
        )

    def _on_append_reply(
        self, now: float, sender: str, message: messages.AppendReply
    ) -> None:
        if message.blank and not self.membership.is_learner(sender):
            # A voter that has lost its log has lost its vote as well, so its
            # replies do not count.
            self.blank_voters.add(sender)
            return
        progress = self._record_ack(now, sender, message.term, message.round)
        if progress is None:
            return
        if message.success:
            progress.match_index = max(
                progress.match_index, message.match_index
            )
            if progress.probing:
                progress.probing = False
                progress.next_index = progress.match_index + 1
            progress.next_index = max(
                progress.next_index, progress.match_index + 1
            )
            self._advance_commit()
            self._send_append(sender, even_if_empty=False)
            if sender == self._transferee:
                self._request_campaign()
            return
        self._on_append_rejected(sender, progress, message)

    def _on_append_rejected(
        self, peer: str, progress: _Progress, message: messages.AppendReply
    ) -> None:
        """Moves `next_index` back and sends a new probe.

        A duplicate of a rejection that has already been handled is ignored.
        Otherwise each duplicate would cause another Append, and duplicates of
        its rejection would cause still more.
        """
        if message.prev_index <= progress.match_index:
            return
        if not progress.probing:
            progress.probing = True
            progress.next_index = progress.match_index + 1
        elif message.prev_index == progress.next_index - 1:
            progress.next_index = max(
                progress.match_index + 1,
                min(message.prev_index, message.match_index + 1),
            )
        else:
            return
        self._send_append(peer, even_if_empty=True)

    def _on_snapshot_reply(
        self, now: float, sender: str, message: messages.SnapshotReply
    ) -> None:
        progress = self._record_ack(now, sender, message.term, message.round)
        if progress is None or message.last_index != progress.snapshot_index:
            return
        if not message.done:
            is_ahead = message.offset > progress.snapshot_offset
            progress.snapshot_offset = message.offset
            if is_ahead:
                self._send_snapshot_chunk(sender, progress)
            return
        progress.snapshot_index = 0
        progress.match_index = max(progress.match_index, message.last_index)
        progress.next_index = progress.match_index + 1
        progress.probing = False
        self._send_append(sender, even_if_empty=False)

    def _record_ack(
        self, now: float, sender: str, term: int, answered_round: int
    ) -> _Progress | None:
        """Records a reply and returns the progress of its sender.

        Returns None if the reply is of another term, this isn't the leader or
        the sender is not in the membership.
        """
        if not self.is_leader or term != self.term:
            return None
        progress = self._progress.get(sender)
        if progress is None:
            return None
        progress.acked_at = now
        progress.acked_round = max(progress.acked_round, answered_round)
        return progress

    def _quorum_value(self, own: int, by_peer: dict[str, int]) -> int:
        """Returns the highest value that a majority of voters has reached."""
        values = sorted(
            (
                own
                if member.keeper == self.keeper
                else by_peer.get(member.keeper, 0)
                for member in self.membership.voters
            ),
            reverse=True,
        )
        return values[self.membership.quorum - 1] if values else 0

    def _quorum_round(self) -> int:
        return self._quorum_value(
            self._round,
            {peer: item.acked_round for peer, item in self._progress.items()},
        )

    def _advance_commit(self) -> None:
        if not self.is_leader:
            return
        index = self._quorum_value(
            self._durable_index,
            {peer: item.match_index for peer, item in self._progress.items()},
        )
        # Raft counts replicas only for entries of the leader's own term.
        if index > self.commit_index and self.log.term_at(index) == self.term:
            # Followers learn of it with the next Append or heartbeat.
            self.commit_index = index
            # A leader that has removed itself steps down at the commit.
            removed = not self.membership.is_voter(self.keeper)
            if removed and self._membership_index <= index:
                self.role = Role.FOLLOWER
                self.leader = ""

    # Follower.

    def _dispatch(
        self, now: float, sender: str, message: messages.AnyMessage
    ) -> None:
        match message:
            case messages.VoteRequest():
                self._on_vote_request(now, sender, message)
            case messages.VoteReply():
                self._on_vote_reply(now, sender, message)
            case messages.Append():
                self._on_append(now, sender, message)
            case messages.AppendReply():
                self._on_append_reply(now, sender, message)
            case messages.SnapshotChunk():
                self._on_snapshot_chunk(now, sender, message)
            case messages.SnapshotReply():
                self._on_snapshot_reply(now, sender, message)
            case messages.TransferLeadership():
                may_campaign = self.membership.is_voter(self.keeper)
                if (
                    message.term == self.term
                    and may_campaign
                    and not self.is_leader
                ):
                    self._start_campaign(now, pre=False)

    def _accept_leader(self, now: float, sender: str) -> None:
        """Follows the sender as leader and restarts the election timeout."""
        self._leader_seen_at = now
        if self.role is not Role.FOLLOWER or self.leader != sender:
            self._become_follower(now, self.term, sender)
        self._election_due = now + self._election_timeout()

    def _append_reply(
        self, message: messages.Append, success: bool, match_index: int
    ) -> messages.AppendReply:
        return messages.AppendReply(
            term=self.term,
            success=success,
            match_index=match_index,
            prev_index=message.prev_index,
            round=message.round,
            blank=self.is_blank,
        )

    def _on_append(
        self, now: float, sender: str, message: messages.Append
    ) -> None:
        if message.term < self.term:
            self._send(sender, self._append_reply(message, False, 0))
            return
        self._accept_leader(now, sender)
        if self.log.base_index > message.prev_index:
            # Everything up to `base_index` is committed, so the logs agree.
            self._send(
                sender, self._append_reply(message, True, self.log.base_index)
            )
            return
        if self.is_blank or (
            self.log.term_at(message.prev_index) != message.prev_term
        ):
            last_possible_match = min(
                self.log.last_index, message.prev_index - 1
            )
            self._send(
                sender,
                self._append_reply(message, False, max(last_possible_match, 0)),
            )
            return
        self._store_entries(message.entries)
        last_agreed = message.prev_index + len(message.entries)
        commit = min(message.commit, last_agreed)
        self.commit_index = max(self.commit_index, commit)
        self._send(sender, self._append_reply(message, True, last_agreed))

    def _store_entries(self, entries: tuple[messages.Entry, ...]) -> None:
        """Appends the entries that are missing; conflicting ones are replaced."""
        for entry in entries:
            known_term = self.log.term_at(entry.index)
            if known_term == entry.term:
                continue
            if known_term is not None:
                assert entry.index > self.commit_index, (
                    "an Append conflicts with a committed entry"
                )
                self.log.truncate_from(entry.index)
                self._output.entries = [
                    kept
                    for kept in self._output.entries
                    if kept.index < entry.index
                ]
                membership, index = self.log.membership_at_end()
                self._set_membership(membership, index)
            self.log.append(entry)
            self._output.entries.append(entry)
            if entry.kind is messages.EntryKind.MEMBERS:
                membership = msgspec.msgpack.decode(
                    entry.data, type=messages.Membership
                )
                self._set_membership(membership, entry.index)

    def _on_snapshot_chunk(
        self, now: float, sender: str, message: messages.SnapshotChunk
    ) -> None:
        if message.term < self.term:
            return
        self._accept_leader(now, sender)
        if self.is_blank and not message.to_learner:
            self._send(
                sender,
                messages.AppendReply(
                    term=self.term,
                    success=False,
                    match_index=0,
                    prev_index=0,
                    round=message.round,
                    blank=True,
                ),
            )
            return
        if message.last_index <= self.commit_index:
            self._send(
                sender, self._snapshot_reply(message, done=True, offset=0)
            )
            return
        if (
            message.last_index != self._snapshot_parts_index
            or message.offset == 0
        ):
            self._snapshot_parts = []
            self._snapshot_parts_index = message.last_index
        received = sum(len(part) for part in self._snapshot_parts)
        if message.offset != received:
            self._send(
                sender,
                self._snapshot_reply(message, done=False, offset=received),
            )
            return
        self._snapshot_parts.append(message.data)
        received += len(message.data)
        if message.done:
            self._install_snapshot(message)
        self._send(
            sender,
            self._snapshot_reply(message, done=message.done, offset=received),
        )

    def _install_snapshot(self, message: messages.SnapshotChunk) -> None:
        """Replaces the log by the snapshot whose last chunk has arrived."""
        snapshot = raft_log.SnapshotData(
            message.last_index,
            message.last_term,
            message.membership,
            b"".join(self._snapshot_parts),
        )
        self._snapshot_parts = []
        self._snapshot_parts_index = 0
        self.log.reset(snapshot)
        self._output.entries = []
        self._output.installed = snapshot
        self.commit_index = snapshot.last_index
        self.applied_index = snapshot.last_index
        self._durable_index = snapshot.last_index
        self._set_membership(snapshot.membership, snapshot.last_index)

    def _snapshot_reply(
        self, message: messages.SnapshotChunk, done: bool, offset: int
    ) -> messages.SnapshotReply:
        return messages.SnapshotReply(
            term=self.term,
            last_index=message.last_index,
            offset=offset,
            done=done,
            round=message.round,
        )

    # Output.

    def _set_hard_state(self, term: int, voted_for: str) -> None:
        self.term = term
        self.voted_for = voted_for
        self._output.hard_state = HardState(term, voted_for)

    def _send(self, to: str, message: messages.AnyMessage) -> None:
        """Queues a message.

        Entries and snapshots may be sent before the sync, because the leader
        counts its own copy of an entry only once that is durable. All other
        messages wait for the sync of the votes or entries that they report.
        """
        outbound = Outbound(to, message)
        if isinstance(message, messages.Append | messages.SnapshotChunk):
            self._output.before_sync.append(outbound)
        else:
            self._output.after_sync.append(outbound)
