"""Watches the serving tasks of each worker and acts on what fills beside them."""

from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses

from fulmarrouter.cluster import disturbance
from fulmarrouter.cluster import fleet as fleet_lib
from fulmarrouter.cluster import log_commands
from fulmarrouter.cluster import model
from fulmarrouter.cluster import pacing
from fulmarrouter.cluster import requests
from fulmarrouter.cluster import state as state_lib

# Readings of one worker are averages, so closer ones teach nothing new.
LEARN_INTERVAL_S = 0.2
PACE_STEP = 10  # Smaller changes of a pace, in percent, are not sent.
# A worker follows a pace some time after it was last told one, so a repetition
# with each report would put it off for ever. It is repeated after this time,
# in case an answer was lost.
REPEAT_PACE_S = 0.6
# Least time between two changes of a pace: a reading shows the first by then.
CHANGE_PACE_S = 0.25
# How long a task at full pace is told of it.
REPEAT_FULL_PACE_S = 1.5


@dataclasses.dataclass(frozen=True)
class _Row:
    """A running task with what was submitted for it."""

    reported: requests.RunningTask
    job: state_lib.Job
    spec: model.StepSpec


@dataclasses.dataclass
class _Pace:
    """Pace of one run of a filling task.

    Attributes:
        spec: The step that the task belongs to.
        percent: What it was last given.
        changed_at: When that changed.
        told_at: When the worker was last told.
    """

    run: int
    spec: model.StepSpec
    percent: int
    changed_at: float
    told_at: float = float("-inf")


@dataclasses.dataclass
class _Watch:
    """State of one worker's filling tasks.

    Attributes:
        pace_by_task: Tasks that have been slowed at some time.
        alone_by_image: Least undisturbed headroom of its serving tasks.
    """

    pace_by_task: dict[model.TaskId, _Pace] = dataclasses.field(
        default_factory=dict
    )
    alone_by_image: dict[str, float] = dataclasses.field(default_factory=dict)
    learned_at: float = float("-inf")

    def percent(self, task: model.TaskId) -> int:
        """Returns the pace that a task was last given."""
        known = self.pace_by_task.get(task)
        return known.percent if known is not None else pacing.FULL_PACE


