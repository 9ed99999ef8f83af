"""Processes workers' reports on the leader and answers them with orders.

Performs no I/O: takes reports and the replicated state, and returns commands
for the log and orders for workers. A run is committed before a worker is
ordered to start it. An assigned run is ended only once it cannot be running any
more, nor be started by an order on its way: its worker lists it as ended, has
restarted or has left, or its lease has expired.
"""

import dataclasses

import msgspec

from fulmarrouter.cluster import assignment_limits
from fulmarrouter.cluster import decision_log
from fulmarrouter.cluster import departures
from fulmarrouter.cluster import evictions
from fulmarrouter.cluster import fleet as fleet_lib
from fulmarrouter.cluster import interference_control
from fulmarrouter.cluster import job_retention
from fulmarrouter.cluster import load_summary
from fulmarrouter.cluster import log_commands
from fulmarrouter.cluster import model
from fulmarrouter.cluster import order_budget
from fulmarrouter.cluster import planner as planner_lib
from fulmarrouter.cluster import report_checks
from fulmarrouter.cluster import report_delays
from fulmarrouter.cluster import report_timing
from fulmarrouter.cluster import requests
from fulmarrouter.cluster import restarts
from fulmarrouter.cluster import run_ends
from fulmarrouter.cluster import run_monitor
from fulmarrouter.cluster import serving_moves
from fulmarrouter.cluster import state as state_lib
from fulmarrouter.cluster import worker_leases
from fulmarrouter.cluster import worker_log

# For this long after a worker's first report to a leader, a run that is missing from
# a report is not considered absent: the report may have been sent before the order
# of an earlier leader arrived.
ABSENCE_GRACE_S = 3.0
EXPIRY_CHECK_INTERVAL_S = 0.1
# Interval at which learned effects are persisted for later leaders. Half of
# what a leader learns is learned within a few seconds.
PERSIST_EFFECTS_INTERVAL_S = 1.0


@dataclasses.dataclass(frozen=True)
class DispatchSettings:
    """Settings of the dispatcher.

    Attributes:
        lease_s: How long a worker may run tasks without a renewed lease.
        restore_s: Time that a task needs to resume from a checkpoint.
        reports_per_s: Target number of reports that the leader reads per
            second, not counting those sent because a run has ended.
        job_retention_s: Time for which ended jobs are kept.
    """

    lease_s: float = 6.0
    restore_s: float = 0.5
    reports_per_s: int = 500
    job_retention_s: float = 300.0


