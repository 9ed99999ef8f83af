"""Random histories of faults in a simulated cluster.

A history is one run of the simulation: a cluster with jobs, callers and faults.
It fails with an AssertionError where an invariant does not hold.
"""

from collections.abc import Callable
import random
import sys

from hypothesis import settings as hypothesis_settings
from hypothesis import stateful
from hypothesis import strategies

from features.support import simulated_cluster
from fulmarrouter import commands
from fulmarrouter import requests

JOB_COUNT = 8
WORKER_COUNT = 3
ENTRY_COUNT = 2


class History:
    """A simulated cluster with jobs, and the faults to inject into it."""

    def __init__(
        self, seed: int, keepers: int = 3, millicores: int = 2000
    ) -> None:
        self.cluster = simulated_cluster.SimCluster(seed, keepers)
        self.rng = random.Random(seed)
        self.workers = [
            simulated_cluster.SimWorker(self.cluster, f"w{number}", millicores)
            for number in range(WORKER_COUNT)
        ]
        self.entries = [
            simulated_cluster.SimEntry(self.cluster, f"e{number}")
            for number in range(ENTRY_COUNT)
        ]
        self.cluster.run(1.0)
        self.submit_jobs()

    def submit_jobs(self) -> None:
        for number in range(JOB_COUNT):
            spec = commands.JobSpec(
                f"j{number}",
                "team",
                idempotent=number % 2 == 0,
                checkpoints=number % 3 == 0,
                needs=commands.Resources(900, 100, 0),
            )
            self._send_request(requests.Propose(commands.SubmitJob(spec, 0)))

    def _send_request(self, request: requests.AnyRequest) -> None:
        self.cluster.send_request("operator", request, lambda reply: None)

    def _pick_keeper(self) -> str:
        return self.rng.choice(list(self.cluster.nodes))

    # Faults. Their targets and sizes are drawn from the history's own random
    # generator, so that a history can be repeated from its seed.

    def crash_keeper(self) -> None:
        self.cluster.crash(self._pick_keeper(), self.rng.random() < 0.5)

    def restart_keeper(self) -> None:
        self.cluster.restart(self._pick_keeper())

    def freeze_keeper(self) -> None:
        self.cluster.nodes[self._pick_keeper()].frozen = True

    def thaw_keepers(self) -> None:
        for node in self.cluster.nodes.values():
            node.frozen = False

    def disturb_network(self) -> None:
        self.cluster.loss = self.rng.choice([0, 0.05, 0.3])
        self.cluster.duplication = self.rng.choice([0, 0.2])
        self.cluster.delay_s = self.rng.choice([0.005, 0.02, 0.1, 0.4])

    def slow_workers(self) -> None:
        self.cluster.delay_by_name = {
            worker.name: self.rng.choice([0.01, 0.3, 0.6])
            for worker in self.workers
        }

    def cut_random_links(self) -> None:
        names = [*self.cluster.nodes, "w0", "w1", "w2", "e0", "e1"]
        self.cluster.cut_links = {
            frozenset(self.rng.sample(names, 2)) for _ in range(4)
        }

    def isolate_keeper(self) -> None:
        isolated = self._pick_keeper()
        self.cluster.cut_links = {
            frozenset((isolated, name))
            for name in self.cluster.nodes
            if name != isolated
        }

    def restore_links(self) -> None:
        self.cluster.cut_links = set()

    def restart_worker(self) -> None:
        self.rng.choice(self.workers).restart()

    def cut_off_worker(self) -> None:
        worker = self.rng.choice(self.workers)
        worker.cut_off = not worker.cut_off

    def crash_entry(self) -> None:
        self.rng.choice(self.entries).crash()

    def cut_off_entry(self) -> None:
        entry = self.rng.choice(self.entries)
        entry.cut_off = not entry.cut_off

    def submit_ticket(self) -> None:
        number = self.rng.randrange(1, 8)
        for entry in self.entries:
            entry.submit_ticket(number, self.rng.randrange(1, 1000))

    def evict(self) -> None:
        leader = self.cluster.leader()
        if leader is None:
            return
        for job_id, job in list(leader.core.state.job_by_id.items()):
            if job.phase.holds_lease and self.rng.random() < 0.4:
                reason = commands.StopReason.EVICT
                self._send_request(
                    requests.Propose(
                        commands.RequestStop(job_id, job.epoch, reason, 0)
                    )
                )

    def cancel_jobs(self) -> None:
        jobs = tuple(f"j{number}" for number in range(0, JOB_COUNT, 3))
        self._send_request(requests.Propose(commands.CancelJobs(jobs, 0)))

    # Faults that a history draws from; one listed twice is drawn twice as often.
    FAULTS: tuple[Callable[["History"], None], ...] = (
        crash_keeper,
        restart_keeper,
        freeze_keeper,
        thaw_keepers,
        disturb_network,
        slow_workers,
        cut_random_links,
        isolate_keeper,
        restore_links,
        restart_worker,
        cut_off_worker,
        crash_entry,
        cut_off_entry,
        submit_ticket,
        evict,
        evict,
        submit_jobs,
    )

    def finish(self) -> None:
        """Ends all faults and checks that the cluster recovers.

        There must be a leader, all keepers must catch up, and no run may have
        broken an invariant.
        """
        self.cluster.heal()
        self.cluster.check_runs()
        leader = self.cluster.leader()
        assert leader is not None, "no leader after all faults ended"
        replica = leader.core.replica
        for node in self.cluster.nodes.values():
            behind = replica.commit_index - node.core.replica.commit_index
            assert behind < 50, f"{node.name} is {behind} entries behind"


