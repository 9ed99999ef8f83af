"""Task that connects a keeper's I/O-free core to its storage and network."""

import dataclasses
import time

import msgspec

from fulmarrouter import codes
from fulmarrouter import keeper as keeper_lib
from fulmarrouter import messages
from fulmarrouter import metrics
from fulmarrouter import network
from fulmarrouter import requests
from fulmarrouter import storage as storage_lib
from fulmarrouter import tasks
from fulmarrouter import times
from fulmarrouter import wire

MAX_POLL_TIMEOUT_S = 0.05


@dataclasses.dataclass(frozen=True)
class RequestLeadershipTransfer:
    """Asks the keeper, if it is the leader, to transfer leadership."""


KeeperMessage = (
    network.FrameReceived | network.ConnectionClosed | RequestLeadershipTransfer
)


class KeeperTask(tasks.Task[KeeperMessage]):
    """Owns a keeper's core and its data folder."""

    name = "keeper"

    def __init__(
        self,
        keeper: keeper_lib.Keeper,
        storage: storage_lib.Storage,
        peer_addresses: dict[str, str],
        registry: metrics.Registry,
    ) -> None:
        super().__init__()
        self._keeper = keeper
        self._storage = storage
        self._peer_addresses = dict(peer_addresses)
        self._metrics = registry
        self._network: network.Network | None = None
        self._was_leader = False

    def attach(self, network_task: network.Network) -> None:
        """Sets the network task that sends this task's messages."""
        self._network = network_task

    def poll_timeout(self) -> float:
        """Returns the time until the next tick, at most MAX_POLL_TIMEOUT_S."""
        wait = self._keeper.replica.next_deadline() - time.monotonic()
        return min(MAX_POLL_TIMEOUT_S, max(0.0, wait))

    def handle(self, message: KeeperMessage) -> None:
        """Passes one message to the core."""
        now = time.monotonic()
        match message:
            case network.FrameReceived():
                self._on_received(now, message)
            case network.ConnectionClosed():
                return
            case RequestLeadershipTransfer():
                self._keeper.replica.transfer_leadership()

    def after_batch(self) -> None:
        """Performs the I/O that the core has requested since the last batch.

        Sends the messages that need no sync, writes the output to storage and
        syncs it, sends the messages that depend on the sync, applies committed
        entries, and replies to clients.
        """
        now = time.monotonic()
        self._keeper.tick(now, times.wall_ms())
        output = self._keeper.replica.take_output()
        for outbound in output.before_sync:
            self._send(outbound.to, outbound.message)
        if output.needs_sync:
            started = time.monotonic()
            log = self._keeper.replica.log
            retained = log.range(log.snapshot.last_index + 1, log.last_index)
            self._storage.write(output, retained if output.installed else [])
            self._metrics.observe("sync_seconds", time.monotonic() - started)
        for outbound in output.after_sync:
            self._send(outbound.to, outbound.message)
        for answered in self._keeper.after_sync(
            time.monotonic(), times.wall_ms()
        ):
            self._reply(answered)
        self._store_snapshot()
        self._update_metrics()

    def shut_down(self) -> None:
        """Closes the data folder."""
        self._storage.close()

    def _on_received(self, now: float, message: network.FrameReceived) -> None:
        body = message.envelope.body
        if isinstance(body, messages.Message):
            self._keeper.on_message(now, message.envelope.sender, body)
            return
        if not isinstance(body, wire.Call):
            return
        client = keeper_lib.Client(message.connection, body.id)
        try:
            request = requests.decode_request(body.payload)
        except msgspec.DecodeError as error:
            refused = requests.Refused(codes.Code.INVALID, str(error))
            self._reply(keeper_lib.Answered(client, refused))
            return
        self._metrics.count("keeper_requests", kind=type(request).__name__)
        self._keeper.on_request(now, times.wall_ms(), client, request)

    def _address_of(self, keeper: str) -> str | None:
        known = self._keeper.replica.membership.address_of(keeper)
        return known or self._peer_addresses.get(keeper)

    def _send(self, to: str, message: messages.AnyMessage) -> None:
        address = self._address_of(to)
        if address and self._network:
            self._network.post(network.SendToPeer(address, message))

    def _reply(self, answered: keeper_lib.Answered) -> None:
        if self._network is None:
            return
        payload = requests.encode_reply(answered.reply)
        if isinstance(answered.reply, requests.Refused):
            self._metrics.count(
                "keeper_refusals", reason=answered.reply.code.name
            )
        body = wire.CallReply(answered.client.call, payload)
        self._network.post(
            network.SendOnConnection(answered.client.connection, body)
        )

    def _store_snapshot(self) -> None:
        snapshot = self._keeper.take_snapshot()
        if snapshot is None:
            return
        log = self._keeper.replica.log
        entries = log.range(snapshot.last_index + 1, log.last_index)
        self._storage.store_snapshot(snapshot, entries)
        self.log.info(
            "snapshot stored",
            index=snapshot.last_index,
            bytes=len(snapshot.data),
        )

    def _update_metrics(self) -> None:
        replica = self._keeper.replica
        self._metrics.gauge("raft_term", replica.term)
        self._metrics.gauge("raft_commit_index", replica.commit_index)
        self._metrics.gauge("raft_is_leader", int(replica.is_leader))
        self._metrics.gauge("log_bytes_written", self._storage.bytes_written)
        self._metrics.gauge("log_syncs", self._storage.syncs)
        self._metrics.gauge("commands_applied", self._keeper.applied_commands)
        if replica.is_leader != self._was_leader:
            self._was_leader = replica.is_leader
            event = (
                "leadership gained" if replica.is_leader else "leadership lost"
            )
            self.log.info(event, keeper=replica.keeper, term=replica.term)
