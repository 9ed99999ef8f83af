"""In-memory part of the replicated log, on top of the latest snapshot."""

import bisect
from collections.abc import Sequence
import itertools

import msgspec

from fulmarrouter import messages


class SnapshotData(msgspec.Struct, frozen=True, array_like=True):
    """State after applying the log up to and including `last_index`."""

    last_index: int = 0
    last_term: int = 0
    membership: messages.Membership = messages.Membership()
    data: bytes = b""


class RaftLog:
    """Log entries on top of a snapshot, addressed by log index.

    Attributes:
        snapshot: Latest snapshot.
        base_index: Index just before the first entry held. It is below the
            snapshot's last index while entries are retained for followers.
    """

    def __init__(
        self, snapshot: SnapshotData, entries: Sequence[messages.Entry]
    ) -> None:
        self.snapshot = snapshot
        self.base_index = snapshot.last_index
        self._base_term = snapshot.last_term
        self._entries = list(entries)
        # Bytes of all entries up to each one, counted from the first one held.
        self._bytes_up_to: list[int] = []
        self._recount_bytes()

    def _recount_bytes(self) -> None:
        self._bytes_up_to = list(
            itertools.accumulate(len(entry.data) for entry in self._entries)
        )

    @property
    def last_index(self) -> int:
        """Index of the last entry."""
        return self.base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry."""
        if self._entries:
            return self._entries[-1].term
        return self._base_term

    def term_at(self, index: int) -> int | None:
        """Returns the term at an index, or None if it isn't held."""
        if index == self.base_index:
            return self._base_term
        if self.base_index < index <= self.last_index:
            return self._entries[index - self.base_index - 1].term
        return None

    def slice(
        self, first: int, max_entries: int, max_bytes: int
    ) -> tuple[messages.Entry, ...]:
        """Returns entries from `first` on, limited in number and bytes.

        The first entry is returned even if it exceeds `max_bytes`.
        """
        start = first - self.base_index - 1
        chosen: list[messages.Entry] = []
        size = 0
        for entry in self._entries[start : start + max_entries]:
            size += len(entry.data)
            if chosen and size > max_bytes:
                break
            chosen.append(entry)
        return tuple(chosen)

    def bytes_between(self, before: int, last: int) -> int:
        """Returns the bytes of the entries after `before` up to `last`.

        Entries that aren't held don't count.
        """
        return self._bytes_to(last) - self._bytes_to(before)

    def _bytes_to(self, index: int) -> int:
        held = min(index - self.base_index, len(self._entries))
        return self._bytes_up_to[held - 1] if held > 0 else 0

    def range(self, first: int, last: int) -> list[messages.Entry]:
        """Returns the entries from `first` to `last`, both included."""
        return self._entries[
            first - self.base_index - 1 : last - self.base_index
        ]

    def append(self, entry: messages.Entry) -> None:
        """Appends an entry."""
        self._entries.append(entry)
        total = self._bytes_up_to[-1] if self._bytes_up_to else 0
        self._bytes_up_to.append(total + len(entry.data))

    def truncate_from(self, index: int) -> None:
        """Drops the entry at `index` and all that follow."""
        del self._entries[index - self.base_index - 1 :]
        del self._bytes_up_to[index - self.base_index - 1 :]

    def membership_at_end(self) -> tuple[messages.Membership, int]:
        """Returns the latest membership and the index of its entry."""
        for entry in reversed(self._entries):
            if entry.kind is messages.EntryKind.MEMBERS:
                membership = msgspec.msgpack.decode(
                    entry.data, type=messages.Membership
                )
                return membership, entry.index
        return self.snapshot.membership, self.base_index

    def membership_at(self, index: int) -> messages.Membership:
        """Returns the membership in force at an index."""
        for entry in reversed(self.range(self.base_index + 1, index)):
            if entry.kind is messages.EntryKind.MEMBERS:
                return msgspec.msgpack.decode(
                    entry.data, type=messages.Membership
                )
        return self.snapshot.membership

    def compact(
        self, snapshot: SnapshotData, retain: int, retain_bytes: int
    ) -> None:
        """Drops the entries that the snapshot covers, except the last ones.

        The retained entries let a follower that is slightly behind catch up
        without a snapshot.

        Args:
            snapshot: The snapshot.
            retain: Largest number of entries that are retained.
            retain_bytes: Limit on the bytes of the entries that are retained.
        """
        excess = self._bytes_to(snapshot.last_index) - retain_bytes
        base = max(
            self.base_index,
            snapshot.last_index - retain,
            self.base_index + bisect.bisect_left(self._bytes_up_to, excess) + 1
            if excess > 0
            else 0,
        )
        base_term = self.term_at(base)
        assert base_term is not None
        self._entries = self.range(base + 1, self.last_index)
        self._recount_bytes()
        self.base_index = base
        self._base_term = base_term
        self.snapshot = snapshot

    def reset(self, snapshot: SnapshotData) -> None:
        """Replaces the whole log by a snapshot received from a leader."""
        self._entries = []
        self._bytes_up_to = []
        self.base_index = snapshot.last_index
        self._base_term = snapshot.last_term
        self.snapshot = snapshot
