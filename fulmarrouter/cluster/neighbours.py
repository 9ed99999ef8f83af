"""Watches the serving tasks of each worker and acts on what fills beside them."""

from collections.abc import Iterator
import dataclasses

from fulmarrouter.cluster import disturbance
from fulmarrouter.cluster import fleet as fleet_lib
from fulmarrouter.cluster import model
from fulmarrouter.cluster import pacing
from fulmarrouter.cluster import requests
from fulmarrouter.cluster import state as state_lib

# Readings of one worker are averages, so closer ones teach nothing new.
LEARN_INTERVAL_S = 0.2
# How long a resumed task is told of its full pace, in case an answer is lost.
REPEAT_RESUME_S = 1.5
FULL_PACE = 100


@dataclasses.dataclass(frozen=True)
class _Row:
    """A running task with what was submitted for it."""

    reported: requests.RunningTask
    job: state_lib.Job
    spec: model.StepSpec


@dataclasses.dataclass
class _Watch:
    """State of one worker's filling tasks.

    Attributes:
        paused_since: Paused tasks, with the run and the time of the pause.
        resumed_at: Tasks resumed a moment ago.
        alone_by_image: Least undisturbed headroom of its serving tasks.
    """

    paused_since: dict[model.TaskId, tuple[int, float]] = dataclasses.field(
        default_factory=dict
    )
    resumed_at: dict[model.TaskId, float] = dataclasses.field(
        default_factory=dict
    )
    alone_by_image: dict[str, float] = dataclasses.field(default_factory=dict)
    changed_at: float = float("-inf")
    learned_at: float = float("-inf")


class Neighbours:
    """Learns from reports and decides which filling tasks go on."""

    def __init__(self) -> None:
        self.effects = disturbance.DisturbanceModel()
        self._watch_by_worker: dict[state_lib.WorkerKey, _Watch] = {}

    def on_report(
        self, now: float, state: state_lib.State, view: fleet_lib.WorkerView
    ) -> None:
        """Takes in what a worker reported of its tasks."""
        watch = self._watch_by_worker.setdefault(view.key, _Watch())
        rows = list(_rows(state, view))
        for task in [
            task for task in watch.paused_since if task not in view.running
        ]:
            del watch.paused_since[task]
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
            job = state.job_by_id.get(job_id)
            if job is None or not job.is_active:
                self.effects.forget_job(job_id)

    def pace_of(
        self, now: float, key: state_lib.WorkerKey, task: model.TaskId
    ) -> int | None:
        """Returns the pace to tell a worker for a filling task, if any."""
        watch = self._watch_by_worker.get(key)
        if watch is None:
            return None
        if task in watch.paused_since:
            return 0
        resumed = watch.resumed_at.get(task)
        if resumed is not None and now - resumed < REPEAT_RESUME_S:
            return FULL_PACE
        return None

    def has_paused(self, key: state_lib.WorkerKey) -> bool:
        """Whether a worker has paused tasks."""
        watch = self._watch_by_worker.get(key)
        return watch is not None and bool(watch.paused_since)

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
        filling = [
            self._filling(now, watch, row, capacity)
            for row in rows
            if row.spec.fills
        ]
        if not filling:
            return
        serving = [
            pacing.Serving(
                row.job.id,
                row.spec.image,
                disturbance.headroom_of(
                    row.reported.usage, row.spec.tail_target_ms
                ),
                self.effects.alone(now, row.job.id),
            )
            for row in rows
            if row.spec.tail_target_ms and row.reported.usage > 0
        ]
        step = pacing.decide(
            self.effects, serving, filling, now - watch.changed_at
        )
        if step is None:
            return
        action, task = step
        watch.changed_at = now
        run = view.running[task].run
        match action:
            case pacing.Action.PAUSE:
                watch.paused_since[task] = (run, now)
            case pacing.Action.RESUME:
                watch.paused_since.pop(task, None)
                watch.resumed_at[task] = now
            case pacing.Action.MOVE:
                view.stopping[task] = run

    def _filling(
        self, now: float, watch: _Watch, row: _Row, capacity: int
    ) -> pacing.Filling:
        paused = watch.paused_since.get(row.reported.task)
        can_move = (
            row.spec.checkpoints
            or row.reported.percent < pacing.MOVE_UNSAVED_BELOW_PERCENT
        )
        return pacing.Filling(
            row.reported.task,
            row.spec.image,
            row.spec.needs.millicores / capacity,
            now - paused[1] if paused is not None else None,
            can_move,
        )


def _rows(state: state_lib.State, view: fleet_lib.WorkerView) -> Iterator[_Row]:
    for item in view.running.values():
        found = state.find_task(item.task)
        if found is not None:
            job, key, _, _ = found
            yield _Row(item, job, job.spec.steps[key.step])
