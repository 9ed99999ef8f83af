"""The leader's view of the workers, from their reports. Not replicated."""

from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import itertools

from fulmarrouter import commands
from fulmarrouter.cluster import gaps
from fulmarrouter.cluster import health
from fulmarrouter.cluster import model
from fulmarrouter.cluster import report_delays
from fulmarrouter.cluster import requests
from fulmarrouter.cluster import stall_detection
from fulmarrouter.cluster import state as state_lib

# A worker's clock may run 2 % slow, so its lease lasts that much longer.
CLOCK_DRIFT_FACTOR = 1.02
# Time that a worker may need from the end of its lease until it has killed its
# runs.
LEASE_MARGIN_S = 0.3
# A worker whose last report is older gets no new tasks. Workers are asked to
# report several times within this time.
MAX_REPORT_AGE_S = 1.2

# An answer takes effect within a second or not at all, and a stop is as short.
ORDER_EFFECT_S = 2.0

# Share of its requested processor time that a serving task uses on average. The
# rest is available to filling tasks.
SERVING_UTILIZATION = 0.5

NO_RESOURCES = commands.Resources()
# Time of what has not happened.
NEVER = float("-inf")


@dataclasses.dataclass
class WorkerView:
    """One incarnation of a worker.

    Attributes:
        first_heard_at: When its first report reached this leader.
        lease_until: When all runs on the worker have ended at the latest,
            unless it reports again.
        inherited_until: When the lease that earlier leaders granted it has ended.
            Reports that were sent before may be late, so until then they don't
            prove that a run which they don't list is over.
        acknowledged_end_number: Reported ends of runs up to this number are
            committed.
        pending_acknowledgements: Log index and number of the last end of each
            batch of ends that is being committed.
        has_withheld: Whether an acknowledgement has been withheld from it.
        answered_at: When a report of it was last answered with a lease.
        starts_after: It is told to start nothing before this time, since it may
            still take an answer to an earlier incarnation.
        undecided: Earlier incarnations with runs that it may have started by such
            an answer. Its lease covers them too.
        first_clock_ms: Its clock at its first report to this leader.
        clock: Its clock, which tells how long its reports were on their way.
        is_report_late: Whether its last report was on its way for so long that it
            drops the answer.
        ended: Runs that it has reported as ended and that the replicated state
            still contains.
        running: Runs that it last reported as running.
        used: Resources claimed by assigned and unwanted runs; filling runs
            claim no processor time. This and the next fields are valid if
            `is_usage_stale` is false.
        unwanted_runs: Runs that are being stopped: it reports them although the
            state has ended them, or their tasks are done.
        stop_requested: Runs that it is told to stop although their tasks are
            still to be done.
        start_sent_by_task: Run that it was last told to start, and when.
        stop_sent_by_task: Run that it was last told to stop, and when.
        stalled: Runs that it is told to stop for as long as they make no
            progress.
        backoff_until: The worker gets no new tasks before this time, since it
            refused a start for lack of capacity.
        finite_runs: Assigned runs that end by themselves.
        ordinary_runs: Those of the finite runs that claim processor time.
        filling_share_by_image: Share of the processors that assigned filling
            tasks request.
        serving_count_by_image: Number of assigned serving tasks.
    """

    key: state_lib.WorkerKey
    report: requests.WorkerReport
    last_heard_at: float
    lease_until: float
    first_heard_at: float = 0.0
    inherited_until: float = 0.0
    acknowledged_end_number: int = 0
    pending_acknowledgements: list[tuple[int, int]] = dataclasses.field(
        default_factory=list
    )
    has_withheld: bool = False
    answered_at: float = NEVER
    starts_after: float = NEVER
    undecided: set[state_lib.WorkerKey] = dataclasses.field(default_factory=set)
    first_clock_ms: int = 0
    clock: report_delays.WorkerClock = dataclasses.field(
        default_factory=report_delays.WorkerClock
    )
    is_report_late: bool = False
    ended: dict[model.TaskId, int] = dataclasses.field(default_factory=dict)
    running: dict[model.TaskId, requests.ActiveRun] = dataclasses.field(
        default_factory=dict
    )
    used: commands.Resources = NO_RESOURCES
    unwanted_runs: dict[model.TaskId, int] = dataclasses.field(
        default_factory=dict
    )
    filling_share_by_image: dict[str, float] = dataclasses.field(
        default_factory=dict
    )
    serving_count_by_image: dict[str, int] = dataclasses.field(
        default_factory=dict
    )
    idle_millicores: int = 0
    finite_runs: int = 0
    ordinary_runs: int = 0
    is_usage_stale: bool = True
    backoff_until: float = 0.0
    worker_health: health.WorkerHealth = dataclasses.field(
        default_factory=health.WorkerHealth
    )
    progress: stall_detection.ProgressTracker = dataclasses.field(
        default_factory=stall_detection.ProgressTracker
    )
    stop_requested: dict[model.TaskId, int] = dataclasses.field(
        default_factory=dict
    )
    start_sent_by_task: dict[model.TaskId, tuple[int, float]] = (
        dataclasses.field(default_factory=dict)
    )
    stop_sent_by_task: dict[model.TaskId, tuple[int, float]] = (
        dataclasses.field(default_factory=dict)
    )
    stalled: dict[model.TaskId, int] = dataclasses.field(default_factory=dict)

    @property
    def lists_all_ends(self) -> bool:
        """Whether a run that its last report doesn't list has not ended on it.

        Otherwise the run may be among the ends that the next reports list.
        """
        return not self.report.has_more_ends

    def has_reported(self, task: model.TaskId, run: int) -> bool:
        """Whether the worker reported the run as running or ended."""
        known = self.running.get(task)
        if known is not None and known.run == run:
            return True
        return self.ended.get(task) == run

    def is_running(self, task: model.TaskId, run: int) -> bool:
        """Whether the worker reported the run as running."""
        known = self.running.get(task)
        return known is not None and known.run == run

    def must_stop(self, task: model.TaskId, run: int) -> bool:
        """Whether it is told to stop the run of a task that is to be done."""
        return run in (self.stop_requested.get(task), self.stalled.get(task))

    def ordered_runs(self) -> dict[model.TaskId, int]:
        """Returns the runs that it is told to start by the last answer."""
        return {
            task: run
            for task, (run, sent_at) in self.start_sent_by_task.items()
            if sent_at == self.answered_at
        }

    def may_be_starting(self, now: float, task: model.TaskId, run: int) -> bool:
        """Whether an order to start the run may be in progress."""
        sent_run, sent_at = self.start_sent_by_task.get(task, (0, 0.0))
        return sent_run == run and now - sent_at < ORDER_EFFECT_S

    def may_be_stopping(self, now: float, task: model.TaskId, run: int) -> bool:
        """Whether an order to stop the run is due or may be in progress."""
        sent_run, sent_at = self.stop_sent_by_task.get(task, (0, 0.0))
        is_recent = sent_run == run and now - sent_at < ORDER_EFFECT_S
        return is_recent or self.must_stop(task, run)

    def free_resources(self) -> commands.Resources:
        """Returns the resources that no run claims."""
        return self.report.capacity.minus(self.used)

    def free_beside(
        self, specs: Iterable[model.StepSpec]
    ) -> commands.Resources:
        """Returns the resources that neither runs nor further tasks claim.

        Args:
            specs: The steps of these tasks.
        """
        free = self.free_resources()
        for spec in specs:
            free = free.minus(claimed_resources(spec))
        return free

    def is_fresh(self, now: float) -> bool:
        """Whether its last report is recent enough for it to get new tasks."""
        return now - self.last_heard_at <= MAX_REPORT_AGE_S

    def may_start(self, now: float) -> bool:
        """Whether nothing sent to an earlier incarnation can take effect."""
        return not self.undecided and now >= self.starts_after

    def takes_tasks(self, now: float) -> bool:
        """Whether tasks may be placed on it now, and would be started soon."""
        return self.is_fresh(now) and not self.undecided and self.lists_all_ends


