"""A simulation of the cluster's controllers, workers and callers.

The controllers are the production code; network, disks and time are simulated.
Keepers may crash, lose their disks, be cut off and be frozen; workers may die,
come back under their id and be cut off; messages may be lost, duplicated and
delayed. Invariants are checked from what workers run and what callers are told,
not from the keepers' state.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
import math

from features.support import end_checks
from features.support import recovery_checks
from features.support import simulated_keepers
from features.support import simulated_processes
from features.support import worker_limits
from fulmarrouter import codes
from fulmarrouter import commands
from fulmarrouter.cluster import log_commands
from fulmarrouter.cluster import model
from fulmarrouter.cluster import requests

# How long a worker waits for a reply before it reports to another host.
WORKER_TIMEOUT_S = 1.0
QUEUE = model.Queue(
    model.QueueName("q"),
    "host",
    "/q/",
    simulated_processes.DEFAULT_SERVICE,
    3000,
    0,
    3,
)
# Tail latency that serving tasks report.
SERVING_LATENCY_MS = 50

# A task of a cancelled job may start for this long after the answer, by orders that
# were on their way.
CANCELLING_S = 1.0
# Time for which a request may be on its way.
REQUEST_S = 1.0

InvariantViolationError = worker_limits.InvariantViolationError


class ClusterSimulation(simulated_keepers.KeeperSimulation):
    """The simulated keepers, callers and workers, and what they have seen.

    Args:
        seed: Seed of all that is random.
        workers: The workers; four alike by default.
        effects: Interference effects that the keepers know from the start.
        lease_s: How long workers may run tasks without a renewed lease.
        stored_commands: Commands that the keepers have applied at the start.

    Attributes:
        failure_share: Share of the runs that fail.
        max_listed_ends: Most ends that a report lists.
        max_stop_s: Longest time that a run goes on after an order to stop it.
        run_durations_s: Durations from which that of each run is drawn.
        accepted_jobs: Jobs whose submission was accepted.
        refused_jobs: Jobs of which each submission was refused.
        cancelling_answered_at: When a cancelling was first answered.
        jobs_shown_done: Jobs that a caller was shown as done.
        ends: The ends of runs on the workers.
        newest_version_read: Newest configuration version that was read.
        acknowledged_version: Newest configuration version that was accepted.
        start_count: How many tasks have been started.
    """

    def __init__(
        self,
        seed: int,
        workers: Sequence[simulated_processes.Worker] = (),
        effects: Iterable[log_commands.InterferenceEffect] = (),
        lease_s: float = simulated_keepers.LEASE_S,
        stored_commands: Iterable[log_commands.AnyCommand] = (),
    ) -> None:
        super().__init__(seed, effects, lease_s, stored_commands)
        self.workers = list(workers) or [
            simulated_processes.Worker(model.WorkerId(f"w{n}"))
            for n in range(4)
        ]
        self.failure_share = 0.1
        self.max_listed_ends = 500
        self.max_stop_s = 0.0
        self.run_durations_s: tuple[float, ...] = (0.1, 0.4, 1.0, 2.5)
        self.accepted_jobs: set[model.JobId] = set()
        self.refused_jobs: set[model.JobId] = set()
        self.cancelled_jobs: set[model.JobId] = set()
        self.cancelling_answered_at: dict[model.JobId, float] = {}
        self.jobs_shown_done: set[model.JobId] = set()
        self.ends = end_checks.EndChecks()
        self.spec_by_job: dict[model.JobId, model.JobSpec] = {}
        self.queue_by_job: dict[model.JobId, model.Queue] = {}
        self.services_by_job: dict[model.JobId, set[model.ServiceName]] = {}
        self.newest_version_read = 0
        self.acknowledged_version = 0
        self.start_count = 0
        self._job_count = 0

    # Callers and operators.

    def replace_configuration(
        self, version: int, queues: tuple[model.Queue, ...] = (QUEUE,)
    ) -> None:
        """Sends an operator's new configuration to some host."""
        configuration = model.Configuration(
            version, f"d{version}", str(version).encode(), queues, ()
        )

        def on_reply(reply: requests.AnyReply) -> None:
            if isinstance(reply, requests.Accepted):
                self.acknowledged_version = max(
                    self.acknowledged_version, version
                )

        self.send_request(
            self.pick_host(),
            requests.ReplaceConfiguration(configuration),
            on_reply,
        )

    def read_configuration(
        self, host: simulated_processes.Host | None = None
    ) -> None:
        """Reads the configuration from a host.

        The version read must not be older than the newest one accepted before
        the request was sent.
        """
        expected = self.acknowledged_version

        def on_reply(reply: requests.AnyReply) -> None:
            if isinstance(reply, requests.ConfigurationView):
                version = int(reply.document)
                if version < expected:
                    raise InvariantViolationError(
                        f"configuration {version} was read after {expected}"
                        " had been accepted"
                    )
                self.newest_version_read = max(
                    self.newest_version_read, version
                )

        self.send_request(
            host or self.pick_host(),
            requests.ReadConfiguration(),
            on_reply,
        )

    def submit_job(self, required_label: str = "") -> None:
        """Submits a new job of one or two steps, sometimes twice."""
        self._send_submissions(self._new_job(required_label), 0.0)

    def submit_steps(
        self, queue: model.Queue, steps: Sequence[model.StepSpec]
    ) -> model.JobId:
        """Submits a new job of the given steps, sometimes twice."""
        job = self._add_job(queue, steps)
        self._send_submissions(job, 0.0)
        return job

    def submit_cancelled_job(self, delay_s: float) -> None:
        """Cancels a new job, and submits it after a delay."""
        job = self._new_job()
        self.send_cancelling(job)
        self._send_submissions(job, delay_s)

    def _add_job(
        self, queue: model.Queue, steps: Sequence[model.StepSpec]
    ) -> model.JobId:
        self._job_count += 1
        job = model.JobId(f"{self._job_count:016x}")
        self.spec_by_job[job] = model.JobSpec("payload", tuple(steps))
        self.queue_by_job[job] = queue
        self.services_by_job[job] = {queue.service}
        return job

    def _path(self, job: model.JobId) -> str:
        return f"{self.queue_by_job[job].path_prefix}{job}"

    def _new_job(self, required_label: str = "") -> model.JobId:
        needs = commands.Resources(1000, 100, 0)
        gang = self._rng.random() < 0.2
        steps = [
            model.StepSpec(
                2, needs, 300, gang=gang, required_label=required_label
            )
        ]
        if self._rng.random() < 0.5:
            steps.append(model.StepSpec(2, needs, 300, after=(0,)))
        return self._add_job(QUEUE, steps)

    def _send_submissions(self, job: model.JobId, delay_s: float) -> None:
        unanswered = self._rng.choice((1, 2))

        def on_reply(reply: requests.AnyReply) -> None:
            nonlocal unanswered
            if isinstance(reply, requests.Accepted):
                self.accepted_jobs.add(job)
            elif (
                isinstance(reply, requests.Refused)
                and reply.code is not codes.Code.PROPOSAL_UNKNOWN
            ):
                unanswered -= 1
            if unanswered == 0:
                self.refused_jobs.add(job)

        request = requests.SubmitJob(
            "host", self._path(job), self.spec_by_job[job]
        )

        def send() -> None:
            self.send_request(self.pick_host(), request, on_reply)

        for _ in range(unanswered):
            if delay_s:
                self.call_later(delay_s, send)
            else:
                send()

    def cancel_job(self) -> None:
        """Cancels a random accepted job."""
        if self.accepted_jobs:
            self.send_cancelling(self._rng.choice(sorted(self.accepted_jobs)))

    def send_cancelling(self, job: model.JobId) -> None:
        """Cancels a job."""
        self.cancelled_jobs.add(job)

        def on_reply(reply: requests.AnyReply) -> None:
            is_unknown = (
                isinstance(reply, requests.Refused)
                and reply.code is codes.Code.NO_SUCH_JOB
            )
            if is_unknown or isinstance(reply, requests.Accepted):
                self.cancelling_answered_at.setdefault(job, self.now)

        self.send_request(
            self.pick_host(),
            requests.CancelJob("host", self._path(job)),
            on_reply,
        )

    def show_job(self) -> None:
        """Asks for the state of a random accepted job, which must be known."""
        if not self.accepted_jobs:
            return
        job = self._rng.choice(sorted(self.accepted_jobs))

        def on_reply(reply: requests.AnyReply) -> None:
            if isinstance(reply, requests.Refused):
                if reply.code.name == "NO_SUCH_JOB":
                    raise InvariantViolationError(
                        f"accepted job {job} is not known"
                    )
                return
            assert isinstance(reply, requests.JobView)
            if reply.phase is model.JobPhase.DONE:
                self.jobs_shown_done.add(job)

        self.send_request(
            self.pick_host(),
            requests.ShowTarget("host", self._path(job)),
            on_reply,
        )

    # Workers.

    def _step_workers(self) -> None:
        for worker in self.workers:
            self._step_worker(worker)
        self._check_limits()

    def kill_worker(self, worker: simulated_processes.Worker) -> None:
        """Ends a worker's process and all its tasks."""
        worker.alive = False
        worker.runs = {}

    def revive_worker(self, worker: simulated_processes.Worker) -> None:
        """Restarts a worker that was killed, under its id."""
        if worker.alive:
            return
        self.workers[self.workers.index(worker)] = simulated_processes.Worker(
            worker.worker,
            worker.incarnation + 1,
            next_report_at=self.now,
            target_host=worker.target_host,
            service=worker.service,
            labels=worker.labels,
            capacity=worker.capacity,
            disowned_until=worker.disowned_until,
            started_at=self.now,
        )

    def send_leave(
        self,
        worker: simulated_processes.Worker,
        delay_s: float,
        names_incarnation: bool,
        on_reply: Callable[[requests.AnyReply], None] = lambda reply: None,
    ) -> None:
        """Sends, after a delay, that a worker leaves."""
        incarnation = worker.incarnation if names_incarnation else 0
        request = requests.WorkerLeft(worker.worker, incarnation)
        self.call_later(
            delay_s,
            lambda: self.send_request(self.pick_host(), request, on_reply),
        )

    def disown(self, name: model.WorkerId, delay_s: float) -> None:
        """Marks a worker as said to have left after a delay, though it has not.

        Its runs are ended in the keepers' state, although they go on.
        """

        def mark() -> None:
            for worker in self.workers:
                if worker.worker == name:
                    worker.disowned_until = self.now + REQUEST_S
                    for run in worker.runs.values():
                        run.is_disowned = True

        self.call_later(delay_s, mark)

    def _step_worker(self, worker: simulated_processes.Worker) -> None:
        if not worker.alive:
            return
        # A worker ends its tasks by itself when its lease has expired.
        if self.now >= worker.lease_until:
            worker.lease_expired_at = self.now
            for task in list(worker.runs):
                self._end_run(worker, task, model.Outcome.LOST)
        for task, run in list(worker.runs.items()):
            if self.now >= run.stops_at:
                self._end_run(worker, task, model.Outcome.STOPPED)
            elif self.now >= run.ends_at:
                outcome = model.Outcome.DONE
                if run.fails:
                    outcome = model.Outcome.FAILED
                self._end_run(worker, task, outcome)
        is_late = worker.awaiting_reply_since is not None and (
            self.now - worker.awaiting_reply_since > WORKER_TIMEOUT_S
        )
        if is_late:
            worker.awaiting_reply_since = None
            worker.target_host = self._rng.randrange(len(self.hosts))
            worker.next_report_at = self.now
        if (
            worker.awaiting_reply_since is None
            and self.now >= worker.next_report_at
        ):
            self._send_report(worker)

    def _end_run(
        self,
        worker: simulated_processes.Worker,
        task: model.TaskId,
        outcome: model.Outcome,
    ) -> None:
        run = worker.runs.pop(task)
        worker.end_count += 1
        end = requests.EndedRun(worker.end_count, task, run.run, outcome, "")
        worker.ended.append(end)
        self.ends.on_ended(self.now, worker, end)
        worker.next_report_at = min(worker.next_report_at, self.now + 0.05)

    def _send_report(self, worker: simulated_processes.Worker) -> None:
        worker.sequence += 1
        sent_at = self.now
        worker.awaiting_reply_since = sent_at
        sequence = worker.sequence
        report = requests.WorkerReport(
            worker.worker,
            worker.incarnation,
            worker.sequence,
            worker.service,
            "",
            "zone",
            worker.worker,
            "rack",
            worker.labels,
            worker.capacity,
            worker.draining,
            max(0, round(1000 * (worker.leaves_at - self.now))),
            tuple(
                self._active_run(task, run) for task, run in worker.runs.items()
            ),
            tuple(worker.ended[: self.max_listed_ends]),
            clock_ms=round(1000 * (self.now - worker.started_at)),
            has_more_ends=len(worker.ended) >= self.max_listed_ends,
        )

        def on_reply(reply: requests.AnyReply) -> None:
            is_current = (
                worker.alive
                and not worker.cut_off
                and worker.awaiting_reply_since == sent_at
                and worker.sequence == sequence
            )
            if not is_current:
                if not worker.alive and isinstance(reply, requests.Orders):
                    self.ends.on_answer(self.now, worker, reply)
                return
            worker.awaiting_reply_since = None
            if isinstance(reply, requests.Orders):
                self._apply_orders(worker, reply, sent_at)
                return
            leader = getattr(reply, "leader", "")
            worker.target_host = self._rng.randrange(len(self.hosts))
            if leader:
                worker.target_host = int(leader.split(":")[0].split(".")[3]) - 1
            worker.next_report_at = self.now + 0.1

        self._transmit_report(worker, report, on_reply)

    def _transmit_report(
        self,
        worker: simulated_processes.Worker,
        report: requests.WorkerReport,
        on_reply: Callable[[requests.AnyReply], None],
    ) -> None:
        if not worker.cut_off:
            self.send_request(self.hosts[worker.target_host], report, on_reply)

    def _active_run(
        self, task: model.TaskId, run: simulated_processes.Run
    ) -> requests.ActiveRun:
        if self._spec_of(task).runs_until_cancelled:
            return requests.ActiveRun(
                task, run.run, "", 100, SERVING_LATENCY_MS
            )
        return requests.ActiveRun(task, run.run, "", 10)

    def _spec_of(self, task: model.TaskId) -> model.StepSpec:
        parts = model.parse_task_id(task)
        assert parts is not None
        job, _, step, _ = parts
        return self.spec_by_job[job].steps[step]

    def _apply_orders(
        self,
        worker: simulated_processes.Worker,
        orders: requests.Orders,
        sent_at: float,
    ) -> None:
        worker.next_report_at = self.now + max(50, orders.next_report_ms) / 1000
        if not orders.lease_ms or orders.leader_term < worker.highest_token:
            return
        worker.highest_token = orders.leader_term
        worker.lease_until = max(
            worker.lease_until, sent_at + orders.lease_ms / 1000
        )
        self.ends.on_answer(self.now, worker, orders)
        for stop in orders.stops:
            run = worker.runs.get(stop.task)
            if run is not None and run.run == stop.run:
                self._stop_run(worker, stop.task, run)
            worker.highest_run_by_task[stop.task] = max(
                worker.highest_run_by_task.get(stop.task, 0), stop.run
            )
        for start in orders.starts:
            if start.run <= worker.highest_run_by_task.get(start.task, 0):
                continue
            known = worker.runs.get(start.task)
            if known is not None and known.is_disowned:
                # Starts once the earlier run has stopped.
                continue
            worker.highest_run_by_task[start.task] = start.run
            self._start_run(worker, start)

    def _stop_run(
        self,
        worker: simulated_processes.Worker,
        task: model.TaskId,
        run: simulated_processes.Run,
    ) -> None:
        """Ends a run now, or later if runs take time to stop."""
        if not self.max_stop_s:
            self._end_run(worker, task, model.Outcome.STOPPED)
        elif run.stops_at == math.inf:
            run.stops_at = self.now + self._rng.uniform(0.0, self.max_stop_s)

    # Invariants.

    def _start_run(
        self, worker: simulated_processes.Worker, start: requests.StartOrder
    ) -> None:
        self.start_count += 1
        is_disowned = self.now < worker.disowned_until
        for other in self.workers:
            known = other.runs.get(start.task) if other.alive else None
            if known and not (is_disowned or known.is_disowned):
                raise InvariantViolationError(
                    f"{start.task} runs in two places"
                )
        parts = model.parse_task_id(start.task)
        assert parts is not None
        job, _, step, _ = parts
        if job in self.refused_jobs:
            raise InvariantViolationError(
                f"{start.task} started although its job was refused"
            )
        answered_at = self.cancelling_answered_at.get(job, float("inf"))
        if self.now > answered_at + CANCELLING_S:
            raise InvariantViolationError(
                f"{start.task} started although its job was cancelled"
            )
        self.ends.on_started(self.now, start.task)
        if job in self.jobs_shown_done:
            raise InvariantViolationError(
                f"{start.task} started after its job was shown as done"
            )
        if (
            self.ends.acknowledged_failures_by_task.get(start.task, 0)
            >= QUEUE.max_attempts
        ):
            raise InvariantViolationError(
                f"{start.task} started after its last attempt had failed"
            )
        spec = self.spec_by_job[job]
        for earlier in spec.steps[step].after:
            for index in range(spec.steps[earlier].count):
                name = model.format_task_id(job, 0, earlier, index)
                if (
                    name not in self.ends.tasks_ended_done
                    and not spec.steps[earlier].gang
                ):
                    raise InvariantViolationError(
                        f"{start.task} started before {name} had succeeded"
                    )
        ends_at = self.now + self._rng.choice(self.run_durations_s)
        if spec.steps[step].runs_until_cancelled:
            ends_at = math.inf
        worker.runs[start.task] = simulated_processes.Run(
            start.run,
            ends_at,
            self._rng.random() < self.failure_share,
            is_disowned=is_disowned,
        )
        self._check_worker(worker)

    def _check_limits(self) -> None:
        for worker in self.workers:
            if worker.alive and worker.runs:
                self._check_worker(worker)

    def _check_worker(self, worker: simulated_processes.Worker) -> None:
        worker_limits.check_worker(
            worker, self.spec_by_job, self.services_by_job
        )

    def quiesce(self, seconds: float = 25.0) -> None:
        """Ends all faults and checks that the cluster recovers.

        After the given time there is one leader and three voters that all
        exist, every accepted job has ended and no acknowledged configuration is
        lost.
        """
        self.loss = 0.0
        for host in self.hosts:
            host.frozen_until = 0.0
        self.end_partitions()
        for worker in self.workers:
            worker.cut_off = False
        for worker in list(self.workers):
            self.revive_worker(worker)
        self.run_until(self.now + seconds)
        recovery_checks.check(
            self.hosts, self.accepted_jobs, self.acknowledged_version
        )
