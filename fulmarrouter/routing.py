"""Routing core of an entry: admission, queueing, choice of endpoint, limits.

Pure: the owning task passes the time and hands the decisions out. An entry
uses an endpoint only within the slots that its session holds, and only while
its configuration lease lasts.
"""

import collections
import dataclasses
import enum
import random

from fulmarrouter import budgets
from fulmarrouter import choosing
from fulmarrouter import codes
from fulmarrouter import commands
from fulmarrouter import ids
from fulmarrouter import requests

LATENCY_SMOOTHING = 0.1
DEMAND_SMOOTHING = 0.3
INITIAL_LATENCY_S = 0.01
EJECT_AFTER_FAILURES = 4
EJECT_S = 5.0
EJECT_MAX_FRACTION = 0.34
CALLER_QUEUE_FRACTION = 0.5


class Ending(enum.Enum):
    """How an attempt ended, as far as routing cares."""

    ANSWERED = "answered"
    CONNECT_FAILED = "connect_failed"
    TIMED_OUT = "timed_out"
    LOST = "lost"
    UNUSED = "unused"


@dataclasses.dataclass(frozen=True)
class Wanted:
    """A request that wants a slot.

    Attributes:
        ticket: Number that names the request within this entry.
        caller: Whom fairness counts it for.
        deadline: When an answer is no use any more.
        avoid: Endpoints that have failed this request.
    """

    ticket: int
    service: str
    caller: str
    deadline: float
    avoid: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True)
class Assignment:
    """A slot that a request may use until it is released."""

    ticket: int
    service: str
    endpoint: str
    host: str
    port: int
    assigned_at: float


@dataclasses.dataclass(frozen=True)
class Refusal:
    """A request that gets no slot."""

    ticket: int
    code: codes.Code


Decision = Assignment | Refusal


@dataclasses.dataclass
class _Endpoint:
    view: requests.EndpointView
    load: choosing.Load
    promised: int
    failures: int = 0
    ejected_until: float = float("-inf")

    @property
    def limit(self) -> int:
        """Slots that may be used now."""
        if not self.view.usable:
            return 0
        return min(self.view.slots, self.promised)


@dataclasses.dataclass
class _Service:
    policy: commands.ServicePolicy
    queue: collections.deque[Wanted] = dataclasses.field(
        default_factory=collections.deque
    )
    budget: budgets.RetryBudget = dataclasses.field(
        default_factory=budgets.RetryBudget
    )
    queued_by_caller: dict[str, int] = dataclasses.field(default_factory=dict)
    demand: float = 0.0


