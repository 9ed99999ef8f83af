"""The task that runs one process of the cluster: one thread, one selector.

It owns the connections to the other processes, the HTTP servers, and on a VM
with a disk the keeper. Only disk writes happen on another thread.
"""

from collections.abc import Callable
import dataclasses
import pathlib
import selectors
import time

import msgspec

from fulmarrouter import addresses
from fulmarrouter import codes
from fulmarrouter import commands
from fulmarrouter import connections
from fulmarrouter import consensus
from fulmarrouter import event_http
from fulmarrouter import ids
from fulmarrouter import messages
from fulmarrouter import metrics
from fulmarrouter import raft_log
from fulmarrouter import settings as settings_lib
from fulmarrouter import storage as storage_lib
from fulmarrouter import tasks
from fulmarrouter import times
from fulmarrouter import waking
from fulmarrouter import wire
from fulmarrouter.cluster import controller as controller_lib
from fulmarrouter.cluster import controller_setup
from fulmarrouter.cluster import disk_writer
from fulmarrouter.cluster import draining
from fulmarrouter.cluster import gateway as gateway_lib
from fulmarrouter.cluster import identity
from fulmarrouter.cluster import link_clock
from fulmarrouter.cluster import membership
from fulmarrouter.cluster import notes
from fulmarrouter.cluster import request_checks
from fulmarrouter.cluster import requests
from fulmarrouter.cluster import settings_file
from fulmarrouter.cluster import state as state_lib

MAX_IDLE_S = 0.05
KEEPER_IDLE_S = 0.02
# How often a keeper that follows a leader announces itself to it, and one
# that doesn't hear from a leader to everybody it knows.
ANNOUNCE_S = 1.0
# How often a settled keeper also tells the seeds, which may have no disk and
# are all that a restarted process knows.
SEED_ANNOUNCE_S = 2.0
SEEKING_ANNOUNCE_S = 0.25
# Silence of the leader after which a keeper announces itself everywhere.
LEADER_SILENCE_S = 1.0
LOCAL = ids.ConnectionId(0)
FOUNDING_TERM = 1

Handler = Callable[["Node", event_http.HttpRequest, event_http.Exchange], None]


@dataclasses.dataclass(frozen=True)
class Interface:
    """An HTTP interface of the process: where it listens, who answers."""

    address: str
    handler: Handler


