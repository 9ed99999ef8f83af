"""Compares placement and routing policies with baselines, on the same seeds.

The real decision code runs on seeded simulations: workers whose pairwise
slowdown the policy isn't told and whose reports arrive late, and endpoints
whose speed varies. Seeds from 100 on must not be used to tune the policies.
"""

from collections.abc import Callable
import concurrent.futures
import contextlib
import dataclasses
import heapq
import random
import statistics
import sys
from typing import Any
from unittest import mock

from bench import measurements
from fulmarrouter import codes
from fulmarrouter import commands
from fulmarrouter import ids
from fulmarrouter import leader
from fulmarrouter import load_balancing
from fulmarrouter import mitigation
from fulmarrouter import placement
from fulmarrouter import requests
from fulmarrouter import routing
from fulmarrouter import state as state_lib
from fulmarrouter import state_machine

SEEDS = range(100, 110)
WORKERS = 24
DURATION_S = 240.0
WARM_UP_S = 40.0
STEP_S = 0.5
BASE_TAIL_MS = 10.0
# Relative increase of a service's tail latency for each batch task of a class.
SLOWDOWN = {
    "booking": {"b0": 0.005, "b1": 0.015, "b2": 0.06, "b3": 0.12},
    "renewal": {"b0": 0.05, "b1": 0.04, "b2": 0.005, "b3": 0.02},
}
NEEDS = commands.Resources(4000, 8000, 0)
SERVICE_NEEDS = commands.Resources(8000, 16_000, 0)
CAPACITY = commands.Resources(64_000, 250_000, 0)


@dataclasses.dataclass(frozen=True)
class Case:
    """A case of the placement benchmark.

    Attributes:
        report_delay_s: Delay of the reports on tail latency.
        load: Load of batch tasks, as a share of the capacity for them.
        wave: Relative increase of the slowdown, in 15 of every 40 s.
        failing_workers: Workers on which every batch task fails.
        rack_lost: Whether 6 workers are lost halfway.
        size_error: Factor by which tasks are smaller or larger than expected.
    """

    name: str
    report_delay_s: float = 1.0
    load: float = 0.6
    wave: float = 0.0
    failing_workers: int = 0
    rack_lost: bool = False
    size_error: float = 1.0


CASES = (
    Case("steady"),
    Case("load 0.9", load=0.9),
    Case("noisy waves", wave=0.6),
    Case("reports late by 10 s", report_delay_s=10.0),
    Case("reports late by 60 s", report_delay_s=60.0),
    Case("10% of workers fail all", failing_workers=2),
    Case("a rack lost", rack_lost=True),
    Case("sizes off by 3 times", size_error=3.0),
)


@dataclasses.dataclass
class PlacementResult:
    """Result of one run of the placement benchmark.

    Attributes:
        tail: p99 of the serving tasks' tail latency, relative to that without
            interference.
        work: Processing time of the batch tasks that succeeded, in seconds.
        lost_work: Processing time lost with ended leases, in seconds.
    """

    tail: float
    work: float
    evictions: int
    lost_work: float


@dataclasses.dataclass
class _Task:
    job: str
    epoch: int
    task_class: str
    remaining_s: float
    is_service: bool
    size: float
    completed_s: float = 0.0


