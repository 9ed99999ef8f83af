"""Random histories over the cluster's controllers in simulated time.

Keepers crash, lose their disks, are cut off and frozen; workers die, come back
under their id and are cut off; messages are lost, doubled and late. What must
always hold is checked after every step, from what workers run and callers see.
"""

import dataclasses
import heapq
import itertools
import random
from typing import Any

from fulmarrouter import commands
from fulmarrouter import consensus
from fulmarrouter import ids
from fulmarrouter import messages
from fulmarrouter import raft_log
from fulmarrouter.cluster import controller as controller_lib
from fulmarrouter.cluster import dispatcher
from fulmarrouter.cluster import model
from fulmarrouter.cluster import requests
from fulmarrouter.cluster import state as state_lib

TICK_S = 0.02
SYNC_S = 0.01
LEASE_S = 3.0
WORKER_TIMEOUT_S = 1.0
QUEUE = model.Queue(
    model.QueueName("q"), "host", "/q/", model.ServiceName("s"), 3000, 0, 3
)
CONTROL_PORT = 8080


class ViolationError(AssertionError):
    """Something that must always hold did not."""


@dataclasses.dataclass
class _Disk:
    """What a keeper has synced."""

    keeper: str
    hard_state: consensus.HardState = consensus.HardState()
    snapshot: raft_log.SnapshotData = raft_log.SnapshotData()
    entries: list[messages.Entry] = dataclasses.field(default_factory=list)

    def store(self, output: consensus.Output) -> None:
        """Keeps a replica's output."""
        if output.hard_state is not None:
            self.hard_state = output.hard_state
        if output.installed is not None:
            self.snapshot = output.installed
            self.entries = []
        if output.entries:
            first = output.entries[0].index
            self.entries = [
                item for item in self.entries if item.index < first
            ] + list(output.entries)


class _Host:
    """A VM with a disk, and the keeper process on it while it runs."""

    def __init__(self, number: int) -> None:
        self.number = number
        self.disk = _Disk(f"k{number}-0")
        self.lives = 0
        self.controller: controller_lib.Controller | None = None
        self.cut_off = False
        self.isolated = False
        self.frozen_until = 0.0
        self.writing: list[tuple[float, consensus.Output, int, int]] = []

    @property
    def is_apart(self) -> bool:
        """Whether the other keepers can't be reached.

        An isolated host is still reached by workers and callers.
        """
        return self.cut_off or self.isolated

    @property
    def address(self) -> str:
        """Peer address of the host."""
        return f"10.0.0.{self.number}:7000"

    def member(self) -> commands.KeeperAddress:
        """The keeper as a member."""
        return commands.KeeperAddress(
            self.disk.keeper, f"10.0.0.{self.number}", 7000
        )


@dataclasses.dataclass
class _Run:
    run: int
    ends_at: float
    fails: bool


@dataclasses.dataclass
class _Worker:
    """A stand-in worker that follows the published contract."""

    worker: model.WorkerId
    incarnation: int = 1
    sequence: int = 0
    alive: bool = True
    cut_off: bool = False
    lease_until: float = 0.0
    fencing: int = 0
    runs: dict[model.TaskId, _Run] = dataclasses.field(default_factory=dict)
    ended: list[requests.EndedRun] = dataclasses.field(default_factory=list)
    ends: int = 0
    highest: dict[model.TaskId, int] = dataclasses.field(default_factory=dict)
    next_report: float = 0.0
    waiting_since: float | None = None
    target: int = 0


