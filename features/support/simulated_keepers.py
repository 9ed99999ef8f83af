"""Simulated keepers with their network and disks, in simulated time.

The controllers are the production code. Keepers may crash, lose their disks, be
cut off and be frozen; messages may be lost, duplicated and delayed.
"""

from collections.abc import Iterable
import heapq
import itertools
import random
from typing import Any

from features.support import leader_checks
from features.support import simulated_processes
from fulmarrouter import consensus
from fulmarrouter import ids
from fulmarrouter import messages
from fulmarrouter import raft_log
from fulmarrouter.cluster import controller as controller_lib
from fulmarrouter.cluster import dispatcher
from fulmarrouter.cluster import log_commands
from fulmarrouter.cluster import requests
from fulmarrouter.cluster import snapshots
from fulmarrouter.cluster import state as state_lib

# Simulated seconds between two runs of every process.
TICK_S = 0.02
LEASE_S = 3.0
CONTROL_PORT = 8080
JOB_ID_HEX_DIGITS = 16


class KeeperSimulation:
    """The simulated keepers.

    Args:
        seed: Seed of all that is random.
        effects: Interference effects that the keepers know from the start.
        lease_s: How long workers may run tasks without a renewed lease.
        stored_commands: Commands that the keepers have applied at the start.

    Attributes:
        loss: Probability that a message between hosts, or a reply to a request,
            is lost. Messages between hosts are also delayed with this
            probability, and duplicated with half of it.
        avoided_host: Host to which no caller sends a request by chance.
    """

    def __init__(
        self,
        seed: int,
        effects: Iterable[log_commands.InterferenceEffect] = (),
        lease_s: float = LEASE_S,
        stored_commands: Iterable[log_commands.AnyCommand] = (),
    ) -> None:
        self._rng = random.Random(seed)
        self._lease_s = lease_s
        self.now = 0.0
        self._event_order = itertools.count()
        self._events: list[tuple[float, int, Any]] = []
        self.hosts = [
            simulated_processes.Host(number) for number in range(1, 5)
        ]
        self.loss = 0.0
        self.avoided_host: simulated_processes.Host | None = None
        self._call_ids = itertools.count(1)
        self._callback_by_call: dict[int, Any] = {}
        self._initial_state = state_lib.State()
        self._initial_state.apply(1, log_commands.KeepEffects(tuple(effects)))
        for command in stored_commands:
            self._initial_state.apply(1, command)
        self._bootstrap()

    # Set-up.

    def _bootstrap(self) -> None:
        """Starts all keepers; the first is the only voter, the others join."""
        first = self.hosts[0]
        first.disk.snapshot = raft_log.SnapshotData(
            1,
            1,
            messages.Membership(voters=(first.member(),)),
            snapshots.encode(self._initial_state),
        )
        for host in self.hosts:
            self._start_keeper(host)

    def _start_keeper(self, host: simulated_processes.Host) -> None:
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
            controller_lib.ControllerSettings(
                3, CONTROL_PORT, job_id_hex_digits=JOB_ID_HEX_DIGITS
            ),
            dispatcher.DispatchSettings(lease_s=self._lease_s),
        )
        host.pending_syncs = []

    def crash(self, host: simulated_processes.Host, wipe: bool) -> None:
        """Ends a keeper's process, which loses what was not synced.

        With `wipe` its disk is lost too, and the host gets a new one.
        """
        host.controller = None
        host.pending_syncs = []
        if wipe:
            host.disk_generation += 1
            host.disk = simulated_processes.Disk(
                f"k{host.number}-{host.disk_generation}"
            )

    def restart(self, host: simulated_processes.Host) -> None:
        """Starts a keeper that is down from what its disk holds."""
        if host.controller is None:
            self._start_keeper(host)

    def end_partitions(self) -> None:
        """Reconnects all hosts and starts the keepers that are down."""
        for host in self.hosts:
            host.cut_off = False
            host.isolated = False
            self.restart(host)

    # Network.

    def call_later(self, delay: float, action: Any) -> None:
        heapq.heappush(
            self._events, (self.now + delay, next(self._event_order), action)
        )

    def _deliver(
        self,
        source: simulated_processes.Host,
        target: simulated_processes.Host,
        action: Any,
    ) -> None:
        if self._rng.random() < self.loss:
            return
        copies = 2 if self._rng.random() < self.loss / 2 else 1
        for _ in range(copies):
            delay = self._rng.uniform(0.001, 0.005)
            if self._rng.random() < self.loss:
                delay += self._rng.uniform(0, 0.3)

            def arrive() -> None:
                if source.is_partitioned or target.is_partitioned:
                    return
                if target.controller is not None:
                    action(target)

            self.call_later(delay, arrive)

    def _host_of(self, keeper: str) -> simulated_processes.Host | None:
        for host in self.hosts:
            if host.disk.keeper == keeper:
                return host
        return None

    # Time.

    def run_until(self, end: float) -> None:
        """Advances simulated time to `end`."""
        while self.now < end:
            self.now += TICK_S
            while self._events and self._events[0][0] <= self.now:
                heapq.heappop(self._events)[2]()
            for host in self.hosts:
                if host.controller and self.now >= host.frozen_until:
                    self._step_keeper(host, host.controller)
            self._step_workers()

    def _step_workers(self) -> None:
        """Advances the workers, and checks invariants, by one step of time."""

    def _step_keeper(
        self,
        host: simulated_processes.Host,
        controller: controller_lib.Controller,
    ) -> None:
        wall = int(self.now * 1000)
        self._send_join(host, controller)
        controller.tick(self.now, wall)
        output = controller.replica.take_output()
        for outbound in output.before_sync:
            self._send_message(host, outbound)
        if output.needs_sync or output.after_sync:
            host.pending_syncs.append(
                (
                    self.now + host.sync_s,
                    output,
                    controller.replica.term,
                    controller.replica.log.last_index,
                )
            )
        durable: int | None = None
        while host.pending_syncs and host.pending_syncs[0][0] <= self.now:
            _, written, term, last_index = host.pending_syncs.pop(0)
            host.disk.store(written)
            for outbound in written.after_sync:
                self._send_message(host, outbound)
            if term == controller.replica.term:
                durable = last_index
        applied = controller.apply_committed(self.now, wall, durable)
        leader_checks.check(controller)
        controller.decisions.take()
        for answered in applied:
            self._send_reply(host, answered)

    def _send_join(
        self,
        host: simulated_processes.Host,
        controller: controller_lib.Controller,
    ) -> None:
        """Announces a keeper to each other host, one tick in ten on average."""
        request = requests.Join(
            host.member(), "zone", controller.replica.is_blank, False
        )
        for other in self.hosts:
            if other is host or self._rng.random() > 0.1:
                continue

            def join(target: simulated_processes.Host) -> None:
                assert target.controller is not None
                if target.controller.is_active_leader:
                    client = controller_lib.Client(ids.ConnectionId(0), 0)  # type: ignore[arg-type]
                    target.controller.on_request(self.now, 0, client, request)

            self._deliver(host, other, join)

    def _send_message(
        self, host: simulated_processes.Host, outbound: consensus.Outbound
    ) -> None:
        target = self._host_of(outbound.to)
        if target is None:
            return
        sender = host.disk.keeper

        def arrive(receiver: simulated_processes.Host) -> None:
            assert receiver.controller is not None
            if receiver.disk.keeper == outbound.to:
                receiver.controller.on_message(
                    self.now, sender, outbound.message
                )

        self._deliver(host, target, arrive)

    def _send_reply(
        self, host: simulated_processes.Host, answered: controller_lib.Answered
    ) -> None:
        callback = self._callback_by_call.pop(int(answered.client.call), None)
        if callback is None or self._rng.random() < self.loss:
            return
        if not host.cut_off:
            self.call_later(0.002, lambda: callback(answered.reply))

    def send_request(
        self,
        host: simulated_processes.Host,
        request: requests.AnyRequest,
        callback: Any,
    ) -> None:
        """Sends a request of a caller, an operator or a worker to a host."""
        if host.controller is None or host.cut_off:
            return
        call = next(self._call_ids)
        self._callback_by_call[call] = callback
        client = controller_lib.Client(ids.ConnectionId(1), ids.CallId(call))

        def arrive() -> None:
            if host.controller is not None and not host.cut_off:
                host.controller.on_request(
                    self.now, int(self.now * 1000), client, request
                )

        self.call_later(self._rng.uniform(0.001, 0.005), arrive)

    def pick_host(self) -> simulated_processes.Host:
        """Returns the host that a request is sent to.

        In 9 of 10 cases it is one that considers itself the leader, if any.
        """
        leading = [
            host
            for host in self.hosts
            if host.controller is not None
            and host.controller.is_active_leader
            and host is not self.avoided_host
        ]
        if leading and self._rng.random() < 0.9:
            return self._rng.choice(leading)
        return self._rng.choice(
            [host for host in self.hosts if host is not self.avoided_host]
        )

    def has_active_leader(self) -> bool:
        """Returns whether a keeper leads and does the leader's work."""
        return any(
            host.controller is not None and host.controller.is_active_leader
            for host in self.hosts
        )