class Router:
    """Routing state of one entry process."""

    def __init__(
        self,
        rng: random.Random,
        chooser: choosing.Chooser = choosing.choose_least_cost,
    ) -> None:
        self.session = ids.SessionId(0)
        self.config_version = 0
        self.draining = False
        self.view = ""
        self.lease_until = float("-inf")
        self._rng = rng
        self._chooser = chooser
        self._endpoint_by_id: dict[str, _Endpoint] = {}
        self._service_by_name: dict[str, _Service] = {}

    # Requests.

    def policy_of(self, service: str) -> commands.ServicePolicy:
        """Returns a service's policy, the default one where none is set."""
        known = self._service_by_name.get(service)
        return known.policy if known else commands.ServicePolicy(name="default")

    def admit(self, now: float, wanted: Wanted) -> Decision | None:
        """Assigns a slot, refuses, or queues the request and returns None."""
        refused = self._refusal_now(now, wanted)
        if refused is not None:
            return Refusal(wanted.ticket, refused)
        service = self._service_by_name[wanted.service]
        service.budget.on_first_try(service.policy.retry_percent)
        assignment = None if service.queue else self._assign(now, wanted)
        if assignment is not None:
            return assignment
        return self._enqueue(service, wanted)

    def admit_retry(self, now: float, wanted: Wanted) -> Decision | None:
        """Like `admit`, for a further attempt paid from the retry budget."""
        refused = self._refusal_now(now, wanted)
        if refused is not None:
            return Refusal(wanted.ticket, refused)
        service = self._service_by_name[wanted.service]
        if not service.budget.take():
            return Refusal(wanted.ticket, codes.Code.OVERLOADED)
        assignment = self._assign(now, wanted)
        if assignment is not None:
            return assignment
        return self._enqueue(service, wanted)

    def release(
        self, now: float, assignment: Assignment, ending: Ending
    ) -> list[Decision]:
        """Takes a slot back; returns what queued requests get."""
        endpoint = self._endpoint_by_id.get(assignment.endpoint)
        if endpoint is not None:
            endpoint.load.in_use = max(0, endpoint.load.in_use - 1)
            self._judge(now, endpoint, assignment, ending)
        return self.serve_queue(now, assignment.service)

    def serve_queue(self, now: float, service_name: str) -> list[Decision]:
        """Hands free slots to queued requests, refusing those too late."""
        service = self._service_by_name.get(service_name)
        if service is None:
            return []
        decisions: list[Decision] = []
        passed_over: list[Wanted] = []
        while service.queue:
            wanted = service.queue[0]
            decision: Decision | None
            if wanted.deadline <= now:
                decision = Refusal(wanted.ticket, codes.Code.DEADLINE_PASSED)
            elif now >= self.lease_until:
                decision = Refusal(
                    wanted.ticket, codes.Code.CONFIG_LEASE_EXPIRED
                )
            else:
                decision = self._assign(now, wanted)
            if decision is None and not wanted.avoid:
                break
            service.queue.popleft()
            if decision is None:
                # Others need not wait for the endpoints that this one needs.
                passed_over.append(wanted)
                continue
            self._forget_queued(service, wanted)
            decisions.append(decision)
        service.queue.extendleft(reversed(passed_over))
        return decisions

    def tick(self, now: float) -> list[Decision]:
        """Acts on deadlines of queued requests and on returned endpoints."""
        decisions: list[Decision] = []
        for name in list(self._service_by_name):
            decisions += self.serve_queue(now, name)
            decisions += self._refuse_late(now, self._service_by_name[name])
        return decisions

    # Session and configuration.

    def open_session(self, session: ids.SessionId) -> None:
        """Starts a new session; nothing is held until its first view."""
        self.session = session
        self.view = ""
        self.lease_until = float("-inf")
        for endpoint in self._endpoint_by_id.values():
            endpoint.promised = 0

    def apply_view(self, sent_at: float, view: requests.EntryView) -> None:
        """Takes a heartbeat's reply in; the lease counts from its sending."""
        self.lease_until = max(
            self.lease_until, sent_at + view.lease_ms / 1000.0
        )
        if not view.full:
            return
        if view.config_version < self.config_version:
            return
        self.view = view.view
        self.config_version = view.config_version
        known = self._endpoint_by_id
        self._endpoint_by_id = {
            item.endpoint: _merge_endpoint(known.get(item.endpoint), item)
            for item in view.endpoints
        }
        for endpoint_id, endpoint in known.items():
            # Its requests in progress still have to be released.
            if endpoint_id not in self._endpoint_by_id and endpoint.load.in_use:
                endpoint.promised = 0
                self._endpoint_by_id[endpoint_id] = endpoint
        self._apply_policies(view)

    def heartbeat(self, entry: str) -> requests.EntryHeartbeat:
        """Returns the next heartbeat, with what this entry gives back."""
        held: list[requests.HeldShare] = []
        for endpoint_id, endpoint in sorted(self._endpoint_by_id.items()):
            if self.draining:
                endpoint.promised = endpoint.load.in_use
            elif endpoint.view.target < endpoint.promised:
                endpoint.promised = max(
                    endpoint.view.target, endpoint.load.in_use
                )
            if endpoint.view.slots:
                held.append(
                    requests.HeldShare(
                        endpoint_id, endpoint.promised, endpoint.view.version
                    )
                )
        demand_by_service: dict[str, float] = {}
        for name, service in sorted(self._service_by_name.items()):
            current = len(service.queue) + self._in_use(name)
            service.demand += DEMAND_SMOOTHING * (current - service.demand)
            demand_by_service[name] = round(max(service.demand, current), 2)
        return requests.EntryHeartbeat(
            session=self.session,
            entry=entry,
            view=self.view,
            config_version=self.config_version,
            held=tuple(held),
            demand_by_service=demand_by_service,
            draining=self.draining,
        )

    def in_use_total(self) -> int:
        """Returns how many slots are in use over all endpoints."""
        return sum(item.load.in_use for item in self._endpoint_by_id.values())

    def connection_room(self, endpoint: str) -> int:
        """Returns how many connections may be idle beside those in use."""
        known = self._endpoint_by_id.get(endpoint)
        if known is None or not known.limit:
            return 0
        return max(0, known.view.connections - known.load.in_use)

    def queued_total(self) -> int:
        """Returns how many requests are queued."""
        return sum(len(item.queue) for item in self._service_by_name.values())

    def slots_total(self) -> int:
        """Returns how many slots this entry may use."""
        return sum(item.limit for item in self._endpoint_by_id.values())

    # Internals.

    def _refusal_now(self, now: float, wanted: Wanted) -> codes.Code | None:
        if self.draining:
            return codes.Code.DRAINING
        if now >= self.lease_until:
            return codes.Code.CONFIG_LEASE_EXPIRED
        if wanted.deadline <= now:
            return codes.Code.DEADLINE_PASSED
        if wanted.service not in self._service_by_name:
            return codes.Code.UNKNOWN_SERVICE
        return None

    def _assign(self, now: float, wanted: Wanted) -> Assignment | None:
        serving = [
            item
            for item in self._endpoint_by_id.values()
            if item.view.service == wanted.service and item.limit > 0
        ]
        allowed = [
            item for item in serving if item.view.endpoint not in wanted.avoid
        ] or serving
        usable = [item for item in allowed if item.load.in_use < item.limit]
        healthy = [item for item in usable if item.ejected_until <= now]
        candidates = healthy or usable
        if not candidates:
            return None
        load = self._chooser([item.load for item in candidates], self._rng)
        load.in_use += 1
        load.chosen += 1
        view = self._endpoint_by_id[load.endpoint].view
        return Assignment(
            wanted.ticket,
            wanted.service,
            load.endpoint,
            view.host,
            view.port,
            now,
        )

    def _enqueue(self, service: _Service, wanted: Wanted) -> Decision | None:
        limit = service.policy.queue_limit
        if len(service.queue) >= limit:
            return Refusal(wanted.ticket, codes.Code.OVERLOADED)
        if not self._has_share(wanted.service):
            return Refusal(wanted.ticket, codes.Code.NO_ENDPOINT)
        queued = service.queued_by_caller.get(wanted.caller, 0)
        # One caller may not fill the queue that all share.
        if queued + 1 > max(1, int(limit * CALLER_QUEUE_FRACTION)):
            return Refusal(wanted.ticket, codes.Code.CALLER_SHARE_EXCEEDED)
        service.queue.append(wanted)
        service.queued_by_caller[wanted.caller] = queued + 1
        return None

    def _has_share(self, service: str) -> bool:
        return any(
            item.view.service == service and item.limit > 0
            for item in self._endpoint_by_id.values()
        )

    def _forget_queued(self, service: _Service, wanted: Wanted) -> None:
        left = service.queued_by_caller[wanted.caller] - 1
        service.queued_by_caller[wanted.caller] = left
        if left == 0:
            del service.queued_by_caller[wanted.caller]

    def _refuse_late(self, now: float, service: _Service) -> list[Decision]:
        late = [wanted for wanted in service.queue if wanted.deadline <= now]
        if not late:
            return []
        service.queue = collections.deque(
            wanted for wanted in service.queue if wanted.deadline > now
        )
        for wanted in late:
            self._forget_queued(service, wanted)
        return [
            Refusal(item.ticket, codes.Code.DEADLINE_PASSED) for item in late
        ]

    def _judge(
        self,
        now: float,
        endpoint: _Endpoint,
        assignment: Assignment,
        ending: Ending,
    ) -> None:
        if ending is Ending.UNUSED:
            return
        if ending is Ending.ANSWERED:
            endpoint.failures = 0
            latency = now - assignment.assigned_at
            endpoint.load.latency += LATENCY_SMOOTHING * (
                latency - endpoint.load.latency
            )
            return
        endpoint.failures += 1
        if endpoint.failures >= EJECT_AFTER_FAILURES and self._may_eject(
            now, assignment.service
        ):
            endpoint.failures = 0
            endpoint.ejected_until = now + EJECT_S

    def _may_eject(self, now: float, service: str) -> bool:
        """Keeps a broad fault from ejecting most endpoints."""
        peers = [
            item
            for item in self._endpoint_by_id.values()
            if item.view.service == service and item.limit > 0
        ]
        ejected = sum(item.ejected_until > now for item in peers)
        return (ejected + 1) <= EJECT_MAX_FRACTION * len(peers)

    def _in_use(self, service: str) -> int:
        return sum(
            item.load.in_use
            for item in self._endpoint_by_id.values()
            if item.view.service == service
        )

    def _apply_policies(self, view: requests.EntryView) -> None:
        policy_by_service = {
            item.name: item
            for item in view.config
            if isinstance(item, commands.ServicePolicy)
        }
        names = {item.service for item in view.endpoints} | set(
            policy_by_service
        )
        for name in sorted(names):
            policy = policy_by_service.get(name) or commands.ServicePolicy(
                name=name
            )
            known = self._service_by_name.get(name)
            if known is None:
                self._service_by_name[name] = _Service(policy)
            else:
                known.policy = policy


def _merge_endpoint(
    known: _Endpoint | None, view: requests.EndpointView
) -> _Endpoint:
    if known is None:
        load = choosing.Load(view.endpoint, view.slots, 0, INITIAL_LATENCY_S)
        return _Endpoint(view, load, promised=view.slots)
    if known.view.version != view.version:
        # A new grant replaces what was promised under the old one.
        known.promised = view.slots
    if known.view.incarnation != view.incarnation:
        known.failures = 0
        known.ejected_until = float("-inf")
    known.view = view
    known.load.slots = view.slots
    return known
