"""Runs one process of the cluster on one thread with one selector.

The node owns the connections to the other processes, the HTTP servers and, on
a VM with a disk, the keeper. Only disk writes happen on another thread.
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
from fulmarrouter import waker
from fulmarrouter import wire
from fulmarrouter.cluster import controller as controller_lib
from fulmarrouter.cluster import controller_setup
from fulmarrouter.cluster import decision_log
from fulmarrouter.cluster import disk_writer
from fulmarrouter.cluster import founding
from fulmarrouter.cluster import gateway as gateway_lib
from fulmarrouter.cluster import graceful_shutdown
from fulmarrouter.cluster import identity
from fulmarrouter.cluster import link_backlog
from fulmarrouter.cluster import membership
from fulmarrouter.cluster import request_checks
from fulmarrouter.cluster import requests
from fulmarrouter.cluster import settings_watcher
from fulmarrouter.cluster import snapshots
from fulmarrouter.cluster import state as state_lib

# Longest wait for I/O in one iteration of the event loop, without a keeper and
# with one.
MAX_IDLE_S = 0.05
KEEPER_MAX_IDLE_S = 0.02
# How often a settled keeper announces itself to its leader. A keeper is settled
# if it is a member of the quorum and has heard from the leader recently.
ANNOUNCE_INTERVAL_S = 1.0
# How often a settled keeper also announces itself to the seeds. They may have
# no disk, and they are the only addresses that a restarted process knows.
SEED_ANNOUNCE_INTERVAL_S = 2.0
# How often a keeper that is not settled announces itself to every process that
# it knows.
UNSETTLED_ANNOUNCE_INTERVAL_S = 0.25
# A keeper that has not heard from a leader for this long is not settled.
LEADER_TIMEOUT_S = 1.0
# Marks requests of this process itself, which arrive on no connection.
LOCAL_CONNECTION = ids.ConnectionId(0)
FOUNDING_TERM = 1  # Term of the snapshot that the founder starts from.

Handler = Callable[["Node", event_http.HttpRequest, event_http.Exchange], None]


@dataclasses.dataclass(frozen=True)
class HttpInterface:
    """An HTTP interface of the process: its address and its handler."""

    address: str
    handler: Handler


class Node(tasks.Task[None]):
    """Task that owns all sockets and the state of one process.

    Args:
        settings: Checked settings.
        interfaces: HTTP interfaces to serve.
        watcher: Watches the settings file, if it may change.
    """

    name = "node"

    def __init__(
        self,
        settings: settings_lib.NodeSettings,
        interfaces: list[HttpInterface],
        watcher: settings_watcher.SettingsWatcher | None = None,
    ) -> None:
        super().__init__()
        self.settings = settings
        self._settings_watcher = watcher
        self.is_draining = False
        self.registry = metrics.Registry()
        self.decisions = decision_log.DecisionBuffer()
        self._rate_limited_log = decision_log.RateLimitedLog(self.log)
        self._logged_leader = ""
        self._selector = selectors.DefaultSelector()
        self._waker = waker.Waker(self._selector, (None, None))
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
        self._identity = settings.name
        folder: pathlib.Path | None = None
        if settings.data_folder:
            folder = pathlib.Path(settings.data_folder)
            self._open_keeper(folder)
        self._founding = founding.Founding(
            folder,
            settings.found_deployment,
            [self._host] == list(map(addresses.host_of, settings.seeds[:1])),
        )
        self._peers = connections.Connections(
            self._identity,
            (settings.host, settings.peer_port),
            self._selector,
            self._on_connection_event,
        )
        self._link_backlog = link_backlog.LinkBacklog(settings.link_mbps)
        redirect_port = 0
        if self.controller is None:
            redirect_port = addresses.port_of(settings.control)
        self.gateway = gateway_lib.Gateway(
            self,
            self._address,
            self._peer_addresses(settings.seeds),
            redirect_port,
        )
        self._announcements = membership.Announcements()
        self._connection_by_sender: dict[str, ids.ConnectionId] = {}
        self._announce_due = 0.0
        self._seed_announce_due = 0.0
        self._leader_heard_at = 0.0
        self._was_leader = False
        self._deferred_messages: list[consensus.Outbound] = []
        self._stop_requested = False
        self._is_rejecting_requests = False
        self._shutdown: graceful_shutdown.GracefulShutdown | None = None

    def _handler_of(self, interface: HttpInterface) -> event_http.Handler:
        def handle(
            request: event_http.HttpRequest, exchange: event_http.Exchange
        ) -> None:
            interface.handler(self, request, exchange)

        return handle

    def _peer_addresses(self, seeds: tuple[str, ...]) -> tuple[str, ...]:
        """Returns the addresses at which the seeds listen for processes."""
        return tuple(
            f"{addresses.host_of(seed)}:{self.settings.peer_port}"
            for seed in seeds
        )

    def _set_seeds(self, seeds: tuple[str, ...]) -> None:
        self.gateway.seeds = self._peer_addresses(seeds)

    # Keeper.

    def _open_keeper(self, folder: pathlib.Path) -> None:
        self._identity = identity.load_or_create(folder)
        self._storage = storage_lib.Storage(folder)
        self._start_controller(self._storage.load())
        self._disk = disk_writer.DiskWriter(self._storage, self._waker.wake)

    def _start_controller(
        self, persistent_state: consensus.PersistentState
    ) -> None:
        self.controller = controller_setup.build(
            time.monotonic(), self._identity, persistent_state, self.settings
        )

    def _found_quorum(self) -> None:
        """Founds the quorum with this keeper as its only voter."""
        assert self._storage is not None
        member = messages.Membership(voters=(self._own_address(),))
        snapshot = raft_log.SnapshotData(
            1, FOUNDING_TERM, member, snapshots.encode(state_lib.State())
        )
        self._storage.store_snapshot(snapshot, [])
        self.log.info("founded the quorum", keeper=self._identity)
        self._start_controller(
            consensus.PersistentState(consensus.HardState(), snapshot, ())
        )

    def _own_address(self) -> commands.KeeperAddress:
        return commands.KeeperAddress(
            self._identity, self._host, self.settings.peer_port
        )

    # Requests.

    def forward_to_leader(
        self,
        request: requests.AnyRequest,
        timeout_s: float,
        on_reply: gateway_lib.ReplyCallback,
    ) -> None:
        """Forwards a request to the leader.

        Args:
            request: The request; refused at once if it is invalid.
            timeout_s: Time for the reply.
            on_reply: Called exactly once, on this thread.
        """
        if self._is_rejecting_requests:
            on_reply(
                requests.Refused(
                    codes.Code.DRAINING,
                    retry_after_ms=gateway_lib.RETRY_AFTER_MS,
                )
            )
            return
        problem = request_checks.find_problem(request)
        if problem:
            on_reply(requests.Refused(codes.Code.BAD_REQUEST, problem))
            return
        self.gateway.forward_to_leader(
            time.monotonic(), request, timeout_s, on_reply
        )

    def send_request(
        self, address: str, call: ids.CallId, request: requests.AnyRequest
    ) -> bool:
        """Sends a request to a process, or to this process's own keeper.

        Returns:
            False if the address can't be reached now, or is this process's own
            and it has no keeper.
        """
        if address == self._address:
            if self.controller is None:
                return False
            self.controller.on_request(
                time.monotonic(),
                times.wall_ms(),
                controller_lib.Client(LOCAL_CONNECTION, call),
                request,
            )
            return True
        payload = requests.encode(request)
        is_sent = self._peers.send_to_peer(address, wire.Call(call, payload))
        if is_sent:
            self._link_backlog.record_sent(time.monotonic(), len(payload))
        return is_sent

    def seconds_to_send(self) -> float:
        """Returns the seconds until all sent requests have left this VM."""
        return self._link_backlog.seconds_to_send(time.monotonic())

    def drop_peer(self, address: str, reason: str) -> None:
        """Closes the connection to a process."""
        self._peers.drop_peer(address, reason)
        self._link_backlog.reset()

    def count_retry(self, reason: gateway_lib.RetryReason) -> None:
        """Counts an attempt at the leader that has to be repeated."""
        self.registry.count("leader_retries", reason=reason.value)

    @property
    def is_ready(self) -> bool:
        """Whether callers should be sent here."""
        return not self.is_draining and bool(self.gateway.leader)

    # Event loop.

    def stop(self) -> None:
        """Requests an immediate stop; may be called from a signal handler."""
        self._stop_requested = True
        self._waker.wake()

    def drain(self) -> None:
        """Requests a graceful shutdown; may be called from a signal handler."""
        self.is_draining = True
        self._waker.wake()

    def reload(self) -> None:
        """Requests a reload of the settings; may be called by a signal handler."""
        if self._settings_watcher is not None:
            self._settings_watcher.request_reload()
        self._waker.wake()

    def run(self) -> None:
        """Runs the event loop until the node is stopped or drained."""
        self.log.info(
            "node started",
            node=self.settings.name,
            address=self._address,
            keeper=self._identity if self.controller else "",
        )
        try:
            while not self._stop_requested and not self._check_drained():
                self._run_iteration()
        except Exception as error:
            self.log.exception(
                "node failed", notes=getattr(error, "__notes__", [])
            )
            raise
        finally:
            self.log.info("node stopped", node=self.settings.name)
            for server in self._servers:
                server.close()
            self._peers.close()
            if self._disk is not None:
                self._disk.close()
            self._selector.close()

    def _run_iteration(self) -> None:
        for key, events in self._selector.select(self._idle_seconds()):
            owner, data = key.data
            if owner is None:
                self._waker.clear()
            else:
                owner.on_ready(data, events)
        now = time.monotonic()
        self._run_keeper(now)
        self.gateway.tick(now)
        if self.gateway.leader:
            self._founding.settle()
        self._announce_keeper(now)
        self._log_decisions(now)
        if self._settings_watcher is not None:
            self._settings_watcher.poll(now, self._set_seeds)
        self._peers.check_timeouts(now)
        for server in self._servers:
            server.close_idle_connections(now)

    def _log_decisions(self, now: float) -> None:
        """Counts the new decisions and logs them within the rate limit."""
        if self.gateway.leader != self._logged_leader:
            self._logged_leader = self.gateway.leader
            self.decisions.add("leader changed", leader=self._logged_leader)
        new_decisions = self.decisions.take()
        if self.controller is not None:
            new_decisions += self.controller.decisions.take()
        for decision in new_decisions:
            reason = str(decision.fields.get("reason", ""))
            self.registry.count(
                "decisions", event=decision.event, reason=reason
            )
        self._rate_limited_log.write(now, new_decisions)

    def _idle_seconds(self) -> float:
        """Returns how long the next iteration may wait for I/O."""
        if self.controller is None:
            return MAX_IDLE_S
        if self.controller.has_pending_work:
            return 0.0
        now = time.monotonic()
        due = self.controller.next_due(now) - now
        return min(KEEPER_MAX_IDLE_S, max(0.0, due))

    def _check_drained(self) -> bool:
        """Advances a graceful shutdown; returns whether the process may end."""
        if not self.is_draining:
            return False
        now = time.monotonic()
        if self._shutdown is None:
            self._shutdown = graceful_shutdown.GracefulShutdown(
                now, self.settings.stop_grace_s
            )
            self.log.info("draining", node=self.settings.name)
            for server in self._servers:
                server.is_draining = True
            if self.controller is not None:
                self.controller.replica.transfer_leadership()
        if (
            self._shutdown.must_answer_all(now)
            and not self._is_rejecting_requests
        ):
            self._is_rejecting_requests = True
            self.gateway.fail_all()
        is_idle = all(
            server.in_progress_count == 0 and server.connection_count == 0
            for server in self._servers
        )
        return self._shutdown.is_over(now, is_idle)

    def _run_keeper(self, now: float) -> None:
        """Advances the keeper, its disk writes, and what depends on them."""
        controller = self.controller
        if controller is None or self._disk is None:
            return
        controller.tick(now, times.wall_ms())
        self._store_output(controller)
        synced = self._disk.poll(now)
        self.registry.gauge("slowest_sync_seconds", self._disk.slowest_sync_s)
        durable_index: int | None = None
        for batch in synced:
            for outbound in batch.output.after_sync:
                self._send(outbound.to, outbound.message)
            if batch.term == controller.replica.term:
                durable_index = batch.last_index
        if self._disk.is_idle:
            for outbound in self._deferred_messages:
                self._send(outbound.to, outbound.message)
            self._deferred_messages = []
        for answered in controller.apply_committed(
            now, times.wall_ms(), durable_index
        ):
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
        self._track_leadership(now)

    def _store_output(self, controller: controller_lib.Controller) -> None:
        """Sends or queues the messages of the replica and queues its writes."""
        assert self._disk is not None
        output = controller.replica.take_output()
        for outbound in output.before_sync:
            self._send(outbound.to, outbound.message)
        if not output.needs_sync:
            # These messages may acknowledge entries that are still being
            # written, so they wait until the disk writer is done.
            self._deferred_messages += output.after_sync
            return
        log = controller.replica.log
        retained: list[messages.Entry] = []
        if output.installed is not None:
            retained = log.range(log.snapshot.last_index + 1, log.last_index)
        output.after_sync = self._deferred_messages + output.after_sync
        self._deferred_messages = []
        self._disk.put(
            disk_writer.Batch(
                output, controller.replica.term, log.last_index, retained
            )
        )

    def _track_leadership(self, now: float) -> None:
        """Passes the leader to the gateway and logs changes of this keeper's role.

        A leader that has just been elected is passed on once it is active.
        """
        controller = self.controller
        assert controller is not None
        replica = controller.replica
        if replica.leader:
            self._leader_heard_at = now
            if controller.is_active_leader or not replica.is_leader:
                self.gateway.learn_leader(now, controller.leader_address())
        if replica.is_leader != self._was_leader:
            self._was_leader = replica.is_leader
            event = (
                "leadership gained" if replica.is_leader else "leadership lost"
            )
            self.log.info(event, keeper=replica.keeper, term=replica.term)

    # Messages.

    def _on_connection_event(self, event: connections.ConnectionEvent) -> None:
        now = time.monotonic()
        if isinstance(event, connections.ConnectionClosed):
            if event.address:
                self.gateway.on_closed(now, event.address)
            return
        body = event.envelope.body
        sender = event.envelope.sender
        match body:
            case messages.Message():
                self._connection_by_sender[sender] = event.connection
                if self.controller is not None:
                    self.controller.on_message(now, sender, body)
            case wire.Call():
                self._on_call(now, event.connection, body)
            case wire.CallReply():
                try:
                    reply = requests.decode_reply(body.payload)
                except msgspec.DecodeError as error:
                    self.log.warning("could not decode reply", error=str(error))
                    return
                if (
                    isinstance(reply, requests.Located)
                    and reply.must_found_quorum
                ):
                    self._on_chosen_as_founder()
                self.gateway.on_reply(now, body.id, reply)

    def _on_call(
        self, now: float, connection: ids.ConnectionId, call: wire.Call
    ) -> None:
        client = controller_lib.Client(connection, call.id)
        try:
            request = requests.decode_request(call.payload)
        except msgspec.DecodeError as error:
            # Without a reply the sender would treat this process as failed.
            self.log.warning("could not decode request", error=str(error))
            refused = requests.Refused(codes.Code.BAD_REQUEST, str(error))
            self._answer(controller_lib.Answered(client, refused))
            return
        is_active_leader = (
            self.controller is not None and self.controller.is_active_leader
        )
        if isinstance(request, requests.Locate) or (
            isinstance(request, requests.Join) and not is_active_leader
        ):
            reply = self._locate_leader(now, request)
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
                # A request that raises must not end the process: it would be
                # repeated at the next leader and end that one too.
                self.log.error("request failed", error=repr(error))
                refused = requests.Refused(codes.Code.PROPOSAL_UNKNOWN)
        self._answer(controller_lib.Answered(client, refused))

    def _locate_leader(
        self, now: float, request: requests.Locate | requests.Join
    ) -> requests.Located:
        """Returns where the leader is, to a process that looks for it.

        At the first seed, the reply to a keeper's announcement also says
        whether that keeper is to found the quorum.
        """
        must_found_quorum = False
        if isinstance(request, requests.Join):
            self._announcements.record(
                now,
                request.address,
                request.zone,
                request.is_blank,
                request.may_found_quorum,
            )
            must_found_quorum = self._founder(now) == request.address.keeper
            self.gateway.learn_member(now, request.address.host_port)
        members = self.gateway.members
        leader = self.gateway.leader
        if self.controller is not None:
            members = self.controller.member_addresses()
            if self.controller.replica.membership.voters:
                leader = self.controller.leader_address()
        return requests.Located(leader, members, must_found_quorum)

    def _founder(self, now: float) -> str:
        """Returns the keeper that is to found the quorum, or an empty string.

        Only the first seed of a new deployment chooses one, and only while it
        knows no leader.
        """
        if self.gateway.leader:
            return ""
        wanted_voters = self.settings.tolerated_losses.voter_count()
        return self._founding.choose_founder(
            now, self._announcements, wanted_voters
        )

    def _on_chosen_as_founder(self) -> None:
        """Founds the quorum, if this keeper is blank and allowed to."""
        controller = self.controller
        if (
            controller is not None
            and controller.replica.is_blank
            and self._founding.may_found
        ):
            self._found_quorum()

    def _announce_keeper(self, now: float) -> None:
        """Announces this keeper to the leader or to those who may know it."""
        controller = self.controller
        if controller is None or now < self._announce_due:
            return
        replica = controller.replica
        is_member = any(
            item.keeper == self._identity
            for item in replica.membership.all_keepers()
        )
        is_settled = is_member and (
            now - self._leader_heard_at < LEADER_TIMEOUT_S
        )
        interval = (
            ANNOUNCE_INTERVAL_S if is_settled else UNSETTLED_ANNOUNCE_INTERVAL_S
        )
        self._announce_due = now + interval
        request = requests.Join(
            self._own_address(),
            self.settings.domain,
            replica.is_blank,
            self._founding.may_found,
        )
        targets = [controller.leader_address() or self.gateway.leader]
        if controller.is_active_leader:
            controller.announcements.record(
                now, self._own_address(), self.settings.domain, False, False
            )
        if not is_settled:
            targets += [*self.gateway.members, *self.gateway.seeds]
        elif now >= self._seed_announce_due:
            self._seed_announce_due = now + SEED_ANNOUNCE_INTERVAL_S
            targets += self.gateway.seeds
        if self._address in targets and replica.is_blank:
            located = self._locate_leader(now, request)
            if located.must_found_quorum:
                self._on_chosen_as_founder()
                return
        for address in dict.fromkeys(targets):
            if address and address != self._address:
                self.send_request(address, self.gateway.next_call_id(), request)

    def _send(self, to: str, message: messages.AnyMessage) -> None:
        """Sends a message to a keeper.

        A keeper that is not a member is answered on its own connection.
        """
        assert self.controller is not None
        address = self.controller.replica.membership.address_of(to)
        if address:
            self._peers.send_to_peer(address, message)
            return
        connection = self._connection_by_sender.get(to)
        if connection is not None:
            self._peers.send_on_connection(connection, message)

    def _answer(self, answered: controller_lib.Answered) -> None:
        client = answered.client
        if client.connection == LOCAL_CONNECTION:
            self.gateway.on_reply(time.monotonic(), client.call, answered.reply)
            return
        body = wire.CallReply(client.call, requests.encode(answered.reply))
        if not self._peers.send_on_connection(client.connection, body):
            self.registry.count("replies_too_large")
            refused = requests.Refused(
                codes.Code.PROPOSAL_UNKNOWN, "the reply is too large"
            )
            self._peers.send_on_connection(
                client.connection,
                wire.CallReply(client.call, requests.encode(refused)),
            )
