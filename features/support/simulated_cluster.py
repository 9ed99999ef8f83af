"""A simulated cluster of keepers, workers and entries in one process.

The keepers and the entries' routing are the production code. The network, the
disks and the clocks are simulated: messages may be lost, duplicated, delayed
and reordered, processes may crash with the loss of unsynced writes, restart,
freeze or be cut off from the network, and clocks run at different rates.
Invariants are checked after every tick.
"""

from collections.abc import Callable
import copy
import dataclasses
import heapq
import itertools
import random

from fulmarrouter import codes
from fulmarrouter import commands
from fulmarrouter import consensus
from fulmarrouter import ids
from fulmarrouter import keeper as keeper_lib
from fulmarrouter import leader
from fulmarrouter import messages
from fulmarrouter import raft_log
from fulmarrouter import requests
from fulmarrouter import routing
from fulmarrouter import state as state_lib

# Simulated seconds between two runs of every process.
TICK_S = 0.02
# Shorter than the defaults. Clock rates are drawn from 0.992 to 1.008 and so
# differ by less than `max_clock_drift`.
TIMING = consensus.Timing(heartbeat=0.05, election_min=0.15, election_max=0.3)
LEASES = leader.LeaseSettings(
    worker_lease=0.8,
    worker_heartbeat=0.15,
    entry_lease=0.5,
    endpoint_lease=0.6,
    endpoint_heartbeat=0.15,
    request_limit=0.6,
    max_clock_drift=0.02,
    fixed_margin=0.05,
)
HEARTBEAT_S = 0.15
TASK_STEP_DURATION_S = 0.05


def keeper_address(name: str) -> commands.KeeperAddress:
    """Returns a keeper's address; host and port are not used here."""
    return commands.KeeperAddress(name, "127.0.0.1", 1)


@dataclasses.dataclass
class Disk:
    """A keeper's persistent storage; holds only what has been synced."""

    hard_state: consensus.HardState = consensus.HardState()
    snapshot: raft_log.SnapshotData = raft_log.SnapshotData()
    entries: list[messages.Entry] = dataclasses.field(default_factory=list)

    def store(self, output: consensus.Output) -> None:
        """Writes a replica's output, overwriting conflicting log entries."""
        if output.hard_state is not None:
            self.hard_state = output.hard_state
        if output.installed is not None:
            self.snapshot = output.installed
            self.entries = []
        if output.entries:
            first = output.entries[0].index
            kept = [entry for entry in self.entries if entry.index < first]
            self.entries = kept + output.entries

    def compact(self, snapshot: raft_log.SnapshotData) -> None:
        """Stores a snapshot and drops the entries that it covers."""
        self.snapshot = snapshot
        self.entries = [
            entry for entry in self.entries if entry.index > snapshot.last_index
        ]

    def saved(self) -> consensus.PersistentState:
        """Returns the state from which a replica restarts."""
        return consensus.PersistentState(
            self.hard_state, self.snapshot, tuple(self.entries)
        )


class Node:
    """A keeper process with its disk and clock.

    Attributes:
        clock_rate: Seconds on this keeper's clock per simulated second.
        clock_offset: Reading of its clock at simulated time 0.
        frozen: Whether the process is paused; it still receives messages.
        skips_sync: Whether output is acknowledged without being synced.
        core: The keeper's logic, without network and disk.
        inbox: Messages of other keepers that it has not processed yet.
        received_requests: Requests that it has not processed yet.
    """

    def __init__(self, name: str, disk: Disk, rng: random.Random) -> None:
        self.name = name
        self.disk = disk
        self.rng = rng
        self.clock_rate = rng.uniform(0.992, 1.008)
        self.clock_offset = rng.uniform(0, 1000)
        self.alive = False
        self.frozen = False
        self.skips_sync = False
        self.core: keeper_lib.Keeper
        self.inbox: list[tuple[str, messages.AnyMessage]] = []
        self.received_requests: list[
            tuple[keeper_lib.Client, requests.AnyRequest]
        ] = []

    def clock(self, time: float) -> float:
        """Returns this keeper's clock reading at a simulated time."""
        return self.clock_offset + time * self.clock_rate

    def start(self, time: float) -> None:
        """Starts the process from what its disk holds."""
        saved = copy.deepcopy(self.disk.saved())
        replica = consensus.Replica(
            self.name,
            saved,
            TIMING,
            random.Random(self.rng.random()),
            self.clock(time),
        )
        self.core = keeper_lib.Keeper(
            replica, LEASES, random.Random(self.rng.random())
        )
        self.inbox = []
        self.received_requests = []
        self.alive = True
        self.frozen = False


