"""Commands of the replicated log.

New fields are only appended, with a default, so that older logs stay readable.
"""

from collections.abc import Sequence

import msgspec

from fulmarrouter.cluster import model

# Limit on the ends in one EndRuns command, so that a worker with thousands of
# runs that is lost doesn't make an entry too large to be sent.
MAX_ENDS_PER_COMMAND = 512


class Command(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Base of all commands."""


class LeaderElected(Command, frozen=True):
    """First entry of a leader's term.

    Attributes:
        elected_ms: Wall clock of the new leader, informational only.
    """

    keeper: str
    term: int
    elected_ms: int


class OpenForService(Command, frozen=True):
    """Starts to serve callers.

    Proposed once enough voters have joined, or after waiting long enough for
    them.
    """


class ReplaceConfiguration(Command, frozen=True):
    """Replaces the configuration if the new version is higher."""

    configuration: model.Configuration


class SubmitJob(Command, frozen=True):
    """Accepts a job; a repeated submission of the same ID has no effect."""

    job: model.JobId
    queue: model.Queue
    spec: model.JobSpec
    submitted_ms: int


class CancelJob(Command, frozen=True):
    """Ends a job before it is done."""

    job: model.JobId


class OpenOccurrence(Command, frozen=True):
    """Begins an occurrence of a job that is due."""

    job: model.JobId
    occurrence: int


class Assignment(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """One run of a task on one incarnation of a worker."""

    task: model.TaskId
    run: int
    worker: model.WorkerId
    incarnation: int


class AssignTasks(Command, frozen=True):
    """Assigns runs to workers; committed before any worker starts them."""

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
    """Records the end of runs; those that were never assigned are ignored."""

    ends: tuple[RunEnd, ...]


class ForgetJobs(Command, frozen=True):
    """Removes jobs that ended long ago."""

    jobs: tuple[model.JobId, ...]


class InterferenceEffect(
    msgspec.Struct, frozen=True, array_like=True, gc=False
):
    """Estimated effect of a filling image on a serving image.

    Attributes:
        filling: Image of the filling tasks.
        serving: Image of the serving task.
        headroom_loss: Headroom that the serving task loses if the filling
            image uses a whole worker; proportional for a part of one.
        observations: Number of readings that the estimate is based on.
    """

    filling: str
    serving: str
    headroom_loss: float
    observations: int


class KeepEffects(Command, frozen=True):
    """Stores effects that the leader has learned, for its successors."""

    effects: tuple[InterferenceEffect, ...]


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


def end_runs(ends: Sequence[RunEnd]) -> list[AnyCommand]:
    """Returns the commands that record the ends, none if there are none."""
    return [
        EndRuns(tuple(ends[start : start + MAX_ENDS_PER_COMMAND]))
        for start in range(0, len(ends), MAX_ENDS_PER_COMMAND)
    ]


def encode(command: AnyCommand) -> bytes:
    """Encodes a command for the log."""
    return _ENCODER.encode(command)


def decode(data: bytes) -> AnyCommand:
    """Decodes a command of the log."""
    return _DECODER.decode(data)
