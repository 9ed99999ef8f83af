"""Histories of workers that start again under their id and are cut off soon after.

Runs outlast both. Answers may be late, and a worker that has started again takes those
to its earlier incarnation. Leaves of earlier incarnations arrive late.
"""

from collections.abc import Callable
import random

from features.support import cluster_scenarios
from features.support import cluster_simulation
from features.support import departure_scenarios
from features.support import simulated_processes
from fulmarrouter.cluster import requests

# Share of the answers that are late, and by how much.
LATE_ANSWER_SHARE = 0.4
MAX_LATE_ANSWER_S = 1.1
MAX_DOWN_S = 0.7
CUT_DELAY_S = (0.0, 2.0)
CUT_S = (2.0, 12.0)
MAX_LATE_LEAVE_S = 4.0
MAX_STOP_S = 0.4
EXTRA_TIME_S = 90.0


class RestartSimulation(departure_scenarios.LateReportSimulation):
    """Simulates workers that take answers to their earlier incarnations."""

    def __init__(self, seed: int) -> None:
        super().__init__(seed)
        self.run_durations_s = departure_scenarios.LONG_RUN_DURATIONS_S
        self.max_stop_s = MAX_STOP_S

    def _transmit_report(
        self,
        worker: simulated_processes.Worker,
        report: requests.WorkerReport,
        on_reply: Callable[[requests.AnyReply], None],
    ) -> None:
        sent_at = self.now

        def arrive(reply: requests.AnyReply) -> None:
            successor = self.newest_incarnation(worker)
            if successor is worker or not isinstance(reply, requests.Orders):
                on_reply(reply)
                return
            is_valid = self.now - sent_at <= cluster_simulation.WORKER_TIMEOUT_S
            if is_valid and successor.alive and not successor.cut_off:
                self._apply_orders(successor, reply, sent_at)

        def on_late_reply(reply: requests.AnyReply) -> None:
            delay_s = 0.0
            if self._rng.random() < LATE_ANSWER_SHARE:
                delay_s = self._rng.uniform(0.0, MAX_LATE_ANSWER_S)
            self.call_later(delay_s, lambda: arrive(reply))

        super()._transmit_report(worker, report, on_late_reply)

    def newest_incarnation(
        self, worker: simulated_processes.Worker
    ) -> simulated_processes.Worker:
        """Returns the newest incarnation of a worker."""
        return next(
            item for item in self.workers if item.worker == worker.worker
        )

    def cut_off(self, worker: simulated_processes.Worker) -> None:
        """Cuts off the newest incarnation of a worker."""
        self.newest_incarnation(worker).cut_off = True

    def restart_and_cut(
        self, worker: simulated_processes.Worker, rng: random.Random
    ) -> None:
        """Has a worker start again, and cuts it off soon after for some time."""
        self.kill_worker(worker)
        back_s = rng.uniform(0.0, MAX_DOWN_S)
        cut_s = back_s + rng.uniform(*CUT_DELAY_S)
        self.call_later(back_s, lambda: self.revive_worker(worker))
        self.call_later(cut_s, lambda: self.cut_off(worker))
        self.call_later(
            cut_s + rng.uniform(*CUT_S),
            lambda: self.end_partition(worker.worker),
        )

    def revive_worker(self, worker: simulated_processes.Worker) -> None:
        """Restarts a worker that was killed, unless it has been since."""
        if worker in self.workers:
            super().revive_worker(worker)


def run_restarts(seed: int, steps: int = 40) -> RestartSimulation:
    """Runs a history of workers that start again and are cut off.

    Raises:
        InvariantViolationError: An invariant does not hold.
    """
    simulation = RestartSimulation(seed)
    simulation.start()
    # Independent of the simulation's generator.
    rng = random.Random(seed * 7919 + 9)
    for _ in range(steps):
        worker = rng.choice(simulation.workers)
        match rng.randrange(12):
            case 0 | 1 | 2 | 3 | 4 | 5:
                simulation.submit_job()
            case 6 | 7 | 8:
                simulation.restart_and_cut(worker, rng)
            case 9:
                worker.draining = True
                simulation.send_leave(
                    worker,
                    rng.uniform(0.0, MAX_LATE_LEAVE_S),
                    names_incarnation=False,
                )
                simulation.restart_and_cut(worker, rng)
            case 10:
                cluster_scenarios.crash_leader(simulation)
            case 11:
                cluster_scenarios.inject_keeper_fault(simulation, rng)
        simulation.run_until(simulation.now + rng.choice((0.1, 0.4, 1.5)))
    simulation.recover_with_short_runs(EXTRA_TIME_S)
    return simulation
