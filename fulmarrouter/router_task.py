"""The task that owns an entry's routing state, session and idle connections."""

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

MAX_IDLE_AGE_S = 5.0
COUNTS_INTERVAL_S = 10.0
POLL_S = 0.05


@dataclasses.dataclass(frozen=True)
class Granted:
    """A slot, and an idle connection to its endpoint if there is one."""

    assignment: routing.Assignment
    connection: http.client.HTTPConnection | None


SlotFuture = concurrent.futures.Future[Granted | routing.Refusal]


@dataclasses.dataclass(frozen=True)
class Admit:
    """Asks for a slot.

    Attributes:
        fresh: Whether only a new connection will do.
    """

    service: str
    caller: str
    deadline: float
    avoid: frozenset[str]
    is_retry: bool
    fresh: bool
    slot: SlotFuture


@dataclasses.dataclass(frozen=True)
class Release:
    """Gives a slot back, with a connection if it can be used again."""

    assignment: routing.Assignment
    ending: routing.Ending
    connection: http.client.HTTPConnection | None


@dataclasses.dataclass(frozen=True)
class Replied:
    """A reply of the leader to this task's own request."""

    sent_at: float
    reply: requests.AnyReply
    opens_session: bool


@dataclasses.dataclass(frozen=True)
class Drain:
    """Takes no new requests; the future is done when none is in progress."""

    drained: concurrent.futures.Future[None]


RouterMessage = Admit | Release | Replied | Drain


@dataclasses.dataclass
class _Idle:
    connection: http.client.HTTPConnection
    since: float


