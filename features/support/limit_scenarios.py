"""Histories of tasks that may not run on every worker, on keepers of slow disks.

Decisions are made while earlier ones await their commit: commits take from a few
milliseconds to some seconds. Serving tasks move, workers restart with other
labels or in another service, drain and leave, and runs take time to stop.
"""

from collections.abc import Callable
from collections.abc import Sequence
import random

from features.support import cluster_scenarios
from features.support import cluster_simulation
from features.support import simulated_keepers
from features.support import simulated_processes
from fulmarrouter import commands
from fulmarrouter.cluster import log_commands
from fulmarrouter.cluster import model
from fulmarrouter.cluster import serving_moves

LABEL = "special"
WRONG_LEAVE_SILENCE_S = (2.2, 2.8)
LEASE_OVERRUN_S = (0.5, 1.5)
CANCELLING_ATTEMPTS = 15
OTHER_SERVICE = model.ServiceName("t")
OTHER_QUEUE = model.Queue(
    model.QueueName("r"), "host", "/r/", OTHER_SERVICE, 3000, 0, 3
)
QUEUES = (cluster_simulation.QUEUE, OTHER_QUEUE)
# Services of the workers when a history begins and ends.
SERVICES = (
    *(simulated_processes.DEFAULT_SERVICE,) * 5,
    *(OTHER_SERVICE,) * 3,
)
# Each serving image bears another filling image, so that serving tasks of two
# images on one worker move apart.
EFFECTS = tuple(
    log_commands.InterferenceEffect(filling, serving, loss, 20)
    for filling, serving, loss in (
        ("f", "a", 0.0),
        ("f", "b", 20.0),
        ("g", "a", 20.0),
        ("g", "b", 0.0),
    )
)
MAX_SERVING_JOBS = 10
MAX_STOP_S = 0.4
# Low, since serving tasks move only between workers on which nothing fails.
FAILURE_SHARE = 0.02
TASK_NEEDS = commands.Resources(1000, 100, 0)
LARGE_TASK_NEEDS = commands.Resources(2000, 200, 0)

Event = Callable[["LimitHistory"], None]
EVENTS: list[Event] = []


def _event(weight: int) -> Callable[[Event], Event]:
    """Registers an event, to be chosen in proportion to its weight."""

    def register(function: Event) -> Event:
        EVENTS.extend([function] * weight)
        return function

    return register


