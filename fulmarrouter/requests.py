"""Requests of entries to the leading keeper, and its replies."""

from typing import Annotated

import msgspec

from fulmarrouter import codes
from fulmarrouter import commands
from fulmarrouter import event_record
from fulmarrouter import state as state_lib


class Request(msgspec.Struct, frozen=True, tag=True):
    """Base of every request."""


class Propose(Request, frozen=True):
    """Asks the leader to commit a command."""

    command: commands.AnyCommand


class HeldShare(msgspec.Struct, frozen=True, array_like=True):
    """Limit that an entry has set on its use of an endpoint.

    Attributes:
        slots: Most slots that the entry uses until its next grant.
        version: Version of the share that the limit applies to.
    """

    endpoint: str
    slots: int
    version: int


class EntryHeartbeat(Request, frozen=True):
    """Renews an entry's session and configuration lease.

    Attributes:
        view: Identifier of the view that the entry has, from the last full
            reply; empty if it has none.
        demand_by_service: Smoothed number of requests in progress and queued.
    """

    session: int
    entry: str
    view: str
    config_version: int
    held: tuple[HeldShare, ...]
    demand_by_service: dict[str, float]
    draining: bool


class TaskReport(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A worker's report on one task."""

    job: commands.Name
    epoch: int
    event: commands.TaskEvent
    checkpoint: Annotated[int, msgspec.Meta(ge=0)] = 0
    exit_code: int = 0


class UsageReport(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Measured resource use of a task.

    Attributes:
        age_ms: How long before the heartbeat the measurement was taken.
        tail_ms: Tail latency of a service task; 0 if not measured.
        work_rate: Units of work per second of a batch task; 0 if not measured.
    """

    job: commands.Name
    epoch: int
    age_ms: Annotated[int, msgspec.Meta(ge=0)] = 0
    millicores: Annotated[int, msgspec.Meta(ge=0)] = 0
    memory_mb: Annotated[int, msgspec.Meta(ge=0)] = 0
    tail_ms: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    work_rate: Annotated[float, msgspec.Meta(ge=0)] = 0.0


MAX_TASKS_PER_WORKER = 2_000


class WorkerHeartbeat(Request, frozen=True, forbid_unknown_fields=True):
    """Announces a worker, renews its leases and reports on its tasks."""

    worker: commands.Name
    incarnation: Annotated[int, msgspec.Meta(ge=1)]
    capacity: commands.Resources
    rack: str = ""
    domain: str = ""
    leaving: bool = False
    reports: Annotated[
        tuple[TaskReport, ...], msgspec.Meta(max_length=MAX_TASKS_PER_WORKER)
    ] = ()
    usage: Annotated[
        tuple[UsageReport, ...], msgspec.Meta(max_length=MAX_TASKS_PER_WORKER)
    ] = ()


class EndpointHeartbeat(Request, frozen=True, forbid_unknown_fields=True):
    """Announces an endpoint and renews its lease."""

    endpoint: commands.Name
    incarnation: Annotated[int, msgspec.Meta(ge=1)]
    service: commands.Name
    host: str
    port: Annotated[int, msgspec.Meta(ge=1, le=65535)]
    slots: Annotated[int, msgspec.Meta(ge=1, le=100_000)]
    connections: Annotated[int, msgspec.Meta(ge=1, le=100_000)]
    domain: str = ""
    leaving: bool = False


class ListJobs(Request, frozen=True):
    """Asks for one job, or for the newest ones if `job` is empty."""

    job: str = ""
    limit: int = 100


class ListWorkers(Request, frozen=True):
    """Asks for all workers."""


class ListEndpoints(Request, frozen=True):
    """Asks for all endpoints."""


class ListTickets(Request, frozen=True):
    """Asks for one ticket, or for the newest ones if `number` is 0."""

    number: int = 0
    limit: int = 100


class FindRun(Request, frozen=True):
    """Asks what a repeat of a non-idempotent request is to be answered.

    Attributes:
        digest: Digest of the request.
    """

    key: str
    digest: str


class GetStatus(Request, frozen=True):
    """Asks for the state of the quorum and its members."""


class GetRecord(Request, frozen=True):
    """Asks for the record of an interval, in wall-clock milliseconds."""

    from_ms: int
    to_ms: int


AnyRequest = (
    Propose
    | EntryHeartbeat
    | WorkerHeartbeat
    | EndpointHeartbeat
    | ListJobs
    | ListWorkers
    | ListEndpoints
    | ListTickets
    | GetStatus
    | GetRecord
    | FindRun
)


class Reply(msgspec.Struct, frozen=True, tag=True):
    """Base of every reply."""


class Refused(Reply, frozen=True):
    """The request was refused.

    It has had no effect, except that with code PROPOSAL_UNKNOWN the command may
    still be committed.

    Attributes:
        leader: Address of the leader, if known.
    """

    code: codes.Code
    reason: str = ""
    leader: str = ""


class Proposed(Reply, frozen=True):
    """The command is committed; this is its result."""

    result: commands.Result


class EndpointView(msgspec.Struct, frozen=True):
    """An endpoint and the share of it that one entry holds.

    Attributes:
        usable: Whether the endpoint takes new requests.
        slots: Slots granted to the entry.
        connections: Connections granted to the entry.
        version: Version of the share.
        target: Slots that the entry should reduce its use to.
    """

    endpoint: str
    incarnation: int
    service: str
    host: str
    port: int
    domain: str
    usable: bool
    slots: int
    connections: int
    version: int
    target: int


class EntryView(Reply, frozen=True):
    """Renews an entry's session and configuration lease.

    Attributes:
        view: Identifier of the current view.
        full: Whether the view is included. It is left out if the heartbeat
            named the current view.
    """

    lease_ms: int
    view: str
    full: bool
    config_version: int = 0
    endpoints: tuple[EndpointView, ...] = ()
    config: tuple[commands.TicketItem, ...] = ()
    keepers: tuple[commands.KeeperAddress, ...] = ()


class LeaseView(msgspec.Struct, frozen=True):
    """A task's lease on a worker, identified by job and epoch."""

    job: str
    epoch: int


class StartOrder(msgspec.Struct, frozen=True):
    """Tells a worker to start a task, from a checkpoint unless that is 0."""

    job: str
    epoch: int
    checkpoint: int
    kind: commands.JobKind
    needs: commands.Resources
    payload: str


class StopOrder(msgspec.Struct, frozen=True):
    """Tells a worker to stop a task, at a checkpoint if possible."""

    job: str
    epoch: int
    reason: commands.StopReason


class ThrottleOrder(msgspec.Struct, frozen=True):
    """Tells a worker to limit a task to a percentage of its declared CPU."""

    job: str
    epoch: int
    percent: int


class WorkerOrders(Reply, frozen=True):
    """Renews a worker's leases and tells it what to do.

    Attributes:
        leases: Tasks whose leases are renewed.
        checkpoint: Tasks that are to write a checkpoint and keep running, since
            they may be evicted soon.
    """

    lease_ms: int
    heartbeat_ms: int
    leases: tuple[LeaseView, ...] = ()
    start: tuple[StartOrder, ...] = ()
    stop: tuple[StopOrder, ...] = ()
    throttle: tuple[ThrottleOrder, ...] = ()
    checkpoint: tuple[LeaseView, ...] = ()


class EndpointAccepted(Reply, frozen=True):
    """Renews an endpoint's lease.

    Attributes:
        shares_held: Slots that entries may still use. Once it is 0 for an
            endpoint that is leaving, no request is in progress or will be sent.
    """

    lease_ms: int
    heartbeat_ms: int
    shares_held: int


class JobView(msgspec.Struct, frozen=True):
    """A job as shown to callers."""

    spec: commands.JobSpec
    phase: state_lib.JobPhase
    epoch: int
    worker: str
    started: bool
    checkpoint: int
    exit_code: int
    evictions: int
    submitted_ms: int
    waiting_for: str = ""


class JobList(Reply, frozen=True):
    """Reply to ListJobs."""

    jobs: tuple[JobView, ...]


class WorkerView(msgspec.Struct, frozen=True):
    """A worker as shown to operators."""

    worker: str
    incarnation: int
    capacity: commands.Resources
    committed: commands.Resources
    rack: str
    domain: str
    jobs: int
    alive: bool
    on_probation: bool
    draining: bool


class WorkerList(Reply, frozen=True):
    """Reply to ListWorkers."""

    workers: tuple[WorkerView, ...]


class EndpointStatus(msgspec.Struct, frozen=True):
    """An endpoint as shown to operators."""

    endpoint: str
    service: str
    host: str
    port: int
    slots: int
    connections: int
    slots_by_entry: dict[str, int]
    leaving: bool
    lost: bool
    draining: bool


class EndpointList(Reply, frozen=True):
    """Reply to ListEndpoints."""

    endpoints: tuple[EndpointStatus, ...]


class TicketView(msgspec.Struct, frozen=True):
    """A ticket and its confirmation by the processes.

    Attributes:
        in_force: Whether every process either has confirmed the ticket or has
            lost its configuration lease, so that it takes no new work.
        waiting: Processes that have not confirmed it and still hold a
            configuration lease.
    """

    number: int
    digest: str
    operator: str
    at_ms: int
    objects: tuple[str, ...]
    in_force: bool
    confirmed: tuple[str, ...]
    waiting: tuple[str, ...]


class TicketList(Reply, frozen=True):
    """Reply to ListTickets."""

    tickets: tuple[TicketView, ...]


class SessionView(msgspec.Struct, frozen=True):
    """An entry's session as shown to operators."""

    entry: str
    session: int
    domain: str
    config_version: int
    lease_left_ms: int
    draining: bool


class KeeperView(msgspec.Struct, frozen=True):
    """A keeper as seen by the leader."""

    keeper: str
    address: str
    voter: bool
    match_index: int
    last_heard_ms: int
    lost_disk: bool


class Status(Reply, frozen=True):
    """Reply to GetStatus: the quorum's state, its members and the sessions."""

    leader: str
    term: int
    commit_index: int
    config_version: int
    keepers: tuple[KeeperView, ...]
    sessions: tuple[SessionView, ...]
    jobs_by_phase: dict[str, int]


class RecordReply(Reply, frozen=True):
    """Reply to GetRecord."""

    account: event_record.IntervalEvents


class FoundRun(Reply, frozen=True):
    """Reply to FindRun; the result is None if the key has not run."""

    result: commands.Result | None


AnyReply = (
    Refused
    | Proposed
    | EntryView
    | WorkerOrders
    | EndpointAccepted
    | JobList
    | WorkerList
    | EndpointList
    | TicketList
    | Status
    | RecordReply
    | FoundRun
)

_ENCODER = msgspec.msgpack.Encoder()
_REQUEST_DECODER: msgspec.msgpack.Decoder[AnyRequest] = msgspec.msgpack.Decoder(
    AnyRequest
)
_REPLY_DECODER: msgspec.msgpack.Decoder[AnyReply] = msgspec.msgpack.Decoder(
    AnyReply
)


def encode_request(request: AnyRequest) -> bytes:
    """Encodes a request for the wire."""
    return _ENCODER.encode(request)


def decode_request(data: bytes) -> AnyRequest:
    """Decodes a request."""
    return _REQUEST_DECODER.decode(data)


def encode_reply(reply: AnyReply) -> bytes:
    """Encodes a reply for the wire."""
    return _ENCODER.encode(reply)


def decode_reply(data: bytes) -> AnyReply:
    """Decodes a reply."""
    return _REPLY_DECODER.decode(data)
