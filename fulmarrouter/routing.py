"""Routing core of an entry: admission, queueing, endpoint choice and limits.

It performs no I/O and reads no clock: its caller passes the time in and acts
on the decisions that are returned. An entry uses an endpoint only within the
slots that its session holds, and only while its configuration lease lasts.
"""

import collections
import dataclasses
import enum
import random

from fulmarrouter import codes
from fulmarrouter import commands
from fulmarrouter import ids
from fulmarrouter import load_balancing
from fulmarrouter import requests
from fulmarrouter import retry_budgets

# Weight of the newest sample in the exponentially weighted moving average of an
# endpoint's latency.
LATENCY_EWMA_WEIGHT = 0.1
# The same for a service's demand, which is sampled once per heartbeat.
DEMAND_EWMA_WEIGHT = 0.3
# Latency assumed for an endpoint before its first answer.
INITIAL_LATENCY_S = 0.01
# An endpoint is ejected after this many failed attempts in a row: for the
# ejection time it is chosen only if no other endpoint has a free slot.
EJECT_AFTER_CONSECUTIVE_FAILURES = 4
EJECTION_TIME_S = 5.0
# At most this fraction of a service's endpoints is ejected at once. If it has
# fewer than three, none is.
MAX_EJECTED_FRACTION = 0.34
# At most this fraction of a service's queue may be taken by one caller.
MAX_CALLER_QUEUE_FRACTION = 0.5


class AttemptOutcome(enum.Enum):
    """How an attempt ended, as far as endpoint health depends on it.

    Attributes:
        CONNECT_FAILED: No connection was made.
        TIMED_OUT: The answer did not come in time.
        LOST: The connection broke, or the answer was incomplete or belonged to
            another request.
        UNUSED: The slot was released without a request to the endpoint.
    """

    ANSWERED = "answered"
    CONNECT_FAILED = "connect_failed"
    TIMED_OUT = "timed_out"
    LOST = "lost"
    UNUSED = "unused"


@dataclasses.dataclass(frozen=True)
class SlotRequest:
    """A request for a slot at an endpoint of a service.

    Attributes:
        slot_request_id: Identifies the request for a slot within this entry.
        caller: Caller whose share of the queue the request counts against.
        deadline: Time after which the request is refused.
        avoid: Endpoints that have failed this request. They are chosen only if
            no other endpoint serves the service.
    """

    slot_request_id: int
    service: str
    caller: str
    deadline: float
    avoid: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True)
class Assignment:
    """A slot that a request may use until it is released."""

    slot_request_id: int
    service: str
    endpoint: str
    host: str
    port: int
    assigned_at: float


@dataclasses.dataclass(frozen=True)
class Refusal:
    """A refused request for a slot, with the reason."""

    slot_request_id: int
    code: codes.Code


Decision = Assignment | Refusal


@dataclasses.dataclass
class _Endpoint:
    """What the entry knows of an endpoint.

    Attributes:
        view: The leader's description of the endpoint.
        held_slots: Slots that the entry may use until its next grant. Once a
            heartbeat has reported a lower number, the leader may grant the
            difference to other entries.
    """

    view: requests.EndpointView
    load: load_balancing.EndpointLoad
    held_slots: int
    consecutive_failures: int = 0
    ejected_until: float = float("-inf")

    @property
    def slot_limit(self) -> int:
        """Number of slots that may be in use now."""
        if not self.view.usable:
            return 0
        return min(self.view.slots, self.held_slots)


@dataclasses.dataclass
class _Service:
    """A service's policy, queue and demand.

    Attributes:
        queued_by_caller: Number of queued requests, without zeros.
        demand: Moving average of the requests in progress and queued.
    """

    policy: commands.ServicePolicy
    queue: collections.deque[SlotRequest] = dataclasses.field(
        default_factory=collections.deque
    )
    retry_budget: retry_budgets.RetryBudget = dataclasses.field(
        default_factory=retry_budgets.RetryBudget
    )
    queued_by_caller: dict[str, int] = dataclasses.field(default_factory=dict)
    demand: float = 0.0