class LimitHistory:
    """A simulation and what its events need to know.

    Args:
        seed: Seed of all that is random.
        events: What may happen.

    Attributes:
        serving_jobs: Jobs of serving tasks that have not been cancelled.
    """

    def __init__(self, seed: int, events: Sequence[Event]) -> None:
        workers = [
            simulated_processes.Worker(
                model.WorkerId(f"w{number}"),
                service=service,
                labels=(LABEL,) if number % 2 else (),
            )
            for number, service in enumerate(SERVICES)
        ]
        self.simulation = cluster_simulation.ClusterSimulation(
            seed, workers, EFFECTS
        )
        # Independent of the simulation's generator.
        self.rng = random.Random(seed * 7919 + 7)
        self.simulation.max_stop_s = MAX_STOP_S
        self.simulation.failure_share = FAILURE_SHARE
        self._events = events
        self.serving_jobs: list[model.JobId] = []
        self._seen_moves: set[model.TaskId] = set()
        self._planned: list[tuple[float, Callable[[], None]]] = []

    def run(self, steps: int) -> None:
        """Runs random events, then ends all faults and checks the recovery."""
        simulation = self.simulation
        simulation.run_until(6.0)
        simulation.replace_configuration(1, QUEUES)
        simulation.run_until(6.5)
        for _ in range(6):
            submit_serving_job(self)
        for _ in range(steps):
            self.rng.choice(self._events)(self)
            end = simulation.now + self.rng.choice((0.1, 0.3, 0.6, 1.5))
            while simulation.now < end:
                simulation.run_until(simulation.now + 0.1)
                self._disturb_moves()
                self._run_due()
        self._end_faults()
        simulation.quiesce()

    def _run_due(self) -> None:
        """Lets what has been planned for now happen."""
        due = [item for item in self._planned if item[0] <= self.simulation.now]
        self._planned = [item for item in self._planned if item not in due]
        for _, action in due:
            action()

    def _disturb_moves(self) -> None:
        """Lets something happen to workers that a new move concerns."""
        for task, worker in self._moving_tasks():
            if task in self._seen_moves:
                continue
            self._seen_moves.add(task)
            if self.rng.random() < 0.2:
                self._restart_target(worker)
            elif self.rng.random() < 0.8:
                self._restart_others(task)

    def _restart_others(self, task: model.TaskId) -> None:
        """Ends the runs of a moving task's step on slow disks.

        Commits take so long that the other tasks are planned while the task
        stops, or that the move is given up while its assignment is committed.
        """
        now = self.simulation.now
        commit_s = self.rng.uniform(0.2, 2.2)
        slow_down_disks(self, commit_s)
        latest = max(0.0, serving_moves.MOVE_TIMEOUT_S - commit_s)
        due = now + self.rng.choice((0.0, latest, latest + 0.3))
        self._planned.append((due, lambda: self._restart_workers_of_step(task)))

    def _moving_tasks(self) -> list[tuple[model.TaskId, model.WorkerId]]:
        return [
            moving
            for host in self.simulation.hosts
            if host.controller is not None and host.controller.is_active_leader
            for moving in host.controller.dispatcher.planner.moving_tasks()
        ]

    def _restart_target(self, name: model.WorkerId) -> None:
        for worker in list(self.simulation.workers):
            if worker.worker == name:
                service, labels = self.rng.choice(
                    (
                        (worker.service, ()),
                        (OTHER_SERVICE, (LABEL,)),
                        (worker.service, worker.labels),
                    )
                )
                self.restart_worker(worker, service, labels)

    def _restart_workers_of_step(self, task: model.TaskId) -> None:
        """Restarts the workers that run the other tasks of a task's step."""
        step, _, _ = task.rpartition(".")
        for worker in list(self.simulation.workers):
            if task not in worker.runs and any(
                other.startswith(f"{step}.") for other in worker.runs
            ):
                self.restart_worker(worker, worker.service, worker.labels)

    def pick_worker(self) -> simulated_processes.Worker:
        """Returns a random worker, which may be down."""
        return self.rng.choice(self.simulation.workers)

    def restart_worker(
        self,
        worker: simulated_processes.Worker,
        service: model.ServiceName,
        labels: tuple[str, ...],
    ) -> None:
        """Ends a worker's process, if it runs, and starts it under its id."""
        self.simulation.kill_worker(worker)
        worker.service = service
        worker.labels = labels
        self.simulation.revive_worker(worker)

    def _end_faults(self) -> None:
        """Makes disks fast and workers fit for all jobs; ends serving jobs."""
        simulation = self.simulation
        simulation.loss = 0.0
        for host in simulation.hosts:
            host.sync_s = simulated_processes.SYNC_S
        simulation.end_partitions()
        for worker, service in zip(
            list(simulation.workers), SERVICES, strict=True
        ):
            if worker.alive and worker.service == service and worker.labels:
                worker.draining = False
                continue
            self.restart_worker(worker, service, (LABEL,))
        # A request may be sent to a keeper that doesn't lead.
        for _ in range(CANCELLING_ATTEMPTS):
            simulation.run_until(simulation.now + 1.0)
            for job, spec in simulation.spec_by_job.items():
                is_answered = job in simulation.cancelling_answered_at
                if spec.is_long_running and not is_answered:
                    simulation.send_cancelling(job)