@dataclasses.dataclass
class Run:
    """One execution of a job under one lease.

    Attributes:
        start: Simulated time at which it started.
        first_step: Step of the task from which it went on; earlier ones were
            covered by a checkpoint.
        end: Simulated time at which it ended, None while it runs.
        last_step: Step that the task had reached at the end.
    """

    job: str
    epoch: int
    worker: str
    start: float
    first_step: int
    end: float | None = None
    last_step: int = 0


# Called with the reply to a request when it reaches the sender.
ReplyCallback = Callable[[requests.AnyReply], None]


class SimCluster:
    """The simulated cluster, its network and the faults in force.

    Attributes:
        loss: Probability that a message is lost.
        duplication: Probability that a message is sent twice.
        delay_s: Mean delay of a message.
        delay_by_name: Longer mean delays of single processes.
        cut_links: Pairs of processes that can't reach each other.
        runs: Every run of a job so far.
        committed: Term and data of each entry applied so far, by index.
        actors: Workers and entries.
    """

    def __init__(self, seed: int, keepers: int = 3) -> None:
        self.rng = random.Random(seed)
        self.time = 0.0
        self.loss = 0.0
        self.duplication = 0.0
        self.delay_s = 0.01
        self.delay_by_name: dict[str, float] = {}
        self.cut_links: set[frozenset[str]] = set()
        self.runs: list[Run] = []
        self.nodes: dict[str, Node] = {}
        self.committed: dict[int, tuple[int, bytes]] = {}
        self.actors: list[SimWorker | SimEntry] = []
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence_numbers = itertools.count()
        self._callback_by_client: dict[keeper_lib.Client, ReplyCallback] = {}
        names = [f"k{number}" for number in range(1, keepers + 1)]
        membership = messages.Membership(
            tuple(keeper_address(name) for name in names)
        )
        first = raft_log.SnapshotData(
            1, 1, membership, state_lib.encode(state_lib.State())
        )
        for name in names:
            self.add_node(name, Disk(snapshot=first))

    def add_node(self, name: str, disk: Disk | None = None) -> Node:
        """Starts another keeper, with an empty disk unless one is given."""
        node = Node(name, disk or Disk(), random.Random(self.rng.random()))
        self.nodes[name] = node
        node.start(self.time)
        return node

    # Time and messages.

    def run(self, seconds: float) -> None:
        """Advances simulated time and checks the invariants at each tick."""
        until = self.time + seconds
        while self.time < until:
            self.time += TICK_S
            while self._events and self._events[0][0] <= self.time:
                heapq.heappop(self._events)[2]()
            for node in self.nodes.values():
                if node.alive and not node.frozen:
                    self.step_node(node)
            for actor in self.actors:
                actor.step()
            self.check_invariants()

    def transmit(
        self, source: str, target: str, action: Callable[[], None]
    ) -> None:
        """Runs an action at the receiver after a delay, unless it is lost."""
        if frozenset((source, target)) in self.cut_links:
            return
        copies = 1 + (self.rng.random() < self.duplication)
        for _ in range(copies):
            if self.rng.random() < self.loss:
                continue
            delay = self.delay_by_name.get(source, self.delay_s)
            delay = max(delay, self.delay_by_name.get(target, 0.0))
            self.call_later(self.rng.expovariate(1 / delay), action)

    def send_request(
        self,
        source: str,
        request: requests.AnyRequest,
        callback: ReplyCallback,
        target: str = "",
    ) -> None:
        """Sends a request to a keeper.

        Without a target it goes to a leader in 9 of 10 cases while there is
        one, and else to any keeper.
        """
        leaders = [
            node.name
            for node in self.nodes.values()
            if node.alive and node.core.replica.is_leader
        ]
        names = (
            leaders if leaders and self.rng.random() < 0.9 else list(self.nodes)
        )
        target = target or self.rng.choice(names)
        client = keeper_lib.Client(
            ids.ConnectionId(0), ids.CallId(next(self._sequence_numbers))
        )
        payload = requests.encode_request(request)

        def arrive() -> None:
            node = self.nodes[target]
            if node.alive:
                self._callback_by_client[client] = lambda reply: self.transmit(
                    target, source, lambda: callback(reply)
                )
                node.received_requests.append(
                    (client, requests.decode_request(payload))
                )

        self.transmit(source, target, arrive)

    def step_node(self, node: Node, crash_before_sync: bool = False) -> None:
        """Runs a keeper for one tick: input, timers, sync, output."""
        now = node.clock(self.time)
        inbox, node.inbox = node.inbox, []
        for sender, message in inbox:
            node.core.on_message(now, sender, message)
        received_requests, node.received_requests = node.received_requests, []
        for client, request in received_requests:
            node.core.on_request(now, int(now * 1000), client, request)
        node.core.tick(now, int(now * 1000))
        output = node.core.replica.take_output()
        self._send_all(node, output.before_sync)
        if crash_before_sync:
            node.alive = False
            return
        if not node.skips_sync:
            node.disk.store(copy.deepcopy(output))
        self._send_all(node, output.after_sync)
        replica = node.core.replica
        applied_before = replica.applied_index
        answered = node.core.after_sync(now, int(now * 1000))
        self._check_committed(node, applied_before)
        for item in answered:
            callback = self._callback_by_client.pop(item.client, None)
            if callback is not None:
                callback(item.reply)

    def _send_all(self, node: Node, outbound: list[consensus.Outbound]) -> None:
        for item in outbound:
            target = self.nodes.get(item.to)
            if target is None:
                continue

            def arrive(
                target: Node = target,
                message: messages.AnyMessage = item.message,
            ) -> None:
                if target.alive:
                    target.inbox.append((node.name, message))

            self.transmit(node.name, item.to, arrive)

    def _check_committed(self, node: Node, applied_before: int) -> None:
        """Checks that all keepers apply the same entry at each index."""
        log = node.core.replica.log
        first = max(applied_before, log.base_index) + 1
        for entry in log.range(first, node.core.replica.applied_index):
            known = self.committed.setdefault(
                entry.index, (entry.term, entry.data)
            )
            assert known == (entry.term, entry.data), (
                f"keepers applied different entries at index {entry.index}"
            )

    # Faults.

    def crash(self, name: str, before_sync: bool) -> None:
        """Ends a keeper's process.

        With `before_sync` it first processes its input and sends what may be
        sent before a sync, and crashes before the sync.
        """
        node = self.nodes[name]
        if not node.alive:
            return
        if before_sync and not node.frozen:
            self.step_node(node, crash_before_sync=True)
        node.alive = False

    def restart(self, name: str) -> None:
        """Starts a keeper that has crashed; does nothing to a running one."""
        if not self.nodes[name].alive:
            self.nodes[name].start(self.time)

    def heal(self) -> None:
        """Ends all faults and gives the cluster 3 s to recover."""
        self.loss = self.duplication = 0.0
        self.delay_s = 0.01
        self.delay_by_name.clear()
        self.cut_links.clear()
        for node in self.nodes.values():
            node.frozen = False
            if not node.alive:
                node.start(self.time)
        for actor in self.actors:
            actor.cut_off = False
        self.run(3.0)

    def leader(self) -> Node | None:
        """Returns the leader of the highest term that may serve reads.

        A leader may do so once it has committed an entry of its own term.
        """
        leading = [
            node
            for node in self.nodes.values()
            if node.alive and node.core.replica.leads_with_committed_entry
        ]
        return max(
            leading, key=lambda node: node.core.replica.term, default=None
        )

    # Invariants.

    def check_invariants(self) -> None:
        """Checks what must hold at every tick.

        A term has one leader, a job runs in one place, and neither workers nor
        endpoints get more than they can take.
        """
        leader_by_term: dict[int, str] = {}
        for node in self.nodes.values():
            if not node.alive:
                continue
            replica = node.core.replica
            if replica.is_leader:
                other = leader_by_term.setdefault(replica.term, node.name)
                assert other == node.name, f"two leaders in term {replica.term}"
            check_state(node.core.state)
        open_run_by_job: dict[str, Run] = {}
        for run in self.runs:
            if run.end is None:
                other_run = open_run_by_job.setdefault(run.job, run)
                assert other_run is run, f"{run} overlaps {other_run}"
        for entry in self.actors:
            if isinstance(entry, SimEntry):
                entry.check_invariants()
        self._check_endpoints()

    def check_runs(self) -> None:
        """Checks all runs so far.

        Each lease is used once, and no step of a non-idempotent job is run
        twice.
        """
        state = next(iter(self.nodes.values())).core.state
        runs_by_job: dict[str, list[Run]] = {}
        for run in self.runs:
            runs_by_job.setdefault(run.job, []).append(run)
        for job_id, runs in runs_by_job.items():
            epochs = [run.epoch for run in runs]
            assert len(set(epochs)) == len(epochs), (
                f"{job_id}: two runs under one lease"
            )
            job = state.job_by_id.get(job_id)
            if job is None or job.spec.idempotent:
                continue
            ordered = sorted(runs, key=lambda run: run.epoch)
            for before, after in itertools.pairwise(ordered):
                assert after.first_step >= before.last_step, (
                    f"{before} is followed by {after}, which repeats steps"
                )

    def call_later(self, delay: float, action: Callable[[], None]) -> None:
        """Schedules an action after a delay in simulated time."""
        due = self.time + delay
        heapq.heappush(
            self._events, (due, next(self._sequence_numbers), action)
        )

    def _check_endpoints(self) -> None:
        """Checks that no endpoint has more requests than slots."""
        open_requests_by_endpoint: dict[str, int] = {}
        for actor in self.actors:
            if isinstance(actor, SimEntry):
                for request in actor.open_requests:
                    endpoint = request.endpoint
                    open_requests_by_endpoint[endpoint] = (
                        open_requests_by_endpoint.get(endpoint, 0) + 1
                    )
        for endpoint, count in open_requests_by_endpoint.items():
            assert count <= SimEntry.SLOTS, f"{endpoint} has {count} requests"


