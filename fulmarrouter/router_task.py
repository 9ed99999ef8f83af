"""The task that owns an entry's routing state, session and idle connections.

It assigns slots to requests, reuses connections to endpoints, and sends the
entry's heartbeats and counters to the leader.
"""

import concurrent.futures
import dataclasses
import http.client
import secrets
import time

from fulmarrouter import codes
from fulmarrouter import commands
from fulmarrouter import ids
from fulmarrouter import leader_client
from fulmarrouter import metrics
from fulmarrouter import requests
from fulmarrouter import routing
from fulmarrouter import settings as settings_lib
from fulmarrouter import tasks
from fulmarrouter import times

# Connections that have been idle for longer are closed.
MAX_CONNECTION_IDLE_S = 5.0
# How often the increments of the counters are reported for the record.
COUNTS_REPORT_INTERVAL_S = 10.0
# How often deadlines of queued requests and idle connections are checked.
POLL_INTERVAL_S = 0.05


@dataclasses.dataclass(frozen=True)
class GrantedSlot:
    """An assigned slot, with an idle connection to its endpoint if any."""

    assignment: routing.Assignment
    connection: http.client.HTTPConnection | None


SlotFuture = concurrent.futures.Future[GrantedSlot | routing.Refusal]


@dataclasses.dataclass(frozen=True)
class AcquireSlot:
    """Requests a slot.

    Attributes:
        avoid: Endpoints that have failed this request.
        needs_new_connection: Whether idle connections may not be reused.
        slot: Completes with the slot or a refusal.
    """

    service: str
    caller: str
    deadline: float
    avoid: frozenset[str]
    is_retry: bool
    needs_new_connection: bool
    slot: SlotFuture


@dataclasses.dataclass(frozen=True)
class ReleaseSlot:
    """Releases a slot, with its connection if that can be reused."""

    assignment: routing.Assignment
    outcome: routing.AttemptOutcome
    connection: http.client.HTTPConnection | None


@dataclasses.dataclass(frozen=True)
class LeaderReplied:
    """The leader's reply to a request of this task.

    Attributes:
        sent_at: When the request was sent.
        opens_session: Whether the request was to open a session, not a
            heartbeat.
    """

    sent_at: float
    reply: requests.AnyReply
    opens_session: bool


@dataclasses.dataclass(frozen=True)
class Drain:
    """Stops admission; `drained` completes once no request is in progress."""

    drained: concurrent.futures.Future[None]


RouterMessage = AcquireSlot | ReleaseSlot | LeaderReplied | Drain


@dataclasses.dataclass
class _IdleConnection:
    connection: http.client.HTTPConnection
    idle_since: float