def run_limited_steps(
    seed: int, steps: int = 80
) -> cluster_simulation.ClusterSimulation:
    """Runs a history of tasks that may not run on every worker.

    Raises:
        InvariantViolationError: An invariant does not hold.
    """
    history = LimitHistory(seed, EVENTS)
    history.run(steps)
    return history.simulation


def run_limited_gangs(
    seed: int, steps: int = 80
) -> cluster_simulation.ClusterSimulation:
    """Runs such a history with gangs of tasks and more leaders that crash.

    Raises:
        InvariantViolationError: An invariant does not hold.
    """
    events = [*EVENTS, *[submit_limited_gang] * 4, *[crash_leader] * 2]
    history = LimitHistory(seed, events)
    history.run(steps)
    return history.simulation


def run_late_successes(
    seed: int, steps: int = 40
) -> cluster_simulation.ClusterSimulation:
    """Runs a history of runs that succeed while they are started elsewhere.

    Raises:
        InvariantViolationError: An invariant does not hold.
    """
    events = [submit_wide_job] * 2 + [cut_worker_off_for_a_lease]
    history = LimitHistory(seed, events)
    history.run(steps)
    return history.simulation


# Jobs.


@_event(4)
def submit_limited_job(history: LimitHistory) -> None:
    rng = history.rng
    limit = rng.choice((1, 1, 2))
    steps = [
        model.StepSpec(
            rng.choice((2, 3, 6)),
            rng.choice((TASK_NEEDS, LARGE_TASK_NEEDS)),
            300,
            max_per_worker=limit,
            required_label=rng.choice(("", LABEL)),
        )
    ]
    if rng.random() < 0.3:
        steps.append(
            model.StepSpec(2, TASK_NEEDS, 300, after=(0,), max_per_worker=1)
        )
    history.simulation.submit_steps(rng.choice(QUEUES), steps)


def submit_wide_job(history: LimitHistory) -> None:
    """Submits a step with more tasks than workers on which they may run."""
    step = model.StepSpec(10, TASK_NEEDS, 300, max_per_worker=1)
    history.simulation.submit_steps(history.rng.choice(QUEUES), [step])


def submit_limited_gang(history: LimitHistory) -> None:
    step = model.StepSpec(
        history.rng.choice((2, 3)),
        TASK_NEEDS,
        300,
        gang=True,
        max_per_worker=history.rng.choice((1, 2)),
        required_label=history.rng.choice(("", LABEL)),
    )
    history.simulation.submit_steps(history.rng.choice(QUEUES), [step])


@_event(2)
def submit_filling_job(history: LimitHistory) -> None:
    step = model.StepSpec(
        2,
        LARGE_TASK_NEEDS,
        300,
        max_per_worker=history.rng.choice((0, 1)),
        required_label=history.rng.choice(("", LABEL)),
        image=history.rng.choice(("f", "g")),
        fills=True,
    )
    history.simulation.submit_steps(history.rng.choice(QUEUES), [step])


@_event(5)
def submit_serving_job(history: LimitHistory) -> None:
    rng = history.rng
    if len(history.serving_jobs) >= MAX_SERVING_JOBS:
        cancel_serving_job(history)
    step = model.StepSpec(
        rng.choice((1, 2, 2, 3)),
        TASK_NEEDS,
        max_per_worker=1,
        required_label=rng.choice(("", LABEL)),
        runs_until_cancelled=True,
        image=rng.choice(("a", "b")),
        tail_target_ms=150,
    )
    # Most of them in the service with more workers, among which they may move.
    queue = rng.choice((*QUEUES, QUEUES[0]))
    history.serving_jobs.append(history.simulation.submit_steps(queue, [step]))


@_event(1)
def cancel_serving_job(history: LimitHistory) -> None:
    if history.serving_jobs:
        job = history.rng.choice(history.serving_jobs)
        history.serving_jobs.remove(job)
        history.simulation.send_cancelling(job)


@_event(1)
def cancel_any_job(history: LimitHistory) -> None:
    history.simulation.cancel_job()


# Workers.