def run_seeded(seed: int, faults: int = 30, keepers: int = 3) -> None:
    """Runs a history of faults drawn from a seed."""
    history = History(seed, keepers)
    for _ in range(faults):
        history.rng.choice(History.FAULTS)(history)
        history.cluster.run(history.rng.uniform(0.1, 1.0))
    history.finish()


def run_stale_read(seed: int) -> None:
    """Reads from an isolated leader after the new leader has accepted a ticket.

    The read must either see the ticket or not be answered.
    """
    cluster = simulated_cluster.SimCluster(seed)
    cluster.run(1.0)
    old_leader = cluster.leader()
    assert old_leader is not None
    cluster.cut_links = {
        frozenset((old_leader.name, name))
        for name in cluster.nodes
        if name != old_leader.name
    }
    # Slows the old leader's clock to a tenth: reads must not depend on clocks.
    old_leader.clock_offset = (
        old_leader.clock(cluster.time) - 0.1 * cluster.time
    )
    old_leader.clock_rate = 0.1
    others = [node for node in cluster.nodes.values() if node is not old_leader]
    for _ in range(100):
        cluster.run(simulated_cluster.TICK_S)
        new_leaders = [
            node
            for node in others
            if node.core.replica.leads_with_committed_entry
        ]
        if new_leaders:
            _submit_ticket_then_read(
                cluster, new_leaders[0].name, old_leader.name
            )
            return


def _submit_ticket_then_read(
    cluster: simulated_cluster.SimCluster, new_leader: str, old_leader: str
) -> None:
    def read(reply: requests.AnyReply) -> None:
        is_stale = isinstance(reply, requests.TicketList) and not reply.tickets
        assert not is_stale, "a read missed an accepted ticket"

    def on_accepted(reply: requests.AnyReply) -> None:
        if isinstance(reply, requests.Proposed):
            cluster.send_request(
                "op", requests.ListTickets(1), read, old_leader
            )

    ticket = commands.SubmitTicket(1, (commands.DrainState("w0", True),))
    cluster.delay_s = 0.001
    cluster.send_request(
        "op", requests.Propose(ticket), on_accepted, new_leader
    )
    cluster.run(0.5)


def run_slow_worker(seed: int) -> None:
    """Runs a history in which workers get replies late and are then cut off.

    A worker that counted its lease from the reply would run its tasks for
    longer than the leader waits before it grants them again.
    """
    history = History(seed, millicores=8000)
    cluster = history.cluster
    for worker in history.workers:
        cluster.delay_by_name = {worker.name: 0.3}
        history.submit_jobs()
        cluster.run(0.9)
        cluster.cut_links = {
            frozenset((worker.name, name)) for name in cluster.nodes
        }
        cluster.run(2.5)
        cluster.cut_links = set()
    history.finish()


