"""Messages of the replicated log, exchanged between keepers."""

import enum

import msgspec

from fulmarrouter import commands


class EntryKind(enum.IntEnum):
    """What a log entry carries."""

    COMMAND = 0
    MEMBERS = 1


class Entry(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """One entry of the replicated log."""

    index: int
    term: int
    kind: EntryKind
    data: bytes


class Membership(msgspec.Struct, frozen=True, array_like=True):
    """Keepers that vote, and keepers that only receive the log."""

    voters: tuple[commands.KeeperAddress, ...] = ()
    learners: tuple[commands.KeeperAddress, ...] = ()

    def all_keepers(self) -> tuple[commands.KeeperAddress, ...]:
        """Returns voters, then learners."""
        return self.voters + self.learners

    def address_of(self, keeper: str) -> str:
        """Returns where a keeper listens, or an empty string."""
        for member in self.all_keepers():
            if member.keeper == keeper:
                return member.place
        return ""

    def is_voter(self, keeper: str) -> bool:
        """Tells whether the keeper is a voter."""
        return any(member.keeper == keeper for member in self.voters)

    def is_learner(self, keeper: str) -> bool:
        """Tells whether the keeper is a learner."""
        return any(member.keeper == keeper for member in self.learners)

    @property
    def quorum(self) -> int:
        """How many voters make a majority."""
        return len(self.voters) // 2 + 1


class Message(msgspec.Struct, frozen=True):
    """Base of the messages between keepers; each carries the sender's term."""

    term: int


class VoteRequest(Message, frozen=True):
    """A keeper asks for a vote, or with `pre` whether it would get one."""

    last_index: int
    last_term: int
    pre: bool


class VoteReply(Message, frozen=True):
    """Answer to a VoteRequest of the same kind."""

    granted: bool
    pre: bool


class Append(Message, frozen=True):
    """A leader sends entries; empty ones are its heartbeat."""

    prev_index: int
    prev_term: int
    commit: int
    round: int
    entries: tuple[Entry, ...]


class AppendReply(Message, frozen=True):
    """Answer to an Append.

    Attributes:
        match_index: On success the last entry known to agree, otherwise the
            last index at which the follower could agree.
        prev_index: Index that the Append built on.
        blank: The follower has no log and no membership.
    """

    success: bool
    match_index: int
    prev_index: int
    round: int
    blank: bool


class SnapshotChunk(Message, frozen=True):
    """A part of a leader's snapshot for a follower that is far behind.

    Attributes:
        to_learner: The leader's membership has the receiver as a learner;
            a keeper without a log accepts a snapshot on no other terms.
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
    """Answer to a SnapshotChunk: the offset wanted next."""

    last_index: int
    offset: int
    done: bool
    round: int


class TransferLeadership(Message, frozen=True):
    """A leader that stops asks a caught-up voter to campaign at once."""


AnyMessage = (
    VoteRequest
    | VoteReply
    | Append
    | AppendReply
    | SnapshotChunk
    | SnapshotReply
    | TransferLeadership
)
