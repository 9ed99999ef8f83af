"""Requests that are answered once leadership is confirmed after them.

Pure. One round of heartbeats confirms all requests of a batch. A request's
answer also waits until everything that was proposed up to then is applied.
"""

import dataclasses
from typing import Generic
from typing import TypeVar

from fulmarrouter import consensus
from fulmarrouter import ids

# How long a request waits for its commit or confirmation before the caller
# is sent elsewhere.
TIMEOUT_S = 2.0

_Request = TypeVar("_Request")
_Reply = TypeVar("_Reply")


@dataclasses.dataclass(frozen=True)
class Client:
    """Where a reply goes: a connection, and the call's number on it."""

    connection: ids.ConnectionId
    call: ids.CallId


@dataclasses.dataclass(frozen=True)
class Answered(Generic[_Reply]):
    """A reply that is ready to be sent."""

    client: Client
    reply: _Reply


@dataclasses.dataclass(frozen=True)
class Waiting(Generic[_Request]):
    """A request whose reply needs a confirmed leadership.

    Attributes:
        proposed_index: Log index of what it has proposed, 0 for nothing.
        needed_index: Log index that has to be applied first.
        needed_round: Round of heartbeats that has to be answered.
    """

    client: Client
    request: _Request
    expires_at: float
    proposed_index: int = 0
    needed_index: int = 0
    needed_round: int = 0


class Confirmations(Generic[_Request]):
    """Requests in progress at a leader.

    Args:
        replica: The keeper's replica.
    """

    def __init__(self, replica: consensus.Replica) -> None:
        self._replica = replica
        self._new: list[Waiting[_Request]] = []
        self._started: list[Waiting[_Request]] = []

    def add(
        self,
        now: float,
        client: Client,
        request: _Request,
        proposed_index: int = 0,
    ) -> None:
        """Takes in a request that is to be confirmed with the next batch."""
        self._new.append(
            Waiting(client, request, now + TIMEOUT_S, proposed_index)
        )

    def start(self) -> None:
        """Starts one confirmation for all new requests."""
        if not self._new:
            return
        started = self._replica.begin_read()
        if started is None:
            return
        last = self._replica.log.last_index
        self._started += [
            dataclasses.replace(item, needed_index=last, needed_round=started)
            for item in self._new
        ]
        self._new = []

    def take_confirmed(self) -> list[Waiting[_Request]]:
        """Returns the requests that may be answered now."""
        confirmed: list[Waiting[_Request]] = []
        still: list[Waiting[_Request]] = []
        for item in self._started:
            is_confirmed = (
                self._replica.applied_index >= item.needed_index
                and self._replica.read_confirmed(item.needed_round)
            )
            (confirmed if is_confirmed else still).append(item)
        self._started = still
        return confirmed

    def take_expired(self, now: float) -> list[Waiting[_Request]]:
        """Returns the started requests that have waited for too long."""
        expired = [item for item in self._started if now >= item.expires_at]
        if expired:
            self._started = [
                item for item in self._started if now < item.expires_at
            ]
        return expired

    def take_all(self) -> list[Waiting[_Request]]:
        """Returns all requests in progress, since leadership is lost."""
        taken = self._started + self._new
        self._started = []
        self._new = []
        return taken