class History:
    """One random history."""

    def __init__(self, seed: int) -> None:
        self._rng = random.Random(seed)
        self.now = 0.0
        self._order = itertools.count()
        self._events: list[tuple[float, int, Any]] = []
        self.hosts = [_Host(number) for number in range(1, 5)]
        self.workers = [_Worker(model.WorkerId(f"w{n}")) for n in range(4)]
        self.loss = 0.0
        self.avoided: _Host | None = None
        self.accepted: set[model.JobId] = set()
        self.cancelled: set[model.JobId] = set()
        self.shown_done: set[model.JobId] = set()
        self.ended_done: set[model.TaskId] = set()
        self.noted_done: set[model.TaskId] = set()
        self.failures: dict[model.TaskId, int] = {}
        self.specs: dict[model.JobId, model.JobSpec] = {}
        self.version_read = 0
        self.version_acked = 0
        self.starts = 0
        self._jobs = 0
        self._calls = itertools.count(1)
        self._on_reply: dict[int, Any] = {}
        self._found()

    # Set-up.

    def _found(self) -> None:
        first = self.hosts[0]
        first.disk.snapshot = raft_log.SnapshotData(
            1,
            1,
            messages.Membership(voters=(first.member(),)),
            state_lib.State().encode(),
        )
        for host in self.hosts:
            self._start(host)

    def _start(self, host: _Host) -> None:
        saved = consensus.PersistentState(
            host.disk.hard_state,
            host.disk.snapshot,
            tuple(
                item
                for item in host.disk.entries
                if item.index > host.disk.snapshot.last_index
            ),
        )
        replica = consensus.Replica(
            host.disk.keeper,
            saved,
            consensus.Timing(),
            random.Random(self._rng.random()),
            self.now,
        )
        host.controller = controller_lib.Controller(
            replica,
            controller_lib.ControllerSettings(3, CONTROL_PORT),
            dispatcher.DispatchSettings(lease_s=LEASE_S),
        )
        host.writing = []

    def crash(self, host: _Host, wipe: bool) -> None:
        """Ends a keeper's process; what was not synced is lost."""
        host.controller = None
        host.writing = []
        if wipe:
            host.lives += 1
            host.disk = _Disk(f"k{host.number}-{host.lives}")

    def restart(self, host: _Host) -> None:
        """Starts a keeper's process over what its disk holds."""
        if host.controller is None:
            self._start(host)

    # Network.

    def _later(self, delay: float, action: Any) -> None:
        heapq.heappush(
            self._events, (self.now + delay, next(self._order), action)
        )

    def _deliver(self, source: _Host, target: _Host, action: Any) -> None:
        if self._rng.random() < self.loss:
            return
        copies = 2 if self._rng.random() < self.loss / 2 else 1
        for _ in range(copies):
            delay = self._rng.uniform(0.001, 0.005)
            if self._rng.random() < self.loss:
                delay += self._rng.uniform(0, 0.3)

            def arrive() -> None:
                if source.is_apart or target.is_apart:
                    return
                if target.controller is not None:
                    action(target)

            self._later(delay, arrive)

    def _host_of(self, keeper: str) -> _Host | None:
        for host in self.hosts:
            if host.disk.keeper == keeper:
                return host
        return None

    # Time.

    def run_until(self, end: float) -> None:
        """Lets time pass."""
        while self.now < end:
            self.now += TICK_S
            while self._events and self._events[0][0] <= self.now:
                heapq.heappop(self._events)[2]()
            for host in self.hosts:
                if host.controller and self.now >= host.frozen_until:
                    self._turn(host, host.controller)
            for worker in self.workers:
                self._work(worker)
            self._check()

    def _turn(self, host: _Host, controller: controller_lib.Controller) -> None:
        wall = int(self.now * 1000)
        self._announce(host, controller)
        controller.tick(self.now, wall)
        output = controller.replica.take_output()
        for outbound in output.before_sync:
            self._send(host, outbound)
        if output.needs_sync or output.after_sync:
            host.writing.append(
                (
                    self.now + SYNC_S,
                    output,
                    controller.replica.term,
                    controller.replica.log.last_index,
                )
            )
        durable: int | None = None
        while host.writing and host.writing[0][0] <= self.now:
            _, written, term, last_index = host.writing.pop(0)
            host.disk.store(written)
            for outbound in written.after_sync:
                self._send(host, outbound)
            if term == controller.replica.term:
                durable = last_index
        for answered in controller.apply_committed(self.now, wall, durable):
            self._answer(host, answered)

    def _announce(
        self, host: _Host, controller: controller_lib.Controller
    ) -> None:
        request = requests.Join(
            host.member(), "zone", controller.replica.is_blank, False
        )
        for other in self.hosts:
            if other is host or self._rng.random() > 0.1:
                continue

            def join(target: _Host) -> None:
                assert target.controller is not None
                if target.controller.is_active_leader:
                    client = controller_lib.Client(ids.ConnectionId(0), 0)  # type: ignore[arg-type]
                    target.controller.on_request(self.now, 0, client, request)

            self._deliver(host, other, join)

    def _send(self, host: _Host, outbound: consensus.Outbound) -> None:
        target = self._host_of(outbound.to)
        if target is None:
            return
        sender = host.disk.keeper

        def arrive(receiver: _Host) -> None:
            assert receiver.controller is not None
            if receiver.disk.keeper == outbound.to:
                receiver.controller.on_message(
                    self.now, sender, outbound.message
                )

        self._deliver(host, target, arrive)

    def _answer(self, host: _Host, answered: controller_lib.Answered) -> None:
        callback = self._on_reply.pop(int(answered.client.call), None)
        if callback is None or self._rng.random() < self.loss:
            return
        if not host.cut_off:
            self._later(0.002, lambda: callback(answered.reply))

    def ask(
        self, host: _Host, request: requests.AnyRequest, callback: Any
    ) -> None:
        """Sends a caller's, operator's or worker's request to a host."""
        if host.controller is None or host.cut_off:
            return
        call = next(self._calls)
        self._on_reply[call] = callback
        client = controller_lib.Client(ids.ConnectionId(1), ids.CallId(call))

        def arrive() -> None:
            if host.controller is not None and not host.cut_off:
                host.controller.on_request(
                    self.now, int(self.now * 1000), client, request
                )

        self._later(self._rng.uniform(0.001, 0.005), arrive)

    def _pick(self) -> _Host:
        """Most requests find their way to a host that believes to lead."""
        leading = [
            host
            for host in self.hosts
            if host.controller is not None
            and host.controller.is_active_leader
            and host is not self.avoided
        ]
        if leading and self._rng.random() < 0.9:
            return self._rng.choice(leading)
        return self._rng.choice(
            [host for host in self.hosts if host is not self.avoided]
        )

    # Callers and operators.

    def configure(self, version: int) -> None:
        """An operator sends a configuration to some host."""
        configuration = model.Configuration(
            version, f"d{version}", str(version).encode(), (QUEUE,), ()
        )

        def replied(reply: requests.AnyReply) -> None:
            if isinstance(reply, requests.Accepted):
                self.version_acked = max(self.version_acked, version)

        self.ask(
            self._pick(),
            requests.ReplaceConfiguration(configuration),
            replied,
        )

    def read(self, host: _Host | None = None) -> None:
        """An operator reads the configuration from a host."""
        expected = self.version_acked

        def replied(reply: requests.AnyReply) -> None:
            if isinstance(reply, requests.ConfigurationView):
                version = int(reply.document)
                if version < expected:
                    raise ViolationError(f"read {version} after {expected}")
                self.version_read = max(self.version_read, version)

        self.ask(
            host or self._pick(),
            requests.ReadConfiguration(),
            replied,
        )

    def submit(self) -> None:
        """A caller hands in a new job of one or two steps."""
        self._jobs += 1
        job = model.JobId(f"{self._jobs:016x}")
        needs = commands.Resources(1000, 100, 0)
        gang = self._rng.random() < 0.2
        steps = [model.StepSpec(2, needs, 300, gang=gang)]
        if self._rng.random() < 0.5:
            steps.append(model.StepSpec(2, needs, 300, after=(0,)))
        spec = model.JobSpec("payload", tuple(steps))
        self.specs[job] = spec

        def replied(reply: requests.AnyReply) -> None:
            if isinstance(reply, requests.Accepted):
                self.accepted.add(job)

        for _ in range(self._rng.choice((1, 2))):
            self.ask(
                self._pick(),
                requests.SubmitJob("host", f"/q/{job}", spec),
                replied,
            )

    def cancel(self) -> None:
        """A caller cancels an accepted job."""
        if not self.accepted:
            return
        job = self._rng.choice(sorted(self.accepted))
        self.cancelled.add(job)
        self.ask(
            self._pick(),
            requests.CancelJob("host", f"/q/{job}"),
            lambda reply: None,
        )

    def show(self) -> None:
        """A caller asks for the state of an accepted job."""
        if not self.accepted:
            return
        job = self._rng.choice(sorted(self.accepted))

        def replied(reply: requests.AnyReply) -> None:
            if isinstance(reply, requests.Refused):
                if reply.code.name == "NO_SUCH_JOB":
                    raise ViolationError(f"accepted job {job} is not known")
                return
            assert isinstance(reply, requests.JobView)
            if reply.phase is model.JobPhase.DONE:
                self.shown_done.add(job)

        self.ask(
            self._pick(),
            requests.ShowTarget("host", f"/q/{job}"),
            replied,
        )

    # Workers.

    def kill_worker(self, worker: _Worker) -> None:
        """Ends a worker; everything that it runs ends with it."""
        worker.alive = False
        worker.runs = {}

    def revive_worker(self, worker: _Worker) -> None:
        """Starts a worker again under its id."""
        if worker.alive:
            return
        self.workers[self.workers.index(worker)] = _Worker(
            worker.worker,
            worker.incarnation + 1,
            next_report=self.now,
            target=worker.target,
        )

    def _work(self, worker: _Worker) -> None:
        if not worker.alive:
            return
        if worker.runs and self.now >= worker.lease_until:
            for task in list(worker.runs):
                self._end(worker, task, model.Outcome.LOST)
        for task, run in list(worker.runs.items()):
            if self.now >= run.ends_at:
                outcome = model.Outcome.DONE
                if run.fails:
                    outcome = model.Outcome.FAILED
                self._end(worker, task, outcome)
        is_late = worker.waiting_since is not None and (
            self.now - worker.waiting_since > WORKER_TIMEOUT_S
        )
        if is_late:
            worker.waiting_since = None
            worker.target = self._rng.randrange(len(self.hosts))
            worker.next_report = self.now
        if worker.waiting_since is None and self.now >= worker.next_report:
            self._report(worker)

    def _end(
        self, worker: _Worker, task: model.TaskId, outcome: model.Outcome
    ) -> None:
        run = worker.runs.pop(task)
        if outcome is model.Outcome.DONE:
            self.ended_done.add(task)
        worker.ends += 1
        worker.ended.append(
            requests.EndedRun(worker.ends, task, run.run, outcome, "")
        )
        worker.next_report = min(worker.next_report, self.now + 0.05)

    def _report(self, worker: _Worker) -> None:
        worker.sequence += 1
        sent_at = self.now
        worker.waiting_since = sent_at
        sequence = worker.sequence
        report = requests.WorkerReport(
            worker.worker,
            worker.incarnation,
            worker.sequence,
            model.ServiceName("s"),
            "",
            "zone",
            worker.worker,
            "rack",
            (),
            commands.Resources(4000, 1000, 0),
            False,
            0,
            tuple(
                requests.ActiveRun(task, run.run, "", 10)
                for task, run in worker.runs.items()
            ),
            tuple(worker.ended),
        )

        def replied(reply: requests.AnyReply) -> None:
            is_current = (
                worker.alive
                and not worker.cut_off
                and worker.waiting_since == sent_at
                and worker.sequence == sequence
            )
            if not is_current:
                return
            worker.waiting_since = None
            if isinstance(reply, requests.Orders):
                self._obey(worker, reply, sent_at)
                return
            leader = getattr(reply, "leader", "")
            worker.target = self._rng.randrange(len(self.hosts))
            if leader:
                worker.target = int(leader.split(":")[0].split(".")[3]) - 1
            worker.next_report = self.now + 0.1

        if not worker.cut_off:
            self.ask(self.hosts[worker.target], report, replied)

    def _obey(
        self, worker: _Worker, orders: requests.Orders, sent_at: float
    ) -> None:
        worker.next_report = self.now + max(50, orders.next_report_ms) / 1000
        if not orders.lease_ms or orders.fencing_token < worker.fencing:
            return
        worker.fencing = orders.fencing_token
        worker.lease_until = max(
            worker.lease_until, sent_at + orders.lease_ms / 1000
        )
        for item in worker.ended:
            if item.number <= orders.acknowledged_end_number:
                self._noted(item)
        worker.ended = [
            item
            for item in worker.ended
            if item.number > orders.acknowledged_end_number
        ]
        for stop in orders.stops:
            run = worker.runs.get(stop.task)
            if run is not None and run.run == stop.run:
                self._end(worker, stop.task, model.Outcome.STOPPED)
            worker.highest[stop.task] = max(
                worker.highest.get(stop.task, 0), stop.run
            )
        for start in orders.starts:
            if start.run <= worker.highest.get(start.task, 0):
                continue
            worker.highest[start.task] = start.run
            self._started(worker, start)

    def _noted(self, item: requests.EndedRun) -> None:
        if item.outcome is model.Outcome.DONE:
            self.noted_done.add(item.task)
        elif item.outcome is model.Outcome.FAILED:
            self.failures[item.task] = self.failures.get(item.task, 0) + 1

    # What must always hold.

    def _started(self, worker: _Worker, start: requests.StartOrder) -> None:
        self.starts += 1
        for other in self.workers:
            if other.alive and start.task in other.runs:
                raise ViolationError(f"{start.task} runs twice")
        parts = model.parse_task_id(start.task)
        assert parts is not None
        job, _, step, _ = parts
        if start.task in self.noted_done:
            raise ViolationError(
                f"{start.task} started after its end was noted"
            )
        if job in self.shown_done:
            raise ViolationError(f"{start.task} started after its job was done")
        if self.failures.get(start.task, 0) >= QUEUE.max_attempts:
            raise ViolationError(f"{start.task} started beyond its attempts")
        spec = self.specs[job]
        for earlier in spec.steps[step].after:
            for index in range(spec.steps[earlier].count):
                name = model.format_task_id(job, 0, earlier, index)
                if name not in self.ended_done and not spec.steps[earlier].gang:
                    raise ViolationError(f"{start.task} started before {name}")
        worker.runs[start.task] = _Run(
            start.run,
            self.now + self._rng.choice((0.1, 0.4, 1.0, 2.5)),
            self._rng.random() < 0.1,
        )

    def _check(self) -> None:
        for worker in self.workers:
            if worker.alive and len(worker.runs) > 4:
                raise ViolationError(f"{worker.worker} is over its capacity")

    def quiesce(self, seconds: float = 25.0) -> None:
        """Ends all faults; then every accepted job has to come to an end."""
        self.loss = 0.0
        for host in self.hosts:
            host.cut_off = False
            host.isolated = False
            host.frozen_until = 0.0
            self.restart(host)
        for worker in self.workers:
            worker.cut_off = False
        for worker in list(self.workers):
            self.revive_worker(worker)
        self.run_until(self.now + seconds)
        leaders = [
            host.controller
            for host in self.hosts
            if host.controller is not None and host.controller.is_active_leader
        ]
        if len(leaders) != 1:
            raise ViolationError(
                f"{len(leaders)} leaders after all faults ended"
            )
        state = leaders[0].state
        for job in self.accepted:
            known = state.job_by_id.get(job)
            if known is None:
                raise ViolationError(f"accepted job {job} was lost")
            if known.is_active:
                raise ViolationError(f"job {job} never came to an end")
        held = state.configuration
        if (held.version if held else 0) < self.version_acked:
            raise ViolationError("an acknowledged configuration was lost")
        voters = leaders[0].replica.membership.voters
        alive = {host.disk.keeper for host in self.hosts}
        if not {item.keeper for item in voters} <= alive:
            raise ViolationError("a keeper that is gone still votes")
        if len(voters) != 3:
            raise ViolationError(f"{len(voters)} voters after all faults ended")