def check_state(state: state_lib.State) -> None:
    """Checks the resources granted by a keeper's state.

    What is committed on a worker is the sum of its jobs' needs and fits its
    capacity, and the shares of an endpoint fit its slots and connections.
    """
    for worker_id, worker in state.worker_by_id.items():
        held = commands.Resources()
        for job in worker.jobs:
            held = held.plus(state.job_by_id[job].spec.needs)
        assert held == worker.committed, worker_id
        assert held.fits_in(worker.announcement.capacity), worker_id
    for endpoint_id, endpoint in state.endpoint_by_id.items():
        shares = endpoint.share_by_session.values()
        slots = sum(share.slots for share in shares)
        assert slots <= endpoint.announcement.slots, endpoint_id
        connections = sum(share.connections for share in shares)
        assert connections <= endpoint.announcement.connections, endpoint_id


class SimWorker:
    """A worker that keeps to the worker protocol.

    A task advances by one step per TASK_STEP_DURATION_S, reports its step as
    its checkpoint and succeeds after 40 steps.

    Attributes:
        cut_off: Whether it neither sends nor receives anything.
        counts_lease_from_reply: Whether it breaks the protocol and counts its
            lease from when the reply arrives instead of from when the heartbeat
            was sent. Set by a mutation.
    """

    def __init__(
        self, cluster: SimCluster, name: str, millicores: int = 2000
    ) -> None:
        self.cluster = cluster
        self.name = name
        self.clock_rate = cluster.rng.uniform(0.992, 1.008)
        self.clock_offset = cluster.rng.uniform(0, 1000)
        self.capacity = commands.Resources(millicores, 4000, 0)
        self.cut_off = False
        self.incarnation = 1
        self.counts_lease_from_reply = False
        self._lease_until = float("-inf")
        self._heartbeat_due = 0.0
        self._run_by_key: dict[tuple[str, int], Run] = {}
        self._report_by_key: dict[tuple[str, int], requests.TaskReport] = {}
        # Newest epoch of each job; a lease that is not newer isn't used again.
        self._epoch_by_job: dict[str, int] = {}
        cluster.actors.append(self)

    def clock(self) -> float:
        """Returns the reading of the worker's clock."""
        return self.clock_offset + self.cluster.time * self.clock_rate

    def restart(self) -> None:
        """Ends all tasks and starts with the next incarnation."""
        for key in list(self._run_by_key):
            self._end_run(key)
        self._report_by_key.clear()
        self.incarnation += 1

    def step(self) -> None:
        """Runs the worker for one tick."""
        now = self.clock()
        if now >= self._lease_until:
            for key in list(self._run_by_key):
                self._report(
                    key, commands.TaskEvent.STOPPED, self._end_run(key)
                )
        for key in list(self._run_by_key):
            self._advance(key)
        if now >= self._heartbeat_due and not self.cut_off:
            self._heartbeat_due = now + HEARTBEAT_S
            self._heartbeat(now)

    def _completed_steps(self, run: Run) -> int:
        return run.first_step + int(
            (self.cluster.time - run.start) / TASK_STEP_DURATION_S
        )

    def _advance(self, key: tuple[str, int]) -> None:
        run = self._run_by_key[key]
        steps = self._completed_steps(run)
        event = commands.TaskEvent.STARTED
        if steps >= 40:
            self._end_run(key)
            event = commands.TaskEvent.SUCCEEDED
        self._report(key, event, steps)

    def _report(
        self, key: tuple[str, int], event: commands.TaskEvent, steps: int
    ) -> None:
        self._report_by_key[key] = requests.TaskReport(
            key[0], key[1], event, checkpoint=steps
        )

    def _end_run(self, key: tuple[str, int]) -> int:
        run = self._run_by_key.pop(key)
        run.end = self.cluster.time
        run.last_step = self._completed_steps(run)
        return run.last_step

    def _heartbeat(self, sent_at: float) -> None:
        request = requests.WorkerHeartbeat(
            worker=self.name,
            incarnation=self.incarnation,
            capacity=self.capacity,
            reports=tuple(self._report_by_key.values()),
        )
        incarnation = self.incarnation
        self.cluster.send_request(
            self.name,
            request,
            lambda reply: self._on_reply(sent_at, incarnation, reply),
        )

    def _on_reply(
        self, sent_at: float, incarnation: int, reply: requests.AnyReply
    ) -> None:
        if not isinstance(reply, requests.WorkerOrders):
            return
        if incarnation != self.incarnation or self.cut_off:
            return
        now = self.clock()
        counted_from = now if self.counts_lease_from_reply else sent_at
        until = counted_from + reply.lease_ms / 1000
        if until <= now:
            return
        self._lease_until = max(self._lease_until, until)
        leases = {(item.job, item.epoch) for item in reply.leases}
        for stop in reply.stop:
            key = (stop.job, stop.epoch)
            if key in self._run_by_key:
                steps = self._end_run(key)
                self._report(key, commands.TaskEvent.STOPPED, steps)
            elif stop.epoch > self._epoch_by_job.get(stop.job, 0):
                self._epoch_by_job[stop.job] = stop.epoch
                self._report(key, commands.TaskEvent.NOT_STARTED, 0)
        for order in reply.start:
            key = (order.job, order.epoch)
            if order.epoch > self._epoch_by_job.get(order.job, 0):
                self._epoch_by_job[order.job] = order.epoch
                run = Run(
                    order.job,
                    order.epoch,
                    self.name,
                    self.cluster.time,
                    order.checkpoint,
                )
                self._run_by_key[key] = run
                self.cluster.runs.append(run)
                self._report(key, commands.TaskEvent.STARTED, order.checkpoint)
        for key in list(self._report_by_key):
            if key not in leases and key not in self._run_by_key:
                del self._report_by_key[key]