class _PlacementSimulation:
    """Simulated workers with delayed reports, and a real leader."""

    def __init__(self, seed: int, case: Case) -> None:
        self.rng = random.Random(seed)
        self.case = case
        self.state = state_lib.State()
        self.index = 0
        self.leader = leader.Leader(leader.LeaseSettings(), random.Random(seed))
        self.leader.start_term(0.0, self.state)
        self.now = 0.0
        self.tasks: list[dict[str, _Task]] = [{} for _ in range(WORKERS)]
        self.pending_reports: list[list[tuple[float, requests.UsageReport]]] = [
            [] for _ in range(WORKERS)
        ]
        self.throttled = [False] * WORKERS
        self.lost_workers: set[int] = set()
        self.failing = set(
            self.rng.sample(range(WORKERS), case.failing_workers)
        )
        self.tails: list[float] = []
        self.result = PlacementResult(0.0, 0.0, 0, 0.0)
        self.remaining_s_by_job: dict[str, float] = {}
        self.number = 0

    def run(self) -> PlacementResult:
        self._announce()
        steps = int(DURATION_S / STEP_S)
        for step in range(steps):
            self.now += STEP_S
            if self.case.rack_lost and step == steps // 2:
                self.lost_workers = set(range(6))
            self._submit()
            for worker in range(WORKERS):
                if worker not in self.lost_workers:
                    self._work(worker)
                    self._heartbeat(worker)
            self._tick()
        self.result.tail = measurements.percentile(self.tails, 0.99)
        return self.result

    def _apply(self, command: commands.AnyCommand) -> commands.Result:
        self.index += 1
        return state_machine.apply(self.state, self.index, command)

    def _announce(self) -> None:
        for worker in range(WORKERS):
            self._heartbeat(worker)
            name = ("booking", "renewal")[worker % 2]
            for copy in range(2):
                job = f"service-{worker}-{copy}"
                spec = commands.JobSpec(
                    job,
                    "web",
                    name,
                    commands.JobKind.SERVICE,
                    needs=SERVICE_NEEDS,
                )
                self._apply(commands.SubmitJob(spec, 0))
                self._apply(commands.GrantLease(job, f"w{worker}", 1, 1, 0))
                self.tasks[worker][job] = _Task(job, 1, name, 1e9, True, 1.0)

    def _submit(self) -> None:
        capacity = WORKERS * 12 * self.case.load
        arrivals = capacity * STEP_S / 45.0
        count = int(arrivals) + (self.rng.random() < arrivals % 1)
        for _ in range(count):
            self.number += 1
            error = self.case.size_error
            size = (
                self.rng.choice([1 / error, 1.0, error]) if error > 1 else 1.0
            )
            spec = commands.JobSpec(
                f"job-{self.number}",
                f"team-{self.number % 5}",
                f"b{self.rng.randrange(4)}",
                needs=NEEDS,
                idempotent=True,
                checkpoints=True,
            )
            self.remaining_s_by_job[spec.job] = self.rng.uniform(30, 60) * min(
                size, 1.5
            )
            self._apply(commands.SubmitJob(spec, 0))

    def _load_factor(self) -> float:
        is_wave = self.now % 40 < 15
        return 1.0 + (self.case.wave if is_wave else 0.0)

    def _latency_inflation(self, worker: int, name: str) -> float:
        factor = 0.4 if self.throttled[worker] else 1.0
        return self._load_factor() * sum(
            SLOWDOWN[name][task.task_class] * factor * task.size
            for task in self.tasks[worker].values()
            if not task.is_service
        )

    def _work(self, worker: int) -> None:
        for task in list(self.tasks[worker].values()):
            if task.is_service:
                inflation = self._latency_inflation(worker, task.task_class)
                if self.now >= WARM_UP_S:
                    self.tails.append(1.0 + inflation)
                noise = self.rng.uniform(0.97, 1.03)
                usage = requests.UsageReport(
                    task.job,
                    task.epoch,
                    age_ms=int(self.case.report_delay_s * 1000),
                    tail_ms=BASE_TAIL_MS * (1.0 + inflation) * noise,
                )
                due = self.now + self.case.report_delay_s
                self.pending_reports[worker].append((due, usage))
            else:
                done = STEP_S * (0.4 if self.throttled[worker] else 1.0)
                task.remaining_s -= done
                task.completed_s += done

    def _heartbeat(self, worker: int) -> None:
        due = [
            usage
            for at, usage in self.pending_reports[worker]
            if at <= self.now
        ]
        self.pending_reports[worker] = [
            item for item in self.pending_reports[worker] if item[0] > self.now
        ]
        ended = []
        for task in list(self.tasks[worker].values()):
            if worker in self.failing and not task.is_service:
                event = commands.TaskEvent.FAILED
            elif task.remaining_s <= 0:
                event = commands.TaskEvent.SUCCEEDED
                self.result.work += task.completed_s
            else:
                continue
            del self.tasks[worker][task.job]
            ended.append(requests.TaskReport(task.job, task.epoch, event))
        request = requests.WorkerHeartbeat(
            f"w{worker}", 1, CAPACITY, reports=tuple(ended), usage=tuple(due)
        )
        for command in self.leader.on_worker_heartbeat(
            self.now, 0, self.state, request
        ):
            self._apply(command)
        orders = self.leader.worker_orders(self.state, request)
        self.throttled[worker] = bool(orders.throttle)
        self._follow_orders(worker, orders)

    def _follow_orders(
        self, worker: int, orders: requests.WorkerOrders
    ) -> None:
        for stop in orders.stop:
            task = self.tasks[worker].pop(stop.job, None)
            if task is None:
                continue
            self.result.evictions += 1
            self.remaining_s_by_job[stop.job] = task.remaining_s
            stopped_event = commands.TaskEvent.STOPPED
            self._apply(
                commands.ReportTask(
                    stop.job,
                    stop.epoch,
                    f"w{worker}",
                    stopped_event,
                    stop.epoch,
                    0,
                    0,
                )
            )
        for start in orders.start:
            job = self.state.job_by_id[start.job]
            if start.job not in self.tasks[worker] and job.phase.holds_lease:
                size = 1.0
                if self.case.size_error > 1:
                    size = random.Random(start.job).choice([1 / 3, 1.0, 3.0])
                self.tasks[worker][start.job] = _Task(
                    start.job,
                    start.epoch,
                    job.spec.task_class,
                    self.remaining_s_by_job.get(start.job, 1e9),
                    job.spec.kind is commands.JobKind.SERVICE,
                    size,
                )
                started = commands.TaskEvent.STARTED
                self._apply(
                    commands.ReportTask(
                        start.job, start.epoch, f"w{worker}", started, 0, 0, 0
                    )
                )

    def _tick(self) -> None:
        for command in self.leader.tick(self.now, 0, self.state):
            if isinstance(command, commands.EndLease):
                worker = int(self.state.job_by_id[command.job].worker[1:])
                task = self.tasks[worker].pop(command.job, None)
                if task is not None and not task.is_service:
                    self.result.lost_work += task.completed_s
            self._apply(command)


