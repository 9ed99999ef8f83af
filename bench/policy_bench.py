"""Placement and routing policies beside plain baselines, on the same seeds.

The real decision code runs over small seeded fakes: workers whose pairwise
slow-down the policy can't see and whose reports come late, and endpoints
whose speed changes in waves. Seeds from 100 on are held out from tuning.
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

from bench import report
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
HORIZON_S = 240.0
WARM_UP_S = 40.0
STEP_S = 0.5
BASE_TAIL_MS = 10.0
SLOWDOWN = {
    "booking": {"b0": 0.005, "b1": 0.015, "b2": 0.06, "b3": 0.12},
    "renewal": {"b0": 0.05, "b1": 0.04, "b2": 0.005, "b3": 0.02},
}
NEEDS = commands.Resources(4000, 8000, 0)
SERVICE_NEEDS = commands.Resources(8000, 16_000, 0)
CAPACITY = commands.Resources(64_000, 250_000, 0)


@dataclasses.dataclass(frozen=True)
class Case:
    """One situation of the placement benchmark."""

    name: str
    late_s: float = 1.0
    load: float = 0.6
    wave: float = 0.0
    bad_workers: int = 0
    rack_lost: bool = False
    size_error: float = 1.0


CASES = (
    Case("steady"),
    Case("load 0.9", load=0.9),
    Case("noisy waves", wave=0.6),
    Case("reports late by 10 s", late_s=10.0),
    Case("reports late by 60 s", late_s=60.0),
    Case("10% of workers fail all", bad_workers=2),
    Case("a rack lost", rack_lost=True),
    Case("sizes off by 3 times", size_error=3.0),
)


@dataclasses.dataclass
class Outcome:
    """What one run came to."""

    tail: float
    work: float
    evictions: int
    lost_work: float


@dataclasses.dataclass
class _Task:
    job: str
    epoch: int
    task_class: str
    left_s: float
    is_service: bool
    size: float
    done_s: float = 0.0


class _Sim:
    """Workers, their tasks and late reports around a real leader."""

    def __init__(self, seed: int, case: Case) -> None:
        self.rng = random.Random(seed)
        self.case = case
        self.state = state_lib.State()
        self.index = 0
        self.leader = leader.Leader(leader.LeaseSettings(), random.Random(seed))
        self.leader.start_term(0.0, self.state)
        self.now = 0.0
        self.tasks: list[dict[str, _Task]] = [{} for _ in range(WORKERS)]
        self.reports: list[list[tuple[float, requests.UsageReport]]] = [
            [] for _ in range(WORKERS)
        ]
        self.throttled = [False] * WORKERS
        self.lost: set[int] = set()
        self.bad = set(self.rng.sample(range(WORKERS), case.bad_workers))
        self.tails: list[float] = []
        self.outcome = Outcome(0.0, 0.0, 0, 0.0)
        self.left_by_job: dict[str, float] = {}
        self.number = 0

    def run(self) -> Outcome:
        self._announce()
        steps = int(HORIZON_S / STEP_S)
        for step in range(steps):
            self.now += STEP_S
            if self.case.rack_lost and step == steps // 2:
                self.lost = set(range(6))
            self._submit()
            for worker in range(WORKERS):
                if worker not in self.lost:
                    self._work(worker)
                    self._heartbeat(worker)
            self._tick()
        self.outcome.tail = report.percentile(self.tails, 0.99)
        return self.outcome

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
            self.left_by_job[spec.job] = self.rng.uniform(30, 60) * min(
                size, 1.5
            )
            self._apply(commands.SubmitJob(spec, 0))

    def _load(self) -> float:
        is_wave = self.now % 40 < 15
        return 1.0 + (self.case.wave if is_wave else 0.0)

    def _inflation(self, worker: int, name: str) -> float:
        factor = 0.4 if self.throttled[worker] else 1.0
        return self._load() * sum(
            SLOWDOWN[name][task.task_class] * factor * task.size
            for task in self.tasks[worker].values()
            if not task.is_service
        )

    def _work(self, worker: int) -> None:
        for task in list(self.tasks[worker].values()):
            if task.is_service:
                inflation = self._inflation(worker, task.task_class)
                if self.now >= WARM_UP_S:
                    self.tails.append(1.0 + inflation)
                noise = self.rng.uniform(0.97, 1.03)
                usage = requests.UsageReport(
                    task.job,
                    task.epoch,
                    age_ms=int(self.case.late_s * 1000),
                    tail_ms=BASE_TAIL_MS * (1.0 + inflation) * noise,
                )
                due = self.now + self.case.late_s
                self.reports[worker].append((due, usage))
            else:
                done = STEP_S * (0.4 if self.throttled[worker] else 1.0)
                task.left_s -= done
                task.done_s += done

    def _heartbeat(self, worker: int) -> None:
        due = [usage for at, usage in self.reports[worker] if at <= self.now]
        self.reports[worker] = [
            item for item in self.reports[worker] if item[0] > self.now
        ]
        ended = []
        for task in list(self.tasks[worker].values()):
            if worker in self.bad and not task.is_service:
                event = commands.TaskEvent.FAILED
            elif task.left_s <= 0:
                event = commands.TaskEvent.SUCCEEDED
                self.outcome.work += task.done_s
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
        self._obey(worker, orders)

    def _obey(self, worker: int, orders: requests.WorkerOrders) -> None:
        for stop in orders.stop:
            task = self.tasks[worker].pop(stop.job, None)
            if task is None:
                continue
            self.outcome.evictions += 1
            self.left_by_job[stop.job] = task.left_s
            stopped = commands.TaskEvent.STOPPED
            self._apply(
                commands.ReportTask(
                    stop.job,
                    stop.epoch,
                    f"w{worker}",
                    stopped,
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
                    self.left_by_job.get(start.job, 1e9),
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
                    self.outcome.lost_work += task.done_s
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


def _run_placement(seed: int, case: Case, policy: str) -> Outcome:
    chooser = POLICY_BY_NAME[policy]
    with contextlib.ExitStack() as stack:
        if chooser is not None:
            stack.enter_context(
                mock.patch.object(placement, "choose_worker", chooser)
            )
            stack.enter_context(
                mock.patch.object(
                    mitigation.Mitigator,
                    "level_of",
                    lambda self, worker: mitigation.Level.OPEN,
                )
            )
        return _Sim(seed, case).run()


def _placement(pool: concurrent.futures.Executor, cases: list[Case]) -> None:
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
                f" {report.spread([run.tail for run in runs])}, work"
                f" {report.spread([run.work for run in runs], 0)}, evictions"
                f" {report.spread([run.evictions for run in runs], 0)}, lost work"
                f" {report.spread([run.lost_work for run in runs], 0)}",
                flush=True,
            )


ENDPOINTS = 24
SLOTS = 8
MEAN_S = 0.02
DEADLINE_S = 0.5
ROUTING_S = 6.0


class _Routing:
    """Endpoints in simulated time around a real routing core."""

    def __init__(
        self, seed: int, load: float, wave: bool, chooser: str
    ) -> None:
        self.rng = random.Random(seed)
        self.wave = wave
        self.rate = load * ENDPOINTS * SLOTS / MEAN_S
        self.router = routing.Router(
            random.Random(seed), load_balancing.STRATEGY_BY_NAME[chooser]
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

    def run(self) -> "_Routing":
        heapq.heappush(self.events, (0.0, 0, None))
        while self.events:
            now, number, assignment = heapq.heappop(self.events)
            if now > ROUTING_S:
                break
            if assignment is None:
                self._arrive(now)
            else:
                self.elapsed.append(now - self.arrived.pop(number))
                for decision in self.router.release(
                    now, assignment, routing.AttemptOutcome.ANSWERED
                ):
                    self._use(now, decision)
        return self

    def _arrive(self, now: float) -> None:
        self.offered += 1
        number = self.offered
        self.arrived[number] = now
        caller = f"c{self.rng.randrange(20)}"
        wanted = routing.SlotRequest(number, "s", caller, now + DEADLINE_S)
        decision = self.router.admit(now, wanted)
        if decision is not None:
            self._use(now, decision)
        following = now + self.rng.expovariate(self.rate)
        heapq.heappush(self.events, (following, 0, None))

    def _use(self, now: float, decision: routing.Decision) -> None:
        if isinstance(decision, routing.Refusal):
            name = codes.Code(decision.code).name
            self.refused[name] = self.refused.get(name, 0) + 1
            return
        slowdown = 1.0
        turn = int(now / 2.0)
        if self.wave and (int(decision.endpoint[1:]) + turn) % 6 == 0:
            slowdown = 4.0
        lasts = self.rng.gammavariate(4.0, MEAN_S / 4.0) * slowdown
        heapq.heappush(
            self.events, (now + lasts, decision.slot_request_id, decision)
        )


def _run_routing(
    seed: int, load: float, wave: bool, chooser: str
) -> tuple[list[float], float, dict[str, int]]:
    run = _Routing(seed, load, wave, chooser).run()
    points = [
        report.percentile(run.elapsed, share) * 1000
        for share in (0.5, 0.99, 0.999)
    ]
    capacity = ENDPOINTS * SLOTS / MEAN_S * ROUTING_S
    goodput = len(run.elapsed) / min(run.offered, capacity)
    return points, goodput, run.refused


def _routes(pool: concurrent.futures.Executor) -> None:
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
        for chooser in load_balancing.STRATEGY_BY_NAME:
            futures = [
                pool.submit(_run_routing, seed, load, wave, chooser)
                for seed in list(SEEDS)[:5]
            ]
            runs = [future.result() for future in futures]
            p50, p99, p999 = (
                statistics.median(run[0][item] for run in runs)
                for item in range(3)
            )
            goodput = report.spread([run[1] for run in runs], 3)
            print(
                f"  {chooser}: p50 {p50:.1f} p99 {p99:.1f} p99.9 {p999:.1f} ms,"
                f" goodput of capacity or offer {goodput}, refused {runs[0][2]}",
                flush=True,
            )


def main() -> None:
    """Runs everything, or the cases named on the command line."""
    names = sys.argv[1:] or ["routing", *(case.name for case in CASES)]
    with concurrent.futures.ProcessPoolExecutor(6) as pool:
        _placement(pool, [case for case in CASES if case.name in names])
        if "routing" in names:
            _routes(pool)


if __name__ == "__main__":
    main()
