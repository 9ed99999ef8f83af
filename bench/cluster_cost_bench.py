"""Measures processor time of a cluster leader by the number of workers.

Each worker has 5 serving and 3 filling tasks, which is a high load. Printed are
the median time to process and answer one report, and the time of the first
planning round with 100 waiting tasks.
"""

import statistics
import time

from fulmarrouter import commands
from fulmarrouter.cluster import dispatcher as dispatcher_lib
from fulmarrouter.cluster import log_commands
from fulmarrouter.cluster import model
from fulmarrouter.cluster import planner
from fulmarrouter.cluster import requests
from fulmarrouter.cluster import state as state_lib

WORKER_COUNTS = (24, 176, 1000)
REPORT_COUNT = 600
PLANNING_ROUNDS = 20
MAX_INITIAL_PLANNING_ROUNDS = 25
SERVICE = model.ServiceName("s")
QUEUE = model.Queue(model.QueueName("q"), "host", "/q/", SERVICE, 3000)
CAPACITY = commands.Resources(64_000, 256_000, 0)


class BusyCluster:
    """A dispatcher and state with a number of busy workers."""

    def __init__(self, workers: int) -> None:
        self.state = state_lib.State()
        self.dispatcher = dispatcher_lib.Dispatcher(
            dispatcher_lib.DispatchSettings()
        )
        self.dispatcher.start_term(0.0, self.state)
        self.index = 0
        self.sequence = 0
        self.jobs = 0
        self.workers = [model.WorkerId(f"w{n}") for n in range(workers)]
        for worker in self.workers:
            self.process_report(worker, 0.0)
        self.submit_jobs(workers * 5, serving=True)
        self.submit_jobs(workers * 3, serving=False)
        for number in range(MAX_INITIAL_PLANNING_ROUNDS):
            # Far enough apart to be planned, and soon enough after the
            # workers' reports for these to be valid.
            now = 0.1 + 1.01 * number * planner.PLANNING_INTERVAL_S
            planned = self.dispatcher.planner.plan(now, self.state)
            if planned is None:
                break
            self.apply(planned)
            self.dispatcher.planner.on_assigned(planned)
            self.dispatcher.on_applied(self.state, self.index)

    def apply(self, command: log_commands.AnyCommand) -> None:
        """Applies a command as if it had been committed."""
        self.index += 1
        self.state.apply(self.index, command)

    def submit_jobs(self, count: int, serving: bool) -> None:
        """Submits jobs of 10 tasks."""
        step = model.StepSpec(
            10,
            commands.Resources(11_000 if serving else 6_000, 10_000, 0),
            1000,
            runs_until_cancelled=serving,
            image="s" if serving else "f",
            tail_target_ms=150 if serving else 0,
            fills=not serving,
        )
        for _ in range(max(1, count // 10)):
            self.jobs += 1
            job = model.JobId(f"{self.jobs:016x}")
            spec = model.JobSpec("payload", (step,))
            self.apply(log_commands.SubmitJob(job, QUEUE, spec, 0))

    def process_report(self, worker: model.WorkerId, now: float) -> None:
        """Processes and answers one report."""
        self.sequence += 1
        key = state_lib.WorkerKey(worker, 1)
        running = tuple(
            requests.ActiveRun(task, run, "", 100, 40)
            for task, run in self.state.runs_by_worker.get(key, {}).items()
        )
        report = requests.WorkerReport(
            worker,
            1,
            self.sequence,
            SERVICE,
            "",
            "z",
            worker,
            "r",
            (),
            CAPACITY,
            False,
            0,
            running,
            (),
        )
        self.dispatcher.on_report(now, self.state, report)
        self.dispatcher.orders(now, self.state, report, 1)


def main() -> None:
    """Prints the costs for each number of workers."""
    for count in WORKER_COUNTS:
        busy_cluster = BusyCluster(count)
        report_seconds = []
        for number in range(REPORT_COUNT):
            worker = busy_cluster.workers[number % count]
            started_at = time.process_time()
            busy_cluster.process_report(worker, 0.5 + number / 1000)
            report_seconds.append(time.process_time() - started_at)
        busy_cluster.submit_jobs(100, serving=False)
        plan_seconds = []
        for number in range(PLANNING_ROUNDS):
            started_at = time.process_time()
            busy_cluster.dispatcher.planner.plan(
                1.2 + number, busy_cluster.state
            )
            plan_seconds.append(time.process_time() - started_at)
        runs = sum(
            len(item) for item in busy_cluster.state.runs_by_worker.values()
        )
        print(
            f"workers={count} runs={runs}"
            f" report_us={statistics.median(report_seconds) * 1e6:.0f}"
            f" plan_ms={plan_seconds[0] * 1e3:.1f}",
            flush=True,
        )


if __name__ == "__main__":
    main()
