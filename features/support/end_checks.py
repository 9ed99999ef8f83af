"""Checks what leaders acknowledge of the ends that simulated workers report."""

from features.support import simulated_processes
from features.support import worker_limits
from fulmarrouter.cluster import model
from fulmarrouter.cluster import requests


class EndChecks:
    """The ends of runs on all workers, and which of them are acknowledged.

    Attributes:
        tasks_ended_done: Tasks that have succeeded on a worker.
        tasks_acknowledged_done: Those whose success a leader acknowledged.
        acknowledged_failures_by_task: How many failures of each task leaders
            have acknowledged.
    """

    def __init__(self) -> None:
        self.tasks_ended_done: set[model.TaskId] = set()
        self.tasks_acknowledged_done: set[model.TaskId] = set()
        self.acknowledged_failures_by_task: dict[model.TaskId, int] = {}
        self._last_start_by_task: dict[model.TaskId, float] = {}

    def on_started(self, now: float, task: model.TaskId) -> None:
        """Records that a worker has started a run of a task.

        Raises:
            InvariantViolationError: The task's success has been acknowledged.
        """
        if task in self.tasks_acknowledged_done:
            raise worker_limits.InvariantViolationError(
                f"{task} started after its success was acknowledged"
            )
        self._last_start_by_task[task] = now

    def on_ended(
        self,
        now: float,
        worker: simulated_processes.Worker,
        end: requests.EndedRun,
    ) -> None:
        """Records the end of a run."""
        worker.ended_at_by_number[end.number] = now
        if end.outcome is model.Outcome.DONE:
            self.tasks_ended_done.add(end.task)

    def on_answer(
        self,
        now: float,
        worker: simulated_processes.Worker,
        orders: requests.Orders,
    ) -> None:
        """Takes the ends that a leader has acknowledged off a worker's list.

        Raises:
            InvariantViolationError: One of them is the success of a run, another
                run of the task has started since, and the worker's lease has
                not expired in between.
        """
        last_number = orders.acknowledged_end_number
        for end in worker.ended:
            if end.number <= last_number:
                self._on_acknowledged(now, worker, end)
        worker.ended = [end for end in worker.ended if end.number > last_number]

    def _on_acknowledged(
        self,
        now: float,
        worker: simulated_processes.Worker,
        end: requests.EndedRun,
    ) -> None:
        if end.outcome is model.Outcome.FAILED:
            self.acknowledged_failures_by_task[end.task] = (
                self.acknowledged_failures_by_task.get(end.task, 0) + 1
            )
        if end.outcome is not model.Outcome.DONE:
            return
        self.tasks_acknowledged_done.add(end.task)
        ended_at = worker.ended_at_by_number[end.number]
        has_expired = (
            worker.lease_expired_at >= ended_at or now >= worker.lease_until
        )
        if self._last_start_by_task[end.task] > ended_at and not has_expired:
            raise worker_limits.InvariantViolationError(
                f"the success of run {end.run} of {end.task} was acknowledged"
                " although another run has started since"
            )
