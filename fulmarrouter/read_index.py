"""Requests that are answered once leadership is confirmed after their arrival.

One round of heartbeats confirms leadership for all requests of a batch, as in
Raft's ReadIndex method. The answer to a request also waits until everything
that was in the log when its round started is applied. Pure: time is an
argument, and the replica's owner sends the heartbeats.
"""

import dataclasses
from typing import Generic
from typing import TypeVar

from fulmarrouter import consensus
from fulmarrouter import ids

# How long a request waits for its commit or confirmation before it is refused,
# so that the caller asks another keeper.
REQUEST_TIMEOUT_S = 2.0
# The next round may start this long after one that is still unconfirmed, since
# replies to that one may be lost.
UNCONFIRMED_ROUND_INTERVAL_S = 0.02
# The next round may start this long after the start of one that is confirmed.
# Requests that arrive meanwhile share the next round.
MIN_ROUND_INTERVAL_S = 0.004
# How long after the start of a round its confirmation is valid. A process that
# was paused for longer confirms its leadership again before it answers.
CONFIRMATION_VALIDITY_S = 1.0
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
class PendingRequest(Generic[_Request]):
    """A request that is answered once leadership is confirmed.

    Attributes:
        expires_at: When it is refused if it has not been answered.
        not_before: Earliest time at which it may be answered.
        proposed_index: Log index of the command proposed for it, 0 for none.
        round_started_at: When its round of heartbeats was started.
        required_index: Log index that must be applied first.
        required_round: Round of heartbeats that a majority must answer first.
    """

    client: Client
    request: _Request
    expires_at: float
    not_before: float = 0.0
    proposed_index: int = 0
    round_started_at: float = 0.0
    required_index: int = 0
    required_round: int = 0


class ReadIndexQueue(Generic[_Request]):
    """Requests in progress at a leader, by whether their round has started.

    Args:
        replica: The keeper's replica.
    """

    def __init__(self, replica: consensus.Replica) -> None:
        self._replica = replica
        self._queued: list[PendingRequest[_Request]] = []
        self._in_round: list[PendingRequest[_Request]] = []
        self._last_round = 0
        self._last_round_started_at = float("-inf")

    def add(
        self,
        now: float,
        client: Client,
        request: _Request,
        proposed_index: int = 0,
        not_before: float = 0.0,
    ) -> None:
        """Adds a request to the batch that the next round confirms."""
        self._queued.append(
            PendingRequest(
                client,
                request,
                now + REQUEST_TIMEOUT_S,
                not_before,
                proposed_index,
            )
        )

    def start_round(self, now: float) -> None:
        """Starts a round for all queued requests, if one may start now."""
        if not self._queued:
            return
        if now < self._last_round_started_at + self._round_interval_s():
            return
        read_round = self._replica.begin_read_round()
        if read_round is None:
            return
        self._last_round = read_round
        self._last_round_started_at = now
        last_log_index = self._replica.log.last_index
        self._in_round += [
            dataclasses.replace(
                pending,
                round_started_at=now,
                required_index=last_log_index,
                required_round=read_round,
            )
            for pending in self._queued
        ]
        self._queued = []

    def next_due(self, now: float) -> float:
        """Returns when a round or an answer is next due, without new requests."""
        answer_times = [pending.not_before for pending in self._in_round]
        due = min(
            (answer_time for answer_time in answer_times if answer_time > now),
            default=NEVER,
        )
        if not self._queued:
            return due
        return min(due, self._last_round_started_at + self._round_interval_s())

    def _round_interval_s(self) -> float:
        """Returns the least time between the last round and the next one."""
        if self._replica.is_round_confirmed(self._last_round):
            return MIN_ROUND_INTERVAL_S
        return UNCONFIRMED_ROUND_INTERVAL_S

    def take_confirmed(self, now: float) -> list[PendingRequest[_Request]]:
        """Removes and returns the requests that may be answered now.

        Requests whose confirmation is no longer valid are queued again.
        """
        confirmed: list[PendingRequest[_Request]] = []
        unconfirmed: list[PendingRequest[_Request]] = []
        for pending in self._in_round:
            is_confirmed = (
                now >= pending.not_before
                and self._replica.applied_index >= pending.required_index
                and self._replica.is_round_confirmed(pending.required_round)
            )
            if not is_confirmed:
                unconfirmed.append(pending)
            elif now - pending.round_started_at > CONFIRMATION_VALIDITY_S:
                self._queued.append(pending)
            else:
                confirmed.append(pending)
        self._in_round = unconfirmed
        return confirmed

    def take_expired(self, now: float) -> list[PendingRequest[_Request]]:
        """Removes and returns the requests that have waited for too long."""
        waiting = self._in_round + self._queued
        expired = [pending for pending in waiting if now >= pending.expires_at]
        if expired:
            self._in_round = [
                pending
                for pending in self._in_round
                if now < pending.expires_at
            ]
            self._queued = [
                pending for pending in self._queued if now < pending.expires_at
            ]
        return expired

    def take_all(self) -> list[PendingRequest[_Request]]:
        """Removes and returns all requests, for when leadership is lost."""
        taken = self._in_round + self._queued
        self._in_round = []
        self._queued = []
        return taken
