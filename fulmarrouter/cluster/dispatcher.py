"""The leader's view of what workers do, and its orders to them.

Pure: reports and the replicated state go in, commands for the log and orders
for workers come out. A run is committed before a worker is told to start it,
and an assigned run is only given up once it is provably over: listed as ended,
its worker reborn or gone, or its lease expired.
"""

import dataclasses

from fulmarrouter.cluster import fleet as fleet_lib
from fulmarrouter.cluster import load_summary
from fulmarrouter.cluster import log_commands
from fulmarrouter.cluster import model
from fulmarrouter.cluster import neighbours
from fulmarrouter.cluster import notes
from fulmarrouter.cluster import planner as planner_lib
from fulmarrouter.cluster import progress
from fulmarrouter.cluster import report_timing
from fulmarrouter.cluster import requests
from fulmarrouter.cluster import state as state_lib

# A worker that refused a start gets none for this long; its next reports
# show what takes the room.
REFUSED_PAUSE_S = 0.5
# After an election, how long a run missing from a report is not taken for
# absent: a report may have been under way since before.
INHERITED_S = 3.0
EXPIRY_CHECK_S = 0.1
# How often what has been learned is kept for later leaders. Half of it is
# learned in a few seconds.
KEEP_EFFECTS_S = 1.0


@dataclasses.dataclass(frozen=True)
class DispatchSettings:
    """Settings of the dispatcher.

    Attributes:
        lease_s: Time for which a worker may run things without a new lease.
        restore_s: Time that a task needs to resume from a checkpoint.
        reports_per_s: Reports that the leader is to read in a second, beside
            those on ends.
    """

    lease_s: float = 6.0
    restore_s: float = 0.5
    reports_per_s: int = 500