class Dispatcher:
    """Plans runs and answers workers while this keeper is the leader.

    Args:
        settings: Settings of the dispatcher.
        decisions: Receives the decisions to be logged.
    """

    def __init__(
        self,
        settings: DispatchSettings,
        decisions: decision_log.DecisionBuffer | None = None,
    ) -> None:
        self._settings = settings
        self._decisions = decisions or decision_log.DecisionBuffer()
        self.fleet = fleet_lib.Fleet()
        self.interference = interference_control.InterferenceController(
            settings.restore_s
        )
        self.planner = planner_lib.Planner(
            self.fleet, self.interference, self._decisions
        )
        self._serving_mover = self._make_serving_mover(0.0)
        self._job_retention = job_retention.JobRetention(
            settings.job_retention_s
        )
        self._leases = worker_leases.WorkerLeases(settings.lease_s)
        self._departures = departures.Departures(self._leases.granted_end(0.0))
        self._expiry_due = 0.0
        self._summary_due = 0.0
        self._persist_due = 0.0
        self._run_monitor = run_monitor.RunMonitor(self._decisions)
        # Workers with reported ends that may not have been applied yet.
        self._workers_with_pending_ends: set[model.WorkerId] = set()

    def start_term(
        self, now: float, state: state_lib.State, wall_ms: int = 0
    ) -> None:
        """Starts a term as leader without the worker views of an earlier one.

        Args:
            now: Monotonic time.
            state: The replicated state.
            wall_ms: Wall-clock time, to estimate the age of jobs.
        """
        self.fleet = fleet_lib.Fleet()
        self.interference = interference_control.InterferenceController(
            self._settings.restore_s, state.effect_by_images.values()
        )
        self.planner = planner_lib.Planner(
            self.fleet, self.interference, self._decisions
        )
        self.planner.restore_job_ages(now, state, wall_ms)
        self._job_retention = job_retention.JobRetention(
            self._settings.job_retention_s
        )
        self._serving_mover = self._make_serving_mover(now)
        self._workers_with_pending_ends = set()
        self._leases = worker_leases.WorkerLeases(
            self._settings.lease_s, now, state.runs_by_worker
        )
        self._departures = departures.Departures(self._leases.granted_end(0.0))
        self._persist_due = now + PERSIST_EFFECTS_INTERVAL_S

    def _make_serving_mover(
        self, started_at: float
    ) -> serving_moves.ServingMover:
        return serving_moves.ServingMover(
            self.fleet,
            self.planner,
            self.interference.effects,
            self._decisions,
            started_at,
        )

    # Reports.

    def on_report(
        self, now: float, state: state_lib.State, report: requests.WorkerReport
    ) -> list[log_commands.AnyCommand] | None:
        """Processes a worker's report.

        Returns:
            Commands to commit before the report is answered, or None if the
            report repeats or precedes one that has already been processed, or
            doesn't come from a worker of a service.
        """
        key = state_lib.WorkerKey(report.worker, report.incarnation)
        if self._departures.is_gone(now, key):
            return self._on_late_report(state, report)
        known = self.fleet.view_by_id.get(report.worker)
        if known is not None and (
            known.key.incarnation > report.incarnation
            or (known.key == key and known.report.sequence >= report.sequence)
        ):
            return None
        if not report_checks.is_from_worker(
            state.configuration, known, report, key in state.runs_by_worker
        ):
            self._decisions.add(
                "report refused",
                worker=report.worker,
                reason="unknown_service",
                service=report.service,
            )
            return None
        proposed: list[log_commands.AnyCommand] = []
        if known is None or known.key != key:
            lease_end = self._leases.inherited_end_by_key.pop(key, 0.0)
            view = fleet_lib.WorkerView(
                key,
                report,
                now,
                lease_end,
                first_heard_at=now,
                inherited_until=lease_end,
                first_clock_ms=report.clock_ms,
            )
            proposed += log_commands.end_runs(
                restarts.follow(
                    state, known, view, self._leases.inherited_end_by_key
                )
            )
            if known is not None:
                self.interference.forget_worker(known.key)
            self.fleet.view_by_id[report.worker] = view
            worker_log.log_joined(self._decisions, now, known, view)
        else:
            view = known
        ignored_for = self._departures.on_report(
            now, key, draining=report.draining
        )
        if ignored_for:
            self._decisions.add(
                "leave ignored",
                worker=report.worker,
                incarnation=report.incarnation,
                reason=ignored_for,
            )
        view.report = report
        delay_s = view.clock.delay_s(now, report.clock_ms)
        view.is_report_late = delay_s > report_delays.MAX_ANSWERED_S
        view.last_heard_at = max(view.last_heard_at, now - delay_s)
        if view.is_report_late:
            worker_log.log_late_report(self._decisions, view, delay_s)
        worker_log.log_unassigned_runs(self._decisions, state, view)
        view.running = {item.task: item for item in report.running}
        proposed += log_commands.end_runs(self._new_ends(now, state, view))
        proposed += log_commands.end_runs(restarts.decide(now, state, view))
        self.fleet.mark_changed(report.worker)
        self.interference.on_report(now, state, view)
        self._run_monitor.on_report(now, state, view, self.interference)
        return proposed

    def _on_late_report(
        self, state: state_lib.State, report: requests.WorkerReport
    ) -> list[log_commands.AnyCommand]:
        """Takes the successes that still count from a report after a leave."""
        ends = run_ends.late_successes(
            state, self.planner.planned_indices, report
        )
        self._decisions.add(
            "report refused",
            worker=report.worker,
            reason="worker_left",
            ended=len(report.ended),
            late_successes=len(ends),
        )
        return log_commands.end_runs(ends)

    def _end_lost_runs(
        self, state: state_lib.State, key: state_lib.WorkerKey
    ) -> list[log_commands.AnyCommand]:
        """Ends all runs assigned to a worker incarnation as lost."""
        return log_commands.end_runs(run_ends.lost_runs(state, self.fleet, key))

    def _new_ends(
        self,
        now: float,
        state: state_lib.State,
        view: fleet_lib.WorkerView,
    ) -> list[log_commands.RunEnd]:
        """Returns the reported ends that have not been proposed yet."""
        assigned = state.runs_by_worker.get(view.key, {})
        last_proposed = (
            view.pending_acknowledgements[-1][1]
            if view.pending_acknowledgements
            else view.acknowledged_end_number
        )
        ends: list[log_commands.RunEnd] = []
        for item in view.report.ended:
            if item.number <= last_proposed:
                continue
            if assigned.get(item.task) == item.run:
                view.ended[item.task] = item.run
                self._workers_with_pending_ends.add(view.key.worker)
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
            self._run_monitor.on_ended(now, state, view, item)
        return ends

    def on_proposed(self, report: requests.WorkerReport, index: int) -> None:
        """Records the log index whose commit makes a report's ends durable."""
        view = self.fleet.view_by_id.get(report.worker)
        if view is None or view.report is not report:
            return
        if report.ended:
            view.pending_acknowledgements.append(
                (index, report.ended[-1].number)
            )
            self._workers_with_pending_ends.add(report.worker)

    def on_applied(self, state: state_lib.State, applied_index: int) -> None:
        """Updates the fleet after commands have been applied to the state."""
        self.fleet.mark_touched(state)
        for worker in list(self._workers_with_pending_ends):
            view = self.fleet.view_by_id.get(worker)
            if view is None or not (
                view.pending_acknowledgements or view.ended
            ):
                self._workers_with_pending_ends.discard(worker)
                continue
            while (
                view.pending_acknowledgements
                and view.pending_acknowledgements[0][0] <= applied_index
            ):
                view.acknowledged_end_number = max(
                    view.acknowledged_end_number,
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
        """Takes note of a worker that says that it leaves.

        Its runs are ended once it is gone. The request may arrive late.

        Returns:
            Commands that end runs of incarnations that are certainly gone.
        """
        view = self.fleet.view_by_id.get(request.worker)
        incarnation = departures.leaving_incarnation(request, view)
        leaving = state_lib.WorkerKey(request.worker, incarnation)
        is_late = view is not None and incarnation < view.key.incarnation
        lost = run_ends.lost_runs_up_to(state, self.fleet, leaving)
        self._decisions.add(
            "worker left",
            worker=request.worker,
            incarnation=request.incarnation,
            runs=len(lost),
            is_known=view is not None,
            is_late=is_late,
        )
        if not incarnation:
            return []
        self._departures.announce(leaving)
        if is_late:
            return log_commands.end_runs(lost)
        if view is not None:
            view.report = msgspec.structs.replace(view.report, draining=True)
            self.fleet.mark_changed(request.worker)
        return []

    def _end_departed_runs(
        self, now: float, state: state_lib.State
    ) -> list[log_commands.AnyCommand]:
        """Ends the runs of workers that have left and are gone."""
        commands: list[log_commands.AnyCommand] = []

        def end_of_runs(worker: model.WorkerId) -> float:
            if not run_ends.incarnations_with_runs(state, worker):
                return 0.0
            return self._leases.end_of(
                worker, self.fleet.view_by_id.get(worker)
            )

        for gone in self._departures.take_gone(
            now, self.fleet.view_by_id, end_of_runs
        ):
            ends = run_ends.lost_runs_up_to(state, self.fleet, gone)
            view = self.fleet.view_by_id.get(gone.worker)
            lease_end = self._leases.end_of(gone.worker, view)
            for end in ends:
                self._leases.inherited_end_by_key.pop(
                    state_lib.WorkerKey(end.worker, end.incarnation), None
                )
            worker_log.log_gone(
                self._decisions,
                now,
                gone,
                view,
                lease_end,
                len(ends),
            )
            commands += log_commands.end_runs(ends)
            if view is not None and view.key.incarnation <= gone.incarnation:
                self.interference.forget_worker(view.key)
                self.fleet.remove(gone.worker)
        return commands

    # Periodic work.

    def expire(
        self, now: float, state: state_lib.State
    ) -> list[log_commands.AnyCommand]:
        """Ends the runs of workers whose leases have expired."""
        if now < self._expiry_due:
            return []
        self._expiry_due = now + EXPIRY_CHECK_INTERVAL_S
        commands: list[log_commands.AnyCommand] = []
        for key in self._leases.take_inherited_expired(now):
            commands += self._end_lost_runs(state, key)
        self._forget_jobs(state)
        commands += self._end_departed_runs(now, state)
        for key in list(state.runs_by_worker):
            # These runs were committed after their worker had been removed, so
            # no worker was ever ordered to start them.
            known = self.fleet.view_by_id.get(key.worker)
            is_current = known is not None and (
                known.key == key or key in known.undecided
            )
            if not is_current and key not in self._leases.inherited_end_by_key:
                commands += self._end_lost_runs(state, key)
        for worker, view in list(self.fleet.view_by_id.items()):
            is_silent = now - view.last_heard_at > fleet_lib.MAX_REPORT_AGE_S
            if is_silent and now >= view.lease_until:
                commands += self._end_lost_runs(state, view.key)
                self._decisions.add(
                    "worker lost",
                    worker=worker,
                    incarnation=view.key.incarnation,
                    silent_s=round(now - view.last_heard_at, 1),
                )
                self.interference.forget_worker(view.key)
                self.fleet.remove(worker)
        return commands

    def jobs_to_forget(
        self, now: float, state: state_lib.State
    ) -> list[log_commands.AnyCommand]:
        """Returns the command that forgets ended jobs, if any are due."""
        command = self._job_retention.jobs_to_forget(now, state)
        return [command] if command is not None else []

    def move_serving_tasks(self, now: float, state: state_lib.State) -> None:
        """Starts moves of serving tasks that make room for filling tasks."""
        self._serving_mover.run(now, state)

    def effects_to_persist(self, now: float) -> list[log_commands.AnyCommand]:
        """Returns the command that persists learned effects, if one is due."""
        if now < self._persist_due:
            return []
        self._persist_due = now + PERSIST_EFFECTS_INTERVAL_S
        changed = self.interference.effects.take_changed_effects()
        return [log_commands.KeepEffects(changed)] if changed else []

    def log_load(self, now: float, state: state_lib.State) -> None:
        """Logs the workers' load and the waiting tasks at fixed intervals."""
        if now < self._summary_due:
            return
        self._summary_due = now + load_summary.SUMMARY_INTERVAL_S
        fields = load_summary.describe(state, self.fleet, self.interference)
        fields["gaps"], fields["gaps_wanted"] = self.planner.gap_counts()
        self._decisions.add("load", **fields)

    def _forget_jobs(self, state: state_lib.State) -> None:
        self.interference.forget_jobs(state)
        self.planner.forget_jobs(state)
        self._run_monitor.forget_jobs(state)

    # Orders.

    def orders(
        self,
        now: float,
        state: state_lib.State,
        report: requests.WorkerReport,
        term: int,
    ) -> requests.Orders:
        """Returns the answer to a report.

        Orders that exceed the size of an answer are left for the next ones. To be
        called only once leadership has been confirmed after the report
        arrived. The term is the fencing token of the orders.
        """
        worker_key = state_lib.WorkerKey(report.worker, report.incarnation)
        if self._departures.is_gone(now, worker_key):
            return departures.late_orders(report, term)
        view = self.fleet.view_by_id.get(report.worker)
        if view is None or view.report is not report or view.is_report_late:
            return requests.Orders()
        view.lease_until = max(view.lease_until, self._leases.granted_end(now))
        view.answered_at = now
        self.fleet.refresh_usage(state, view)
        if view.report.draining:
            report_interval_s = self._next_report_ms(view) / 1000
            evictions.request_stops(
                now, state, view, report_interval_s, self._decisions
            )
        budget = order_budget.OrderBudget()
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
            is_wanted = run_ends.is_wanted(job, task, run)
            if view.is_running(task_id, run):
                if not is_wanted or view.must_stop(task_id, run):
                    stop = requests.StopOrder(task_id, run)
                    if budget.admits(stop):
                        stops.append(stop)
                        view.stop_sent_by_task[task_id] = (run, now)
                elif spec.fills:
                    pace = self.interference.next_pace_order(
                        now, view.key, task_id
                    )
                    if pace is not None:
                        paces.append(requests.PaceOrder(task_id, run, pace))
                continue
            if view.ended.get(task_id) == run:
                continue
            if (
                is_wanted
                and not view.report.draining
                and view.lists_all_ends
                and view.may_start(now)
                and not assignment_limits.must_wait_for_stops(
                    state, view, key, task_id
                )
            ):
                start = requests.StartOrder(
                    task_id, run, job.spec.payload, task.checkpoint
                )
                if budget.admits(start):
                    starts.append(start)
                    view.start_sent_by_task[task_id] = (run, now)
        for item in view.running.values():
            if assigned.get(item.task) != item.run:
                stop = requests.StopOrder(item.task, item.run)
                if budget.admits(stop):
                    stops.append(stop)
        return requests.Orders(
            lease_ms=int(self._settings.lease_s * 1000),
            acknowledged_end_number=self._acknowledged_number(now, state, view),
            leader_term=term,
            starts=tuple(starts),
            stops=tuple(stops),
            paces=tuple(paces),
            next_report_ms=(
                report_timing.CONTINUED_REPORT_MS
                if budget.has_deferred or not view.lists_all_ends
                else self._next_report_ms(view)
            ),
        )

    def _acknowledged_number(
        self, now: float, state: state_lib.State, view: fleet_lib.WorkerView
    ) -> int:
        """Returns the number up to which a worker's ends are acknowledged now.

        An earlier leader or view may have lost runs of a worker that is gone, and
        a late report of it may be the first one here. A worker that has been heard
        for the time of a lease is still there, so its runs were lost with its lease.
        """
        if now >= self._leases.granted_end(view.first_heard_at):
            return view.acknowledged_end_number
        number = run_ends.acknowledgeable_number(state, view)
        if number < view.acknowledged_end_number and not view.has_withheld:
            view.has_withheld = True
            self._decisions.add(
                "acknowledgement withheld",
                worker=view.key.worker,
                incarnation=view.key.incarnation,
                number=number + 1,
            )
        return number

    def end_absent_runs(
        self, now: float, state: state_lib.State, report: requests.WorkerReport
    ) -> list[log_commands.AnyCommand]:
        """Ends runs that were assigned but will never be started.

        The worker has reported without the run since its last orders were
        due, and only this leader may order the run. It is therefore not
        running and will not be.
        """
        view = self.fleet.view_by_id.get(report.worker)
        if view is None or view.report is not report:
            return []
        if (
            now - view.first_heard_at < ABSENCE_GRACE_S
            or now < view.inherited_until
        ):
            return []
        ends = run_ends.absent_runs(now, state, view)
        worker_log.log_absent_runs(self._decisions, now, view, ends)
        return log_commands.end_runs(ends)

    def _next_report_ms(self, view: fleet_lib.WorkerView) -> int:
        return report_timing.next_report_ms(
            view.free_resources().millicores,
            view.report.capacity.millicores,
            len(self.fleet.view_by_id),
            self._settings.reports_per_s,
        )
