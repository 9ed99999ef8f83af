"""Commands of the replicated log, and the types that they carry.

Each command is one tagged array in MessagePack. A field may be appended with
a default; none is ever removed or reordered, since a log is read by releases
newer than the one that wrote it. Times are wall-clock milliseconds as read by
the VM that proposed the command: they are recorded for people and never decide
whether a lease has ended.
"""

import enum
from typing import Annotated

import msgspec

from fulmarrouter import codes

NAME_PATTERN = r"^[A-Za-z0-9][A-Za-z0-9._:-]{0,99}$"
Name = Annotated[str, msgspec.Meta(pattern=NAME_PATTERN)]
MAX_MILLICORES = 1_024_000
MAX_MEMORY_MB = 16_000_000
MAX_ACCELERATORS = 64
MAX_KEEPERS = 9


class Resources(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Amounts of a worker's resources."""

    millicores: Annotated[int, msgspec.Meta(ge=0, le=MAX_MILLICORES)] = 0
    memory_mb: Annotated[int, msgspec.Meta(ge=0, le=MAX_MEMORY_MB)] = 0
    accelerators: Annotated[int, msgspec.Meta(ge=0, le=MAX_ACCELERATORS)] = 0

    def plus(self, other: "Resources") -> "Resources":
        """Returns the sum of two amounts."""
        return Resources(
            self.millicores + other.millicores,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def minus(self, other: "Resources") -> "Resources":
        """Returns the difference of two amounts."""
        return Resources(
            self.millicores - other.millicores,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )

    def fits_in(self, other: "Resources") -> bool:
        """Returns whether none of these amounts exceeds its counterpart."""
        return (
            self.millicores <= other.millicores
            and self.memory_mb <= other.memory_mb
            and self.accelerators <= other.accelerators
        )


class JobKind(enum.Enum):
    """Whether a task serves requests or works through a batch."""

    SERVICE = "service"
    BATCH = "batch"


class Priority(enum.IntEnum):
    """Order in which queued jobs are placed; a higher value goes first."""

    LOW = 0
    NORMAL = 1
    URGENT = 2


class JobSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A job as its caller submits it.

    Attributes:
        job: Key chosen by the caller; a repeat with this key is the same job.
        task_class: Name under which interference with other tasks is estimated.
        idempotent: Whether a run whose end is unknown may be repeated.
        checkpoints: Whether the task can stop at a checkpoint and resume.
        payload: Text passed to the worker as it is.
    """

    job: Name
    team: Name
    task_class: Name = "default"
    kind: JobKind = JobKind.BATCH
    priority: Priority = Priority.NORMAL
    needs: Resources = Resources()
    idempotent: bool = False
    checkpoints: bool = False
    payload: Annotated[str, msgspec.Meta(max_length=65536)] = ""


class TaskEvent(enum.Enum):
    """What a worker reports about a task that it holds a lease for."""

    STARTED = "started"
    NOT_STARTED = "not_started"
    CHECKPOINTED = "checkpointed"
    STOPPED = "stopped"
    SUCCEEDED = "succeeded"
    FAILED = "failed"


class StopReason(enum.Enum):
    """Why a running task is asked to stop."""

    EVICT = "evict"
    CANCEL = "cancel"
    DRAIN = "drain"


class EndReason(enum.Enum):
    """Why a lease ended without the worker's confirmation."""

    EXPIRED = "expired"
    WORKER_RESTARTED = "worker_restarted"


class RunState(enum.Enum):
    """State of a non-idempotent request in the ledger."""

    INTENT = "intent"
    DONE = "done"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class Header(msgspec.Struct, frozen=True, array_like=True):
    """One HTTP header field."""

    name: str
    value: str


class Answer(msgspec.Struct, frozen=True, array_like=True):
    """A complete HTTP response of an endpoint."""

    status: int
    headers: tuple[Header, ...]
    body: bytes


class Command(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Base of every command of the log."""


class LeaderElected(Command, frozen=True):
    """First command of a leader's term."""

    keeper: str
    term: int
    at_ms: int


class OpenSession(Command, frozen=True):
    """An entry process starts; its session is numbered by the log index."""

    entry: str
    nonce: str
    domain: str
    at_ms: int


class EndSession(Command, frozen=True):
    """An entry process has left, or its lease has expired."""

    session: int
    expired: bool
    at_ms: int


class RecordIntent(Command, frozen=True):
    """A non-idempotent request is about to be sent to an endpoint."""

    key: str
    digest: str
    session: int
    nonce: str
    endpoint: str
    at_ms: int


class RecordOutcome(Command, frozen=True):
    """How the attempt with this nonce ended."""

    key: str
    nonce: str
    state: RunState
    answer: Answer | None
    at_ms: int


class AnnounceEndpoint(Command, frozen=True):
    """An endpoint offers a service."""

    endpoint: Name
    incarnation: int
    service: Name
    host: str
    port: Annotated[int, msgspec.Meta(ge=1, le=65535)]
    slots: Annotated[int, msgspec.Meta(ge=1, le=100_000)]
    connections: Annotated[int, msgspec.Meta(ge=1, le=100_000)]
    domain: str = ""
    at_ms: int = 0


class EndpointLeaving(Command, frozen=True):
    """An endpoint has asked for no new requests."""

    endpoint: str
    incarnation: int
    at_ms: int


class RemoveEndpoint(Command, frozen=True):
    """An endpoint has left, or its lease has expired.

    The command is sent again once no session holds a share of the endpoint.
    """

    endpoint: str
    incarnation: int
    expired: bool
    at_ms: int


class SetShare(Command, frozen=True):
    """Sets the slots and connections of an endpoint that a session may use.

    Attributes:
        expected_version: Version of the share that this command replaces.
    """

    endpoint: str
    session: int
    slots: int
    connections: int
    expected_version: int


class AnnounceWorker(Command, frozen=True):
    """A worker offers its capacity; its earlier incarnations have ended."""

    worker: Name
    incarnation: int
    capacity: Resources
    rack: str = ""
    domain: str = ""
    at_ms: int = 0


class RemoveWorker(Command, frozen=True):
    """A worker that holds no lease is removed."""

    worker: str
    incarnation: int
    at_ms: int


class SetProbation(Command, frozen=True):
    """A worker is put on probation, without new leases, or released from it."""

    worker: str
    on_probation: bool
    reason: str
    at_ms: int


class SubmitJob(Command, frozen=True):
    """A caller submits a job."""

    spec: JobSpec
    at_ms: int


class CancelJobs(Command, frozen=True):
    """A caller cancels jobs; one command can name many."""

    jobs: tuple[str, ...]
    at_ms: int


class GrantLease(Command, frozen=True):
    """A job is leased to a worker under the job's next epoch."""

    job: str
    worker: str
    incarnation: int
    epoch: int
    at_ms: int


class RequestStop(Command, frozen=True):
    """A running task should be stopped."""

    job: str
    epoch: int
    reason: StopReason
    at_ms: int


class ReportTask(Command, frozen=True):
    """A worker's report on a task that it holds a lease for."""

    job: str
    epoch: int
    worker: str
    event: TaskEvent
    checkpoint: int
    exit_code: int
    at_ms: int


class EndLease(Command, frozen=True):
    """A lease has provably ended without the worker's confirmation."""

    job: str
    epoch: int
    reason: EndReason
    at_ms: int


class TeamQuota(
    msgspec.Struct, frozen=True, tag="team_quota", forbid_unknown_fields=True
):
    """A team's quota: what all its leased jobs together may hold."""

    name: Name
    limit: Resources


class ServicePolicy(
    msgspec.Struct,
    frozen=True,
    tag="service_policy",
    forbid_unknown_fields=True,
):
    """How the requests to a service are handled.

    Attributes:
        queue_limit: Requests to the service that may wait at one entry.
        retry_percent: Retries allowed, as a percentage of first attempts.
    """

    name: Name
    deadline_ms: Annotated[int, msgspec.Meta(ge=1, le=60_000)] = 2_000
    attempt_timeout_ms: Annotated[int, msgspec.Meta(ge=1, le=60_000)] = 1_000
    queue_limit: Annotated[int, msgspec.Meta(ge=0, le=100_000)] = 64
    retry_percent: Annotated[int, msgspec.Meta(ge=0, le=100)] = 10


class DrainState(
    msgspec.Struct, frozen=True, tag="drain_state", forbid_unknown_fields=True
):
    """Whether a worker or an endpoint is draining and gets no new work."""

    name: Name
    draining: bool


class PlacementPolicy(
    msgspec.Struct,
    frozen=True,
    tag="placement_policy",
    forbid_unknown_fields=True,
):
    """Weights of the costs by which the deployment places jobs."""

    name: Name = "default"
    tail_weight: Annotated[float, msgspec.Meta(ge=0, le=100)] = 1.0
    throughput_weight: Annotated[float, msgspec.Meta(ge=0, le=100)] = 1.0
    eviction_weight: Annotated[float, msgspec.Meta(ge=0, le=100)] = 1.0


class KeeperAddress(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Where a keeper listens for the other processes."""

    keeper: Name
    host: str
    port: Annotated[int, msgspec.Meta(ge=1, le=65535)]

    @property
    def host_port(self) -> str:
        """The address in the form host:port."""
        return f"{self.host}:{self.port}"


class KeeperSet(
    msgspec.Struct, frozen=True, tag="keeper_set", forbid_unknown_fields=True
):
    """The keepers that form the quorum."""

    name: Name = "keepers"
    keepers: Annotated[
        tuple[KeeperAddress, ...],
        msgspec.Meta(min_length=1, max_length=MAX_KEEPERS),
    ] = ()


# Each item is the whole state of one object; a ticket replaces it as a whole.
TicketItem = (
    TeamQuota | ServicePolicy | DrainState | PlacementPolicy | KeeperSet
)


class SubmitTicket(Command, frozen=True):
    """An operator submits a numbered change ticket."""

    number: Annotated[int, msgspec.Meta(ge=1, le=2**53)]
    items: Annotated[
        tuple[TicketItem, ...], msgspec.Meta(min_length=1, max_length=1000)
    ]
    operator: str = ""
    at_ms: int = 0


class ReportCounts(Command, frozen=True):
    """Refusals, retries and unknown outcomes of an entry in an interval."""

    entry: str
    from_ms: int
    at_ms: int
    by_reason: dict[str, int]


AnyCommand = (
    LeaderElected
    | OpenSession
    | EndSession
    | RecordIntent
    | RecordOutcome
    | AnnounceEndpoint
    | EndpointLeaving
    | RemoveEndpoint
    | SetShare
    | AnnounceWorker
    | RemoveWorker
    | SetProbation
    | SubmitJob
    | CancelJobs
    | GrantLease
    | RequestStop
    | ReportTask
    | EndLease
    | SubmitTicket
    | ReportCounts
)


class Result(msgspec.Struct, frozen=True, array_like=True):
    """The result of applying a command.

    Attributes:
        code: Result code.
        reason: Detail for people.
        index: Log index of the effect, or 0.
        answer: The stored response of an earlier run with the same key.
    """

    code: codes.Code
    reason: str = ""
    index: int = 0
    answer: Answer | None = None

    @property
    def accepted(self) -> bool:
        """Whether the command took effect, now or at an earlier time."""
        return self.code.code_class is codes.CodeClass.DONE


_ENCODER = msgspec.msgpack.Encoder()
_DECODER: msgspec.msgpack.Decoder[AnyCommand] = msgspec.msgpack.Decoder(
    AnyCommand
)


def encode(command: AnyCommand) -> bytes:
    """Encodes a command for the log."""
    return _ENCODER.encode(command)


def decode(data: bytes) -> AnyCommand:
    """Decodes a command of the log.

    Raises:
        msgspec.ValidationError: The bytes hold no valid command.
    """
    return _DECODER.decode(data)
