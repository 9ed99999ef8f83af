"""Hosts with their disks, and workers, of the simulated cluster."""

import dataclasses
import math

from fulmarrouter import commands
from fulmarrouter import consensus
from fulmarrouter import messages
from fulmarrouter import raft_log
from fulmarrouter.cluster import controller as controller_lib
from fulmarrouter.cluster import model
from fulmarrouter.cluster import requests

# Duration of a sync to a disk that isn't slow.
SYNC_S = 0.01
DEFAULT_SERVICE = model.ServiceName("s")
CAPACITY = commands.Resources(4000, 1000, 0)


@dataclasses.dataclass
class Disk:
    """A keeper's persistent storage; holds only what has been synced."""

    keeper: str
    hard_state: consensus.HardState = consensus.HardState()
    snapshot: raft_log.SnapshotData = raft_log.SnapshotData()
    entries: list[messages.Entry] = dataclasses.field(default_factory=list)

    def store(self, output: consensus.Output) -> None:
        """Writes a replica's output, overwriting conflicting log entries."""
        if output.hard_state is not None:
            self.hard_state = output.hard_state
        if output.installed is not None:
            self.snapshot = output.installed
            self.entries = []
        if output.entries:
            first = output.entries[0].index
            self.entries = [
                item for item in self.entries if item.index < first
            ] + list(output.entries)


class Host:
    """A VM with a disk, and the keeper process on it while it runs.

    Attributes:
        disk_generation: How many disks this host has lost; a keeper on a new
            disk has a new name.
        controller: The keeper's logic, None while the process is down.
        cut_off: Whether nothing reaches the host.
        isolated: Whether other hosts don't reach it; workers and callers do.
        frozen_until: Time until which the process is paused.
        sync_s: Duration of a sync to its disk.
        pending_syncs: Outputs that are being written: when each is synced, the
            output, and the term and last log index that it makes durable.
    """

    def __init__(self, number: int) -> None:
        self.number = number
        self.disk = Disk(f"k{number}-0")
        self.disk_generation = 0
        self.controller: controller_lib.Controller | None = None
        self.cut_off = False
        self.isolated = False
        self.frozen_until = 0.0
        self.sync_s = SYNC_S
        self.pending_syncs: list[tuple[float, consensus.Output, int, int]] = []

    @property
    def is_partitioned(self) -> bool:
        """Whether the other keepers can't be reached.

        An isolated host is still reached by workers and callers.
        """
        return self.cut_off or self.isolated

    @property
    def address(self) -> str:
        """Peer address of the host."""
        return f"10.0.0.{self.number}:7000"

    def member(self) -> commands.KeeperAddress:
        """Returns the keeper's entry in a membership."""
        return commands.KeeperAddress(
            self.disk.keeper, f"10.0.0.{self.number}", 7000
        )


@dataclasses.dataclass
class Run:
    """A run of a task on a worker.

    Attributes:
        stops_at: When it ends because it was ordered to stop.
        is_disowned: Whether another process may have said that the worker had
            left while it went on. The task may then run elsewhere too.
    """

    run: int
    ends_at: float
    fails: bool
    stops_at: float = math.inf
    is_disowned: bool = False


@dataclasses.dataclass
class Worker:
    """A fake worker that follows the worker protocol.

    Attributes:
        draining: Whether it reports that it will leave.
        leaves_at: When it will leave at the earliest, if it is draining.
        disowned_until: Until then, a request may arrive by which another
            process says that the worker has left.
        lease_until: Time until which it may run tasks.
        lease_expired_at: When it last held no lease.
        highest_token: Highest fencing token of the orders applied so far.
        ended: Ended runs that the leader has not acknowledged yet.
        end_count: How many runs have ended; numbers the ended runs.
        ended_at_by_number: When each of them ended.
        highest_run_by_task: Newest run of each task that was started or
            stopped. Orders to start an older one are ignored.
        next_report_at: Time of the next report, unless one is in progress.
        awaiting_reply_since: When the report in progress was sent, or None.
        target_host: Index of the host to which it reports.
        started_at: When this incarnation started; its clock then shows 0.
    """

    worker: model.WorkerId
    incarnation: int = 1
    sequence: int = 0
    alive: bool = True
    cut_off: bool = False
    lease_until: float = 0.0
    lease_expired_at: float = 0.0
    highest_token: int = 0
    runs: dict[model.TaskId, Run] = dataclasses.field(default_factory=dict)
    ended: list[requests.EndedRun] = dataclasses.field(default_factory=list)
    end_count: int = 0
    ended_at_by_number: dict[int, float] = dataclasses.field(
        default_factory=dict
    )
    highest_run_by_task: dict[model.TaskId, int] = dataclasses.field(
        default_factory=dict
    )
    next_report_at: float = 0.0
    awaiting_reply_since: float | None = None
    target_host: int = 0
    service: model.ServiceName = DEFAULT_SERVICE
    labels: tuple[str, ...] = ()
    capacity: commands.Resources = CAPACITY
    draining: bool = False
    leaves_at: float = 0.0
    disowned_until: float = 0.0
    started_at: float = 0.0
