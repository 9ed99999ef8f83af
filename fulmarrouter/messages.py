"""Raft messages exchanged between keepers."""

import enum

import msgspec

from fulmarrouter import commands


class EntryKind(enum.IntEnum):
    """Kind of a log entry's data."""

    COMMAND = 0
    MEMBERS = 1


class Entry(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """One entry of the replicated log."""

    index: int
    term: int
    kind: EntryKind
    data: bytes


class Membership(msgspec.Struct, frozen=True, array_like=True):
    """Keepers that vote, and learners, which only receive the log."""

    voters: tuple[commands.KeeperAddress, ...] = ()
    learners: tuple[commands.KeeperAddress, ...] = ()

    def all_keepers(self) -> tuple[commands.KeeperAddress, ...]:
        """Returns the voters followed by the learners."""
        return self.voters + self.learners

    def address_of(self, keeper: str) -> str:
        """Returns a keeper's address as host:port, or an empty string."""
        for member in self.all_keepers():
            if member.keeper == keeper:
                return member.host_port
        return ""

    def is_voter(self, keeper: str) -> bool:
        """Returns whether the keeper is a voter."""
        return any(member.keeper == keeper for member in self.voters)

    def is_learner(self, keeper: str) -> bool:
        """Returns whether the keeper is a learner."""
        return any(member.keeper == keeper for member in self.learners)

    @property
    def quorum(self) -> int:
        """Number of voters that make a majority."""
        return len(self.voters) // 2 + 1


class Message(msgspec.Struct, frozen=True):
    """Base of the messages between keepers; each carries the sender's term."""

    term: int


class VoteRequest(Message, frozen=True):
    """Asks for a vote or, with `pre`, whether a vote would be granted."""

    last_index: int
    last_term: int
    pre: bool


class VoteReply(Message, frozen=True):
    """Answer to a VoteRequest of the same kind."""

    granted: bool
    pre: bool


class Append(Message, frozen=True):
    """Entries from a leader; without entries, a heartbeat.

    Attributes:
        prev_index: Index of the entry before the first one sent.
        prev_term: Term of that entry.
        commit: The leader's commit index.
        round: The leader's latest read round, which the reply repeats.
    """

    prev_index: int
    prev_term: int
    commit: int
    round: int
    entries: tuple[Entry, ...]


class AppendReply(Message, frozen=True):
    """Answer to an Append.

    Attributes:
        match_index: On success the last index known to agree, otherwise the
            last index at which the follower's log could agree.
        prev_index: `prev_index` of the Append.
        blank: Whether the follower has neither a log nor a membership.
    """

    success: bool
    match_index: int
    prev_index: int
    round: int
    blank: bool


class SnapshotChunk(Message, frozen=True):
    """A part of a leader's snapshot for a follower that is far behind.

    Attributes:
        to_learner: Whether the receiver is a learner in the leader's
            membership. A keeper without a log accepts a snapshot only then.
    """

    last_index: int
    last_term: int
    membership: Membership
    offset: int
    data: bytes
    done: bool
    to_learner: bool
    round: int


class SnapshotReply(Message, frozen=True):
    """Answer to a SnapshotChunk, with the offset of the next chunk wanted."""

    last_index: int
    offset: int
    done: bool
    round: int


class TransferLeadership(Message, frozen=True):
    """Asks a caught-up voter to campaign at once, as the leader is stopping."""


AnyMessage = (
    VoteRequest
    | VoteReply
    | Append
    | AppendReply
    | SnapshotChunk
    | SnapshotReply
    | TransferLeadership
)
