"""Processor time of a cluster leader's decisions by the number of workers.

Each worker has 5 serving and 3 filling tasks, as on a busy day. Printed are
the time to take in and answer one report, and to plan 100 waiting tasks.
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
REPORTS = 600
PLANS = 20
FILL_ROUNDS = 25
SERVICE = model.ServiceName("s")
QUEUE = model.Queue(model.QueueName("q"), "host", "/q/", SERVICE, 3000)
CAPACITY = commands.Resources(64_000, 256_000, 0)


class Bench:
    """A dispatcher with a number of busy workers."""

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
            self.report(worker, 0.0)
        self.submit(workers * 5, serving=True)
        self.submit(workers * 3, serving=False)
        for number in range(FILL_ROUNDS):
            # Rounds apart, yet while the workers' reports are fresh.
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

    def submit(self, count: int, serving: bool) -> None:
        """Submits jobs of 10 tasks."""
        step = model.StepSpec(
            10,
            commands.Resources(11_000 if serving else 6_000, 10_000, 0),
            1000,
            long_running=serving,
            image="s" if serving else "f",
            tail_target_ms=150 if serving else 0,
            fills=not serving,
        )
        for _ in range(max(1, count // 10)):
            self.jobs += 1
            job = model.JobId(f"{self.jobs:016x}")
            spec = model.JobSpec("payload", (step,))
            self.apply(log_commands.SubmitJob(job, QUEUE, spec, 0))

    def report(self, worker: model.WorkerId, now: float) -> None:
        """Takes in and answers one report."""
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
    """Prints the costs and their slopes."""
    for count in WORKER_COUNTS:
        bench = Bench(count)
        took = []
        for number in range(REPORTS):
            worker = bench.workers[number % count]
            started = time.process_time()
            bench.report(worker, 0.5 + number / 1000)
            took.append(time.process_time() - started)
        bench.submit(100, serving=False)
        plans = []
        for number in range(PLANS):
            started = time.process_time()
            bench.dispatcher.planner.plan(1.2 + number, bench.state)
            plans.append(time.process_time() - started)
        runs = sum(len(item) for item in bench.state.runs_by_worker.values())
        print(
            f"workers={count} runs={runs}"
            f" report_us={statistics.median(took) * 1e6:.0f}"
            f" plan_ms={plans[0] * 1e3:.1f}",
            flush=True,
        )


if __name__ == "__main__":
    main()
