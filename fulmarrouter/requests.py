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
    """Asks for a command to be committed."""

    command: commands.AnyCommand


class HeldShare(msgspec.Struct, frozen=True, array_like=True):
    """What an entry uses at most of an endpoint until its next grant."""

    endpoint: str
    slots: int
    version: int


class EntryHeartbeat(Request, frozen=True):
    """An entry renews its session and configuration lease.

    Attributes:
        view: The view that the entry has, as given in the last full reply.
        demand_by_service: Requests in progress and waiting, smoothed.
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
    """What a task used, measured some time ago.

    Attributes:
        age_ms: How long before the heartbeat the measurement was taken.
        tail_ms: Measured tail latency of a service task, 0 for none.
        work_rate: Units of work per second of a batch task, 0 for none.
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
    """A worker announces itself and renews its leases."""

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
    """An endpoint announces itself and stays known."""

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
    """Asks for jobs; an empty job lists the newest ones."""

    job: str = ""
    limit: int = 100


class ListWorkers(Request, frozen=True):
    """Asks for all workers."""


class ListEndpoints(Request, frozen=True):
    """Asks for all endpoints."""


class ListTickets(Request, frozen=True):
    """Asks for tickets; number 0 lists the newest ones."""

    number: int = 0
    limit: int = 100


class GetStatus(Request, frozen=True):
    """Asks for the state of the quorum and its members."""


class GetRecord(Request, frozen=True):
    """Asks for the account of an interval, in wall-clock milliseconds."""

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
)


class Reply(msgspec.Struct, frozen=True, tag=True):
    """Base of every reply."""


class Refused(Reply, frozen=True):
    """The request has had no effect.

    Attributes:
        leader: Where to ask instead, if known.
    """

    code: codes.Code
    reason: str = ""
    leader: str = ""


class Proposed(Reply, frozen=True):
    """The command is committed; this is its result."""

    result: commands.Result


class EndpointView(msgspec.Struct, frozen=True):
    """An endpoint as one entry may use it.

    Attributes:
        slots: Slots granted to the entry.
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
    """Renews a session; a reply without `full` leaves the view as it is."""

    lease_ms: int
    view: str
    full: bool
    config_version: int = 0
    endpoints: tuple[EndpointView, ...] = ()
    config: tuple[commands.TicketItem, ...] = ()
    keepers: tuple[commands.KeeperAddress, ...] = ()


class LeaseView(msgspec.Struct, frozen=True):
    """A lease renewed by a reply to a worker."""

    job: str
    epoch: int


class StartOrder(msgspec.Struct, frozen=True):
    """A worker is to start a task, from a checkpoint if one is named."""

    job: str
    epoch: int
    checkpoint: int
    kind: commands.JobKind
    needs: commands.Resources
    payload: str


class StopOrder(msgspec.Struct, frozen=True):
    """A worker is to stop a task, at a checkpoint where it can."""

    job: str
    epoch: int
    reason: commands.StopReason


class ThrottleOrder(msgspec.Struct, frozen=True):
    """A worker is to hold a task to a share of its declared processors."""

    job: str
    epoch: int
    percent: int


class WorkerOrders(Reply, frozen=True):
    """Renews a worker's leases and carries its commands.

    Attributes:
        checkpoint: Tasks that are to write a checkpoint and go on, since they
            may be evicted soon.
    """

    lease_ms: int
    heartbeat_ms: int
    leases: tuple[LeaseView, ...] = ()
    start: tuple[StartOrder, ...] = ()
    stop: tuple[StopOrder, ...] = ()
    throttle: tuple[ThrottleOrder, ...] = ()
    checkpoint: tuple[LeaseView, ...] = ()


class EndpointAccepted(Reply, frozen=True):
    """An endpoint is known until the lease runs out.

    Attributes:
        shares_held: Slots that entries may still use; 0 after leaving means
            that no request is in progress or will be sent.
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
    """Jobs."""

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
    """Workers."""

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
    """Endpoints."""

    endpoints: tuple[EndpointStatus, ...]


class TicketView(msgspec.Struct, frozen=True):
    """A ticket and the processes that have confirmed it.

    Attributes:
        in_force: Whether every process has confirmed it or has lost its
            configuration lease, so that it takes no new work.
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
    """Tickets."""

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
    """State of the quorum."""

    leader: str
    term: int
    commit_index: int
    config_version: int
    keepers: tuple[KeeperView, ...]
    sessions: tuple[SessionView, ...]
    jobs_by_phase: dict[str, int]


class RecordReply(Reply, frozen=True):
    """The account of an interval."""

    account: event_record.IntervalEvents


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