@_event(2)
def crash_worker(history: LimitHistory) -> None:
    history.simulation.kill_worker(history.pick_worker())


@_event(3)
def revive_workers(history: LimitHistory) -> None:
    for worker in list(history.simulation.workers):
        history.simulation.revive_worker(worker)


@_event(3)
def restart_as_another_kind(history: LimitHistory) -> None:
    """Restarts a worker with or without the label, or in the other service."""
    service = history.rng.choice(SERVICES)
    labels = history.rng.choice(((), (LABEL,), (LABEL,)))
    history.restart_worker(history.pick_worker(), service, labels)


@_event(1)
def drain_worker(history: LimitHistory) -> None:
    worker = history.pick_worker()
    worker.draining = not worker.draining


@_event(1)
def leave(history: LimitHistory) -> None:
    """A worker stops all runs and says so, perhaps late."""
    worker = history.pick_worker()
    if not worker.alive:
        return
    history.simulation.kill_worker(worker)
    delay_s = history.rng.choice((0.0, 0.0, 0.5, 3.0))
    names_incarnation = history.rng.random() < 0.7
    if not names_incarnation:
        # It may arrive after the worker has restarted.
        history.simulation.disown(worker.worker, delay_s)
    history.simulation.send_leave(worker, delay_s, names_incarnation)


@_event(1)
def say_left(history: LimitHistory) -> None:
    """Another process says, wrongly, that a worker has left.

    It can't be heard for so long that it is taken to be gone.
    """
    worker = history.pick_worker()
    worker.cut_off = True
    history.simulation.disown(worker.worker, 0.0)
    history.simulation.send_leave(worker, 0.0, names_incarnation=False)
    history.simulation.call_later(
        history.rng.uniform(*WRONG_LEAVE_SILENCE_S),
        lambda: setattr(worker, "cut_off", False),
    )


@_event(1)
def cut_worker_off(history: LimitHistory) -> None:
    worker = history.pick_worker()
    worker.cut_off = not worker.cut_off


def cut_worker_off_for_a_lease(history: LimitHistory) -> None:
    """Lets a worker's runs end while they are started elsewhere.

    Its successes make the later runs unwanted.
    """
    worker = history.pick_worker()
    worker.cut_off = True
    history.simulation.call_later(
        simulated_keepers.LEASE_S + history.rng.uniform(*LEASE_OVERRUN_S),
        lambda: setattr(worker, "cut_off", False),
    )


# Keepers.


@_event(3)
def vary_disks(history: LimitHistory) -> None:
    slow_down_disks(history, history.rng.choice((0.03, 0.1, 0.5, 3.5)))


def slow_down_disks(history: LimitHistory, sync_s: float) -> None:
    """Makes syncs take about as long as given, on all hosts but one.

    That one is not the leader's. Its answers confirm the leadership, so that
    workers are answered while commits wait for a second disk.
    """
    simulation, rng = history.simulation, history.rng
    others = [
        host
        for host in simulation.hosts
        if host.controller is None or not host.controller.is_active_leader
    ]
    fast = rng.choice(others)
    for host in simulation.hosts:
        host.sync_s = simulated_processes.SYNC_S
        if host is not fast:
            host.sync_s = sync_s * rng.uniform(0.8, 1.2)


@_event(1)
def speed_disks_up(history: LimitHistory) -> None:
    for host in history.simulation.hosts:
        host.sync_s = simulated_processes.SYNC_S


@_event(1)
def inject_keeper_fault(history: LimitHistory) -> None:
    cluster_scenarios.inject_keeper_fault(history.simulation, history.rng)


def crash_leader(history: LimitHistory) -> None:
    cluster_scenarios.crash_leader(history.simulation)


@_event(2)
def end_keeper_faults(history: LimitHistory) -> None:
    history.simulation.end_partitions()


@_event(1)
def change_loss(history: LimitHistory) -> None:
    history.simulation.loss = history.rng.choice((0.0, 0.0, 0.05, 0.15))
