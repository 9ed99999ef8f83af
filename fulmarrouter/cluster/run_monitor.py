"""Watches the progress and outcome of runs on the leader.

Updates the health of the workers and marks stalled runs to be stopped.
"""

from fulmarrouter.cluster import decision_log
from fulmarrouter.cluster import fleet as fleet_lib
from fulmarrouter.cluster import interference_control
from fulmarrouter.cluster import model
from fulmarrouter.cluster import requests
from fulmarrouter.cluster import stall_detection
from fulmarrouter.cluster import state as state_lib

# A worker that refused a start gets no new tasks for this long; its next reports
# show what occupies its capacity.
REFUSAL_BACKOFF_S = 0.5


class RunMonitor:
    """Judges workers by their runs.

    Args:
        decisions: Receives the decisions to be logged.
    """

    def __init__(self, decisions: decision_log.DecisionBuffer) -> None:
        self._decisions = decisions
        self._failed_workers_by_job: dict[model.JobId, set[model.WorkerId]] = {}

    def on_ended(
        self,
        now: float,
        state: state_lib.State,
        view: fleet_lib.WorkerView,
        item: requests.EndedRun,
    ) -> None:
        """Updates a worker's health from the outcome of a run.

        Tasks that run until they are cancelled may fail at any time. That one was at
        work shows that its worker can run it, so its failure doesn't count.
        """
        view.stop_requested.pop(item.task, None)
        match item.outcome:
            case model.Outcome.DONE:
                view.worker_health.record_success()
            case model.Outcome.FAILED:
                found = state.find_task(item.task)
                if found is None:
                    return
                job = found[0].id
                if state.spec_of(
                    found[1]
                ).runs_until_cancelled and view.progress.was_ready(
                    item.task, item.run
                ):
                    return
                failed_workers = self._failed_workers_by_job.setdefault(
                    job, set()
                )
                failed_workers.add(view.key.worker)
                # A job that fails on several workers is probably at fault itself.
                if len(failed_workers) > 1:
                    return
                if view.worker_health.record_failure(now, job):
                    self._log_probation(now, view, "failures")
            case model.Outcome.REFUSED:
                view.backoff_until = now + REFUSAL_BACKOFF_S

    def on_report(
        self,
        now: float,
        state: state_lib.State,
        view: fleet_lib.WorkerView,
        interference: interference_control.InterferenceController,
    ) -> None:
        """Marks stalled runs to be stopped and placed on another worker.

        The mark goes if a run makes progress before it has been stopped.
        """
        view.progress.retain(set(view.running))
        view.start_sent_by_task = {
            task: sent
            for task, sent in view.start_sent_by_task.items()
            if now - sent[1] < fleet_lib.ORDER_EFFECT_S
        }
        view.stop_sent_by_task = {
            task: sent
            for task, sent in view.stop_sent_by_task.items()
            if task in view.running
        }
        previously_stalled = view.stalled
        view.stalled = {}
        for task_id, item in view.running.items():
            found = state.find_task(task_id)
            if found is None:
                continue
            job, key, _, _ = found
            spec = job.spec.steps[key.step]
            if interference.is_paused(view.key, task_id):
                view.progress.restart_timeout(now, task_id)
                continue
            still_s = view.progress.observe(
                now, task_id, item.run, item.percent
            )
            is_stop_requested = view.stop_requested.get(task_id) == item.run
            if is_stop_requested or not stall_detection.is_stalled(
                spec, item.percent, still_s
            ):
                continue
            view.stalled[task_id] = item.run
            if previously_stalled.get(task_id) == item.run:
                continue
            self._decisions.add(
                "run stalled",
                task=task_id,
                worker=view.key.worker,
                percent=item.percent,
                still_s=round(still_s, 1),
            )
            if view.worker_health.record_stall(now, job.id):
                self._log_probation(now, view, "stalled runs")

    def forget_jobs(self, state: state_lib.State) -> None:
        """Drops what is kept for jobs that have ended."""
        for job_id in list(self._failed_workers_by_job):
            if not state.is_job_active(job_id):
                del self._failed_workers_by_job[job_id]

    def _log_probation(
        self, now: float, view: fleet_lib.WorkerView, reason: str
    ) -> None:
        self._decisions.add(
            "worker on probation",
            worker=view.key.worker,
            reason=reason,
            for_s=round(view.worker_health.probation_until - now, 1),
        )