@dataclasses.dataclass
class OpenRequest:
    """A request in progress at an endpoint."""

    endpoint: str
    assignment: routing.Assignment
    ends_at: float


class SimEntry:
    """An entry with the production routing, and its callers.

    Each tick a caller sends an ordinary request. With each heartbeat one sends
    a non-idempotent request under one of a few keys, so that entries compete
    for the same key.

    Attributes:
        open_requests: Requests in progress at endpoints.
        run_count_by_key: How often this entry has run the request of a key.
        digest_by_ticket: Digest of each ticket accepted through this entry.
        config_versions: Configuration versions in the order received.
    """

    SLOTS = 4
    KEYS = 6

    def __init__(self, cluster: SimCluster, name: str) -> None:
        self.cluster = cluster
        self.name = name
        self.clock_rate = cluster.rng.uniform(0.992, 1.008)
        self.clock_offset = cluster.rng.uniform(0, 1000)
        self.cut_off = False
        self.router = routing.Router(random.Random(1))
        self.open_requests: list[OpenRequest] = []
        self.run_count_by_key: dict[str, int] = {}
        self.keys_reported_not_run: set[str] = set()
        self.digest_by_ticket: dict[int, str] = {}
        self.config_versions: list[int] = []
        self._heartbeat_due = 0.0
        self._heartbeat_number = 0
        self._nonce = 0
        self._request_number = 0
        cluster.actors.append(self)

    def clock(self) -> float:
        """Returns the reading of the entry's clock."""
        return self.clock_offset + self.cluster.time * self.clock_rate

    def crash(self) -> None:
        """Restarts the process; requests at endpoints go on until they end."""
        self.router = routing.Router(random.Random(1))
        self._heartbeat_number += 1

    def step(self) -> None:
        """Runs the entry and its callers for one tick."""
        now = self.clock()
        for request in list(self.open_requests):
            if now >= request.ends_at:
                self.open_requests.remove(request)
                for decision in self.router.release(
                    now, request.assignment, routing.AttemptOutcome.ANSWERED
                ):
                    self._apply_decision(decision)
        for decision in self.router.tick(now):
            self._apply_decision(decision)
        self._request_number += 1
        slot_request = routing.SlotRequest(
            self._request_number, "booking", "c", now + 0.3
        )
        immediate_decision = self.router.admit(now, slot_request)
        if immediate_decision is not None:
            self._apply_decision(immediate_decision)
        if now >= self._heartbeat_due and not self.cut_off:
            self._heartbeat_due = now + HEARTBEAT_S
            self._heartbeat(now)
            self._announce_endpoint()
            self._send_keyed_request()

    def _apply_decision(self, decision: routing.Decision) -> None:
        if isinstance(decision, routing.Assignment):
            duration_s = self.cluster.rng.uniform(0.02, LEASES.request_limit)
            self.open_requests.append(
                OpenRequest(
                    decision.endpoint, decision, self.clock() + duration_s
                )
            )

    def _heartbeat(self, sent_at: float) -> None:
        """Opens a session or sends a heartbeat in the open one."""
        self._heartbeat_number += 1
        number = self._heartbeat_number
        request: requests.AnyRequest
        if self.router.session == 0:
            request = requests.Propose(
                commands.OpenSession(self.name, f"{self.name}-{number}", "d", 0)
            )
        else:
            request = self.router.heartbeat(self.name)

        def on_reply(reply: requests.AnyReply) -> None:
            # As in production, replies to older heartbeats are ignored.
            if number != self._heartbeat_number or self.cut_off:
                return
            if isinstance(reply, requests.Proposed):
                self.router.open_session(ids.SessionId(reply.result.index))
            elif isinstance(reply, requests.EntryView):
                self.router.apply_view(sent_at, reply)
                self.config_versions.append(self.router.config_version)
            elif (
                isinstance(reply, requests.Refused)
                and reply.code is codes.Code.SESSION_ENDED
            ):
                self.router.open_session(ids.SessionId(0))

        self.cluster.send_request(self.name, request, on_reply)

    def _announce_endpoint(self) -> None:
        heartbeat = requests.EndpointHeartbeat(
            endpoint="p1",
            incarnation=1,
            service="booking",
            host="127.0.0.1",
            port=1,
            slots=self.SLOTS,
            connections=self.SLOTS * 2,
        )
        self.cluster.send_request(self.name, heartbeat, lambda reply: None)

    def _send_keyed_request(self) -> None:
        """Sends a non-idempotent request: records its intent, runs it, records
        its outcome.

        The intent is withdrawn if its reply takes too long; the request is not
        run then.
        """
        if not self.router.session:
            return
        self._nonce += 1
        key = f"key{self.cluster.rng.randrange(self.KEYS)}"
        nonce = f"{self.name}-{self._nonce}"
        intent = commands.RecordIntent(
            key, key, self.router.session, nonce, "p1", 0
        )
        decided: list[bool] = []

        def on_reply(reply: requests.AnyReply) -> None:
            if decided or not isinstance(reply, requests.Proposed):
                return
            decided.append(True)
            if reply.result.code is not codes.Code.ACCEPTED:
                return
            if self.cluster.rng.random() < 0.3:
                # Simulates a failed connection: the request was not sent.
                self._record_outcome(key, nonce, commands.RunState.NOT_RUN)
                return
            self.run_count_by_key[key] = self.run_count_by_key.get(key, 0) + 1
            self._record_outcome(key, nonce, commands.RunState.DONE)

        self.cluster.send_request(self.name, requests.Propose(intent), on_reply)

        def on_timeout() -> None:
            if not decided:
                decided.append(True)
                self._record_outcome(key, nonce, commands.RunState.NOT_RUN)

        self.cluster.call_later(0.4, on_timeout)

    def _record_outcome(
        self, key: str, nonce: str, run_state: commands.RunState
    ) -> None:
        answer = commands.Answer(200, (), b"x")
        outcome = commands.RecordOutcome(key, nonce, run_state, answer, 0)
        self.cluster.send_request(
            self.name, requests.Propose(outcome), lambda reply: None
        )

    def submit_ticket(self, number: int, deadline_ms: int) -> None:
        """Submits an operator's ticket through this entry."""
        item = commands.ServicePolicy(name="booking", deadline_ms=deadline_ms)
        ticket = commands.SubmitTicket(number, (item,), self.name, 0)

        def on_reply(reply: requests.AnyReply) -> None:
            if isinstance(reply, requests.Proposed) and reply.result.accepted:
                self.digest_by_ticket[number] = reply.result.reason

        self.cluster.send_request(self.name, requests.Propose(ticket), on_reply)

    def check_invariants(self) -> None:
        """Checks what must hold at every tick.

        The configuration never goes back, a key runs once over all entries, and
        all entries accept the same ticket under a number.
        """
        assert self.config_versions == sorted(self.config_versions), (
            "an entry went back to an older configuration"
        )
        del self.config_versions[:-1]
        entries = [
            item for item in self.cluster.actors if isinstance(item, SimEntry)
        ]
        for key in self.run_count_by_key:
            total = sum(entry.run_count_by_key.get(key, 0) for entry in entries)
            assert total <= 1, f"the request of {key} ran {total} times"
        for number, digest in self.digest_by_ticket.items():
            for entry in entries:
                assert entry.digest_by_ticket.get(number, digest) == digest, (
                    number
                )
