"""Jobs as callers submit them, and queues as operators configure them."""

import enum
import re
from typing import NewType

import msgspec

from fulmarrouter import commands

JobId = NewType("JobId", str)
TaskId = NewType("TaskId", str)
WorkerId = NewType("WorkerId", str)
QueueName = NewType("QueueName", str)
ServiceName = NewType("ServiceName", str)

# Separates the parts of a task's ID.
TASK_ID_SEPARATOR = "."
# IDs of jobs where the settings don't prescribe a number of hexadecimal digits.
_ANY_JOB_ID = re.compile(r"[A-Za-z0-9_-]{1,128}")
_HEX_DIGITS = re.compile(r"[0-9A-Fa-f]+")


class StepSpec(msgspec.Struct, frozen=True, array_like=True):
    """A step of a job: a number of identical tasks.

    Attributes:
        count: Number of tasks.
        needs: Resources that one task takes on a worker.
        estimated_ms: The submitter's rough estimate of a task's duration.
        after: Numbers of the steps whose tasks must all be done first.
        supports_checkpoints: Whether a task can resume from a checkpoint.
        gang: Whether the tasks run only together and end together.
        colocate: Whether the tasks are slow unless they share a rack.
        required_label: Label that a worker must have, or an empty string.
        preferred_rack: Rack that holds the data, or an empty string.
        max_per_worker: Maximum number of the step's tasks on one worker, 0 for
            no limit.
        duplicates_allowed: Whether copies of a task may run in parallel.
        runs_until_cancelled: Whether a task that ends is run again until the job
            is cancelled.
        image: Program that the tasks run; tasks of one image behave alike.
        tail_target_ms: Tail latency that a serving task must stay below, 0
            for a task that serves no requests.
        fills: Whether the tasks use only processor time that other tasks leave
            idle.
        max_unavailable: Number of tasks that the system may stop at the same
            time, or -1 for no limit.
    """

    count: int
    needs: commands.Resources
    estimated_ms: int = 0
    after: tuple[int, ...] = ()
    supports_checkpoints: bool = False
    gang: bool = False
    colocate: bool = False
    required_label: str = ""
    preferred_rack: str = ""
    max_per_worker: int = 0
    duplicates_allowed: bool = False
    runs_until_cancelled: bool = False
    image: str = ""
    tail_target_ms: int = 0
    fills: bool = False
    max_unavailable: int = -1


class JobSpec(msgspec.Struct, frozen=True, array_like=True):
    """What a caller submits.

    Attributes:
        payload: Opaque text passed to the workers.
        repetitions: How often the steps run at set times; 0 to run them once,
            immediately.
        first_due_ms: Wall-clock time at which the first occurrence is due.
        interval_ms: Time between occurrences.
    """

    payload: str
    steps: tuple[StepSpec, ...]
    repetitions: int = 0
    first_due_ms: int = 0
    interval_ms: int = 0

    @property
    def is_long_running(self) -> bool:
        """Whether the job runs until it is cancelled."""
        return any(step.runs_until_cancelled for step in self.steps)


class Queue(msgspec.Struct, frozen=True, array_like=True):
    """A queue of jobs, as the configuration defines it.

    Attributes:
        priority: 0 is the most urgent.
        stretch: Allowed duration of a job, as a multiple of its longest chain
            of dependent steps.
        target_ms: Time that a job may take in addition to that.
        needs_placement_advice: Whether only workers that the advice service
            names may run its tasks.
    """

    name: QueueName
    host: str
    path_prefix: str
    service: ServiceName
    timeout_ms: int
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    target_ms: int = 0
    needs_placement_advice: bool = False


class Configuration(msgspec.Struct, frozen=True, array_like=True):
    """A complete configuration.

    Attributes:
        digest: Digest of the content, independent of how the document is
            formatted.
        document: The operator's document, returned unchanged on a read.
        admission_controlled_services: Services whose workers refuse tasks that
            do not fit.
        services: All services that it names; empty if they are not known.
    """

    version: int
    digest: str
    document: bytes
    queues: tuple[Queue, ...]
    admission_controlled_services: tuple[ServiceName, ...]
    services: tuple[ServiceName, ...] = ()

    def may_name(self, service: ServiceName) -> bool:
        """Whether it names a service, as far as is known."""
        return not self.services or service in self.services


class JobPhase(enum.IntEnum):
    """Phase of a job."""

    ACTIVE = 0
    DONE = 1
    FAILED = 2
    CANCELLED = 3


class TaskPhase(enum.IntEnum):
    """Phase of a task; back to WAITING if a run ends without completing it."""

    WAITING = 0
    ASSIGNED = 1
    DONE = 2


class Outcome(enum.IntEnum):
    """How one run of a task ended.

    LOST means that no worker confirmed the end, but the run is known to be
    over.
    """

    DONE = 0
    FAILED = 1
    STOPPED = 2
    LOST = 3
    GANG_BROKEN = 4
    GANG_INCOMPLETE = 5
    REFUSED = 6


def is_job_id(name: str, hex_digits: int = 0) -> bool:
    """Whether a caller may give a job this name.

    Args:
        name: The name.
        hex_digits: Number of hexadecimal digits of each ID; with 0, an ID is any
            name of at most 128 letters, digits, hyphens and underscores.
    """
    if not hex_digits:
        return _ANY_JOB_ID.fullmatch(name) is not None
    return len(name) == hex_digits and bool(_HEX_DIGITS.fullmatch(name))


def has_readable_task_ids(job: JobId) -> bool:
    """Whether `parse_task_id` can read the IDs of a job's tasks.

    Logs of earlier versions may hold jobs of which it can't.
    """
    return TASK_ID_SEPARATOR not in job


def format_task_id(
    job: JobId, occurrence: int, step: int, index: int
) -> TaskId:
    """Builds the ID of a task from its parts."""
    parts = (job, str(occurrence), str(step), str(index))
    return TaskId(TASK_ID_SEPARATOR.join(parts))


def parse_task_id(task: TaskId) -> tuple[JobId, int, int, int] | None:
    """Returns the parts of a task ID, or None if it is malformed."""
    parts = task.split(TASK_ID_SEPARATOR)
    if len(parts) != 4:
        return None
    try:
        return JobId(parts[0]), int(parts[1]), int(parts[2]), int(parts[3])
    except ValueError:
        return None
