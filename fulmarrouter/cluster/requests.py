"""Requests that the processes of a cluster send each other, and the replies."""

from typing import TypeVar

import msgspec

from fulmarrouter import codes
from fulmarrouter import commands
from fulmarrouter.cluster import model


class Request(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Base of every request."""


class SubmitJob(Request, frozen=True):
    """A caller submits a job; host and path identify the queue and the job."""

    host: str
    path: str
    spec: model.JobSpec


class ShowTarget(Request, frozen=True):
    """A caller reads the state of a job or the length of a queue."""

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


class ActiveRun(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """A run that a worker has in progress.

    Attributes:
        percent: Progress of the run; 100 for a serving task that has finished
            starting up.
        usage: Recent tail latency in milliseconds for a serving task,
            millicores in use for any other task; -1 if unknown.
    """

    task: model.TaskId
    run: int
    checkpoint: str
    percent: int
    usage: int = -1


class EndedRun(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """A run that has ended, reported until the leader acknowledges it.

    Attributes:
        number: Sequence number among the worker's ended runs, from 1.
    """

    number: int
    task: model.TaskId
    run: int
    outcome: model.Outcome
    checkpoint: str


class WorkerReport(Request, frozen=True):
    """A worker's heartbeat.

    Attributes:
        incarnation: Identifies the start of the worker process; higher after
            each restart.
        sequence: Increases with each report of an incarnation.
        machine: The VM that the worker runs on.
        rack: Failure domain within a zone.
        drain_time_left_ms: Minimum time until a draining worker stops.
        clock_ms: The incarnation's steady clock at the sending; 0 if unknown.
        has_more_ends: Whether there may be ended runs beyond the last one listed.
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
    drain_time_left_ms: int
    running: tuple[ActiveRun, ...]
    ended: tuple[EndedRun, ...]
    clock_ms: int = 0
    has_more_ends: bool = False


class WorkerLeft(Request, frozen=True):
    """A worker has stopped all of its runs and is about to exit."""

    worker: model.WorkerId
    incarnation: int


class Locate(Request, frozen=True):
    """A process asks for the address of the leader."""


class Join(Request, frozen=True):
    """A process with a disk asks to receive the log.

    Attributes:
        is_blank: Whether the process has neither log nor membership.
        may_found_quorum: Whether this is the first start of the whole
            deployment, so that the process may found the quorum.
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
    """The request has been carried out and its effect is durable."""


class Refused(Reply, frozen=True):
    """The request was refused.

    Attributes:
        retry_after_ms: Time after which to retry, 0 if a retry would not help.
        leader: Address of the leader, or an empty string if unknown.
    """

    code: codes.Code
    reason: str = ""
    retry_after_ms: int = 0
    leader: str = ""


class Elsewhere(Reply, frozen=True):
    """Tells the sender to send the same request to another process.

    Attributes:
        address: Operator interface of that process as host:port.
    """

    address: str


class JobView(Reply, frozen=True):
    """State of a job."""

    phase: model.JobPhase
    has_started: bool


class QueueView(Reply, frozen=True):
    """Length of a queue: the number of jobs with no task started."""

    waiting: int


class ConfigurationView(Reply, frozen=True):
    """The newest configuration, as the operator wrote it."""

    document: bytes


class StartOrder(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Tells a worker to start a run, from the checkpoint if there is one."""

    task: model.TaskId
    run: int
    payload: str
    checkpoint: str


class StopOrder(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Tells a worker to stop a run."""

    task: model.TaskId
    run: int


class PaceOrder(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Tells a worker to throttle a run to a percentage of its full speed."""

    task: model.TaskId
    run: int
    percent: int


class Orders(Reply, frozen=True):
    """Reply to a worker's report.

    Attributes:
        lease_ms: Duration of the lease on the worker's runs, counted from the
            sending of the report; 0 extends no lease and starts nothing.
        acknowledged_end_number: Ended runs up to this number are committed and
            need not be reported again.
        leader_term: Increases with each leader; a worker ignores orders with
            a lower one than it has seen.
        next_report_ms: Maximum time until the next report.
        report_address: Address to send the next reports to.
    """

    lease_ms: int = 0
    acknowledged_end_number: int = 0
    leader_term: int = 0
    starts: tuple[StartOrder, ...] = ()
    stops: tuple[StopOrder, ...] = ()
    paces: tuple[PaceOrder, ...] = ()
    next_report_ms: int = 0
    report_address: str = ""


class Located(Reply, frozen=True):
    """Address of the leader, as far as the queried process knows it.

    Attributes:
        leader: Address as host:port, or an empty string if unknown.
        members: Addresses of all keepers.
        must_found_quorum: Whether the sender must found the quorum now.
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

_Message = TypeVar("_Message")
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
        msgspec.DecodeError: The data is not a valid request.
    """
    return _decode(_REQUEST_DECODER, data)


def decode_reply(data: bytes) -> AnyReply:
    """Decodes a reply.

    Raises:
        msgspec.DecodeError: The data is not a valid reply.
    """
    return _decode(_REPLY_DECODER, data)


def _decode(
    decoder: msgspec.msgpack.Decoder[_Message], data: bytes
) -> _Message:
    try:
        return decoder.decode(data)
    except RecursionError as error:
        raise msgspec.DecodeError("nested too deeply") from error
