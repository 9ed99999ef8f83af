"""What the leader knows of the workers from their reports. Never replicated."""

import dataclasses

from fulmarrouter import commands
from fulmarrouter.cluster import gaps
from fulmarrouter.cluster import health
from fulmarrouter.cluster import model
from fulmarrouter.cluster import progress as progress_lib
from fulmarrouter.cluster import requests
from fulmarrouter.cluster import state as state_lib

# A worker's clock may run 2 % slow, so its lease lasts that much longer.
CLOCK_DRIFT = 1.02
# Time for what the worker does between the end of its lease and the kill.
LEASE_MARGIN_S = 0.3
# A worker not heard of for this long gets no new work. Workers are asked to
# report several times as often.
FRESH_S = 1.2

# Share of its processors that a serving task uses on average; what it leaves
# goes to filling tasks.
SERVING_LOAD = 0.5

NOTHING = commands.Resources()


@dataclasses.dataclass
class WorkerView:
    """One incarnation of a worker.

    Attributes:
        lease_until: When everything on the worker is over at the latest if it
            is not heard of again.
        noted_end: Number of the last end that is durable.
        noting: Ends that are being committed, by log index.
        ended: Runs that it has listed as ended and that the state still has.
        running: What it last listed as running.
        used: Room taken by assigned runs, when `is_stale` is false.
        stopping: Runs that it is told to stop though they are wanted.
        refused_until: It refused a start for want of room a moment ago.
        ending_runs: Assigned runs that end by themselves.
        ordinary_runs: Those of them that claim room.
        share_by_image: Share of the processors that assigned filling tasks
            ask for.
    """

    key: state_lib.WorkerKey
    report: requests.WorkerReport
    heard_at: float
    lease_until: float
    noted_end: int = 0
    noting: list[tuple[int, int]] = dataclasses.field(default_factory=list)
    ended: dict[model.TaskId, int] = dataclasses.field(default_factory=dict)
    running: dict[model.TaskId, requests.RunningTask] = dataclasses.field(
        default_factory=dict
    )
    used: commands.Resources = NOTHING
    share_by_image: dict[str, float] = dataclasses.field(default_factory=dict)
    serving_by_image: dict[str, int] = dataclasses.field(default_factory=dict)
    idle_millicores: int = 0
    ending_runs: int = 0
    ordinary_runs: int = 0
    is_stale: bool = True
    refused_until: float = 0.0
    record: health.WorkerHealth = dataclasses.field(
        default_factory=health.WorkerHealth
    )
    progress: progress_lib.Progress = dataclasses.field(
        default_factory=progress_lib.Progress
    )
    stopping: dict[model.TaskId, int] = dataclasses.field(default_factory=dict)

    def lists(self, task: model.TaskId, run: int) -> bool:
        """Whether the worker reported the run as running or ended."""
        known = self.running.get(task)
        if known is not None and known.run == run:
            return True
        return self.ended.get(task) == run

    def runs(self, task: model.TaskId, run: int) -> bool:
        """Whether the worker reported the run as running."""
        known = self.running.get(task)
        return known is not None and known.run == run

    def free(self) -> commands.Resources:
        """Room that no assigned run takes."""
        return self.report.capacity.minus(self.used)

    def is_fresh(self, now: float) -> bool:
        """Whether it has been heard of of late, so that it may get new work."""
        return now - self.heard_at <= FRESH_S


class Fleet:
    """All workers that the leader has heard of."""

    def __init__(self) -> None:
        self.view_by_id: dict[model.WorkerId, WorkerView] = {}
        self._changed: dict[model.WorkerId, None] = {}  # In order.

    def note_changed(self, worker: model.WorkerId) -> None:
        """Notes that a worker's room may have changed."""
        self._changed[worker] = None
        view = self.view_by_id.get(worker)
        if view is not None:
            view.is_stale = True

    def take_changed(self) -> list[model.WorkerId]:
        """Returns the workers noted as changed since the last call."""
        taken = list(self._changed)
        self._changed.clear()
        return taken

    def remove(self, worker: model.WorkerId) -> None:
        """Drops a worker that has ended."""
        if self.view_by_id.pop(worker, None) is not None:
            self._changed[worker] = None

    def refresh_used(self, state: state_lib.State, view: WorkerView) -> None:
        """Recomputes the room taken on a worker, if it may have changed."""
        if not view.is_stale:
            return
        millicores = 0
        memory_mb = 0
        accelerators = 0
        filling = 0
        shares: dict[str, float] = {}
        capacity = max(1, view.report.capacity.millicores)
        idle_serving = 0
        ending_runs = 0
        ordinary_runs = 0
        serving: dict[str, int] = {}
        for task, run in state.runs_by_worker.get(view.key, {}).items():
            if view.ended.get(task) == run:
                continue
            found = state.find_task(task)
            if found is None:
                continue
            spec = state.spec_of(found[1])
            ending_runs += not spec.long_running
            ordinary_runs += gaps.is_ordinary(spec)
            memory_mb += spec.needs.memory_mb
            accelerators += spec.needs.accelerators
            if spec.tail_target_ms:
                serving[spec.image] = serving.get(spec.image, 0) + 1
                idle_serving += int(spec.needs.millicores * (1 - SERVING_LOAD))
            if spec.fills:
                filling += spec.needs.millicores
                share = spec.needs.millicores / capacity
                shares[spec.image] = shares.get(spec.image, 0.0) + share
            else:
                millicores += spec.needs.millicores
        view.used = commands.Resources(millicores, memory_mb, accelerators)
        view.ending_runs = ending_runs
        view.ordinary_runs = ordinary_runs
        view.share_by_image = shares
        view.serving_by_image = serving
        view.idle_millicores = (
            view.report.capacity.millicores
            - millicores
            + idle_serving
            - filling
        )
        view.is_stale = False

    def mark_touched(self, state: state_lib.State) -> None:
        """Notes which workers' runs the state has changed."""
        for key in state.changed_workers:
            view = self.view_by_id.get(key.worker)
            if view is not None and view.key == key:
                self.note_changed(key.worker)
        state.changed_workers.clear()