class Neighbours:
    """Learns from reports and decides which filling tasks go on.

    Args:
        restore_s: Time that a task needs to resume from a checkpoint.
        inherited: What earlier leaders have learned.
    """

    def __init__(
        self,
        restore_s: float,
        inherited: Iterable[log_commands.InterferenceEstimate] = (),
    ) -> None:
        self._move_after_s = pacing.move_after_s(restore_s)
        self.effects = disturbance.DisturbanceModel(inherited)
        self._watch_by_worker: dict[state_lib.WorkerKey, _Watch] = {}
        self._jobs_in_place: set[model.JobId] = set()

    def keep_in_place(self, job: model.JobId) -> None:
        """Has a job's filling tasks wait where they are instead of moving.

        They have found no better place for long, and each start disturbs.
        """
        self._jobs_in_place.add(job)

    def on_report(
        self, now: float, state: state_lib.State, view: fleet_lib.WorkerView
    ) -> None:
        """Takes in what a worker reported of its tasks."""
        watch = self._watch_by_worker.setdefault(view.key, _Watch())
        rows = list(_rows(state, view))
        for task in [
            task for task in watch.pace_by_task if task not in view.running
        ]:
            del watch.pace_by_task[task]
        if now - watch.learned_at >= LEARN_INTERVAL_S:
            watch.learned_at = now
            self._learn(now, view, rows)
            watch.alone_by_image = self._least_alone(now, rows)
        self._act(now, view, watch, rows)

    def forget_worker(self, key: state_lib.WorkerKey) -> None:
        """Drops what is known of an incarnation that has ended."""
        self._watch_by_worker.pop(key, None)

    def forget_jobs(self, state: state_lib.State) -> None:
        """Drops the readings of jobs that have ended."""
        for job_id in self.effects.jobs():
            if not state.is_job_active(job_id):
                self.effects.forget_job(job_id)
        self._jobs_in_place = set(
            filter(state.is_job_active, self._jobs_in_place)
        )

    def is_paused(self, key: state_lib.WorkerKey, task: model.TaskId) -> bool:
        """Whether a filling task has been given no pace at all."""
        watch = self._watch_by_worker.get(key)
        return watch is not None and not watch.percent(task)

    def next_pace_order(
        self, now: float, key: state_lib.WorkerKey, task: model.TaskId
    ) -> int | None:
        """Returns the pace to tell a worker now for a filling task, if any."""
        watch = self._watch_by_worker.get(key)
        known = watch.pace_by_task.get(task) if watch is not None else None
        if known is None:
            return None
        is_new = known.told_at < known.changed_at
        if not is_new and now - known.told_at < REPEAT_PACE_S:
            return None
        is_old = now - known.changed_at >= REPEAT_FULL_PACE_S
        if known.percent == pacing.FULL_PACE and is_old and not is_new:
            return None
        known.told_at = now
        return known.percent

    def paused_count(self, key: state_lib.WorkerKey) -> int:
        """Returns how many tasks are paused on a worker."""
        watch = self._watch_by_worker.get(key)
        if watch is None:
            return 0
        return sum(not item.percent for item in watch.pace_by_task.values())

    def held_back(self, key: state_lib.WorkerKey) -> dict[str, int]:
        """Returns the millicores that slowed tasks leave unused, by image."""
        watch = self._watch_by_worker.get(key)
        found: dict[str, int] = {}
        if watch is None:
            return found
        for pace in watch.pace_by_task.values():
            slack = pacing.FULL_PACE - pace.percent
            unused = pace.spec.needs.millicores * slack // pacing.FULL_PACE
            image = pace.spec.image
            found[image] = found.get(image, 0) + unused
        return found

    def alone_by_image(self, key: state_lib.WorkerKey) -> dict[str, float]:
        """Returns the undisturbed headroom of a worker's serving tasks.

        The least of each image, as of the worker's last report.
        """
        watch = self._watch_by_worker.get(key)
        return watch.alone_by_image if watch is not None else {}

    def _least_alone(self, now: float, rows: list[_Row]) -> dict[str, float]:
        found: dict[str, float] = {}
        for row in rows:
            if not row.spec.tail_target_ms:
                continue
            alone = self.effects.alone(now, row.job.id)
            if alone is None:
                continue
            image = row.spec.image
            found[image] = min(found.get(image, alone), alone)
        return found

    def _learn(
        self, now: float, view: fleet_lib.WorkerView, rows: list[_Row]
    ) -> None:
        capacity = max(1, view.report.capacity.millicores)
        shares: disturbance.Shares = {}
        for row in rows:
            if row.spec.fills and row.reported.usage > 0:
                share = row.reported.usage / capacity
                shares[row.spec.image] = shares.get(row.spec.image, 0.0) + share
        for row in rows:
            if row.spec.tail_target_ms and row.reported.usage > 0:
                self.effects.note(
                    now,
                    row.reported.task,
                    row.job.id,
                    row.spec.image,
                    disturbance.headroom_of(
                        row.reported.usage, row.spec.tail_target_ms
                    ),
                    shares,
                )

    def _act(
        self,
        now: float,
        view: fleet_lib.WorkerView,
        watch: _Watch,
        rows: list[_Row],
    ) -> None:
        capacity = max(1, view.report.capacity.millicores)
        filling = [_filling(row, capacity) for row in rows if row.spec.fills]
        if not filling:
            return
        serving = [
            pacing.Serving(
                row.spec.image,
                disturbance.headroom_of(
                    row.reported.usage, row.spec.tail_target_ms
                ),
                self.effects.alone(now, row.job.id),
            )
            for row in rows
            if row.spec.tail_target_ms and row.reported.usage > 0
        ]
        wanted = pacing.paces(self.effects, serving, filling)
        for row in rows:
            if not row.spec.fills:
                continue
            task, run = row.reported.task, row.reported.run
            percent = wanted[task]
            known = watch.pace_by_task.get(task)
            if known is None or known.run != run:
                if percent == pacing.FULL_PACE:
                    continue
                known = _Pace(
                    run, row.spec, pacing.FULL_PACE, now - CHANGE_PACE_S
                )
                watch.pace_by_task[task] = known
            is_settled = now - known.changed_at >= CHANGE_PACE_S
            if is_settled and _differs(known.percent, percent):
                known.percent = percent
                known.changed_at = now
            is_stuck = now - known.changed_at >= self._move_after_s
            if not known.percent and is_stuck and self._can_move(row):
                view.stop_requested[task] = run

    def _can_move(self, row: _Row) -> bool:
        """Whether moving a filling task helps it and loses little work."""
        return row.job.id not in self._jobs_in_place and (
            row.spec.supports_checkpoints
            or row.reported.percent < pacing.MOVE_UNSAVED_BELOW_PERCENT
        )


def _differs(held: int, wanted: int) -> bool:
    """Whether a pace differs by so much that the worker is to be told."""
    if wanted in (0, pacing.FULL_PACE):
        return held != wanted
    return abs(held - wanted) >= PACE_STEP


def _filling(row: _Row, capacity: int) -> pacing.Filling:
    return pacing.Filling(
        row.reported.task,
        row.spec.image,
        row.spec.needs.millicores / capacity,
        max(0, row.reported.usage) / capacity,
    )


def _rows(state: state_lib.State, view: fleet_lib.WorkerView) -> Iterator[_Row]:
    for item in view.running.values():
        found = state.find_task(item.task)
        if found is not None:
            job, key, _, _ = found
            yield _Row(item, job, job.spec.steps[key.step])
