"""Histories of workers that leave.

In one kind, workers leave, or crash behind a partition, and start again under their
id. Their reports arrive seconds late, after those of the next incarnation or at the
next leader. In the other kind, workers that leave are cut off and go on, with runs
that outlast that.
"""

from collections.abc import Callable
import random

from features.support import cluster_scenarios
from features.support import cluster_simulation
from features.support import simulated_processes
from fulmarrouter.cluster import requests

LEASE_S = 6.0
# Share of the reports of reachable workers that arrive late.
LATE_SHARE = 0.05
LATE_LEAVING_SHARE = 0.5
MAX_LATE_S = 5.0
# Share of the leaves whose answer is lost.
LOST_ANSWER_SHARE = 0.3
# Share of the reports held back by a partition that arrive when it ends.
HELD_SHARE = 0.7
MAX_HELD_S = 0.4
# How long a worker goes on after its leave if that isn't answered.
UNANSWERED_LEAVE_S = (1.0, 4.0)
EXTRA_TIME_S = 60.0
# Durations of runs, some of which outlast a drain and a lease.
SHORT_RUN_DURATIONS_S = (0.1, 0.4)
LONG_RUN_DURATIONS_S = (0.1, 0.4, 4.0, 25.0)
DRAIN_S = (0.5, 3.0)
# For how long before its leave a worker isn't answered any more, and for how long it
# goes on after it.
UNHEARD_S = (0.0, 1.0)
UNHEARD_LEAVE_S = (1.0, 6.0)


class LateReportSimulation(cluster_simulation.ClusterSimulation):
    """Simulates workers whose reports may arrive late.

    A report sent during a partition may arrive after it, also if its worker has
    crashed since.
    """

    def __init__(self, seed: int) -> None:
        super().__init__(seed, lease_s=LEASE_S)
        self._held_reports: list[
            tuple[simulated_processes.Worker, Callable[[], None]]
        ] = []

    def _transmit_report(
        self,
        worker: simulated_processes.Worker,
        report: requests.WorkerReport,
        on_reply: Callable[[requests.AnyReply], None],
    ) -> None:
        def send_late() -> None:
            self.send_request(self.pick_host(), report, on_reply)

        if worker.cut_off:
            if self._rng.random() < HELD_SHARE:
                self._held_reports.append((worker, send_late))
        elif self._rng.random() < (
            LATE_LEAVING_SHARE if worker.draining else LATE_SHARE
        ):
            self.call_later(self._rng.uniform(0.0, MAX_LATE_S), send_late)
        else:
            super()._transmit_report(worker, report, on_reply)

    def start(self) -> None:
        """Lets the keepers form a quorum and gives them a configuration."""
        self.run_until(6.0)
        self.replace_configuration(1)
        self.run_until(6.5)
        while not self.acknowledged_version:
            self.replace_configuration(1)
            self.run_until(self.now + 0.5)

    def recover(self, seconds: float) -> None:
        """Restarts all workers, ends all faults and checks the recovery."""
        for worker in list(self.workers):
            self.kill_worker(worker)
            self.revive_worker(worker)
            self.end_partition(worker.worker)
        self.quiesce(seconds)

    def recover_with_short_runs(self, seconds: float) -> None:
        """Recovers, with runs that leave time for all jobs to end."""
        self.run_until(self.now + 1.0)
        self.run_durations_s = SHORT_RUN_DURATIONS_S
        self.recover(seconds)

    def end_partition(self, name: str) -> None:
        """Reconnects a worker; what the partition has held back arrives."""
        for worker in self.workers:
            if worker.worker == name:
                worker.cut_off = False
        for item in list(self._held_reports):
            if item[0].worker == name:
                self._held_reports.remove(item)
                self.call_later(self._rng.uniform(0.0, MAX_HELD_S), item[1])

    def leave(self, worker: simulated_processes.Worker) -> None:
        """Lets a worker say that it leaves; it ends once that is answered.

        Without an answer it ends some seconds later.
        """
        if not worker.alive or worker.cut_off:
            return

        is_answer_lost = self._rng.random() < LOST_ANSWER_SHARE

        def on_reply(reply: requests.AnyReply) -> None:
            if isinstance(reply, requests.Accepted) and not is_answer_lost:
                self.kill_worker(worker)

        worker.draining = True
        if worker.awaiting_reply_since is None:
            self._send_report(worker)
        self.send_leave(worker, 0.0, names_incarnation=False, on_reply=on_reply)
        self.call_later(
            self._rng.uniform(*UNANSWERED_LEAVE_S),
            lambda: self.kill_worker(worker),
        )

    def leave_unheard(self, worker: simulated_processes.Worker) -> None:
        """Lets a worker drain, be cut off, say that it leaves, and go on."""
        if not worker.alive or worker.draining:
            return
        worker.draining = True
        drain_s = self._rng.uniform(*DRAIN_S)
        worker.leaves_at = self.now + drain_s
        unheard_s = min(drain_s, self._rng.uniform(*UNHEARD_S))
        goes_on_s = drain_s + self._rng.uniform(*UNHEARD_LEAVE_S)
        self.call_later(drain_s - unheard_s, lambda: _cut_off(worker))
        # What it sends arrives; the answer doesn't.
        self.send_leave(
            worker, drain_s, names_incarnation=self._rng.random() < 0.5
        )
        self.call_later(goes_on_s, lambda: self.kill_worker(worker))