def claimed_resources(spec: model.StepSpec) -> commands.Resources:
    """Returns what a task claims on a worker; filling ones no processor time."""
    if not spec.fills:
        return spec.needs
    return commands.Resources(0, spec.needs.memory_mb, spec.needs.accelerators)


class Fleet:
    """All workers that have reported to the leader."""

    def __init__(self) -> None:
        self.view_by_id: dict[model.WorkerId, WorkerView] = {}
        self._changed: dict[model.WorkerId, None] = {}  # Ordered set.
        self._workers_with_unwanted_runs: set[model.WorkerId] = set()

    def mark_changed(self, worker: model.WorkerId) -> None:
        """Marks a worker's capacity as possibly changed."""
        self._changed[worker] = None
        view = self.view_by_id.get(worker)
        if view is not None:
            view.is_usage_stale = True

    def take_changed(self) -> list[model.WorkerId]:
        """Returns the workers marked as changed since the last call."""
        taken = list(self._changed)
        self._changed.clear()
        return taken

    def remove(self, worker: model.WorkerId) -> None:
        """Drops a worker that has left or is lost."""
        if self.view_by_id.pop(worker, None) is not None:
            self._changed[worker] = None
            self._workers_with_unwanted_runs.discard(worker)

    def views_with_unwanted_runs(self) -> Iterator[WorkerView]:
        """Yields the workers on which runs are being stopped."""
        for worker in self._workers_with_unwanted_runs:
            yield self.view_by_id[worker]

    def refresh_usage(self, state: state_lib.State, view: WorkerView) -> None:
        """Recomputes the usage of a worker, if it may have changed."""
        if not view.is_usage_stale:
            return
        assigned = state.runs_by_worker.get(view.key, {})
        unassigned = {
            task: item.run
            for task, item in view.running.items()
            if assigned.get(task) != item.run
        }
        view.unwanted_runs = dict(unassigned)
        millicores = 0
        memory_mb = 0
        accelerators = 0
        filling_millicores = 0
        share_by_image: dict[str, float] = {}
        capacity = max(1, view.report.capacity.millicores)
        idle_serving_millicores = 0
        finite_runs = 0
        ordinary_runs = 0
        count_by_image: dict[str, int] = {}
        for task, run in itertools.chain(assigned.items(), unassigned.items()):
            if view.ended.get(task) == run:
                continue
            located = state.find_task(task)
            if located is None:
                continue
            if located[3].phase is model.TaskPhase.DONE:
                view.unwanted_runs[task] = run
            spec = state.spec_of(located[1])
            finite_runs += not spec.runs_until_cancelled
            ordinary_runs += gaps.is_ordinary(spec)
            memory_mb += spec.needs.memory_mb
            accelerators += spec.needs.accelerators
            if spec.tail_target_ms:
                count_by_image[spec.image] = (
                    count_by_image.get(spec.image, 0) + 1
                )
                idle_serving_millicores += int(
                    spec.needs.millicores * (1 - SERVING_UTILIZATION)
                )
            if spec.fills:
                filling_millicores += spec.needs.millicores
                share = spec.needs.millicores / capacity
                share_by_image[spec.image] = (
                    share_by_image.get(spec.image, 0.0) + share
                )
            else:
                millicores += spec.needs.millicores
        view.used = commands.Resources(millicores, memory_mb, accelerators)
        view.finite_runs = finite_runs
        view.ordinary_runs = ordinary_runs
        view.filling_share_by_image = share_by_image
        view.serving_count_by_image = count_by_image
        view.idle_millicores = (
            view.report.capacity.millicores
            - millicores
            + idle_serving_millicores
            - filling_millicores
        )
        if view.unwanted_runs:
            self._workers_with_unwanted_runs.add(view.key.worker)
        else:
            self._workers_with_unwanted_runs.discard(view.key.worker)
        view.is_usage_stale = False

    def mark_touched(self, state: state_lib.State) -> None:
        """Marks the workers whose assigned runs have changed in the state."""
        for key in state.changed_workers:
            view = self.view_by_id.get(key.worker)
            if view is not None and view.key == key:
                self.mark_changed(key.worker)
        state.changed_workers.clear()