def run_replacement(seed: int) -> None:
    """Loses one of the two disks that hold the newest log, replaces its keeper.

    The third keeper is cut off before, so that only the leader and the lost
    keeper hold the newest entries. The keeper must not vote with its empty
    disk, or those entries could be lost.
    """
    cluster = simulated_cluster.SimCluster(seed)
    entry = simulated_cluster.SimEntry(cluster, "e0")
    cluster.run(1.0)
    leader = cluster.leader()
    assert leader is not None
    behind, lost = [
        node for node in cluster.nodes.values() if node is not leader
    ]
    cluster.cut_links = {
        frozenset((behind.name, name)) for name in cluster.nodes
    }
    cluster.run(1.0)
    for node in (leader, lost):
        cluster.crash(node.name, before_sync=False)
    lost.disk = simulated_cluster.Disk()
    lost.start(cluster.time)
    cluster.cut_links = set()
    cluster.run(2.0)
    leader.start(cluster.time)
    cluster.run(2.0)
    cluster.add_node("k4")
    wanted = tuple(
        simulated_cluster.keeper_address(name)
        for name in (leader.name, behind.name, "k4")
    )
    ticket = commands.SubmitTicket(9, (commands.KeeperSet(keepers=wanted),))
    for _ in range(3):
        cluster.send_request("op", requests.Propose(ticket), lambda reply: None)
        cluster.run(1.0)
    cluster.crash(
        cluster.rng.choice((leader.name, behind.name)), before_sync=True
    )
    run_count_before = len(entry.run_count_by_key)
    cluster.run(2.0)
    new_leader = cluster.leader()
    assert new_leader is not None, "no leader after the replacement"
    voters = {item.keeper for item in new_leader.core.replica.membership.voters}
    assert voters == {leader.name, behind.name, "k4"}, voters
    assert len(entry.run_count_by_key) >= run_count_before


RUN_BY_KIND: dict[str, Callable[[int], None]] = {
    "fault": run_seeded,
    "stale read": run_stale_read,
    "slow worker": run_slow_worker,
    "replacement": run_replacement,
}


# Hypothesis derives the seed of derandomized tests from the source of this class,
# docstrings included. A change to it, even of a name, changes the histories.
class Machine(stateful.RuleBasedStateMachine):
    """Histories chosen by Hypothesis, which also shrinks what it finds."""

    @stateful.initialize(
        seed=strategies.integers(0, 2**32),
        keepers=strategies.sampled_from([3, 5]),
    )
    def begin(self, seed: int, keepers: int) -> None:
        self.history = History(seed, keepers)

    @stateful.rule(
        fault=strategies.sampled_from(History.FAULTS),
        seconds=strategies.floats(0.05, 1.2),
    )
    def befall(self, fault: Callable[[History], None], seconds: float) -> None:
        fault(self.history)
        self.history.cluster.run(seconds)

    def teardown(self) -> None:
        if hasattr(self, "history"):
            self.history.finish()


def run_machine(examples: int, steps: int) -> None:
    """Runs histories chosen by Hypothesis, the same ones in each test run."""
    stateful.run_state_machine_as_test(
        Machine,
        settings=hypothesis_settings(
            max_examples=examples,
            stateful_step_count=steps,
            derandomize=True,
            deadline=None,
            database=None,
        ),
    )


def main() -> int:
    """Runs the histories with the seeds FIRST to LAST, given as arguments."""
    first, last = (int(text) for text in sys.argv[1:])
    failures = 0
    for seed in range(first, last + 1):
        try:
            run_seeded(seed, faults=60, keepers=3 if seed % 3 else 5)
        except AssertionError as error:
            failures += 1
            print(f"seed {seed}: {error}", flush=True)
    print(f"{last - first + 1 - failures} passed, {failures} failed")
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