class Dispatcher:
    """Plans runs and answers workers, while this keeper leads."""

    def __init__(
        self,
        settings: DispatchSettings,
        notebook: notes.Notebook | None = None,
    ) -> None:
        self._settings = settings
        self._notes = notebook or notes.Notebook()
        self.fleet = fleet_lib.Fleet()
        self.neighbours = neighbours.Neighbours(settings.restore_s)
        self.planner = planner_lib.Planner(self.fleet, self.neighbours)
        self._office_since = 0.0
        self._expiry_due = 0.0
        self._summary_due = 0.0
        self._keep_due = 0.0
        self._failed_on: dict[model.JobId, set[model.WorkerId]] = {}
        self._inherited_until: dict[state_lib.WorkerKey, float] = {}
        # Workers with ends that the state may not have taken in yet.
        self._with_ends: set[model.WorkerId] = set()

    def take_office(
        self, now: float, state: state_lib.State, wall_ms: int = 0
    ) -> None:
        """Forgets what an earlier term of office knew.

        Args:
            now: Monotonic time.
            state: The replicated state.
            wall_ms: Wall clock, to tell roughly how old jobs are.
        """
        self.fleet = fleet_lib.Fleet()
        self.neighbours = neighbours.Neighbours(
            self._settings.restore_s, state.estimate_by_images.values()
        )
        self.planner = planner_lib.Planner(self.fleet, self.neighbours)
        self.planner.restore_job_ages(now, state, wall_ms)
        self._with_ends = set()
        self._office_since = now
        self._keep_due = now + KEEP_EFFECTS_S
        full = self._lease_end(now)
        self._inherited_until = dict.fromkeys(state.runs_by_worker, full)

    def _lease_end(self, now: float) -> float:
        """When a lease granted until now is over on any worker's clock."""
        return (
            now
            + self._settings.lease_s * fleet_lib.CLOCK_DRIFT_FACTOR
            + fleet_lib.LEASE_MARGIN_S
        )

    # Reports.

    def on_report(
        self, now: float, state: state_lib.State, report: requests.WorkerReport
    ) -> list[log_commands.AnyCommand] | None:
        """Takes in a worker's report.

        Returns:
            Commands to commit before it is answered, or None where the report
            is older than one that has been seen.
        """
        key = state_lib.WorkerKey(report.worker, report.incarnation)
        known = self.fleet.view_by_id.get(report.worker)
        if known is not None and (
            known.key.incarnation > report.incarnation
            or (known.key == key and known.report.sequence >= report.sequence)
        ):
            return None
        proposed: list[log_commands.AnyCommand] = []
        if known is None or known.key != key:
            proposed += self._ends_of_earlier_lives(state, key)
            if known is not None:
                self.neighbours.forget_worker(known.key)
            until = self._inherited_until.pop(key, 0.0)
            view = fleet_lib.WorkerView(key, report, now, until)
            self.fleet.view_by_id[report.worker] = view
            self._notes.add(
                "worker joined",
                worker=report.worker,
                incarnation=report.incarnation,
                zone=report.zone,
                runs=len(report.running),
            )
        else:
            view = known
        view.report = report
        view.last_heard_at = now
        view.running = {item.task: item for item in report.running}
        ends = self._new_ends(now, state, view)
        if ends:
            proposed.append(log_commands.EndRuns(tuple(ends)))
        self.fleet.mark_changed(report.worker)
        self.neighbours.on_report(now, state, view)
        self._stop_stalled(now, state, view)
        return proposed

    def _ends_of_earlier_lives(
        self, state: state_lib.State, key: state_lib.WorkerKey
    ) -> list[log_commands.AnyCommand]:
        """A later life of a worker proves that earlier ones run nothing."""
        found: list[log_commands.AnyCommand] = []
        for other in list(state.runs_by_worker):
            if (
                other.worker == key.worker
                and other.incarnation < key.incarnation
            ):
                found += self._lost_runs(state, other)
        return found

    def _lost_runs(
        self, state: state_lib.State, key: state_lib.WorkerKey
    ) -> list[log_commands.AnyCommand]:
        view = self.fleet.view_by_id.get(key.worker)
        ends = []
        for task, run in state.runs_by_worker.get(key, {}).items():
            checkpoint = ""
            if (
                view is not None
                and view.key == key
                and view.is_running(task, run)
            ):
                checkpoint = view.running[task].checkpoint
            ends.append(
                log_commands.RunEnd(
                    task,
                    run,
                    key.worker,
                    key.incarnation,
                    model.Outcome.LOST,
                    checkpoint,
                )
            )
        return [log_commands.EndRuns(tuple(ends))] if ends else []

    def _new_ends(
        self,
        now: float,
        state: state_lib.State,
        view: fleet_lib.WorkerView,
    ) -> list[log_commands.RunEnd]:
        assigned = state.runs_by_worker.get(view.key, {})
        last_noting = (
            view.pending_acknowledgements[-1][1]
            if view.pending_acknowledgements
            else view.acknowledged_end
        )
        ends: list[log_commands.RunEnd] = []
        for item in view.report.ended:
            if item.number <= last_noting:
                continue
            if assigned.get(item.task) == item.run:
                view.ended[item.task] = item.run
                self._with_ends.add(view.key.worker)
            ends.append(
                log_commands.RunEnd(
                    item.task,
                    item.run,
                    view.key.worker,
                    view.key.incarnation,
                    item.outcome,
                    item.checkpoint,
                )
            )
            self._note_health(now, view, item)
        return ends

    def _note_health(
        self, now: float, view: fleet_lib.WorkerView, item: requests.EndedRun
    ) -> None:
        view.stop_requested.pop(item.task, None)
        match item.outcome:
            case model.Outcome.DONE:
                view.worker_health.note_success()
            case model.Outcome.FAILED:
                parts = model.parse_task_id(item.task)
                if parts is None:
                    return
                failed_on = self._failed_on.setdefault(parts[0], set())
                failed_on.add(view.key.worker)
                # A job that fails everywhere says nothing of a worker.
                if len(failed_on) > 1:
                    return
                if view.worker_health.note_failure(now, parts[0]):
                    self._note_probation(now, view, "failures")
            case model.Outcome.REFUSED:
                view.refused_until = now + REFUSED_PAUSE_S

    def _stop_stalled(
        self, now: float, state: state_lib.State, view: fleet_lib.WorkerView
    ) -> None:
        """Has runs that stand still stopped, so that they go elsewhere."""
        view.progress.keep_only(set(view.running))
        for task_id, item in view.running.items():
            found = state.find_task(task_id)
            if found is None:
                continue
            job, key, _, _ = found
            spec = job.spec.steps[key.step]
            if self.neighbours.is_paused(view.key, task_id):
                view.progress.excuse(now, task_id)
                continue
            still_s = view.progress.note(now, task_id, item.run, item.percent)
            is_known = view.stop_requested.get(task_id) == item.run
            if is_known or not progress.is_stalled(spec, item.percent, still_s):
                continue
            view.stop_requested[task_id] = item.run
            self._notes.add(
                "run stalled",
                task=task_id,
                worker=view.key.worker,
                percent=item.percent,
                still_s=round(still_s, 1),
            )
            if view.worker_health.note_stall(now, job.id):
                self._note_probation(now, view, "stalled runs")

    def _note_probation(
        self, now: float, view: fleet_lib.WorkerView, reason: str
    ) -> None:
        self._notes.add(
            "worker on probation",
            worker=view.key.worker,
            reason=reason,
            for_s=round(view.worker_health.probation_until - now, 1),
        )

    def note_proposed(self, report: requests.WorkerReport, index: int) -> None:
        """Notes the log index that makes a report's ends durable."""
        view = self.fleet.view_by_id.get(report.worker)
        if view is not None and report.ended:
            view.pending_acknowledgements.append(
                (index, report.ended[-1].number)
            )
            self._with_ends.add(report.worker)

    def on_applied(self, state: state_lib.State, applied_index: int) -> None:
        """Follows what the state has taken in."""
        self.fleet.mark_touched(state)
        for worker in list(self._with_ends):
            view = self.fleet.view_by_id.get(worker)
            if view is None or not (
                view.pending_acknowledgements or view.ended
            ):
                self._with_ends.discard(worker)
                continue
            while (
                view.pending_acknowledgements
                and view.pending_acknowledgements[0][0] <= applied_index
            ):
                view.acknowledged_end = max(
                    view.acknowledged_end,
                    view.pending_acknowledgements.pop(0)[1],
                )
            if view.ended:
                runs = state.runs_by_worker.get(view.key, {})
                view.ended = {
                    task: run
                    for task, run in view.ended.items()
                    if runs.get(task) == run
                }

    def on_left(
        self, state: state_lib.State, request: requests.WorkerLeft
    ) -> list[log_commands.AnyCommand]:
        """Takes note of a worker that has ended."""
        found: list[log_commands.AnyCommand] = []
        for key in list(state.runs_by_worker):
            if key.worker == request.worker and (
                not request.incarnation
                or key.incarnation <= request.incarnation
            ):
                found += self._lost_runs(state, key)
        self.fleet.remove(request.worker)
        return found

    # Time.

    def expire(
        self, now: float, state: state_lib.State
    ) -> list[log_commands.AnyCommand]:
        """Ends the runs of workers whose leases are over."""
        if now < self._expiry_due:
            return []
        self._expiry_due = now + EXPIRY_CHECK_S
        found: list[log_commands.AnyCommand] = []
        for key, until in list(self._inherited_until.items()):
            if now >= until:
                del self._inherited_until[key]
                found += self._lost_runs(state, key)
        self._forget_jobs(state)
        for key in list(state.runs_by_worker):
            # Committed after its worker was given up; nobody was told of it.
            known = self.fleet.view_by_id.get(key.worker)
            is_current = known is not None and known.key == key
            if not is_current and key not in self._inherited_until:
                found += self._lost_runs(state, key)
        for worker, view in list(self.fleet.view_by_id.items()):
            is_silent = now - view.last_heard_at > fleet_lib.MAX_REPORT_AGE_S
            if is_silent and now >= view.lease_until:
                found += self._lost_runs(state, view.key)
                self._notes.add(
                    "worker lost",
                    worker=worker,
                    silent_s=round(now - view.last_heard_at, 1),
                )
                self.neighbours.forget_worker(view.key)
                self.fleet.remove(worker)
        return found

    def effects_to_keep(self, now: float) -> list[log_commands.AnyCommand]:
        """Returns what is to be kept of what has been learned."""
        if now < self._keep_due:
            return []
        self._keep_due = now + KEEP_EFFECTS_S
        changed = self.neighbours.effects.take_changes()
        return [log_commands.KeepEffects(changed)] if changed else []

    def note_load(self, now: float, state: state_lib.State) -> None:
        """Notes now and then what the workers hold and what waits."""
        if now < self._summary_due:
            return
        self._summary_due = now + load_summary.INTERVAL_S
        fields = load_summary.describe(state, self.fleet, self.neighbours)
        fields["gaps"], fields["gaps_wanted"] = self.planner.gap_counts()
        self._notes.add("load", **fields)

    def _forget_jobs(self, state: state_lib.State) -> None:
        self.neighbours.forget_jobs(state)
        self.planner.forget_jobs(state)
        for job_id in list(self._failed_on):
            if not state.is_job_active(job_id):
                del self._failed_on[job_id]

    # Orders.

    def orders(
        self,
        now: float,
        state: state_lib.State,
        report: requests.WorkerReport,
        fencing: int,
    ) -> requests.Orders:
        """Answers a report, once leadership has been confirmed after it."""
        view = self.fleet.view_by_id.get(report.worker)
        if view is None or view.report is not report:
            return requests.Orders()
        view.lease_until = max(view.lease_until, self._lease_end(now))
        starts: list[requests.StartOrder] = []
        stops: list[requests.StopOrder] = []
        paces: list[requests.PaceOrder] = []
        assigned = state.runs_by_worker.get(view.key, {})
        for task_id, run in assigned.items():
            found = state.find_task(task_id)
            if found is None:
                continue
            job, key, _, task = found
            spec = job.spec.steps[key.step]
            is_wanted = _is_wanted(job, task, run)
            if view.is_running(task_id, run):
                if not is_wanted or view.stop_requested.get(task_id) == run:
                    stops.append(requests.StopOrder(task_id, run))
                elif spec.fills:
                    pace = self.neighbours.next_pace_order(
                        now, view.key, task_id
                    )
                    if pace is not None:
                        paces.append(requests.PaceOrder(task_id, run, pace))
                continue
            if view.ended.get(task_id) == run:
                continue
            if is_wanted and not view.report.draining:
                starts.append(
                    requests.StartOrder(
                        task_id, run, job.spec.payload, task.checkpoint
                    )
                )
        for item in view.running.values():
            if assigned.get(item.task) != item.run:
                stops.append(requests.StopOrder(item.task, item.run))
        return requests.Orders(
            lease_ms=int(self._settings.lease_s * 1000),
            acknowledged_end=view.acknowledged_end,
            fencing_token=fencing,
            starts=tuple(starts),
            stops=tuple(stops),
            paces=tuple(paces),
            next_report_ms=self._next_report_ms(state, view),
        )

    def absent_runs(
        self, now: float, state: state_lib.State, report: requests.WorkerReport
    ) -> list[log_commands.AnyCommand]:
        """Ends runs that no worker will be told to start any more.

        The worker has reported after its last orders were due, without the
        run; nobody else may order it, so it neither runs nor ever will.
        """
        view = self.fleet.view_by_id.get(report.worker)
        if view is None or now - self._office_since < INHERITED_S:
            return []
        ends = []
        for task_id, run in state.runs_by_worker.get(view.key, {}).items():
            if view.has_reported(task_id, run):
                continue
            found = state.find_task(task_id)
            if found is None:
                continue
            job, _, _, task = found
            is_wanted = _is_wanted(job, task, run)
            if not is_wanted or view.report.draining:
                ends.append(
                    log_commands.RunEnd(
                        task_id,
                        run,
                        view.key.worker,
                        view.key.incarnation,
                        model.Outcome.LOST,
                    )
                )
        return [log_commands.EndRuns(tuple(ends))] if ends else []

    def _next_report_ms(
        self, state: state_lib.State, view: fleet_lib.WorkerView
    ) -> int:
        self.fleet.refresh_usage(state, view)
        return report_timing.next_report_ms(
            view.free_resources().millicores,
            view.report.capacity.millicores,
            len(self.fleet.view_by_id),
            self._settings.reports_per_s,
        )


def _is_wanted(job: state_lib.Job, task: state_lib.Task, run: int) -> bool:
    """Whether a run is the task's current one and its job still needs it."""
    return (
        job.is_active
        and task.phase is model.TaskPhase.ASSIGNED
        and task.run == run
    )
