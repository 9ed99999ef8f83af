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
# A confirmation is followed by the next one as soon as it is complete, and
# after this time if answers to it are lost. Requests that arrive meanwhile
# share the next one.
NEXT_ROUND_S = 0.02
LEAST_ROUND_S = 0.004
# How long a confirmation is relied upon. A process that was paused for longer
# confirms again before it answers.
CONFIRMED_FOR_S = 1.0
NEVER = float("inf")

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
        expires_at: When the caller is sent elsewhere.
        not_before: When it is to be answered at the earliest.
        proposed_index: Log index of what it has proposed, 0 for nothing.
        started_at: When its confirmation was started.
        needed_index: Log index that has to be applied first.
        needed_round: Round of heartbeats that has to be answered.
    """

    client: Client
    request: _Request
    expires_at: float
    not_before: float = 0.0
    proposed_index: int = 0
    started_at: float = 0.0
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
        self._round = 0
        self._round_started_at = float("-inf")

    def add(
        self,
        now: float,
        client: Client,
        request: _Request,
        proposed_index: int = 0,
        not_before: float = 0.0,
    ) -> None:
        """Takes in a request that is to be confirmed with the next batch."""
        self._new.append(
            Waiting(
                client, request, now + TIMEOUT_S, not_before, proposed_index
            )
        )

    def start(self, now: float) -> None:
        """Starts one confirmation for all new requests, if it is time."""
        if not self._new:
            return
        if now < self._round_started_at + self._spacing_s():
            return
        started = self._replica.begin_read_round()
        if started is None:
            return
        self._round = started
        self._round_started_at = now
        last = self._replica.log.last_index
        self._started += [
            dataclasses.replace(
                item, started_at=now, needed_index=last, needed_round=started
            )
            for item in self._new
        ]
        self._new = []

    def next_due(self, now: float) -> float:
        """Returns when there is something to do if nothing arrives."""
        held = [item.not_before for item in self._started]
        due = min((at for at in held if at > now), default=NEVER)
        if not self._new:
            return due
        return min(due, self._round_started_at + self._spacing_s())

    def _spacing_s(self) -> float:
        """Returns the least time between the last round and the next one."""
        if self._replica.is_round_confirmed(self._round):
            return LEAST_ROUND_S
        return NEXT_ROUND_S

    def take_confirmed(self, now: float) -> list[Waiting[_Request]]:
        """Returns the requests that may be answered now."""
        confirmed: list[Waiting[_Request]] = []
        still: list[Waiting[_Request]] = []
        for item in self._started:
            is_confirmed = (
                now >= item.not_before
                and self._replica.applied_index >= item.needed_index
                and self._replica.is_round_confirmed(item.needed_round)
            )
            if not is_confirmed:
                still.append(item)
            elif now - item.started_at > CONFIRMED_FOR_S:
                self._new.append(item)
            else:
                confirmed.append(item)
        self._started = still
        return confirmed

    def take_expired(self, now: float) -> list[Waiting[_Request]]:
        """Returns the requests that have waited for too long."""
        waiting = self._started + self._new
        expired = [item for item in waiting if now >= item.expires_at]
        if expired:
            self._started = [
                item for item in self._started if now < item.expires_at
            ]
            self._new = [item for item in self._new if now < item.expires_at]
        return expired

    def take_all(self) -> list[Waiting[_Request]]:
        """Returns all requests in progress, since leadership is lost."""
        taken = self._started + self._new
        self._started = []
        self._new = []
        return taken