def _first_fit(spec: Any, workers: Any, lookup: Any, *_: Any) -> Any:
    found = (lookup(worker) for worker in workers)
    return next(
        (item for item in found if item and spec.needs.fits_in(item.free)), None
    )


def _least_loaded(spec: Any, workers: Any, lookup: Any, *_: Any) -> Any:
    found = [lookup(worker) for worker in workers]
    fitting = [item for item in found if item and spec.needs.fits_in(item.free)]
    return max(fitting, key=lambda item: item.free.millicores, default=None)


POLICY_BY_NAME: dict[str, Callable[..., Any] | None] = {
    "fulmarrouter": None,
    "first fit": _first_fit,
    "least loaded": _least_loaded,
}


def _run_placement(seed: int, case: Case, policy: str) -> PlacementResult:
    strategy = POLICY_BY_NAME[policy]
    with contextlib.ExitStack() as stack:
        if strategy is not None:
            stack.enter_context(
                mock.patch.object(placement, "choose_worker", strategy)
            )
            stack.enter_context(
                mock.patch.object(
                    mitigation.Mitigator,
                    "level_of",
                    lambda self, worker: mitigation.Level.OPEN,
                )
            )
        return _PlacementSimulation(seed, case).run()


def _bench_placement(
    pool: concurrent.futures.Executor, cases: list[Case]
) -> None:
    for case in cases:
        print(f"placement, {case.name}:")
        for policy in POLICY_BY_NAME:
            futures = [
                pool.submit(_run_placement, seed, case, policy)
                for seed in SEEDS
            ]
            runs = [future.result() for future in futures]
            print(
                f"  {policy}: p99 tail ratio"
                f" {measurements.format_spread([run.tail for run in runs])}, work"
                f" {measurements.format_spread([run.work for run in runs], 0)}, evictions"
                f" {measurements.format_spread([run.evictions for run in runs], 0)}, lost work"
                f" {measurements.format_spread([run.lost_work for run in runs], 0)}",
                flush=True,
            )


ENDPOINTS = 24
SLOTS = 8
MEAN_SERVICE_S = 0.02
DEADLINE_S = 0.5
ROUTING_DURATION_S = 6.0