class RouterTask(tasks.Task[RouterMessage]):
    """Owns the routing core of an entry."""

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
        self._waiting_by_ticket: dict[int, Admit] = {}
        self._idle_by_endpoint: dict[str, list[_Idle]] = {}
        self._next_ticket = 1
        self._asking = False
        self._heartbeat_due = 0.0
        self._counts_due = time.monotonic() + COUNTS_INTERVAL_S
        self._counts_from_ms = times.wall_ms()
        self._counts_sent: dict[str, int] = {}
        self._drained: concurrent.futures.Future[None] | None = None

    # Called from other tasks.

    def policy_of(self, service: str) -> commands.ServicePolicy:
        """Returns a service's policy; a read of one reference is safe."""
        return self._router.policy_of(service)

    @property
    def session(self) -> ids.SessionId:
        """The session under which this entry acts; 0 before it has one."""
        return self._router.session

    @property
    def ready(self) -> bool:
        """Whether new requests are taken."""
        is_leased = time.monotonic() < self._router.lease_until
        return is_leased and not self._router.draining

    # Task.

    def poll_timeout(self) -> float:
        """Returns how long to wait for a message."""
        return max(0.0, min(POLL_S, self._heartbeat_due - time.monotonic()))

    def handle(self, message: RouterMessage) -> None:
        """Handles one message."""
        now = time.monotonic()
        match message:
            case Admit():
                self._on_admit(now, message)
            case Release():
                self._on_release(now, message)
            case Replied():
                self._on_replied(message)
            case Drain():
                self._router.draining = True
                self._drained = message.drained
                self._heartbeat_due = now

    def after_batch(self) -> None:
        """Serves deadlines, heartbeats and reports."""
        now = time.monotonic()
        self._deliver_all(now, self._router.tick(now))
        self._close_idle(now)
        is_drained = self._drained is not None and self._drained.done()
        if now >= self._heartbeat_due and not self._asking and not is_drained:
            self._heartbeat(now)
        if now >= self._counts_due:
            self._report_counts(now)
        self._metrics.gauge("slots_held", self._router.slots_total())
        self._metrics.gauge("slots_in_use", self._router.in_use_total())
        self._metrics.gauge("requests_queued", self._router.queued_total())
        self._metrics.gauge("config_version", self._router.config_version)
        is_empty = not self._router.in_use_total()
        if self._drained and is_empty and not self._drained.done():
            self._drained.set_result(None)

    def shut_down(self) -> None:
        """Refuses what still waits and closes idle connections."""
        for waiting in self._waiting_by_ticket.values():
            waiting.slot.set_result(routing.Refusal(0, codes.Code.DRAINING))
        for idle_list in self._idle_by_endpoint.values():
            for idle in idle_list:
                idle.connection.close()

    def _on_admit(self, now: float, message: Admit) -> None:
        wanted = routing.Wanted(
            self._next_ticket,
            message.service,
            message.caller,
            message.deadline,
            message.avoid,
        )
        self._next_ticket += 1
        self._waiting_by_ticket[wanted.ticket] = message
        if message.is_retry:
            decision = self._router.admit_retry(now, wanted)
        else:
            decision = self._router.admit(now, wanted)
        if decision is not None:
            self._deliver_all(now, [decision])

    def _on_release(self, now: float, message: Release) -> None:
        endpoint = message.assignment.endpoint
        idle_list = self._idle_by_endpoint.setdefault(endpoint, [])
        if message.ending in (routing.Ending.TIMED_OUT, routing.Ending.LOST):
            # Others that were opened on the same path may be silent too.
            for idle in idle_list:
                idle.connection.close()
            idle_list.clear()
        if message.connection is not None:
            room = self._router.connection_room(endpoint) - len(idle_list)
            if room > 0:
                idle_list.append(_Idle(message.connection, now))
            else:
                message.connection.close()
        decisions = self._router.release(
            now, message.assignment, message.ending
        )
        self._deliver_all(now, decisions)

    def _deliver_all(
        self, now: float, decisions: list[routing.Decision]
    ) -> None:
        for decision in decisions:
            waiting = self._waiting_by_ticket.pop(decision.ticket)
            if isinstance(decision, routing.Refusal):
                waiting.slot.set_result(decision)
                continue
            connection = self._connection_for(decision.endpoint, waiting.fresh)
            waiting.slot.set_result(Granted(decision, connection))

    def _connection_for(
        self, endpoint: str, fresh: bool
    ) -> http.client.HTTPConnection | None:
        idle_list = self._idle_by_endpoint.get(endpoint)
        if not idle_list:
            return None
        if not fresh:
            return idle_list.pop().connection
        if self._router.connection_room(endpoint) <= len(idle_list):
            idle_list.pop(0).connection.close()
        return None

    def _close_idle(self, now: float) -> None:
        for idle_list in self._idle_by_endpoint.values():
            while idle_list and now - idle_list[0].since > MAX_IDLE_AGE_S:
                idle_list.pop(0).connection.close()

    def _heartbeat(self, now: float) -> None:
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
        self._asking = True
        reply = self._client.ask(
            request, timeout=self._settings.leases.entry_lease_ms / 1000
        )
        reply.add_done_callback(
            lambda done: self.post(Replied(now, done.result(), opens_session))
        )

    def _on_replied(self, message: Replied) -> None:
        self._asking = False
        match message.reply:
            case requests.Proposed(result) if message.opens_session:
                self._router.open_session(ids.SessionId(result.index))
                self._heartbeat_due = 0.0
                self.log.info("session opened", session=result.index)
            case requests.EntryView() as view:
                before = self._router.config_version
                self._router.apply_view(message.sent_at, view)
                if view.keepers:
                    self._client.post(
                        leader_client.KeepersChanged(view.keepers)
                    )
                if self._router.config_version != before:
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
        """Sends what has been counted since the last report to the record."""
        self._counts_due = now + COUNTS_INTERVAL_S
        totals = {
            f"{name}.{reason}": count
            for name in ("refusals", "retries", "unknown")
            for reason, count in self._metrics.counters(name).items()
        }
        news = {
            reason: count - self._counts_sent.get(reason, 0)
            for reason, count in totals.items()
            if count > self._counts_sent.get(reason, 0)
        }
        to_ms = times.wall_ms()
        if news:
            report = commands.ReportCounts(
                self._settings.name, self._counts_from_ms, to_ms, news
            )
            self._client.ask(
                requests.Propose(report), timeout=COUNTS_INTERVAL_S
            )
        self._counts_sent = totals
        self._counts_from_ms = to_ms
