"""The replicated state, as plain records indexed by key.

Only the handlers registered in `command_handlers` change it, in log order, so
that every keeper holds the same state at the same log index.
"""

import enum

import msgspec

from fulmarrouter import commands


class Run(msgspec.Struct, array_like=True):
    """The ledger's record of a non-idempotent request, stored by its key.

    Attributes:
        digest: Digest of the request, to detect a key that is reused for
            another one; empty if only a withdrawal is recorded.
        state: State of the newest attempt.
        session: Session of the entry that made the newest attempt.
        nonce: Identifies the newest attempt.
        attempt: Number of attempts.
        answer: The endpoint's answer, if it was kept.
    """

    digest: str
    state: commands.RunState
    session: int
    nonce: str
    attempt: int
    at_ms: int
    answer: commands.Answer | None = None


class Session(msgspec.Struct, array_like=True):
    """The registration of an entry process, from its start to its end."""

    session: int
    entry: str
    nonce: str
    domain: str
    opened_ms: int


class Share(msgspec.Struct, array_like=True, frozen=True):
    """The part of an endpoint's capacity that one session may use.

    Attributes:
        version: Log index of the command that set the share.
    """

    slots: int
    connections: int
    version: int = 0


class Endpoint(msgspec.Struct, array_like=True):
    """An endpoint that has announced itself.

    Attributes:
        leaving: Whether it has asked to receive no new work.
        lost: Whether its heartbeats have stopped. Sessions may still hold
            shares of it.
    """

    announcement: commands.AnnounceEndpoint
    leaving: bool = False
    lost: bool = False
    share_by_session: dict[int, Share] = msgspec.field(default_factory=dict)


class Worker(msgspec.Struct, array_like=True):
    """A worker that has announced itself.

    Attributes:
        committed: Resources claimed by the leased jobs on it.
        jobs: Epoch of the lease of each job on it.
    """

    announcement: commands.AnnounceWorker
    committed: commands.Resources = commands.Resources()
    on_probation: bool = False
    jobs: dict[str, int] = msgspec.field(default_factory=dict)


class JobPhase(enum.Enum):
    """Phase of a job."""

    QUEUED = "queued"
    LEASED = "leased"
    STOPPING = "stopping"
    DONE = "done"
    FAILED = "failed"
    CANCELLED = "cancelled"
    UNKNOWN = "unknown"
    QUARANTINED = "quarantined"

    @property
    def holds_lease(self) -> bool:
        """Whether a worker may be running the job in this phase."""
        return self in (JobPhase.LEASED, JobPhase.STOPPING)

    @property
    def is_final(self) -> bool:
        """Whether the job never leaves this phase."""
        return self is not JobPhase.QUEUED and not self.holds_lease


class Job(msgspec.Struct, array_like=True, gc=False):
    """A submitted job.

    Attributes:
        epoch: Fencing token of the newest lease; rises with each grant.
        checkpoint: Sequence number of the newest checkpoint, 0 for none.
        failed_on: Workers on which the job failed or did not start.
    """

    spec: commands.JobSpec
    submitted_ms: int
    phase: JobPhase = JobPhase.QUEUED
    epoch: int = 0
    worker: str = ""
    started: bool = False
    checkpoint: int = 0
    stop_reason: commands.StopReason | None = None
    exit_code: int = 0
    evictions: int = 0
    failed_on: tuple[str, ...] = ()


class Ticket(msgspec.Struct, array_like=True, frozen=True):
    """An accepted change ticket."""

    number: int
    digest: str
    operator: str
    at_ms: int
    version: int
    objects: tuple[str, ...]


class ConfigObject(msgspec.Struct, array_like=True, frozen=True):
    """The content of a configured object and the ticket that set it."""

    number: int
    item: commands.TicketItem


class EventKind(enum.Enum):
    """Kind of an event in the record."""

    LEADER_ELECTED = "leader_elected"
    SESSION_OPENED = "session_opened"
    SESSION_ENDED = "session_ended"
    SESSION_EXPIRED = "session_expired"
    ENDPOINT_ANNOUNCED = "endpoint_announced"
    ENDPOINT_LEAVING = "endpoint_leaving"
    ENDPOINT_REMOVED = "endpoint_removed"
    ENDPOINT_LOST = "endpoint_lost"
    WORKER_ANNOUNCED = "worker_announced"
    WORKER_RESTARTED = "worker_restarted"
    WORKER_REMOVED = "worker_removed"
    WORKER_PROBATION = "worker_probation"
    WORKER_RELEASED = "worker_released"
    JOB_SUBMITTED = "job_submitted"
    JOB_GRANTED = "job_granted"
    JOB_RESUMED = "job_resumed"
    JOB_STARTED = "job_started"
    JOB_STOP_REQUESTED = "job_stop_requested"
    JOB_STOPPED = "job_stopped"
    JOB_ENDED = "job_ended"
    JOB_REQUEUED = "job_requeued"
    LEASE_ENDED = "lease_ended"
    TICKET_ACCEPTED = "ticket_accepted"
    TICKET_REFUSED = "ticket_refused"
    RUN_UNKNOWN = "run_unknown"
    COUNTS = "counts"


class Event(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """One event of the record.

    Attributes:
        index: Log index, which gives the order of events.
        at_ms: Wall-clock time on the VM that observed the event.
        observer: Process on that VM that observed it.
    """

    index: int
    at_ms: int
    observer: str
    kind: EventKind
    subject: str
    detail: str = ""


class State(msgspec.Struct):
    """The whole replicated state.

    Attributes:
        config_version: Log index of the last accepted ticket.
        view_version: Log index of the last change to the endpoints, their
            shares or the configuration, which entries receive.
        ticket_floor: Highest ticket number that is no longer stored. Tickets
            up to it that aren't stored are refused as too old.
        events_dropped: Number of events removed to bound the record.
        leader: Keeper that was last elected.
        last_event_ms: Latest `at_ms` of all commands applied.
        queue_by_priority: Queued jobs by priority, then by team, each in
            queueing order.
        held_by_team: Resources that the leased jobs of each team hold.
    """

    config_version: int = 0
    view_version: int = 0
    ticket_floor: int = 0
    events_dropped: int = 0
    leader: str = ""
    last_event_ms: int = 0
    run_by_key: dict[str, Run] = msgspec.field(default_factory=dict)
    session_by_id: dict[int, Session] = msgspec.field(default_factory=dict)
    endpoint_by_id: dict[str, Endpoint] = msgspec.field(default_factory=dict)
    worker_by_id: dict[str, Worker] = msgspec.field(default_factory=dict)
    job_by_id: dict[str, Job] = msgspec.field(default_factory=dict)
    queue_by_priority: dict[int, dict[str, dict[str, None]]] = msgspec.field(
        default_factory=dict
    )
    held_by_team: dict[str, commands.Resources] = msgspec.field(
        default_factory=dict
    )
    ticket_by_number: dict[int, Ticket] = msgspec.field(default_factory=dict)
    config_by_name: dict[str, ConfigObject] = msgspec.field(
        default_factory=dict
    )
    events: list[Event] = msgspec.field(default_factory=list)


def config_name(item: commands.TicketItem) -> str:
    """Returns the key of a configured object, made of its kind and name."""
    tag = item.__struct_config__.tag
    return f"{tag}/{item.name}"


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(State)


def encode(state: State) -> bytes:
    """Encodes the whole state for a snapshot."""
    return _ENCODER.encode(state)


def decode(data: bytes) -> State:
    """Decodes the state of a snapshot; empty data gives an empty state."""
    if not data:
        return State()
    return _DECODER.decode(data)
