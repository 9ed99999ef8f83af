"""Requests between the processes of a cluster, and their replies."""

import msgspec

from fulmarrouter import codes
from fulmarrouter import commands
from fulmarrouter.cluster import model


class Request(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Base of every request."""


class SubmitJob(Request, frozen=True):
    """A caller hands in a job; host and path name the queue and the job."""

    host: str
    path: str
    spec: model.JobSpec


class ShowTarget(Request, frozen=True):
    """A caller asks for a job's state, or for a queue's length."""

    host: str
    path: str


class CancelJob(Request, frozen=True):
    """A caller cancels a job."""

    host: str
    path: str


class ReplaceConfiguration(Request, frozen=True):
    """An operator replaces the whole configuration."""

    configuration: model.Configuration


class ReadConfiguration(Request, frozen=True):
    """An operator reads the newest configuration."""


class RunningTask(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """A run that a worker has in progress.

    Attributes:
        percent: Share of its work that is done; 100 for a serving task that
            is at work.
        usage: Recent tail latency in milliseconds of a serving task, or the
            millicores in use of another one; -1 where it isn't known.
    """

    task: model.TaskId
    run: int
    checkpoint: str
    percent: int
    usage: int = -1


class EndedRun(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """A run that has ended, listed until the worker knows it was noted.

    Attributes:
        number: Position in the worker's list of ends, counted from 1.
    """

    number: int
    task: model.TaskId
    run: int
    outcome: model.Outcome
    checkpoint: str


class WorkerReport(Request, frozen=True):
    """A worker's heartbeat.

    Attributes:
        incarnation: Start of this life of the worker; a later one is higher.
        sequence: Rises with each report of an incarnation.
        machine: The VM that the worker lives on.
        rack: Failure domain within a zone.
        leaves_in_ms: Least time that a draining worker still has.
    """

    worker: model.WorkerId
    incarnation: int
    sequence: int
    service: model.ServiceName
    address: str
    zone: str
    machine: str
    rack: str
    labels: tuple[str, ...]
    capacity: commands.Resources
    draining: bool
    drain_remaining_ms: int
    running: tuple[RunningTask, ...]
    ended: tuple[EndedRun, ...]


class WorkerLeft(Request, frozen=True):
    """A worker has stopped all it ran and is about to exit."""

    worker: model.WorkerId
    incarnation: int


class Locate(Request, frozen=True):
    """A process asks who leads."""


class Join(Request, frozen=True):
    """A process with a disk asks to receive the log.

    Attributes:
        is_blank: It has neither log nor membership.
        may_found: This is the first start of the whole deployment.
    """

    address: commands.KeeperAddress
    zone: str
    is_blank: bool
    may_found_quorum: bool


AnyRequest = (
    SubmitJob
    | ShowTarget
    | CancelJob
    | ReplaceConfiguration
    | ReadConfiguration
    | WorkerReport
    | WorkerLeft
    | Locate
    | Join
)


class Reply(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Base of every reply."""


class Accepted(Reply, frozen=True):
    """Done as asked, and durable."""


class Refused(Reply, frozen=True):
    """Not done.

    Attributes:
        retry_after_ms: When to come back, 0 where that would not help.
        leader: Address of the leader, where the receiver knows it.
    """

    code: codes.Code
    reason: str = ""
    retry_after_ms: int = 0
    leader: str = ""


class Elsewhere(Reply, frozen=True):
    """The same request is to be sent to another process.

    Attributes:
        address: Its operators' interface as host:port.
    """

    address: str


class JobView(Reply, frozen=True):
    """State of a job."""

    phase: model.JobPhase
    has_started: bool


class QueueView(Reply, frozen=True):
    """Length of a queue: jobs of which no task has started."""

    waiting: int


class ConfigurationView(Reply, frozen=True):
    """The newest configuration, as the operator wrote it."""

    document: bytes


class StartOrder(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Tells a worker to start a run, from a checkpoint where there is one."""

    task: model.TaskId
    run: int
    payload: str
    checkpoint: str


class StopOrder(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Tells a worker to stop a run."""

    task: model.TaskId
    run: int


class PaceOrder(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Tells a worker to slow a run down to a share of its speed."""

    task: model.TaskId
    run: int
    percent: int


class Orders(Reply, frozen=True):
    """Answer to a worker's report.

    Attributes:
        lease_ms: Time, from the sending of the report, for which what runs
            may go on; 0 extends no lease, and then nothing is started.
        noted_end: All ends up to this number are durable.
        fencing: Rises with each leader; a worker ignores lower ones.
        next_report_ms: When to report again at the latest.
        report_to: Address of the leader's host for the next reports.
    """

    lease_ms: int = 0
    acked_end: int = 0
    fencing_token: int = 0
    starts: tuple[StartOrder, ...] = ()
    stops: tuple[StopOrder, ...] = ()
    paces: tuple[PaceOrder, ...] = ()
    next_report_ms: int = 0
    report_address: str = ""


class Located(Reply, frozen=True):
    """Where the leader is, as far as the process asked knows.

    Attributes:
        leader: Address as host:port, or an empty string.
        members: Addresses of all keepers.
        found: The process that asked is to found the quorum now.
    """

    leader: str
    members: tuple[str, ...] = ()
    must_found_quorum: bool = False


AnyReply = (
    Accepted
    | Refused
    | Elsewhere
    | JobView
    | QueueView
    | ConfigurationView
    | Orders
    | Located
)

_ENCODER = msgspec.msgpack.Encoder()
_REQUEST_DECODER: msgspec.msgpack.Decoder[AnyRequest] = msgspec.msgpack.Decoder(
    AnyRequest
)
_REPLY_DECODER: msgspec.msgpack.Decoder[AnyReply] = msgspec.msgpack.Decoder(
    AnyReply
)


def encode(message: AnyRequest | AnyReply) -> bytes:
    """Encodes a request or a reply."""
    return _ENCODER.encode(message)


def decode_request(data: bytes) -> AnyRequest:
    """Decodes a request.

    Raises:
        msgspec.DecodeError: The data is no request.
    """
    return _REQUEST_DECODER.decode(data)


def decode_reply(data: bytes) -> AnyReply:
    """Decodes a reply.

    Raises:
        msgspec.DecodeError: The data is no reply.
    """
    return _REPLY_DECODER.decode(data)
