"""The task that sends an entry's requests to the leading keeper.

Every request can be sent twice without harm, since commands carry keys that
identify repetitions. So after a lost reply or a change of leader, the request
is resent until its deadline.
"""

import concurrent.futures
import dataclasses
import time

import msgspec

from fulmarrouter import codes
from fulmarrouter import commands
from fulmarrouter import ids
from fulmarrouter import metrics
from fulmarrouter import network
from fulmarrouter import requests
from fulmarrouter import tasks
from fulmarrouter import wire

# A request without a reply for this long is resent to the next keeper.
ATTEMPT_TIMEOUT_S = 0.7
# Pause before a request is resent after NOT_LEADER, PROPOSAL_UNKNOWN or the
# loss of the connection.
RESEND_DELAY_S = 0.05
# How often deadlines are checked while requests are pending.
POLL_INTERVAL_S = 0.05

ReplyFuture = concurrent.futures.Future[requests.AnyReply]


@dataclasses.dataclass(frozen=True)
class SendRequest:
    """Sends a request that is to be answered before a deadline."""

    request: requests.AnyRequest
    deadline: float
    reply: ReplyFuture


@dataclasses.dataclass(frozen=True)
class KeepersChanged:
    """Replaces the addresses of the keepers that may be leader."""

    keepers: tuple[commands.KeeperAddress, ...]


ClientMessage = (
    SendRequest
    | KeepersChanged
    | network.FrameReceived
    | network.ConnectionClosed
)


@dataclasses.dataclass
class _PendingRequest:
    """A request that has no reply yet.

    Attributes:
        resend_at: When to send the next attempt; 0 if none is scheduled.
        attempt_expires_at: When the current attempt times out; 0 if none is in
            progress.
        address: Keeper to which the latest attempt was sent.
    """

    message: SendRequest
    payload: bytes
    attempts: int = 0
    resend_at: float = 0.0
    attempt_expires_at: float = 0.0
    address: str = ""


class LeaderClient(tasks.Task[ClientMessage]):
    """Sends requests to the leader and resends them until they are answered."""

    name = "leader_client"

    def __init__(
        self,
        keepers: tuple[commands.KeeperAddress, ...],
        registry: metrics.Registry,
    ) -> None:
        super().__init__()
        self._addresses = [item.host_port for item in keepers]
        self._leader_address = self._addresses[0]
        self._metrics = registry
        self._network: network.Network | None = None
        self._pending_by_call_id: dict[ids.CallId, _PendingRequest] = {}
        self._next_call_id = ids.CallId(1)

    def attach(self, network_task: network.Network) -> None:
        """Sets the task that carries the messages to and from the keepers."""
        self._network = network_task

    def send_request(
        self, request: requests.AnyRequest, timeout: float
    ) -> ReplyFuture:
        """Sends a request; the future always completes with a reply.

        Args:
            request: Request to send.
            timeout: Seconds after which the reply is Refused, with code
                PROPOSAL_UNKNOWN if a command was sent and may still be
                committed, else KEEPER_UNAVAILABLE.
        """
        reply: ReplyFuture = concurrent.futures.Future()
        self.post(SendRequest(request, time.monotonic() + timeout, reply))
        return reply

    def poll_timeout(self) -> float:
        """Returns how long to wait for a message before checking deadlines."""
        return POLL_INTERVAL_S if self._pending_by_call_id else 1.0

    def handle(self, message: ClientMessage) -> None:
        """Handles one message."""
        match message:
            case SendRequest():
                payload = requests.encode_request(message.request)
                pending = _PendingRequest(message, payload)
                self._pending_by_call_id[self._next_call_id] = pending
                self._send(self._next_call_id, pending)
                self._next_call_id = ids.CallId(self._next_call_id + 1)
            case KeepersChanged():
                self._addresses = [item.host_port for item in message.keepers]
            case network.FrameReceived():
                if isinstance(message.envelope.body, wire.CallReply):
                    self._on_reply(message.envelope.body)
            case network.ConnectionClosed():
                self._on_connection_closed(message.address)

    def after_batch(self) -> None:
        """Resends requests that are due and fails those past their deadline."""
        now = time.monotonic()
        for call_id, pending in list(self._pending_by_call_id.items()):
            if now >= pending.message.deadline:
                self._fail_pending(call_id, pending)
            elif pending.resend_at and now >= pending.resend_at:
                self._send(call_id, pending)
            elif (
                pending.attempt_expires_at and now >= pending.attempt_expires_at
            ):
                self._metrics.count("retries", reason="keeper_timeout")
                self._select_next_keeper(pending.address)
                self._send(call_id, pending)

    def shut_down(self) -> None:
        """Fails all pending requests."""
        for call_id, pending in list(self._pending_by_call_id.items()):
            self._fail_pending(call_id, pending)

    def _send(self, call_id: ids.CallId, pending: _PendingRequest) -> None:
        pending.resend_at = 0.0
        pending.attempt_expires_at = time.monotonic() + ATTEMPT_TIMEOUT_S
        pending.attempts += 1
        pending.address = self._leader_address
        if self._network:
            call = wire.Call(call_id, pending.payload)
            self._network.post(network.SendToPeer(self._leader_address, call))

    def _on_reply(self, body: wire.CallReply) -> None:
        pending = self._pending_by_call_id.get(body.id)
        if pending is None:
            return
        try:
            reply = requests.decode_reply(body.payload)
        except msgspec.DecodeError as error:
            self.log.error("reply can't be decoded", error=str(error))
            return
        if isinstance(reply, requests.Refused) and reply.code in (
            codes.Code.NOT_LEADER,
            codes.Code.PROPOSAL_UNKNOWN,
        ):
            self._metrics.count(
                "retries", reason=f"keeper_{reply.code.name.lower()}"
            )
            self._redirect(pending, reply.leader)
            return
        del self._pending_by_call_id[body.id]
        pending.message.reply.set_result(reply)

    def _redirect(self, pending: _PendingRequest, leader: str) -> None:
        """Schedules a resend to the given leader or else to the next keeper."""
        if leader and leader != pending.address:
            self._leader_address = leader
        else:
            self._select_next_keeper(pending.address)
        pending.attempt_expires_at = 0.0
        pending.resend_at = time.monotonic() + RESEND_DELAY_S

    def _select_next_keeper(self, failed: str) -> None:
        """Selects the keeper after the failed one as the presumed leader.

        Does nothing if another keeper has been selected since.
        """
        if self._leader_address != failed:
            return
        position = -1
        if failed in self._addresses:
            position = self._addresses.index(failed)
        self._leader_address = self._addresses[
            (position + 1) % len(self._addresses)
        ]

    def _on_connection_closed(self, address: str) -> None:
        in_flight = [
            pending
            for pending in self._pending_by_call_id.values()
            if pending.address == address and pending.attempt_expires_at
        ]
        if address == self._leader_address:
            self._select_next_keeper(address)
        for pending in in_flight:
            pending.attempt_expires_at = 0.0
            pending.resend_at = time.monotonic() + RESEND_DELAY_S

    def _fail_pending(
        self, call_id: ids.CallId, pending: _PendingRequest
    ) -> None:
        """Refuses a request, with a code that says if it may take effect."""
        del self._pending_by_call_id[call_id]
        is_proposal = isinstance(pending.message.request, requests.Propose)
        code = codes.Code.KEEPER_UNAVAILABLE
        if is_proposal and pending.attempts:
            code = codes.Code.PROPOSAL_UNKNOWN
        pending.message.reply.set_result(
            requests.Refused(code, "no answer in time")
        )