class RouterTask(tasks.Task[RouterMessage]):
    """Runs the routing core of an entry."""

    name = "router"

    def __init__(
        self,
        settings: settings_lib.EntrySettings,
        router: routing.Router,
        client: leader_client.LeaderClient,
        registry: metrics.Registry,
    ) -> None:
        super().__init__()
        self._settings = settings
        self._router = router
        self._client = client
        self._metrics = registry
        self._nonce = secrets.token_hex(16)
        self._pending_by_slot_request_id: dict[int, AcquireSlot] = {}
        self._idle_connections_by_endpoint: dict[
            str, list[_IdleConnection]
        ] = {}
        self._next_slot_request_id = 1
        self._awaiting_reply = False
        self._heartbeat_due = 0.0
        self._counts_report_due = time.monotonic() + COUNTS_REPORT_INTERVAL_S
        self._counts_from_ms = times.wall_ms()
        self._reported_counts: dict[str, int] = {}
        self._drained: concurrent.futures.Future[None] | None = None

    # Called from other tasks.

    def policy_of(self, service: str) -> commands.ServicePolicy:
        """Returns a service's policy.

        Other tasks may call it without a lock, since a policy is immutable and
        replaced by a single assignment.
        """
        return self._router.policy_of(service)

    @property
    def session(self) -> ids.SessionId:
        """The entry's current session; 0 if it has none."""
        return self._router.session

    @property
    def ready(self) -> bool:
        """Whether the entry admits new requests."""
        has_lease = time.monotonic() < self._router.lease_until
        return has_lease and not self._router.draining

    # Called by the task's own loop.

    def poll_timeout(self) -> float:
        """Returns how long to wait for a message."""
        return max(
            0.0, min(POLL_INTERVAL_S, self._heartbeat_due - time.monotonic())
        )

    def handle(self, message: RouterMessage) -> None:
        """Handles one message."""
        now = time.monotonic()
        match message:
            case AcquireSlot():
                self._on_acquire_slot(now, message)
            case ReleaseSlot():
                self._on_release_slot(now, message)
            case LeaderReplied():
                self._on_leader_reply(message)
            case Drain():
                self._router.draining = True
                self._drained = message.drained
                self._heartbeat_due = now

    def after_batch(self) -> None:
        """Serves queues and sends what is due: heartbeats and counts."""
        now = time.monotonic()
        self._deliver_decisions(now, self._router.tick(now))
        self._close_expired_connections(now)
        is_drained = self._drained is not None and self._drained.done()
        if (
            now >= self._heartbeat_due
            and not self._awaiting_reply
            and not is_drained
        ):
            self._send_heartbeat(now)
        if now >= self._counts_report_due:
            self._report_counts(now)
        self._metrics.gauge("slots_held", self._router.slots_total())
        self._metrics.gauge("slots_in_use", self._router.in_use_total())
        self._metrics.gauge("requests_queued", self._router.queued_total())
        self._metrics.gauge("config_version", self._router.config_version)
        is_empty = not self._router.in_use_total()
        if self._drained and is_empty and not self._drained.done():
            self._drained.set_result(None)

    def shut_down(self) -> None:
        """Refuses the requests that still wait and closes idle connections."""
        for pending in self._pending_by_slot_request_id.values():
            pending.slot.set_result(routing.Refusal(0, codes.Code.DRAINING))
        for idle_connections in self._idle_connections_by_endpoint.values():
            for idle in idle_connections:
                idle.connection.close()

    def _on_acquire_slot(self, now: float, message: AcquireSlot) -> None:
        slot_request = routing.SlotRequest(
            self._next_slot_request_id,
            message.service,
            message.caller,
            message.deadline,
            message.avoid,
        )
        self._next_slot_request_id += 1
        self._pending_by_slot_request_id[slot_request.slot_request_id] = message
        if message.is_retry:
            decision = self._router.admit_retry(now, slot_request)
        else:
            decision = self._router.admit(now, slot_request)
        if decision is not None:
            self._deliver_decisions(now, [decision])

    def _on_release_slot(self, now: float, message: ReleaseSlot) -> None:
        endpoint = message.assignment.endpoint
        idle_connections = self._idle_connections_by_endpoint.setdefault(
            endpoint, []
        )
        if message.outcome in (
            routing.AttemptOutcome.TIMED_OUT,
            routing.AttemptOutcome.LOST,
        ):
            # Idle connections over the same network path may have failed too.
            for idle in idle_connections:
                idle.connection.close()
            idle_connections.clear()
        if message.connection is not None:
            room = self._router.idle_connection_limit(endpoint) - len(
                idle_connections
            )
            if room > 0:
                idle_connections.append(
                    _IdleConnection(message.connection, now)
                )
            else:
                message.connection.close()
        decisions = self._router.release(
            now, message.assignment, message.outcome
        )
        self._deliver_decisions(now, decisions)

    def _deliver_decisions(
        self, now: float, decisions: list[routing.Decision]
    ) -> None:
        for decision in decisions:
            pending = self._pending_by_slot_request_id.pop(
                decision.slot_request_id
            )
            if isinstance(decision, routing.Refusal):
                pending.slot.set_result(decision)
                continue
            connection = self._take_idle_connection(
                decision.endpoint, pending.needs_new_connection
            )
            pending.slot.set_result(GrantedSlot(decision, connection))

    def _take_idle_connection(
        self, endpoint: str, needs_new_connection: bool
    ) -> http.client.HTTPConnection | None:
        """Returns the newest idle connection if one may be reused.

        Where a new connection is needed, the oldest idle one is closed if the
        endpoint's limit on connections is reached.
        """
        idle_connections = self._idle_connections_by_endpoint.get(endpoint)
        if not idle_connections:
            return None
        if not needs_new_connection:
            return idle_connections.pop().connection
        if self._router.idle_connection_limit(endpoint) <= len(
            idle_connections
        ):
            idle_connections.pop(0).connection.close()
        return None

    def _close_expired_connections(self, now: float) -> None:
        for idle_connections in self._idle_connections_by_endpoint.values():
            while (
                idle_connections
                and now - idle_connections[0].idle_since > MAX_CONNECTION_IDLE_S
            ):
                idle_connections.pop(0).connection.close()

    def _send_heartbeat(self, now: float) -> None:
        interval = self._settings.leases.entry_heartbeat_ms / 1000
        self._heartbeat_due = now + interval
        request: requests.AnyRequest
        if self._router.session == 0:
            request = requests.Propose(
                commands.OpenSession(
                    self._settings.name,
                    self._nonce,
                    self._settings.domain,
                    times.wall_ms(),
                )
            )
        else:
            request = self._router.heartbeat(self._settings.name)
        opens_session = isinstance(request, requests.Propose)
        self._awaiting_reply = True
        reply = self._client.send_request(
            request, timeout=self._settings.leases.entry_lease_ms / 1000
        )
        reply.add_done_callback(
            lambda done: self.post(
                LeaderReplied(now, done.result(), opens_session)
            )
        )

    def _on_leader_reply(self, message: LeaderReplied) -> None:
        self._awaiting_reply = False
        match message.reply:
            case requests.Proposed(result) if message.opens_session:
                self._router.open_session(ids.SessionId(result.index))
                self._heartbeat_due = 0.0
                self.log.info("session opened", session=result.index)
            case requests.EntryView() as view:
                previous_version = self._router.config_version
                self._router.apply_view(message.sent_at, view)
                if view.keepers:
                    self._client.post(
                        leader_client.KeepersChanged(view.keepers)
                    )
                if self._router.config_version != previous_version:
                    self.log.info(
                        "configuration in force",
                        version=self._router.config_version,
                    )
                    self._heartbeat_due = 0.0
            case requests.Refused(code) if code is codes.Code.SESSION_ENDED:
                self.log.warning("session ended", session=self._router.session)
                self._nonce = secrets.token_hex(16)
                self._router.open_session(ids.SessionId(0))
            case requests.Refused(code):
                self._metrics.count("heartbeats_refused", reason=code.name)

    def _report_counts(self, now: float) -> None:
        """Sends the counters' increments since the last report to the leader.

        The leader keeps them in the record. The reply is not checked, so a lost
        report is not repeated.
        """
        self._counts_report_due = now + COUNTS_REPORT_INTERVAL_S
        totals = {
            f"{name}.{reason}": count
            for name in ("refusals", "retries", "unknown")
            for reason, count in self._metrics.counters(name).items()
        }
        increments = {
            reason: count - self._reported_counts.get(reason, 0)
            for reason, count in totals.items()
            if count > self._reported_counts.get(reason, 0)
        }
        to_ms = times.wall_ms()
        if increments:
            report = commands.ReportCounts(
                self._settings.name, self._counts_from_ms, to_ms, increments
            )
            self._client.send_request(
                requests.Propose(report), timeout=COUNTS_REPORT_INTERVAL_S
            )
        self._reported_counts = totals
        self._counts_from_ms = to_ms