def _cut_off(worker: simulated_processes.Worker) -> None:
    worker.cut_off = True


def run_unheard_leaves(seed: int, steps: int = 40) -> LateReportSimulation:
    """Runs a history of workers that leave, are cut off and go on.

    Raises:
        InvariantViolationError: An invariant does not hold.
    """
    simulation = LateReportSimulation(seed)
    simulation.run_durations_s = LONG_RUN_DURATIONS_S
    simulation.start()
    # Independent of the simulation's generator.
    rng = random.Random(seed * 7919 + 10)
    for _ in range(steps):
        worker = rng.choice(simulation.workers)
        match rng.randrange(12):
            case 0 | 1 | 2 | 3:
                simulation.submit_job()
            case 4 | 5 | 6:
                simulation.leave_unheard(worker)
            case 7:
                simulation.leave_unheard(worker)
                simulation.run_until(simulation.now + rng.uniform(0.0, 6.0))
                cluster_scenarios.crash_leader(simulation)
            case 8:
                simulation.leave(worker)
            case 9 | 10:
                simulation.revive_worker(worker)
            case 11:
                cluster_scenarios.inject_keeper_fault(simulation, rng)
        simulation.run_until(simulation.now + rng.choice((0.1, 0.4, 1.5)))
    simulation.recover_with_short_runs(EXTRA_TIME_S)
    return simulation


def run_departures(seed: int, steps: int = 60) -> LateReportSimulation:
    """Runs a history of workers that leave, crash and come back.

    Raises:
        InvariantViolationError: An invariant does not hold.
    """
    simulation = LateReportSimulation(seed)
    simulation.start()
    # Independent of the simulation's generator.
    rng = random.Random(seed * 7919 + 8)
    for _ in range(steps):
        worker = rng.choice(simulation.workers)
        match rng.randrange(14):
            case 0 | 1 | 2 | 3:
                simulation.submit_job()
            case 4 | 5:
                worker.cut_off = True
            case 6:
                worker.cut_off = True
                simulation.run_until(simulation.now + rng.uniform(0.3, 1.0))
                simulation.kill_worker(worker)
            case 7 | 8:
                simulation.revive_worker(worker)
                simulation.end_partition(worker.worker)
            case 9:
                worker.draining = True
            case 10:
                simulation.leave(worker)
            case 11:
                cluster_scenarios.inject_keeper_fault(simulation, rng)
            case 12:
                simulation.leave(worker)
                simulation.run_until(simulation.now + rng.uniform(0.0, 2.5))
                cluster_scenarios.crash_leader(simulation)
            case 13:
                simulation.end_partitions()
        simulation.run_until(simulation.now + rng.choice((0.05, 0.2, 0.6)))
    simulation.recover(EXTRA_TIME_S)
    return simulation