class _RoutingSimulation:
    """Simulated endpoints and time, and a real router."""

    def __init__(
        self, seed: int, load: float, wave: bool, strategy: str
    ) -> None:
        self.rng = random.Random(seed)
        self.wave = wave
        self.rate = load * ENDPOINTS * SLOTS / MEAN_SERVICE_S
        self.router = routing.Router(
            random.Random(seed), load_balancing.STRATEGY_BY_NAME[strategy]
        )
        views = tuple(
            requests.EndpointView(
                f"p{item}",
                1,
                "s",
                "127.0.0.1",
                1,
                "",
                True,
                SLOTS,
                64,
                1,
                SLOTS,
            )
            for item in range(ENDPOINTS)
        )
        self.router.open_session(ids.SessionId(1))
        policy = commands.ServicePolicy(name="s", queue_limit=400)
        self.router.apply_view(
            0.0, requests.EntryView(10**9, "v", True, 1, views, (policy,))
        )
        self.arrived: dict[int, float] = {}
        self.elapsed: list[float] = []
        self.refused: dict[str, int] = {}
        self.events: list[tuple[float, int, routing.Assignment | None]] = []
        self.offered = 0

    def run(self) -> "_RoutingSimulation":
        heapq.heappush(self.events, (0.0, 0, None))
        while self.events:
            now, number, assignment = heapq.heappop(self.events)
            if now > ROUTING_DURATION_S:
                break
            if assignment is None:
                self._arrive(now)
            else:
                self.elapsed.append(now - self.arrived.pop(number))
                for decision in self.router.release(
                    now, assignment, routing.AttemptOutcome.ANSWERED
                ):
                    self._handle_decision(now, decision)
        return self

    def _arrive(self, now: float) -> None:
        self.offered += 1
        number = self.offered
        self.arrived[number] = now
        caller = f"c{self.rng.randrange(20)}"
        slot_request = routing.SlotRequest(
            number, "s", caller, now + DEADLINE_S
        )
        decision = self.router.admit(now, slot_request)
        if decision is not None:
            self._handle_decision(now, decision)
        next_arrival = now + self.rng.expovariate(self.rate)
        heapq.heappush(self.events, (next_arrival, 0, None))

    def _handle_decision(self, now: float, decision: routing.Decision) -> None:
        if isinstance(decision, routing.Refusal):
            name = codes.Code(decision.code).name
            self.refused[name] = self.refused.get(name, 0) + 1
            return
        slowdown = 1.0
        period = int(now / 2.0)
        if self.wave and (int(decision.endpoint[1:]) + period) % 6 == 0:
            slowdown = 4.0
        service_s = self.rng.gammavariate(4.0, MEAN_SERVICE_S / 4.0) * slowdown
        heapq.heappush(
            self.events, (now + service_s, decision.slot_request_id, decision)
        )


def _run_routing(
    seed: int, load: float, wave: bool, strategy: str
) -> tuple[list[float], float, dict[str, int]]:
    run = _RoutingSimulation(seed, load, wave, strategy).run()
    percentiles_ms = [
        measurements.percentile(run.elapsed, quantile) * 1000
        for quantile in (0.5, 0.99, 0.999)
    ]
    capacity = ENDPOINTS * SLOTS / MEAN_SERVICE_S * ROUTING_DURATION_S
    goodput = len(run.elapsed) / min(run.offered, capacity)
    return percentiles_ms, goodput, run.refused


def _bench_routing(pool: concurrent.futures.Executor) -> None:
    for load, wave in (
        (0.7, False),
        (0.7, True),
        (0.9, False),
        (1.2, False),
        (2.0, False),
    ):
        print(
            f"routing, load {load}{' with slow endpoints in waves' if wave else ''}:"
        )
        for strategy in load_balancing.STRATEGY_BY_NAME:
            futures = [
                pool.submit(_run_routing, seed, load, wave, strategy)
                for seed in list(SEEDS)[:5]
            ]
            runs = [future.result() for future in futures]
            p50, p99, p999 = (
                statistics.median(run[0][item] for run in runs)
                for item in range(3)
            )
            goodput = measurements.format_spread([run[1] for run in runs], 3)
            print(
                f"  {strategy}: p50 {p50:.1f} p99 {p99:.1f} p99.9 {p999:.1f} ms,"
                f" goodput/min(capacity, offered) {goodput}, refused {runs[0][2]}",
                flush=True,
            )


def main() -> None:
    """Runs all benchmarks, or the cases named on the command line."""
    names = sys.argv[1:] or ["routing", *(case.name for case in CASES)]
    with concurrent.futures.ProcessPoolExecutor(6) as pool:
        _bench_placement(pool, [case for case in CASES if case.name in names])
        if "routing" in names:
            _bench_routing(pool)


if __name__ == "__main__":
    main()