class Router:
    """Routing state of one entry process."""

    def __init__(
        self,
        rng: random.Random,
        strategy: load_balancing.Strategy = load_balancing.choose_least_cost,
    ) -> None:
        self.session = ids.SessionId(0)
        self.config_version = 0
        self.draining = False
        self.view_id = ""
        self.lease_until = float("-inf")
        self._rng = rng
        self._strategy = strategy
        self._endpoint_by_id: dict[str, _Endpoint] = {}
        self._service_by_name: dict[str, _Service] = {}

    # Requests.

    def policy_of(self, service: str) -> commands.ServicePolicy:
        """Returns a service's policy, or the default one if none is set."""
        known = self._service_by_name.get(service)
        return known.policy if known else commands.ServicePolicy(name="default")

    def admit(self, now: float, request: SlotRequest) -> Decision | None:
        """Assigns a slot, refuses, or queues the request and returns None."""
        refusal_code = self._check_admission(now, request)
        if refusal_code is not None:
            return Refusal(request.slot_request_id, refusal_code)
        service = self._service_by_name[request.service]
        service.retry_budget.deposit(service.policy.retry_percent)
        assignment = None if service.queue else self._assign(now, request)
        if assignment is not None:
            return assignment
        return self._enqueue(service, request)

    def admit_retry(self, now: float, request: SlotRequest) -> Decision | None:
        """Like `admit`, for a retry.

        A retry is paid from the retry budget and takes a free slot even if
        other requests are queued.
        """
        refusal_code = self._check_admission(now, request)
        if refusal_code is not None:
            return Refusal(request.slot_request_id, refusal_code)
        service = self._service_by_name[request.service]
        if not service.retry_budget.try_withdraw():
            return Refusal(request.slot_request_id, codes.Code.OVERLOADED)
        assignment = self._assign(now, request)
        if assignment is not None:
            return assignment
        return self._enqueue(service, request)

    def release(
        self, now: float, assignment: Assignment, outcome: AttemptOutcome
    ) -> list[Decision]:
        """Frees a slot; returns decisions on queued requests."""
        endpoint = self._endpoint_by_id.get(assignment.endpoint)
        if endpoint is not None:
            endpoint.load.in_use = max(0, endpoint.load.in_use - 1)
            self._update_endpoint_health(now, endpoint, assignment, outcome)
        return self.serve_queue(now, assignment.service)

    def serve_queue(self, now: float, service_name: str) -> list[Decision]:
        """Assigns free slots to queued requests.

        Requests at the head of the queue are refused if their deadline has
        passed or the configuration lease has expired.
        """
        service = self._service_by_name.get(service_name)
        if service is None:
            return []
        decisions: list[Decision] = []
        skipped: list[SlotRequest] = []
        while service.queue:
            request = service.queue[0]
            decision: Decision | None
            if request.deadline <= now:
                decision = Refusal(
                    request.slot_request_id, codes.Code.DEADLINE_PASSED
                )
            elif now >= self.lease_until:
                decision = Refusal(
                    request.slot_request_id, codes.Code.CONFIG_LEASE_EXPIRED
                )
            else:
                decision = self._assign(now, request)
            if decision is None and not request.avoid:
                break
            service.queue.popleft()
            if decision is None:
                # It waits for endpoints that have not failed it; the requests
                # behind it may use the others.
                skipped.append(request)
                continue
            self._remove_from_caller_count(service, request)
            decisions.append(decision)
        service.queue.extendleft(reversed(skipped))
        return decisions

    def tick(self, now: float) -> list[Decision]:
        """Serves all queues and refuses all requests past their deadline."""
        decisions: list[Decision] = []
        for name in list(self._service_by_name):
            decisions += self.serve_queue(now, name)
            decisions += self._refuse_expired(now, self._service_by_name[name])
        return decisions

    # Session and configuration.

    def open_session(self, session: ids.SessionId) -> None:
        """Switches to a new session, which holds no slots until a full view."""
        self.session = session
        self.view_id = ""
        self.lease_until = float("-inf")
        for endpoint in self._endpoint_by_id.values():
            endpoint.held_slots = 0

    def apply_view(self, sent_at: float, view: requests.EntryView) -> None:
        """Applies the reply to a heartbeat.

        The lease is counted from the sending of the heartbeat, so it ends here
        before it ends at the leader. Of a full view with an older configuration
        than the current one, only the lease is applied.
        """
        self.lease_until = max(
            self.lease_until, sent_at + view.lease_ms / 1000.0
        )
        if not view.full:
            return
        if view.config_version < self.config_version:
            return
        self.view_id = view.view
        self.config_version = view.config_version
        known = self._endpoint_by_id
        self._endpoint_by_id = {
            item.endpoint: _merge_endpoint(known.get(item.endpoint), item)
            for item in view.endpoints
        }
        for endpoint_id, endpoint in known.items():
            # Keep an endpoint that was removed while requests to it are in
            # progress, since their slots are still to be released.
            if endpoint_id not in self._endpoint_by_id and endpoint.load.in_use:
                endpoint.held_slots = 0
                self._endpoint_by_id[endpoint_id] = endpoint
        self._apply_policies(view)

    def heartbeat(self, entry: str) -> requests.EntryHeartbeat:
        """Returns the next heartbeat and updates held slots and demand.

        Held slots above the leader's target are given up unless they are in
        use; a draining entry gives up all that are not in use. Demand is
        smoothed when it falls and reported at once when it rises.
        """
        held: list[requests.HeldShare] = []
        for endpoint_id, endpoint in sorted(self._endpoint_by_id.items()):
            if self.draining:
                endpoint.held_slots = endpoint.load.in_use
            elif endpoint.view.target < endpoint.held_slots:
                endpoint.held_slots = max(
                    endpoint.view.target, endpoint.load.in_use
                )
            if endpoint.view.slots:
                held.append(
                    requests.HeldShare(
                        endpoint_id, endpoint.held_slots, endpoint.view.version
                    )
                )
        demand_by_service: dict[str, float] = {}
        for name, service in sorted(self._service_by_name.items()):
            current_demand = len(service.queue) + self._in_use(name)
            service.demand += DEMAND_EWMA_WEIGHT * (
                current_demand - service.demand
            )
            demand_by_service[name] = round(
                max(service.demand, current_demand), 2
            )
        return requests.EntryHeartbeat(
            session=self.session,
            entry=entry,
            view=self.view_id,
            config_version=self.config_version,
            held=tuple(held),
            demand_by_service=demand_by_service,
            draining=self.draining,
        )

    def in_use_total(self) -> int:
        """Returns how many slots are in use over all endpoints."""
        return sum(item.load.in_use for item in self._endpoint_by_id.values())

    def idle_connection_limit(self, endpoint: str) -> int:
        """Returns how many idle connections to an endpoint may be kept."""
        known = self._endpoint_by_id.get(endpoint)
        if known is None or not known.slot_limit:
            return 0
        return max(0, known.view.connections - known.load.in_use)

    def queued_total(self) -> int:
        """Returns how many requests are queued."""
        return sum(len(item.queue) for item in self._service_by_name.values())

    def slots_total(self) -> int:
        """Returns how many slots this entry may use over all endpoints."""
        return sum(item.slot_limit for item in self._endpoint_by_id.values())

    # Internals.

    def _check_admission(
        self, now: float, request: SlotRequest
    ) -> codes.Code | None:
        if self.draining:
            return codes.Code.DRAINING
        if now >= self.lease_until:
            return codes.Code.CONFIG_LEASE_EXPIRED
        if request.deadline <= now:
            return codes.Code.DEADLINE_PASSED
        if request.service not in self._service_by_name:
            return codes.Code.UNKNOWN_SERVICE
        return None

    def _assign(self, now: float, request: SlotRequest) -> Assignment | None:
        serving = [
            item
            for item in self._endpoint_by_id.values()
            if item.view.service == request.service and item.slot_limit > 0
        ]
        allowed = [
            item for item in serving if item.view.endpoint not in request.avoid
        ] or serving
        usable = [
            item for item in allowed if item.load.in_use < item.slot_limit
        ]
        healthy = [item for item in usable if item.ejected_until <= now]
        candidates = healthy or usable
        if not candidates:
            return None
        load = self._strategy([item.load for item in candidates], self._rng)
        load.in_use += 1
        load.times_chosen += 1
        view = self._endpoint_by_id[load.endpoint].view
        return Assignment(
            request.slot_request_id,
            request.service,
            load.endpoint,
            view.host,
            view.port,
            now,
        )

    def _enqueue(
        self, service: _Service, request: SlotRequest
    ) -> Decision | None:
        max_queued = service.policy.queue_limit
        if len(service.queue) >= max_queued:
            return Refusal(request.slot_request_id, codes.Code.OVERLOADED)
        if not self._has_usable_endpoint(request.service):
            return Refusal(request.slot_request_id, codes.Code.NO_ENDPOINT)
        queued = service.queued_by_caller.get(request.caller, 0)
        # One caller may not fill the queue that it shares with others.
        if queued + 1 > max(1, int(max_queued * MAX_CALLER_QUEUE_FRACTION)):
            return Refusal(
                request.slot_request_id, codes.Code.CALLER_SHARE_EXCEEDED
            )
        service.queue.append(request)
        service.queued_by_caller[request.caller] = queued + 1
        return None

    def _has_usable_endpoint(self, service: str) -> bool:
        return any(
            item.view.service == service and item.slot_limit > 0
            for item in self._endpoint_by_id.values()
        )

    def _remove_from_caller_count(
        self, service: _Service, request: SlotRequest
    ) -> None:
        remaining = service.queued_by_caller[request.caller] - 1
        service.queued_by_caller[request.caller] = remaining
        if remaining == 0:
            del service.queued_by_caller[request.caller]

    def _refuse_expired(self, now: float, service: _Service) -> list[Decision]:
        """Refuses expired requests in the whole queue, not just at its head."""
        expired = [
            request for request in service.queue if request.deadline <= now
        ]
        if not expired:
            return []
        service.queue = collections.deque(
            request for request in service.queue if request.deadline > now
        )
        for request in expired:
            self._remove_from_caller_count(service, request)
        return [
            Refusal(item.slot_request_id, codes.Code.DEADLINE_PASSED)
            for item in expired
        ]

    def _update_endpoint_health(
        self,
        now: float,
        endpoint: _Endpoint,
        assignment: Assignment,
        outcome: AttemptOutcome,
    ) -> None:
        """Updates latency after an answer, failures and ejection otherwise."""
        if outcome is AttemptOutcome.UNUSED:
            return
        if outcome is AttemptOutcome.ANSWERED:
            endpoint.consecutive_failures = 0
            latency = now - assignment.assigned_at
            endpoint.load.latency += LATENCY_EWMA_WEIGHT * (
                latency - endpoint.load.latency
            )
            return
        endpoint.consecutive_failures += 1
        if (
            endpoint.consecutive_failures >= EJECT_AFTER_CONSECUTIVE_FAILURES
            and self._may_eject(now, assignment.service)
        ):
            endpoint.consecutive_failures = 0
            endpoint.ejected_until = now + EJECTION_TIME_S

    def _may_eject(self, now: float, service: str) -> bool:
        """Whether the limit on ejected endpoints leaves room for one more.

        It keeps a fault that affects most endpoints from ejecting them.
        """
        peers = [
            item
            for item in self._endpoint_by_id.values()
            if item.view.service == service and item.slot_limit > 0
        ]
        ejected = sum(item.ejected_until > now for item in peers)
        return (ejected + 1) <= MAX_EJECTED_FRACTION * len(peers)

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
        service_names = {item.service for item in view.endpoints} | set(
            policy_by_service
        )
        for name in sorted(service_names):
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
    """Returns the endpoint with a new view; a restart resets its failures."""
    if known is None:
        load = load_balancing.EndpointLoad(
            view.endpoint, view.slots, 0, INITIAL_LATENCY_S
        )
        return _Endpoint(view, load, held_slots=view.slots)
    if known.view.version != view.version:
        # Slots given up under the old share don't reduce the new one.
        known.held_slots = view.slots
    if known.view.incarnation != view.incarnation:
        known.consecutive_failures = 0
        known.ejected_until = float("-inf")
    known.view = view
    known.load.slots = view.slots
    return known
