"""The task through which an entry talks to the leading keeper.

Every request is safe to send again: commands carry their own keys. So a lost
answer or a change of leader is met by resending until the deadline.
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

ATTEMPT_TIMEOUT_S = 0.7
RESEND_DELAY_S = 0.05
POLL_S = 0.05

ReplyFuture = concurrent.futures.Future[requests.AnyReply]


@dataclasses.dataclass(frozen=True)
class Ask:
    """Asks for a request to be answered before a deadline."""

    request: requests.AnyRequest
    deadline: float
    reply: ReplyFuture


@dataclasses.dataclass(frozen=True)
class KeepersChanged:
    """The quorum's members have changed."""

    keepers: tuple[commands.KeeperAddress, ...]


ClientMessage = (
    Ask | KeepersChanged | network.FrameReceived | network.ConnectionClosed
)


@dataclasses.dataclass
class _Pending:
    ask: Ask
    payload: bytes
    attempts: int = 0
    send_at: float = 0.0
    expires_at: float = 0.0
    address: str = ""


class LeaderClient(tasks.Task[ClientMessage]):
    """Owns the requests that wait for an answer."""

    name = "leader_client"

    def __init__(
        self,
        keepers: tuple[commands.KeeperAddress, ...],
        registry: metrics.Registry,
    ) -> None:
        super().__init__()
        self._addresses = [item.place for item in keepers]
        self._leader = self._addresses[0]
        self._metrics = registry
        self._network: network.Network | None = None
        self._pending_by_id: dict[ids.CallId, _Pending] = {}
        self._next_id = ids.CallId(1)

    def attach(self, owner: network.Network) -> None:
        """Gives the task the network that carries its messages."""
        self._network = owner

    def ask(self, request: requests.AnyRequest, timeout: float) -> ReplyFuture:
        """Sends a request; the future always gets a reply in the end.

        Args:
            request: What to ask.
            timeout: Seconds after which the reply is Refused, with code
                KEEPER_UNAVAILABLE if nothing can have happened, else
                PROPOSAL_UNKNOWN.
        """
        reply: ReplyFuture = concurrent.futures.Future()
        self.post(Ask(request, time.monotonic() + timeout, reply))
        return reply

    def poll_timeout(self) -> float:
        """Returns how often deadlines are looked at."""
        return POLL_S if self._pending_by_id else 1.0

    def handle(self, message: ClientMessage) -> None:
        """Handles one message."""
        match message:
            case Ask():
                payload = requests.encode_request(message.request)
                pending = _Pending(message, payload)
                self._pending_by_id[self._next_id] = pending
                self._send(self._next_id, pending)
                self._next_id = ids.CallId(self._next_id + 1)
            case KeepersChanged():
                self._addresses = [item.place for item in message.keepers]
            case network.FrameReceived():
                if isinstance(message.envelope.body, wire.CallReply):
                    self._on_reply(message.envelope.body)
            case network.ConnectionClosed():
                self._on_closed(message.address)

    def after_batch(self) -> None:
        """Resends what is due and gives up what is late."""
        now = time.monotonic()
        for number, pending in list(self._pending_by_id.items()):
            if now >= pending.ask.deadline:
                self._give_up(number, pending)
            elif pending.send_at and now >= pending.send_at:
                self._send(number, pending)
            elif pending.expires_at and now >= pending.expires_at:
                self._metrics.count("retries", reason="keeper_timeout")
                self._rotate(pending.address)
                self._send(number, pending)

    def shut_down(self) -> None:
        """Answers what is still waiting."""
        for number, pending in list(self._pending_by_id.items()):
            self._give_up(number, pending)

    def _send(self, number: ids.CallId, pending: _Pending) -> None:
        pending.send_at = 0.0
        pending.expires_at = time.monotonic() + ATTEMPT_TIMEOUT_S
        pending.attempts += 1
        pending.address = self._leader
        if self._network:
            call = wire.Call(number, pending.payload)
            self._network.post(network.SendToPeer(self._leader, call))

    def _on_reply(self, body: wire.CallReply) -> None:
        pending = self._pending_by_id.get(body.id)
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
            self._resend_elsewhere(pending, reply.leader)
            return
        del self._pending_by_id[body.id]
        pending.ask.reply.set_result(reply)

    def _resend_elsewhere(self, pending: _Pending, leader: str) -> None:
        if leader and leader != pending.address:
            self._leader = leader
        else:
            self._rotate(pending.address)
        pending.expires_at = 0.0
        pending.send_at = time.monotonic() + RESEND_DELAY_S

    def _rotate(self, failed: str) -> None:
        """Turns to the next keeper, unless that has been done already."""
        if self._leader != failed:
            return
        position = -1
        if failed in self._addresses:
            position = self._addresses.index(failed)
        self._leader = self._addresses[(position + 1) % len(self._addresses)]

    def _on_closed(self, address: str) -> None:
        waiting = [
            pending
            for pending in self._pending_by_id.values()
            if pending.address == address and pending.expires_at
        ]
        if address == self._leader:
            self._rotate(address)
        for pending in waiting:
            pending.expires_at = 0.0
            pending.send_at = time.monotonic() + RESEND_DELAY_S

    def _give_up(self, number: ids.CallId, pending: _Pending) -> None:
        del self._pending_by_id[number]
        is_proposal = isinstance(pending.ask.request, requests.Propose)
        code = codes.Code.KEEPER_UNAVAILABLE
        if is_proposal and pending.attempts:
            code = codes.Code.PROPOSAL_UNKNOWN
        pending.ask.reply.set_result(
            requests.Refused(code, "no answer in time")
        )