class Node(tasks.Task[None]):
    """Owns all sockets and the state of one process.

    Args:
        settings: Checked settings.
        interfaces: HTTP interfaces to serve.
        source: The file that the settings are from, if it may change.
    """

    name = "node"

    def __init__(
        self,
        settings: settings_lib.NodeSettings,
        interfaces: list[Interface],
        source: settings_file.SettingsFile | None = None,
    ) -> None:
        super().__init__()
        self.settings = settings
        self._source = source
        self.is_draining = False
        self.registry = metrics.Registry()
        self.notes = notes.Notebook()
        self._bounded_log = notes.BoundedLog(self.log)
        self._known_leader = ""
        self._selector = selectors.DefaultSelector()
        self._waker = waking.Waker(self._selector, (None, None))
        self._host = settings.host
        self._address = f"{settings.host}:{settings.peer_port}"
        self._servers = [
            event_http.HttpServer(
                self._selector,
                (
                    addresses.host_of(interface.address),
                    addresses.port_of(interface.address),
                ),
                self._handler_of(interface),
            )
            for interface in interfaces
        ]
        self.controller: controller_lib.Controller | None = None
        self._disk: disk_writer.DiskWriter | None = None
        self._storage: storage_lib.Storage | None = None
        self._sender = settings.name
        if settings.data_folder:
            self._open_keeper(pathlib.Path(settings.data_folder))
        self._peers = connections.Connections(
            self._sender,
            (settings.host, settings.peer_port),
            self._selector,
            self._on_incoming,
        )
        self._link = link_clock.LinkClock(settings.link_mbps)
        redirect_port = 0
        if self.controller is None:
            redirect_port = addresses.port_of(settings.control)
        self.gateway = gateway_lib.Gateway(
            self,
            self._address,
            self._peers_at(settings.seeds),
            redirect_port,
        )
        self._announcements = membership.Announcements()
        self._connection_by_sender: dict[str, ids.ConnectionId] = {}
        self._announce_due = 0.0
        self._seed_announce_due = 0.0
        self._leader_heard_at = 0.0
        self._was_leader = False
        self._held_back: list[consensus.Outbound] = []
        self._must_stop = False
        self._is_ending = False
        self._shutdown: draining.Shutdown | None = None

    def _handler_of(self, interface: Interface) -> event_http.Handler:
        def handle(
            request: event_http.HttpRequest, exchange: event_http.Exchange
        ) -> None:
            interface.handler(self, request, exchange)

        return handle

    def _peers_at(self, seeds: tuple[str, ...]) -> tuple[str, ...]:
        """Returns where the seeds listen for other processes."""
        return tuple(
            f"{addresses.host_of(seed)}:{self.settings.peer_port}"
            for seed in seeds
        )

    def _use_seeds(self, seeds: tuple[str, ...]) -> None:
        self.gateway.seeds = self._peers_at(seeds)

    # Keeper.

    def _open_keeper(self, folder: pathlib.Path) -> None:
        self._sender = identity.load_or_create(folder)
        self._storage = storage_lib.Storage(folder)
        self._start_controller(self._storage.load())
        self._disk = disk_writer.DiskWriter(self._storage, self._waker.wake)

    def _start_controller(self, saved: consensus.PersistentState) -> None:
        self.controller = controller_setup.build(
            time.monotonic(), self._sender, saved, self.settings
        )

    def _found(self) -> None:
        """Founds the quorum with this keeper as its only member so far."""
        assert self._storage is not None
        member = messages.Membership(voters=(self._own_member(),))
        snapshot = raft_log.SnapshotData(
            1, FOUNDING_TERM, member, state_lib.State().encode()
        )
        self._storage.store_snapshot(snapshot, [])
        self.log.info("founded the quorum", keeper=self._sender)
        self._start_controller(
            consensus.PersistentState(consensus.HardState(), snapshot, ())
        )

    def _own_member(self) -> commands.KeeperAddress:
        return commands.KeeperAddress(
            self._sender, self._host, self.settings.peer_port
        )

    # Requests.

    def ask(
        self,
        request: requests.AnyRequest,
        timeout_s: float,
        on_reply: gateway_lib.OnReply,
    ) -> None:
        """Takes a request to the leader; calls back once on this thread."""
        if self._is_ending:
            on_reply(
                requests.Refused(
                    codes.Code.DRAINING,
                    retry_after_ms=gateway_lib.RETRY_AFTER_MS,
                )
            )
            return
        problem = request_checks.problem(request)
        if problem:
            on_reply(requests.Refused(codes.Code.BAD_REQUEST, problem))
            return
        self.gateway.ask(time.monotonic(), request, timeout_s, on_reply)

    def send_request(
        self, address: str, call: ids.CallId, request: requests.AnyRequest
    ) -> bool:
        """Sends a request to a process, this one included."""
        if address == self._address:
            if self.controller is None:
                return False
            self.controller.on_request(
                time.monotonic(),
                times.wall_ms(),
                controller_lib.Client(LOCAL, call),
                request,
            )
            return True
        payload = requests.encode(request)
        is_sent = self._peers.send_to_peer(address, wire.Call(call, payload))
        if is_sent:
            self._link.note_sent(time.monotonic(), len(payload))
        return is_sent

    def seconds_to_send(self) -> float:
        """Returns the seconds until all requests have left this VM."""
        return self._link.seconds_to_send(time.monotonic())

    def drop_peer(self, address: str, reason: str) -> None:
        """Closes the connection to a process."""
        self._peers.drop_peer(address, reason)
        self._link.forget()

    def count_retry(self, reason: gateway_lib.RetryReason) -> None:
        """Counts a try at the leader that has to be repeated."""
        self.registry.count("leader_retries", reason=reason.value)

    @property
    def is_ready(self) -> bool:
        """Whether callers should be sent here."""
        return not self.is_draining and bool(self.gateway.leader)

    # The thread.

    def stop(self) -> None:
        """Asks the task to end; may be called from a signal handler."""
        self._must_stop = True
        self._waker.wake()

    def drain(self) -> None:
        """Asks for a graceful shutdown; may be called from a signal handler."""
        self.is_draining = True
        self._waker.wake()

    def reload(self) -> None:
        """Has the settings file read; may be called from a signal handler."""
        if self._source is not None:
            self._source.ask_to_read()
        self._waker.wake()

    def run(self) -> None:
        """Serves until stopped or drained."""
        self.log.info(
            "node started",
            node=self.settings.name,
            address=self._address,
            keeper=self._sender if self.controller else "",
        )
        try:
            while not self._must_stop and not self._is_drained():
                self._turn_once()
        finally:
            self.log.info("node stopped", node=self.settings.name)
            for server in self._servers:
                server.close()
            self._peers.close()
            if self._disk is not None:
                self._disk.close()
            self._selector.close()

    def _turn_once(self) -> None:
        for key, events in self._selector.select(self._idle_seconds()):
            owner, data = key.data
            if owner is None:
                self._waker.drain()
            else:
                owner.on_ready(data, events)
        now = time.monotonic()
        self._run_keeper(now)
        self.gateway.tick(now)
        self._announce(now)
        self._write_notes(now)
        if self._source is not None:
            self._source.poll(now, self._use_seeds)
        self._peers.check_clocks(now)
        for server in self._servers:
            server.check_clocks(now)

    def _write_notes(self, now: float) -> None:
        if self.gateway.leader != self._known_leader:
            self._known_leader = self.gateway.leader
            self.notes.add("leader changed", leader=self._known_leader)
        taken = self.notes.take()
        if self.controller is not None:
            taken += self.controller.notes.take()
        for note in taken:
            reason = str(note.fields.get("reason", ""))
            self.registry.count("decisions", event=note.event, reason=reason)
        self._bounded_log.write(now, taken)

    def _idle_seconds(self) -> float:
        if self.controller is None:
            return MAX_IDLE_S
        if self.controller.has_more:
            return 0.0
        now = time.monotonic()
        due = self.controller.next_due(now) - now
        return min(KEEPER_IDLE_S, max(0.0, due))

    def _is_drained(self) -> bool:
        if not self.is_draining:
            return False
        now = time.monotonic()
        if self._shutdown is None:
            self._shutdown = draining.Shutdown(now, self.settings.stop_grace_s)
            self.log.info("draining", node=self.settings.name)
            for server in self._servers:
                server.is_draining = True
            if self.controller is not None:
                self.controller.replica.transfer_leadership()
        if self._shutdown.must_answer_all(now) and not self._is_ending:
            self._is_ending = True
            self.gateway.give_up_all()
        is_idle = all(
            server.in_progress == 0 and server.open_connections == 0
            for server in self._servers
        )
        return self._shutdown.is_over(now, is_idle)

    def _run_keeper(self, now: float) -> None:
        controller = self.controller
        if controller is None or self._disk is None:
            return
        controller.tick(now, times.wall_ms())
        self._take_output(controller)
        synced = self._disk.poll(now)
        self.registry.gauge("slowest_sync_seconds", self._disk.slowest_s)
        durable: int | None = None
        for batch in synced:
            for outbound in batch.output.after_sync:
                self._send(outbound.to, outbound.message)
            if batch.term == controller.replica.term:
                durable = batch.last_index
        if self._disk.is_idle:
            for outbound in self._held_back:
                self._send(outbound.to, outbound.message)
            self._held_back = []
        for answered in controller.after_sync(now, times.wall_ms(), durable):
            self._answer(answered)
        snapshot = controller.take_snapshot()
        if snapshot is not None:
            log = controller.replica.log
            entries = log.range(snapshot.last_index + 1, log.last_index)
            self._disk.put(disk_writer.SnapshotBatch(snapshot, entries))
            self.log.info(
                "snapshot taken",
                index=snapshot.last_index,
                bytes=len(snapshot.data),
            )
        self._report_role(now)

    def _take_output(self, controller: controller_lib.Controller) -> None:
        assert self._disk is not None
        output = controller.replica.take_output()
        for outbound in output.before_sync:
            self._send(outbound.to, outbound.message)
        if not output.needs_sync:
            # Acknowledgements may speak of entries that are being written.
            self._held_back += output.after_sync
            return
        log = controller.replica.log
        retained: list[messages.Entry] = []
        if output.installed is not None:
            retained = log.range(log.snapshot.last_index + 1, log.last_index)
        output.after_sync = self._held_back + output.after_sync
        self._held_back = []
        self._disk.put(
            disk_writer.Batch(
                output, controller.replica.term, log.last_index, retained
            )
        )

    def _report_role(self, now: float) -> None:
        controller = self.controller
        assert controller is not None
        replica = controller.replica
        if replica.leader:
            self._leader_heard_at = now
            if controller.in_office or not replica.is_leader:
                self.gateway.learn_leader(now, controller.leader_address())
        if replica.is_leader != self._was_leader:
            self._was_leader = replica.is_leader
            event = (
                "leadership gained" if replica.is_leader else "leadership lost"
            )
            self.log.info(event, keeper=replica.keeper, term=replica.term)

    # Messages.

    def _on_incoming(self, incoming: connections.Incoming) -> None:
        now = time.monotonic()
        if isinstance(incoming, connections.Closed):
            if incoming.address:
                self.gateway.on_closed(now, incoming.address)
            return
        body = incoming.envelope.body
        sender = incoming.envelope.sender
        match body:
            case messages.Message():
                self._connection_by_sender[sender] = incoming.connection
                if self.controller is not None:
                    self.controller.on_message(now, sender, body)
            case wire.Call():
                self._on_call(now, incoming.connection, body)
            case wire.CallReply():
                try:
                    reply = requests.decode_reply(body.payload)
                except msgspec.DecodeError as error:
                    self.log.warning("bad reply", error=str(error))
                    return
                if isinstance(reply, requests.Located) and reply.found:
                    self._on_told_to_found()
                self.gateway.on_reply(now, body.id, reply)

    def _on_call(
        self, now: float, connection: ids.ConnectionId, call: wire.Call
    ) -> None:
        client = controller_lib.Client(connection, call.id)
        try:
            request = requests.decode_request(call.payload)
        except msgspec.DecodeError as error:
            # Without an answer the sender would take this process for dead.
            self.log.warning("bad request", error=str(error))
            refused = requests.Refused(codes.Code.BAD_REQUEST, str(error))
            self._answer(controller_lib.Answered(client, refused))
            return
        in_office = self.controller is not None and self.controller.in_office
        if isinstance(request, requests.Locate) or (
            isinstance(request, requests.Join) and not in_office
        ):
            reply = self._locate(now, request)
            self._answer(controller_lib.Answered(client, reply))
            return
        refused = requests.Refused(
            codes.Code.NOT_LEADER, leader=self.gateway.leader
        )
        if self.controller is not None:
            try:
                self.controller.on_request(
                    now, times.wall_ms(), client, request
                )
                return
            except Exception as error:
                # One request's failure must not end the process, nor the next
                # leader, which would be asked the same.
                self.log.error("request failed", error=repr(error))
                refused = requests.Refused(codes.Code.PROPOSAL_UNKNOWN)
        self._answer(controller_lib.Answered(client, refused))

    def _locate(
        self, now: float, request: requests.Locate | requests.Join
    ) -> requests.Located:
        """Says where the leader is; the first seed also names the founder."""
        found = False
        if isinstance(request, requests.Join):
            self._announcements.note(
                now,
                request.address,
                request.zone,
                request.is_blank,
                request.may_found,
            )
            found = self._founder(now) == request.address.keeper
            self.gateway.learn_member(now, request.address.place)
        members = self.gateway.members
        leader = self.gateway.leader
        if self.controller is not None:
            members = self.controller.member_addresses()
            if self.controller.replica.membership.voters:
                leader = self.controller.leader_address()
        return requests.Located(leader, members, found)

    def _founder(self, now: float) -> str:
        seeds = self.settings.seeds
        if not self.settings.found_deployment or not seeds:
            return ""
        if addresses.host_of(seeds[0]) != self._host or self.gateway.leader:
            return ""
        wanted = self.settings.tolerated_losses.voters()
        return self._announcements.founder(now, wanted)

    def _on_told_to_found(self) -> None:
        controller = self.controller
        if (
            controller is not None
            and controller.replica.is_blank
            and self.settings.found_deployment
        ):
            self._found()

    def _announce(self, now: float) -> None:
        """Lets the leader, or whoever may know it, know of this keeper."""
        controller = self.controller
        if controller is None or now < self._announce_due:
            return
        replica = controller.replica
        is_member = any(
            item.keeper == self._sender
            for item in replica.membership.all_keepers()
        )
        is_settled = is_member and (
            now - self._leader_heard_at < LEADER_SILENCE_S
        )
        interval = ANNOUNCE_S if is_settled else SEEKING_ANNOUNCE_S
        self._announce_due = now + interval
        request = requests.Join(
            self._own_member(),
            self.settings.domain,
            replica.is_blank,
            self.settings.found_deployment,
        )
        targets = [controller.leader_address() or self.gateway.leader]
        if controller.in_office:
            controller.announcements.note(
                now, self._own_member(), self.settings.domain, False, False
            )
        if not is_settled:
            targets += [*self.gateway.members, *self.gateway.seeds]
        elif now >= self._seed_announce_due:
            self._seed_announce_due = now + SEED_ANNOUNCE_S
            targets += self.gateway.seeds
        if self._address in targets and replica.is_blank:
            own = self._locate(now, request)
            if own.found:
                self._on_told_to_found()
                return
        for address in dict.fromkeys(targets):
            if address and address != self._address:
                self.send_request(address, self.gateway.next_call(), request)

    def _send(self, to: str, message: messages.AnyMessage) -> None:
        assert self.controller is not None
        address = self.controller.replica.membership.address_of(to)
        if address:
            self._peers.send_to_peer(address, message)
            return
        connection = self._connection_by_sender.get(to)
        if connection is not None:
            self._peers.send_on(connection, message)

    def _answer(self, answered: controller_lib.Answered) -> None:
        client = answered.client
        if client.connection == LOCAL:
            self.gateway.on_reply(time.monotonic(), client.call, answered.reply)
            return
        body = wire.CallReply(client.call, requests.encode(answered.reply))
        self._peers.send_on(client.connection, body)
