"""Histories of queues that change while jobs of them wait and run.

Queues are sent to another service, moved, renamed, removed and added again, one change
a version. The path of one begins with that of another. In the end all are sent to one
service, and the workers of the other one are gone. The first log may hold a job whose
name is no ID. IDs of jobs are used
in other queues too.
"""

import dataclasses
import random

import msgspec

from features.support import cluster_scenarios
from features.support import cluster_simulation
from features.support import simulated_processes
from features.support import worker_limits
from fulmarrouter import commands
from fulmarrouter.cluster import log_commands
from fulmarrouter.cluster import model
from fulmarrouter.cluster import requests

SERVICES = (simulated_processes.DEFAULT_SERVICE, model.ServiceName("t"))
LAST_SERVICE = SERVICES[1]
WORKERS_PER_SERVICE = 3
PREFIXES = ("/q/", "/q/n.1/", "/m")
STORED_JOBS = ("n.1/00000000000000ff", "..", "a.0.0.0")
NEEDS = commands.Resources(1000, 100, 0)
ACKNOWLEDGED_S = 20.0
EXTRA_TIME_S = 60.0


@dataclasses.dataclass
class _Queue:
    """A queue with its changes.

    Attributes:
        definition: The newest definition, or the last one if it is removed.
        jobs: Jobs that have been submitted to it.
        lasting_jobs: Those that run until they are cancelled.
    """

    definition: model.Queue
    is_removed: bool = False
    jobs: list[model.JobId] = dataclasses.field(default_factory=list)
    lasting_jobs: list[model.JobId] = dataclasses.field(default_factory=list)


class QueueHistory:
    """A simulation and the queues of its operator.

    Args:
        seed: Seed of all that is random.
    """

    def __init__(self, seed: int) -> None:
        workers = [
            simulated_processes.Worker(
                model.WorkerId(f"{service}{number}"), service=service
            )
            for service in SERVICES
            for number in range(WORKERS_PER_SERVICE)
        ]
        # Independent of the simulation's generator.
        self.rng = random.Random(seed * 7919 + 12)
        self._queues = [
            _Queue(
                model.Queue(
                    model.QueueName(f"q{number}"),
                    "host",
                    prefix,
                    self.rng.choice(SERVICES),
                    3000,
                    0,
                    3,
                )
            )
            for number, prefix in enumerate(PREFIXES)
        ]
        stored = []
        if self.rng.random() < 0.5:
            spec = model.JobSpec("payload", (model.StepSpec(2, NEEDS, 300),))
            job = model.JobId(self.rng.choice(STORED_JOBS))
            queue = self._queues[0].definition
            stored.append(log_commands.SubmitJob(job, queue, spec, 0))
        self.simulation = cluster_simulation.ClusterSimulation(
            seed, workers, stored_commands=stored
        )
        self._version = 0

    def run(self, steps: int) -> None:
        """Runs random events, then ends all faults and checks the recovery."""
        simulation = self.simulation
        simulation.run_until(6.0)
        self._replace()
        for _ in range(steps):
            worker = self.rng.choice(simulation.workers)
            match self.rng.randrange(14):
                case 0 | 1 | 2 | 3 | 4:
                    self._submit(self.rng.choice(self._queues))
                case 5 | 6 | 7 | 8:
                    self._change(self.rng.choice(self._queues))
                case 9:
                    simulation.show_job()
                    self._reuse_id()
                case 10:
                    simulation.kill_worker(worker)
                case 11:
                    simulation.revive_worker(worker)
                case 12:
                    cluster_scenarios.crash_leader(simulation)
                case 13:
                    cluster_scenarios.inject_keeper_fault(simulation, self.rng)
            simulation.run_until(
                simulation.now + self.rng.choice((0.05, 0.2, 0.6))
            )
        self._recover()

    def _submit(self, queue: _Queue) -> None:
        """Submits a job, also to a queue that has been removed."""
        step = model.StepSpec(
            self.rng.choice((1, 2, 4)),
            NEEDS,
            300,
            gang=self.rng.random() < 0.2,
            runs_until_cancelled=self.rng.random() < 0.15,
        )
        job = self.simulation.submit_steps(queue.definition, (step,))
        queue.jobs.append(job)
        if step.runs_until_cancelled:
            queue.lasting_jobs.append(job)

    def _reuse_id(self) -> None:
        """Submits and cancels in a queue under the ID of another one's job."""
        queue, other = self.rng.sample(self._queues, 2)
        jobs = [
            job for job in queue.jobs if job in self.simulation.accepted_jobs
        ]
        if not jobs:
            return
        path = f"{other.definition.path_prefix}{self.rng.choice(jobs)}"
        spec = model.JobSpec("other", (model.StepSpec(1, NEEDS, 300),))
        for request in (
            requests.SubmitJob("host", path, spec),
            requests.CancelJob("host", path),
        ):
            self.simulation.send_request(
                self.simulation.pick_host(), request, _check_refused
            )

    def _change(self, queue: _Queue) -> None:
        definition = queue.definition
        change: dict[str, str] = {}
        # What changes while a queue is removed isn't known to anyone else.
        match 5 if queue.is_removed else self.rng.randrange(6):
            case 0 | 1 | 2:
                change = {"service": self.rng.choice(SERVICES)}
            case 3:
                change = {"name": f"{definition.name}r"}
            case 4:
                prefix = definition.path_prefix
                change = {"path_prefix": f"/{self._version}{prefix}"}
            case 5:
                queue.is_removed = not queue.is_removed
        queue.definition = msgspec.structs.replace(definition, **change)
        self._replace()

    def _replace(self) -> None:
        """Sends the next version until it is acknowledged."""
        simulation = self.simulation
        self._version += 1
        queues = tuple(
            queue.definition for queue in self._queues if not queue.is_removed
        )
        for queue in self._queues:
            for job in queue.jobs:
                simulation.services_by_job[job].add(queue.definition.service)
        until = simulation.now + ACKNOWLEDGED_S
        while simulation.acknowledged_version < self._version:
            if simulation.now > until:
                raise worker_limits.InvariantViolationError(
                    f"version {self._version} is not acknowledged"
                )
            simulation.replace_configuration(self._version, queues)
            simulation.run_until(simulation.now + 0.3)

    def _recover(self) -> None:
        simulation = self.simulation
        simulation.end_partitions()
        for queue in self._queues:
            queue.is_removed = False
            queue.definition = msgspec.structs.replace(
                queue.definition, service=LAST_SERVICE
            )
            for job in queue.jobs:
                simulation.queue_by_job[job] = queue.definition
        self._replace()
        for worker in list(simulation.workers):
            if worker.service != LAST_SERVICE:
                simulation.kill_worker(worker)
                simulation.workers.remove(worker)
        for _ in range(15):
            for queue in self._queues:
                for job in queue.lasting_jobs:
                    simulation.send_cancelling(job)
            simulation.run_until(simulation.now + 0.5)
        simulation.quiesce(EXTRA_TIME_S)


def _check_refused(reply: requests.AnyReply) -> None:
    if isinstance(reply, requests.Accepted):
        raise worker_limits.InvariantViolationError(
            "a request in one queue took effect on a job of another one"
        )


def run_queue_definitions(
    seed: int, steps: int = 50
) -> cluster_simulation.ClusterSimulation:
    """Runs a history of queues that change while jobs of them wait and run.

    Raises:
        InvariantViolationError: An invariant does not hold.
    """
    history = QueueHistory(seed)
    history.run(steps)
    return history.simulation
