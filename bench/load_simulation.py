"""Simulates a load on the real dispatcher, with simulated workers and time.

The workers run what the dispatcher orders. Filling tasks get the processor time
that other tasks leave idle, and slow serving tasks by a factor for each pair of
images, which the dispatcher isn't told. The load of a serving job follows a
sine wave. Commands are committed within the tick in which they are proposed.
All random numbers come from one seed.

The results tell how many jobs end in time, and which share of the possible
credit their callers get.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Sequence
import dataclasses
import math
import random
import statistics

from bench import load_scenarios
from fulmarrouter import commands
from fulmarrouter.cluster import dispatcher as dispatcher_lib
from fulmarrouter.cluster import log_commands
from fulmarrouter.cluster import model
from fulmarrouter.cluster import requests
from fulmarrouter.cluster import state as state_lib

TICK_S = 0.02
SERVICE = model.ServiceName("booking")
TAIL_TARGET_MS = 150
UNLOADED_TAIL_MS = 25.0  # Tail latency of a serving task without load.
REPORT_DELAY_AFTER_END_S = 0.05  # Limit, after the end of a run.
TAIL_SMOOTHING_S = 0.5  # Time constant of the reported tail latency.
PACE_DELAY_S = 0.1  # From a pace order until it takes effect.
TAIL_NOISE = 0.09  # Relative standard deviation of reported tails.
CHECKPOINT_RESTORE_MS = 600.0  # Delay of a run that resumes.
ESTIMATE_SIGMA = 0.5  # Standard deviation of ln(estimated / true duration).
LOAD_PERIODS_S = (10.0, 20.0)  # Of the serving load; the seed selects one.
MAX_SERVING_FACTOR = 20 / 13  # Largest request of a serving task, by the mean.
LATE_FACTOR = 3.0  # Limit of late jobs, as a multiple of the objective.
LATE_CREDIT = 0.15  # Share of its credit that a late job earns.
# Before the first arrivals: when the workers report, and when the serving jobs
# that run from the start are submitted.
WARM_UP_S = 7.0
SERVING_WARM_UP_S = 6.0
# Added load of a serving task if a filling image used all of the processors.
HEAVY_EFFECT_RANGE = (1.2, 3.0)
LIGHT_EFFECT_RANGE = (0.0, 0.4)


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
    pace_applies_at: float = 0.0
    load: float = 0.0
    phase: float = 0.0
    used_millicores: float = 0.0
    tail_ms: float = 0.0


@dataclasses.dataclass
class _Worker:
    worker_id: model.WorkerId
    capacity: commands.Resources
    rack: str
    fails: bool = False
    stalls: bool = False
    sequence: int = 0
    next_report_at: float = 0.0
    runs: dict[model.TaskId, _Run] = dataclasses.field(default_factory=dict)
    ended: list[requests.EndedRun] = dataclasses.field(default_factory=list)
    end_count: int = 0


@dataclasses.dataclass
class _SubmittedJob:
    spec: model.JobSpec
    kind: str
    submitted_at: float
    objective_s: float
    weight: float
    always_fails: bool = False
    ended_at: float | None = None


@dataclasses.dataclass(frozen=True)
class JobResult:
    """Result of one job.

    Attributes:
        requested_core_s: Core-seconds that it requested, by its estimates.
        credit_share: Share of its credit that it earned.
    """

    requested_core_s: float
    credit_share: float


@dataclasses.dataclass
class KindResults:
    """Results of the jobs of one kind.

    Attributes:
        in_time: Jobs done within their objective; they earn their full credit.
        late: Jobs done within LATE_FACTOR times their objective; they earn
            LATE_CREDIT of it.
        durations: Durations of the jobs that are done, in seconds.
    """

    jobs: int = 0
    in_time: int = 0
    late: int = 0
    earned_credit: float = 0.0
    possible_credit: float = 0.0
    durations: list[float] = dataclasses.field(default_factory=list)
    job_results: list[JobResult] = dataclasses.field(default_factory=list)

    @property
    def credit_share(self) -> float:
        """Earned credit as a share of the possible credit."""
        return (
            self.earned_credit / self.possible_credit
            if self.possible_credit
            else 1.0
        )


def mean_credit_by_size(
    job_results: Sequence[JobResult],
) -> tuple[float, float, float]:
    """Returns the mean share of its credit that a job earns, by size of job.

    Returns:
        The means of all jobs, of the largest tenth, and of the next fifth.
    """
    ordered = sorted(
        job_results, key=lambda item: item.requested_core_s, reverse=True
    )
    tenth = max(1, len(ordered) // 10)
    return (
        statistics.fmean(item.credit_share for item in ordered),
        statistics.fmean(item.credit_share for item in ordered[:tenth]),
        statistics.fmean(
            item.credit_share for item in ordered[tenth : 3 * tenth]
        ),
    )


@dataclasses.dataclass
class Results:
    """Results of a simulation.

    Attributes:
        serving_in_target_share: Share of the time of running serving tasks in
            which their tail latency is within their target.
        serving_waiting_share: Share of the time of serving tasks in which they
            wait for capacity.
        runs_stopped: Runs that were stopped before their end.
        wasted_core_s: Work of runs that failed, or were stopped without saving
            a checkpoint.
    """

    by_kind: dict[str, KindResults]
    serving_in_target_share: float
    serving_waiting_share: float
    runs_started: int
    runs_stopped: int
    wasted_core_s: float


class Simulation:
    """Simulation of one scenario with one seed.

    Args:
        scenario: The load and the workers.
        seed: Seed of all random numbers.
        seconds: Time during which jobs arrive, in place of the scenario's.

    Attributes:
        dispatcher: The dispatcher under test.
        after_round: Called with the time and the state after each planning
            round.
    """

    def __init__(
        self,
        scenario: load_scenarios.Scenario,
        seed: int,
        seconds: float | None = None,
    ) -> None:
        if seconds is not None:
            scenario = dataclasses.replace(scenario, seconds=seconds)
        self.after_round: Callable[[float, state_lib.State], None] | None = None
        self._scenario = scenario
        self._rng = random.Random(seed)
        self._noise_rng = (
            random.Random(-1 - seed) if scenario.same_arrivals else self._rng
        )
        self._state = state_lib.State()
        self._state.is_open = True
        self.dispatcher = dispatcher_lib.Dispatcher(
            dispatcher_lib.DispatchSettings()
        )
        self.dispatcher.start_term(
            scenario.arrivals_start_s - WARM_UP_S, self._state
        )
        self._index = 0
        self._submitted: dict[model.JobId, _SubmittedJob] = {}
        self._work_ms: dict[model.TaskId, float] = {}
        self._next_job = 0
        self._cancellations: list[tuple[float, model.JobId]] = []
        self._serving_images = [f"s{n}" for n in range(5)]
        self._filling_images = [f"f{n}" for n in range(9)]
        self._effects = self._draw_effects()
        self._phase_by_job: dict[model.JobId, float] = {}
        self._load_period_s = LOAD_PERIODS_S[seed % len(LOAD_PERIODS_S)]
        self._workers = [self._make_worker(n) for n in range(scenario.workers)]
        self._runs_stopped = 0
        self._runs_started = 0
        self._wasted_core_s = 0.0
        self._serving_samples = 0
        self._serving_samples_in_target = 0
        self._serving_samples_waiting = 0

    def _draw_effects(self) -> dict[tuple[str, str], float]:
        """Draws the effect of each filling image on each serving image.

        An image uses one of two resources; an effect can be heavy only between
        images that use the same one.
        """
        group = {
            image: self._rng.randrange(2)
            for image in (*self._serving_images, *self._filling_images)
        }
        effects = {}
        for filling in self._filling_images:
            is_heavy = self._rng.random() < self._scenario.heavy_effect_share
            for serving in self._serving_images:
                same = group[filling] == group[serving]
                bounds = (
                    HEAVY_EFFECT_RANGE
                    if same and is_heavy
                    else LIGHT_EFFECT_RANGE
                )
                effects[filling, serving] = self._rng.uniform(*bounds)
        return effects

    def _make_worker(self, number: int) -> _Worker:
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
            next_report_at=scenario.arrivals_start_s
            - WARM_UP_S
            + self._rng.uniform(0, 0.3),
        )

    # Generation of the load.

    def _draw_lognormal(
        self, mean: float, variation: float, limit: float
    ) -> float:
        sigma = math.sqrt(math.log(1 + variation * variation))
        mu = math.log(mean) - sigma * sigma / 2
        return min(limit, self._rng.lognormvariate(mu, sigma))

    def _submit(self, now: float, kind: str) -> None:
        self._next_job += 1
        job = model.JobId(f"{self._next_job:016x}")
        draw_by_kind = {
            "urgent": self._draw_urgent_job,
            "filling": self._draw_filling_job,
            "serving": self._draw_serving_job,
        }
        steps, work_ms, stretch, target_ms, priority = draw_by_kind[kind]()
        critical_path_ms = 0.0
        for number, step in enumerate(steps):
            longest = 0.0
            for index in range(step.count):
                task_work_ms = work_ms * self._rng.uniform(0.7, 1.3)
                task_id = model.format_task_id(job, 0, number, index)
                self._work_ms[task_id] = task_work_ms
                longest = max(longest, task_work_ms)
            critical_path_ms += longest
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
        objective = (stretch * critical_path_ms + target_ms) / 1000
        requested_millicores = sum(
            item.count * item.needs.millicores for item in steps
        )
        self._submitted[job] = _SubmittedJob(
            spec,
            kind,
            now,
            objective,
            0.3 + requested_millicores * work_ms / 1e6 / 100,
            self._rng.random() < self._scenario.failing_job_share,
        )
        self._phase_by_job[job] = self._rng.uniform(0, 2 * math.pi)
        lifetime_s = self._scenario.serving_lifetime_s
        if kind == "serving" and lifetime_s:
            cancel_at = max(
                self._scenario.arrivals_start_s, now
            ) + self._draw_lognormal(lifetime_s, 0.5, 3 * lifetime_s)
            self._cancellations.append((cancel_at, job))
        self._apply(log_commands.SubmitJob(job, queue, spec, 0))

    def _draw_urgent_job(
        self,
    ) -> tuple[tuple[model.StepSpec, ...], float, float, int, int]:
        shape = self._scenario.urgent
        steps = tuple(
            model.StepSpec(
                count=max(
                    1,
                    round(
                        self._draw_lognormal(shape.width, 0.8, 6 * shape.width)
                    ),
                ),
                needs=commands.Resources(
                    int(
                        self._draw_lognormal(
                            shape.millicores, 0.45, 3 * shape.millicores
                        )
                    ),
                    int(2 * shape.millicores),
                    0,
                ),
                estimated_ms=int(shape.work_ms),
                after=(number - 1,) if number else (),
            )
            for number in range(
                max(1, round(self._draw_lognormal(1.6, 0.4, 4)))
            )
        )
        work_ms = self._draw_lognormal(shape.work_ms, 0.5, 2.5 * shape.work_ms)
        return steps, work_ms, 1.5, 1200, 0

    def _draw_filling_job(
        self,
    ) -> tuple[tuple[model.StepSpec, ...], float, float, int, int]:
        shape = self._scenario.filling
        work_ms = self._draw_lognormal(shape.work_ms, 0.5, 2.5 * shape.work_ms)
        estimate_error = self._rng.lognormvariate(0.0, ESTIMATE_SIGMA)
        steps = tuple(
            model.StepSpec(
                count=max(
                    1,
                    round(
                        self._draw_lognormal(shape.width, 0.6, 4 * shape.width)
                    ),
                ),
                needs=commands.Resources(
                    int(
                        self._draw_lognormal(
                            shape.millicores, 0.3, 2 * shape.millicores
                        )
                    ),
                    int(2 * shape.millicores),
                    0,
                ),
                estimated_ms=int(work_ms * estimate_error),
                after=(number - 1,) if number else (),
                supports_checkpoints=True,
                image=self._rng.choice(self._filling_images),
                fills=True,
            )
            for number in range(
                max(1, round(self._draw_lognormal(2.0, 0.4, 5)))
            )
        )
        return steps, work_ms, 2.0, 1000, 2

    def _draw_serving_job(
        self,
    ) -> tuple[tuple[model.StepSpec, ...], float, float, int, int]:
        width = self._scenario.serving_width
        step = model.StepSpec(
            count=max(1, round(self._draw_lognormal(width, 0.4, 2 * width))),
            needs=commands.Resources(
                int(
                    self._draw_lognormal(
                        self._scenario.serving_millicores,
                        0.25,
                        MAX_SERVING_FACTOR * self._scenario.serving_millicores,
                    )
                ),
                int(2 * self._scenario.serving_millicores),
                0,
            ),
            runs_until_cancelled=True,
            max_per_worker=self._rng.choice((0, 0, 1, 2)),
            image=self._rng.choice(self._serving_images),
            tail_target_ms=TAIL_TARGET_MS,
        )
        return (step,), 400.0, 2.2, 3000, 0

    # Simulation of the workers.

    def run(self) -> Results:
        """Simulates the load, and 12 s more in which jobs can finish."""
        scenario = self._scenario
        now = scenario.arrivals_start_s - WARM_UP_S
        while now < scenario.arrivals_start_s - SERVING_WARM_UP_S:
            self._run_round(now)
            now += TICK_S
        self._submit_serving()
        end = scenario.arrivals_start_s + scenario.seconds + 12.0
        while now < end:
            if 0 <= now - scenario.arrivals_start_s < scenario.seconds:
                self._submit_arrivals(now)
            self._advance(now)
            self._run_round(now)
            now += TICK_S
        return self._summarize()

    def _submit_serving(self) -> None:
        scenario = self._scenario
        capacity = sum(item.capacity.millicores for item in self._workers)
        claimed = 0
        while claimed < scenario.serving_share * capacity:
            self._submit(
                scenario.arrivals_start_s - SERVING_WARM_UP_S, "serving"
            )
            spec = next(reversed(self._submitted.values())).spec
            claimed += sum(
                step.count * step.needs.millicores for step in spec.steps
            )
        for _ in range(scenario.filling_at_start):
            self._submit(
                scenario.arrivals_start_s - SERVING_WARM_UP_S, "filling"
            )

    def _submit_arrivals(self, now: float) -> None:
        scenario = self._scenario
        third = scenario.seconds / 3
        elapsed_s = now - scenario.arrivals_start_s
        is_burst = third <= elapsed_s < 2 * third
        factor = scenario.burst_factor if is_burst else 1.0
        if self._rng.random() < scenario.urgent_per_s * TICK_S:
            self._submit(now, "urgent")
        if self._rng.random() < scenario.filling_per_s * factor * TICK_S:
            self._submit(now, "filling")
        if self._rng.random() < scenario.serving_per_s * TICK_S:
            self._submit(now, "serving")
        for item in [item for item in self._cancellations if item[0] <= now]:
            self._cancellations.remove(item)
            self._apply(log_commands.CancelJob(item[1]))

    def _run_round(self, now: float) -> None:
        reported: list[tuple[_Worker, requests.WorkerReport]] = []
        for worker in self._workers:
            if now < worker.next_report_at:
                continue
            worker.sequence += 1
            report = self._make_report(worker)
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
        self._notify_applied()
        for command in self.dispatcher.expire(now, self._state):
            self._apply(command)
        self.dispatcher.move_serving_tasks(now, self._state)
        planned = self.dispatcher.planner.plan(now, self._state)
        if planned is not None:
            self._apply(planned)
            self.dispatcher.planner.on_assigned(planned)
        self._notify_applied()
        if self.after_round is not None:
            self.after_round(now, self._state)
        for worker, report in reported:
            orders = self.dispatcher.orders(now, self._state, report, 1)
            self._follow_orders(now, worker, orders)

    def _apply(self, command: log_commands.AnyCommand) -> None:
        self._index += 1
        self._state.apply(self._index, command)

    def _notify_applied(self) -> None:
        self.dispatcher.on_applied(self._state, self._index)

    def _make_report(self, worker: _Worker) -> requests.WorkerReport:
        return requests.WorkerReport(
            worker.worker_id,
            1,
            worker.sequence,
            SERVICE,
            "",
            "zone",
            worker.worker_id,
            worker.rack,
            ("a", worker.rack),
            worker.capacity,
            False,
            0,
            tuple(self._active_runs(worker)),
            tuple(worker.ended),
        )

    def _active_runs(self, worker: _Worker) -> Iterator[requests.ActiveRun]:
        for run in worker.runs.values():
            percent = 100
            noise = self._noise_rng.gauss(1.0, TAIL_NOISE)
            usage = int(run.tail_ms * max(0.5, noise))
            if not run.spec.runs_until_cancelled:
                percent = max(0, int(100 * run.done_ms / run.work_ms))
                usage = int(run.used_millicores)
            saved = str(int(max(0.0, run.done_ms)))
            yield requests.ActiveRun(run.task, run.run, saved, percent, usage)

    def _follow_orders(
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
                self._runs_stopped += 1
                self._end_run(worker, run, model.Outcome.STOPPED)
        for pace in orders.paces:
            paced = worker.runs.get(pace.task)
            if paced is not None:
                paced.ordered_pace = pace.percent
                paced.pace_applies_at = now + PACE_DELAY_S
        for start in orders.starts:
            if start.task not in worker.runs:
                self._start_run(worker, start)
        worker.next_report_at = now + orders.next_report_ms / 1000
        if any(
            item.number > orders.acknowledged_end_number
            for item in worker.ended
        ):
            worker.next_report_at = min(
                worker.next_report_at, now + REPORT_DELAY_AFTER_END_S
            )

    def _start_run(self, worker: _Worker, start: requests.StartOrder) -> None:
        found = self._state.find_task(start.task)
        assert found is not None
        job, key, _, _ = found
        self._runs_started += 1
        done = float(start.checkpoint) if start.checkpoint else 0.0
        worker.runs[start.task] = _Run(
            start.task,
            start.run,
            job.spec.steps[key.step],
            job.id,
            self._work_ms[start.task],
            done - (CHECKPOINT_RESTORE_MS if done else 0.0),
            tail_ms=UNLOADED_TAIL_MS,
        )

    def _end_run(
        self, worker: _Worker, run: _Run, outcome: model.Outcome
    ) -> None:
        del worker.runs[run.task]
        worker.end_count += 1
        checkpoint = ""
        if run.spec.supports_checkpoints and outcome is model.Outcome.STOPPED:
            checkpoint = str(int(max(0.0, run.done_ms)))
        elif outcome is not model.Outcome.DONE:
            self._wasted_core_s += run.done_ms * run.spec.needs.millicores / 1e6
        worker.ended.append(
            requests.EndedRun(
                worker.end_count, run.task, run.run, outcome, checkpoint
            )
        )

    def _advance(self, now: float) -> None:
        if now >= self._scenario.arrivals_start_s:
            self._serving_samples_waiting += sum(
                step.waiting_count
                for key, step in self._state.open_steps.items()
                if self._state.spec_of(key).runs_until_cancelled
            )
        for worker in self._workers:
            self._advance_worker(now, worker)
        for job_id, item in self._submitted.items():
            job = self._state.job_by_id[job_id]
            if item.ended_at is None and not job.is_active:
                item.ended_at = now

    def _advance_worker(self, now: float, worker: _Worker) -> None:
        capacity = worker.capacity.millicores
        idle = float(capacity)
        filling = []
        for run in worker.runs.values():
            if now >= run.pace_applies_at:
                run.pace = run.ordered_pace
            if run.spec.runs_until_cancelled:
                swing = math.sin(
                    2 * math.pi * now / self._load_period_s
                    + self._phase_by_job[run.job]
                )
                run.load = 0.48 + 0.24 * swing
                idle -= run.spec.needs.millicores * run.load
            elif run.spec.fills:
                filling.append(run)
            else:
                idle -= run.spec.needs.millicores
        demand = sum(
            run.spec.needs.millicores * run.pace / 100 for run in filling
        )
        filling_rate = min(1.0, max(0.0, idle) / demand) if demand else 1.0
        share_by_image: dict[str, float] = collections.defaultdict(float)
        for run in filling:
            used_millicores = (
                run.spec.needs.millicores * run.pace / 100 * filling_rate
            )
            run.used_millicores = used_millicores
            share_by_image[run.spec.image] += used_millicores / capacity
        self._advance_runs(now, worker, filling_rate, share_by_image)

    def _advance_runs(
        self,
        now: float,
        worker: _Worker,
        filling_rate: float,
        share_by_image: dict[str, float],
    ) -> None:
        weight = TICK_S / TAIL_SMOOTHING_S
        for run in list(worker.runs.values()):
            if run.spec.runs_until_cancelled:
                effective_load = run.load + sum(
                    self._effects[image, run.spec.image] * part
                    for image, part in share_by_image.items()
                )
                tail_ms = UNLOADED_TAIL_MS / max(0.012, 1 - effective_load)
                run.tail_ms += weight * (tail_ms - run.tail_ms)
                if now >= self._scenario.arrivals_start_s:
                    self._serving_samples += 1
                    self._serving_samples_in_target += tail_ms <= TAIL_TARGET_MS
                continue
            rate = filling_rate * run.pace / 100 if run.spec.fills else 1.0
            if not worker.stalls:
                run.done_ms += TICK_S * 1000 * rate
            is_failing = worker.fails or self._submitted[run.job].always_fails
            if is_failing and run.done_ms > 100:
                self._end_run(worker, run, model.Outcome.FAILED)
            elif run.done_ms >= run.work_ms:
                self._end_run(worker, run, model.Outcome.DONE)
            else:
                continue
            worker.next_report_at = min(
                worker.next_report_at, now + REPORT_DELAY_AFTER_END_S
            )

    def _summarize(self) -> Results:
        by_kind: dict[str, KindResults] = collections.defaultdict(KindResults)
        for job_id, item in self._submitted.items():
            is_counted = (
                item.submitted_at >= self._scenario.arrivals_start_s
                and not item.always_fails
            )
            if item.kind == "serving" or not is_counted:
                continue
            kind = by_kind[item.kind]
            kind.jobs += 1
            kind.possible_credit += item.weight
            credit_share = self._count_credit(job_id, item, kind)
            kind.earned_credit += credit_share * item.weight
            kind.job_results.append(
                JobResult(_requested_core_s(item.spec), credit_share)
            )
        return Results(
            dict(by_kind),
            self._serving_samples_in_target / max(1, self._serving_samples),
            self._serving_samples_waiting
            / max(1, self._serving_samples + self._serving_samples_waiting),
            self._runs_started,
            self._runs_stopped,
            self._wasted_core_s,
        )

    def _count_credit(
        self, job_id: model.JobId, item: _SubmittedJob, kind: KindResults
    ) -> float:
        """Counts a job in the results; returns the share of credit it earns."""
        phase = self._state.job_by_id[job_id].phase
        if item.ended_at is None or phase is not model.JobPhase.DONE:
            return 0.0
        duration_s = item.ended_at - item.submitted_at
        kind.durations.append(duration_s)
        if duration_s <= item.objective_s:
            kind.in_time += 1
            return 1.0
        if duration_s <= LATE_FACTOR * item.objective_s:
            kind.late += 1
            return LATE_CREDIT
        return 0.0


def _requested_core_s(spec: model.JobSpec) -> float:
    return sum(
        step.count * step.needs.millicores * step.estimated_ms / 1e6
        for step in spec.steps
    )


def main() -> None:
    """Prints the results of each scenario with three seeds."""
    for name, scenario in load_scenarios.SCENARIO_BY_NAME.items():
        for seed in range(3):
            results = Simulation(scenario, seed).run()
            kinds = " ".join(
                f"{kind}={item.credit_share:.3f}({item.in_time}/{item.late}/{item.jobs})"
                for kind, item in sorted(results.by_kind.items())
            )
            print(
                f"{name:16} seed={seed} {kinds}"
                f" serving={results.serving_in_target_share:.3f}"
                f" runs={results.runs_started} stopped={results.runs_stopped}"
                f" wasted={results.wasted_core_s:.0f}",
                flush=True,
            )


if __name__ == "__main__":
    main()
