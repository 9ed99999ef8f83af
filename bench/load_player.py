"""Plays a load over the real dispatcher in simulated time.

Seeded stand-in workers run what the dispatcher orders: filling tasks get the
processors that others leave and disturb serving tasks by a hidden factor for
each pair of images; the load of a serving job swings. Commits take one tick.
The report says what callers get.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Sequence
import dataclasses
import math
import random
import statistics

from fulmarrouter import commands
from fulmarrouter.cluster import dispatcher as dispatcher_lib
from fulmarrouter.cluster import log_commands
from fulmarrouter.cluster import model
from fulmarrouter.cluster import requests
from fulmarrouter.cluster import state as state_lib

TICK_S = 0.02
SERVICE = model.ServiceName("booking")
TARGET_MS = 150
TAIL_ALONE_MS = 25.0
REPORT_AFTER_END_S = 0.05
READING_S = 0.5
PACE_DELAY_S = 0.1  # From the last order on pace until it is followed.
READING_NOISE = 0.09  # Relative, of each reported tail.
RESTORE_MS = 600.0  # Time that a run needs to resume from a checkpoint.
ESTIMATE_SIGMA = 0.5  # Of the logarithm of estimated over true durations.
SWING_PERIODS_S = (10.0, 20.0)
LATE_FACTOR = 3.0
LATE_CREDIT = 0.15
WARM_UP_FROM_S = -7.0
SERVING_FROM_S = -6.0
HEAVY_EFFECT = (1.2, 3.0)
LIGHT_EFFECT = (0.0, 0.4)


@dataclasses.dataclass(frozen=True)
class Shape:
    """Shape of a kind of job, means of what is drawn.

    Attributes:
        width: Tasks of a step.
        millicores: What a task asks for.
        work_ms: Duration of a task.
    """

    width: float
    millicores: float
    work_ms: float


@dataclasses.dataclass(frozen=True)
class Scenario:
    """A load and the workers that it meets.

    Attributes:
        seconds: How long jobs arrive.
        urgent_per_s: Small urgent jobs.
        filling_per_s: Large jobs of filling steps.
        burst: Factor on the filling jobs in the middle third.
        serving_share: Part of the capacity that serving tasks claim.
        heavy_share: Part of the pairs of images that disturb heavily.
        serving_per_s: Serving jobs that arrive during the load.
        serving_stay_s: Mean time until a serving job is cancelled; 0 for none
            that is.
        urgent: Shape of the urgent jobs.
        filling: Shape of the filling jobs.
        serving_width: Mean number of tasks of a serving job.
    """

    seconds: float = 30.0
    workers: int = 24
    millicores: int = 64_000
    urgent_per_s: float = 3.0
    filling_per_s: float = 2.5
    burst: float = 1.0
    serving_share: float = 0.85
    heavy_share: float = 0.5
    failing_workers: int = 0
    stalled_workers: int = 0
    hopeless_share: float = 0.0
    serving_per_s: float = 0.0
    serving_stay_s: float = 0.0
    urgent: Shape = Shape(6, 4600, 640)
    filling: Shape = Shape(8, 7000, 2200)
    serving_width: float = 6.0


@dataclasses.dataclass
class _Run:
    task: model.TaskId
    run: int
    spec: model.StepSpec
    job: model.JobId
    work_ms: float
    done_ms: float
    pace: int = 100
    ordered_pace: int = 100
    paced_from: float = 0.0
    load: float = 0.0
    phase: float = 0.0
    used: float = 0.0
    tail: float = 0.0


@dataclasses.dataclass
class _Worker:
    worker: model.WorkerId
    capacity: commands.Resources
    rack: str
    fails: bool = False
    stalls: bool = False
    sequence: int = 0
    next_report: float = 0.0
    runs: dict[model.TaskId, _Run] = dataclasses.field(default_factory=dict)
    ended: list[requests.EndedRun] = dataclasses.field(default_factory=list)
    ends: int = 0


@dataclasses.dataclass
class _Submitted:
    spec: model.JobSpec
    kind: str
    at: float
    objective_s: float
    weight: float
    is_hopeless: bool = False
    done_at: float | None = None


@dataclasses.dataclass(frozen=True)
class Outcome:
    """What became of one job.

    Attributes:
        work: Core-seconds that it asked for, by its estimates.
        earned: Part of its credit that it earned.
    """

    work: float
    earned: float


@dataclasses.dataclass
class KindReport:
    """What the callers of one kind of job got."""

    jobs: int = 0
    in_time: int = 0
    late: int = 0
    credit: float = 0.0
    owed: float = 0.0
    durations: list[float] = dataclasses.field(default_factory=list)
    outcomes: list[Outcome] = dataclasses.field(default_factory=list)

    @property
    def share(self) -> float:
        """Credit earned as a share of the credit owed."""
        return self.credit / self.owed if self.owed else 1.0


def shares_by_size(outcomes: Sequence[Outcome]) -> tuple[float, float, float]:
    """Returns how much of its credit a job earns on average.

    Returns:
        Of all jobs, of the largest tenth, and of the fifth below it.
    """
    ordered = sorted(outcomes, key=lambda item: item.work, reverse=True)
    tenth = max(1, len(ordered) // 10)
    return (
        statistics.fmean(item.earned for item in ordered),
        statistics.fmean(item.earned for item in ordered[:tenth]),
        statistics.fmean(item.earned for item in ordered[tenth : 3 * tenth]),
    )


@dataclasses.dataclass
class Report:
    """What a played load came to.

    Attributes:
        serving_share: Share of the running serving tasks below their target.
        serving_waiting: Share of the serving tasks that wait for room.
        runs_stopped: Runs that were stopped before their end.
        wasted_core_s: Work of stopped or failed runs.
    """

    by_kind: dict[str, KindReport]
    serving_share: float
    serving_waiting: float
    runs_started: int
    runs_stopped: int
    wasted_core_s: float


class Player:
    """One scenario with one seed.

    Args:
        scenario: The load and the workers.
        seed: Decides everything that is random.
        seconds: How long jobs arrive, if not as long as the scenario says.

    Attributes:
        dispatcher: What plans and gives orders.
        after_round: Called with the time and the state after each round.
    """

    def __init__(
        self, scenario: Scenario, seed: int, seconds: float | None = None
    ) -> None:
        if seconds is not None:
            scenario = dataclasses.replace(scenario, seconds=seconds)
        self.after_round: Callable[[float, state_lib.State], None] | None = None
        self._scenario = scenario
        self._rng = random.Random(seed)
        self._state = state_lib.State()
        self._state.is_open = True
        self.dispatcher = dispatcher_lib.Dispatcher(
            dispatcher_lib.DispatchSettings()
        )
        self.dispatcher.start_term(WARM_UP_FROM_S, self._state)
        self._index = 0
        self._submitted: dict[model.JobId, _Submitted] = {}
        self._work_ms: dict[model.TaskId, float] = {}
        self._next_job = 0
        self._leaving: list[tuple[float, model.JobId]] = []
        self._serving_images = [f"s{n}" for n in range(5)]
        self._filling_images = [f"f{n}" for n in range(9)]
        self._effects = self._draw_effects()
        self._phase_by_job: dict[model.JobId, float] = {}
        self._swing_s = SWING_PERIODS_S[seed % len(SWING_PERIODS_S)]
        self._workers = [self._worker(n) for n in range(scenario.workers)]
        self._stopped = 0
        self._started = 0
        self._wasted = 0.0
        self._serving_seen = 0
        self._serving_good = 0
        self._serving_waiting = 0

    def _draw_effects(self) -> dict[tuple[str, str], float]:
        """Two hidden resources; images that press the same one disturb."""
        group = {
            image: self._rng.randrange(2)
            for image in (*self._serving_images, *self._filling_images)
        }
        effects = {}
        for filling in self._filling_images:
            is_heavy = self._rng.random() < self._scenario.heavy_share
            for serving in self._serving_images:
                same = group[filling] == group[serving]
                bounds = HEAVY_EFFECT if same and is_heavy else LIGHT_EFFECT
                effects[filling, serving] = self._rng.uniform(*bounds)
        return effects

    def _worker(self, number: int) -> _Worker:
        scenario = self._scenario
        factor = 1.5 if number % 3 == 2 else 1.0
        millicores = int(scenario.millicores * factor)
        return _Worker(
            model.WorkerId(f"w{number}"),
            commands.Resources(millicores, millicores * 4, 0),
            rack=f"r{number // 6}",
            fails=number < scenario.failing_workers,
            stalls=0
            <= number - scenario.failing_workers
            < scenario.stalled_workers,
            next_report=WARM_UP_FROM_S + self._rng.uniform(0, 0.3),
        )

    # Load.

    def _lognormal(self, mean: float, spread: float, top: float) -> float:
        sigma = math.sqrt(math.log(1 + spread * spread))
        mu = math.log(mean) - sigma * sigma / 2
        return min(top, self._rng.lognormvariate(mu, sigma))

    def _submit(self, now: float, kind: str) -> None:
        self._next_job += 1
        job = model.JobId(f"{self._next_job:016x}")
        makers = {
            "urgent": self._urgent_steps,
            "filling": self._filling_steps,
            "serving": self._serving_steps,
        }
        steps, work_ms, stretch, target_ms, priority = makers[kind]()
        chain_ms = 0.0
        for number, step in enumerate(steps):
            longest = 0.0
            for index in range(step.count):
                work = work_ms * self._rng.uniform(0.7, 1.3)
                name = model.format_task_id(job, 0, number, index)
                self._work_ms[name] = work
                longest = max(longest, work)
            chain_ms += longest
        spec = model.JobSpec("payload", steps)
        queue = model.Queue(
            model.QueueName(kind),
            "host",
            f"/{kind}/",
            SERVICE,
            3000,
            priority,
            2,
            stretch,
            target_ms,
        )
        objective = (stretch * chain_ms + target_ms) / 1000
        work = sum(item.count * item.needs.millicores for item in steps)
        self._submitted[job] = _Submitted(
            spec,
            kind,
            now,
            objective,
            0.3 + work * work_ms / 1e6 / 100,
            self._rng.random() < self._scenario.hopeless_share,
        )
        self._phase_by_job[job] = self._rng.uniform(0, 2 * math.pi)
        stay_s = self._scenario.serving_stay_s
        if kind == "serving" and stay_s:
            leaves = max(0.0, now) + self._lognormal(stay_s, 0.5, 3 * stay_s)
            self._leaving.append((leaves, job))
        self._apply(log_commands.SubmitJob(job, queue, spec, 0))

    def _urgent_steps(
        self,
    ) -> tuple[tuple[model.StepSpec, ...], float, float, int, int]:
        shape = self._scenario.urgent
        steps = tuple(
            model.StepSpec(
                count=max(
                    1, round(self._lognormal(shape.width, 0.8, 6 * shape.width))
                ),
                needs=commands.Resources(
                    int(
                        self._lognormal(
                            shape.millicores, 0.45, 3 * shape.millicores
                        )
                    ),
                    int(2 * shape.millicores),
                    0,
                ),
                estimated_ms=int(shape.work_ms),
                after=(number - 1,) if number else (),
            )
            for number in range(max(1, round(self._lognormal(1.6, 0.4, 4))))
        )
        work_ms = self._lognormal(shape.work_ms, 0.5, 2.5 * shape.work_ms)
        return steps, work_ms, 1.5, 1200, 0

    def _filling_steps(
        self,
    ) -> tuple[tuple[model.StepSpec, ...], float, float, int, int]:
        shape = self._scenario.filling
        work_ms = self._lognormal(shape.work_ms, 0.5, 2.5 * shape.work_ms)
        off = self._rng.lognormvariate(0.0, ESTIMATE_SIGMA)
        steps = tuple(
            model.StepSpec(
                count=max(
                    1, round(self._lognormal(shape.width, 0.6, 4 * shape.width))
                ),
                needs=commands.Resources(
                    int(
                        self._lognormal(
                            shape.millicores, 0.3, 2 * shape.millicores
                        )
                    ),
                    int(2 * shape.millicores),
                    0,
                ),
                estimated_ms=int(work_ms * off),
                after=(number - 1,) if number else (),
                supports_checkpoints=True,
                image=self._rng.choice(self._filling_images),
                fills=True,
            )
            for number in range(max(1, round(self._lognormal(2.0, 0.4, 5))))
        )
        return steps, work_ms, 2.0, 1000, 2

    def _serving_steps(
        self,
    ) -> tuple[tuple[model.StepSpec, ...], float, float, int, int]:
        width = self._scenario.serving_width
        step = model.StepSpec(
            count=max(1, round(self._lognormal(width, 0.4, 2 * width))),
            needs=commands.Resources(
                int(self._lognormal(13_000, 0.25, 20_000)), 26_000, 0
            ),
            long_running=True,
            max_per_worker=self._rng.choice((0, 0, 1, 2)),
            image=self._rng.choice(self._serving_images),
            tail_target_ms=TARGET_MS,
        )
        return (step,), 400.0, 2.2, 3000, 0

    # Time.

    def play(self) -> Report:
        """Plays the load, then lets the workers finish for a while."""
        scenario = self._scenario
        now = WARM_UP_FROM_S
        while now < SERVING_FROM_S:
            self._serve_reports(now)
            now += TICK_S
        self._submit_serving()
        end = scenario.seconds + 12.0
        while now < end:
            if 0 <= now < scenario.seconds:
                self._arrive(now)
            self._advance(now)
            self._serve_reports(now)
            now += TICK_S
        return self._report()

    def _submit_serving(self) -> None:
        scenario = self._scenario
        capacity = sum(item.capacity.millicores for item in self._workers)
        claimed = 0
        while claimed < scenario.serving_share * capacity:
            self._submit(SERVING_FROM_S, "serving")
            spec = next(reversed(self._submitted.values())).spec
            claimed += sum(
                step.count * step.needs.millicores for step in spec.steps
            )

    def _arrive(self, now: float) -> None:
        scenario = self._scenario
        third = scenario.seconds / 3
        factor = scenario.burst if third <= now < 2 * third else 1.0
        if self._rng.random() < scenario.urgent_per_s * TICK_S:
            self._submit(now, "urgent")
        if self._rng.random() < scenario.filling_per_s * factor * TICK_S:
            self._submit(now, "filling")
        if self._rng.random() < scenario.serving_per_s * TICK_S:
            self._submit(now, "serving")
        for item in [item for item in self._leaving if item[0] <= now]:
            self._leaving.remove(item)
            self._apply(log_commands.CancelJob(item[1]))

    def _serve_reports(self, now: float) -> None:
        reported: list[tuple[_Worker, requests.WorkerReport]] = []
        for worker in self._workers:
            if now < worker.next_report:
                continue
            worker.sequence += 1
            report = self._report_of(worker)
            proposed = self.dispatcher.on_report(now, self._state, report)
            assert proposed is not None
            proposed += self.dispatcher.end_absent_runs(
                now, self._state, report
            )
            for command in proposed:
                self._apply(command)
            if proposed:
                self.dispatcher.on_proposed(report, self._index)
            reported.append((worker, report))
        self._applied()
        for command in self.dispatcher.expire(now, self._state):
            self._apply(command)
        planned = self.dispatcher.planner.plan(now, self._state)
        if planned is not None:
            self._apply(planned)
            self.dispatcher.planner.on_assigned(planned)
        self._applied()
        if self.after_round is not None:
            self.after_round(now, self._state)
        for worker, report in reported:
            orders = self.dispatcher.orders(now, self._state, report, 1)
            self._obey(now, worker, orders)

    def _apply(self, command: log_commands.AnyCommand) -> None:
        self._index += 1
        self._state.apply(self._index, command)

    def _applied(self) -> None:
        self.dispatcher.on_applied(self._state, self._index)

    def _report_of(self, worker: _Worker) -> requests.WorkerReport:
        return requests.WorkerReport(
            worker.worker,
            1,
            worker.sequence,
            SERVICE,
            "",
            "zone",
            worker.worker,
            worker.rack,
            ("a", worker.rack),
            worker.capacity,
            False,
            0,
            tuple(self._running_of(worker)),
            tuple(worker.ended),
        )

    def _running_of(self, worker: _Worker) -> Iterator[requests.ActiveRun]:
        for run in worker.runs.values():
            percent = 100
            noise = self._rng.gauss(1.0, READING_NOISE)
            usage = int(run.tail * max(0.5, noise))
            if not run.spec.long_running:
                percent = max(0, int(100 * run.done_ms / run.work_ms))
                usage = int(run.used)
            saved = str(int(max(0.0, run.done_ms)))
            yield requests.ActiveRun(run.task, run.run, saved, percent, usage)

    def _obey(
        self, now: float, worker: _Worker, orders: requests.Orders
    ) -> None:
        worker.ended = [
            item
            for item in worker.ended
            if item.number > orders.acknowledged_end_number
        ]
        for stop in orders.stops:
            run = worker.runs.get(stop.task)
            if run is not None and run.run == stop.run:
                self._stopped += 1
                self._end(worker, run, model.Outcome.STOPPED)
        for pace in orders.paces:
            paced = worker.runs.get(pace.task)
            if paced is not None:
                paced.ordered_pace = pace.percent
                paced.paced_from = now + PACE_DELAY_S
        for start in orders.starts:
            if start.task not in worker.runs:
                self._start(worker, start)
        worker.next_report = now + orders.next_report_ms / 1000
        if any(
            item.number > orders.acknowledged_end_number
            for item in worker.ended
        ):
            worker.next_report = min(
                worker.next_report, now + REPORT_AFTER_END_S
            )

    def _start(self, worker: _Worker, start: requests.StartOrder) -> None:
        found = self._state.find_task(start.task)
        assert found is not None
        job, key, _, _ = found
        self._started += 1
        done = float(start.checkpoint) if start.checkpoint else 0.0
        worker.runs[start.task] = _Run(
            start.task,
            start.run,
            job.spec.steps[key.step],
            job.id,
            self._work_ms[start.task],
            done - (RESTORE_MS if done else 0.0),
            tail=TAIL_ALONE_MS,
        )

    def _end(self, worker: _Worker, run: _Run, outcome: model.Outcome) -> None:
        del worker.runs[run.task]
        worker.ends += 1
        checkpoint = ""
        if run.spec.supports_checkpoints and outcome is model.Outcome.STOPPED:
            checkpoint = str(int(max(0.0, run.done_ms)))
        elif outcome is not model.Outcome.DONE:
            self._wasted += run.done_ms * run.spec.needs.millicores / 1e6
        worker.ended.append(
            requests.EndedRun(
                worker.ends, run.task, run.run, outcome, checkpoint
            )
        )

    def _advance(self, now: float) -> None:
        if now >= 0:
            self._serving_waiting += sum(
                step.waiting_count
                for key, step in self._state.open_steps.items()
                if self._state.spec_of(key).long_running
            )
        for worker in self._workers:
            self._advance_worker(now, worker)
        for job_id, item in self._submitted.items():
            job = self._state.job_by_id[job_id]
            if item.done_at is None and not job.is_active:
                item.done_at = now

    def _advance_worker(self, now: float, worker: _Worker) -> None:
        capacity = worker.capacity.millicores
        idle = float(capacity)
        filling = []
        for run in worker.runs.values():
            if now >= run.paced_from:
                run.pace = run.ordered_pace
            if run.spec.long_running:
                swing = math.sin(
                    2 * math.pi * now / self._swing_s
                    + self._phase_by_job[run.job]
                )
                run.load = 0.48 + 0.24 * swing
                idle -= run.spec.needs.millicores * run.load
            elif run.spec.fills:
                filling.append(run)
            else:
                idle -= run.spec.needs.millicores
        wanted = sum(
            run.spec.needs.millicores * run.pace / 100 for run in filling
        )
        share = min(1.0, max(0.0, idle) / wanted) if wanted else 1.0
        shares: dict[str, float] = collections.defaultdict(float)
        for run in filling:
            used = run.spec.needs.millicores * run.pace / 100 * share
            run.used = used
            shares[run.spec.image] += used / capacity
        self._advance_runs(now, worker, share, shares)

    def _advance_runs(
        self,
        now: float,
        worker: _Worker,
        share: float,
        shares: dict[str, float],
    ) -> None:
        weight = TICK_S / READING_S
        for run in list(worker.runs.values()):
            if run.spec.long_running:
                pressed = run.load + sum(
                    self._effects[image, run.spec.image] * part
                    for image, part in shares.items()
                )
                tail = TAIL_ALONE_MS / max(0.012, 1 - pressed)
                run.tail += weight * (tail - run.tail)
                if now >= 0:
                    self._serving_seen += 1
                    self._serving_good += tail <= TARGET_MS
                continue
            rate = share * run.pace / 100 if run.spec.fills else 1.0
            if not worker.stalls:
                run.done_ms += TICK_S * 1000 * rate
            is_bad = worker.fails or self._submitted[run.job].is_hopeless
            if is_bad and run.done_ms > 100:
                self._end(worker, run, model.Outcome.FAILED)
            elif run.done_ms >= run.work_ms:
                self._end(worker, run, model.Outcome.DONE)
            else:
                continue
            worker.next_report = min(
                worker.next_report, now + REPORT_AFTER_END_S
            )

    def _report(self) -> Report:
        by_kind: dict[str, KindReport] = collections.defaultdict(KindReport)
        for job_id, item in self._submitted.items():
            if item.kind == "serving" or item.is_hopeless:
                continue
            kind = by_kind[item.kind]
            kind.jobs += 1
            kind.owed += item.weight
            earned = self._earned(job_id, item, kind)
            kind.credit += earned * item.weight
            kind.outcomes.append(Outcome(_work(item.spec), earned))
        return Report(
            dict(by_kind),
            self._serving_good / max(1, self._serving_seen),
            self._serving_waiting
            / max(1, self._serving_seen + self._serving_waiting),
            self._started,
            self._stopped,
            self._wasted,
        )

    def _earned(
        self, job_id: model.JobId, item: _Submitted, kind: KindReport
    ) -> float:
        """Counts a job that has ended; returns the part of its credit."""
        phase = self._state.job_by_id[job_id].phase
        if item.done_at is None or phase is not model.JobPhase.DONE:
            return 0.0
        took = item.done_at - item.at
        kind.durations.append(took)
        if took <= item.objective_s:
            kind.in_time += 1
            return 1.0
        if took <= LATE_FACTOR * item.objective_s:
            kind.late += 1
            return LATE_CREDIT
        return 0.0


def _work(spec: model.JobSpec) -> float:
    return sum(
        step.count * step.needs.millicores * step.estimated_ms / 1e6
        for step in spec.steps
    )


SCENARIO_BY_NAME = {
    # A third of a deployment of 270 workers, on which large urgent tasks
    # compete with serving ones for the gaps.
    "large": Scenario(
        workers=90,
        urgent_per_s=1.72,
        filling_per_s=2.07,
        serving_share=0.9,
        serving_per_s=0.1,
        serving_stay_s=70.0,
        urgent=Shape(9.4, 13_000, 1000),
        filling=Shape(39, 7000, 2200),
        serving_width=24.0,
    ),
    # A third of a deployment of 176 workers with wide filling jobs, of which
    # more arrive in the middle than the idle processors can run.
    "wide": Scenario(
        workers=58,
        urgent_per_s=3.0,
        filling_per_s=2.85,
        burst=1.4,
        serving_per_s=0.1,
        serving_stay_s=70.0,
        urgent=Shape(10, 8_100, 640),
        filling=Shape(20, 7000, 2200),
        serving_width=14.0,
    ),
    "steady": Scenario(),
    "burst": Scenario(burst=2.0),
    "overload": Scenario(filling_per_s=6.0),
    "failing workers": Scenario(failing_workers=2),
    "stalled workers": Scenario(stalled_workers=2),
    "hopeless jobs": Scenario(hopeless_share=0.08),
}


def main() -> None:
    """Prints what callers get in each scenario, over three seeds."""
    for name, scenario in SCENARIO_BY_NAME.items():
        for seed in range(3):
            report = Player(scenario, seed).play()
            kinds = " ".join(
                f"{kind}={item.share:.3f}({item.in_time}/{item.late}/{item.jobs})"
                for kind, item in sorted(report.by_kind.items())
            )
            print(
                f"{name:16} seed={seed} {kinds}"
                f" serving={report.serving_share:.3f}"
                f" runs={report.runs_started} stopped={report.runs_stopped}"
                f" wasted={report.wasted_core_s:.0f}",
                flush=True,
            )


if __name__ == "__main__":
    main()
