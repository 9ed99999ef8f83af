"""Commands of the replicated log. Fields are appended with defaults only."""

import msgspec

from fulmarrouter.cluster import model


class Command(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Base of all commands."""


class LeaderElected(Command, frozen=True):
    """First entry of a leader's term.

    Attributes:
        epoch_ms: Wall clock of the new leader, for the record only.
    """

    keeper: str
    term: int
    elected_ms: int


class OpenForService(Command, frozen=True):
    """From here on callers are served: enough voters have been found."""


class ReplaceConfiguration(Command, frozen=True):
    """Replaces the whole configuration if its version is higher."""

    configuration: model.Configuration


class SubmitJob(Command, frozen=True):
    """Accepts a job; a second submission under its id changes nothing."""

    job: model.JobId
    queue: model.Queue
    spec: model.JobSpec
    submitted_ms: int


class CancelJob(Command, frozen=True):
    """Ends a job before it is done."""

    job: model.JobId


class OpenOccurrence(Command, frozen=True):
    """Starts an occurrence of a job whose time has come."""

    job: model.JobId
    occurrence: int


class Assignment(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """One run of a task on one incarnation of a worker."""

    task: model.TaskId
    run: int
    worker: model.WorkerId
    incarnation: int


class AssignTasks(Command, frozen=True):
    """Commits runs before any worker is told to start them."""

    assignments: tuple[Assignment, ...]


class RunEnd(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """The end of one run of a task."""

    task: model.TaskId
    run: int
    worker: model.WorkerId
    incarnation: int
    outcome: model.Outcome
    checkpoint: str = ""


class EndRuns(Command, frozen=True):
    """Takes note of ended runs; ends of other runs are ignored."""

    ends: tuple[RunEnd, ...]


class ForgetJobs(Command, frozen=True):
    """Removes jobs that ended long ago."""

    jobs: tuple[model.JobId, ...]


class InterferenceEstimate(
    msgspec.Struct, frozen=True, array_like=True, gc=False
):
    """How much a filling image disturbs a serving one.

    Attributes:
        lost: Headroom lost for each whole worker that the image fills.
        observations: How many readings that rests on.
    """

    filling: str
    serving: str
    headroom_loss: float
    observations: int


class KeepEffects(Command, frozen=True):
    """Keeps what the leader has learned, for the leaders after it."""

    effects: tuple[InterferenceEstimate, ...]


AnyCommand = (
    LeaderElected
    | OpenForService
    | ReplaceConfiguration
    | SubmitJob
    | CancelJob
    | OpenOccurrence
    | AssignTasks
    | EndRuns
    | ForgetJobs
    | KeepEffects
)

_ENCODER = msgspec.msgpack.Encoder()
_DECODER: msgspec.msgpack.Decoder[AnyCommand] = msgspec.msgpack.Decoder(
    AnyCommand
)


def encode(command: AnyCommand) -> bytes:
    """Encodes a command for the log."""
    return _ENCODER.encode(command)


def decode(data: bytes) -> AnyCommand:
    """Decodes a command of the log."""
    return _DECODER.decode(data)
