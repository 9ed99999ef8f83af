"""Steps on when and where workers report, and when reports are answered."""

from collections.abc import Sequence
import dataclasses
import random
from typing import Any
from typing import cast

from behave import given
from behave import then
from behave import when

from features.steps import filling_steps
from features.support import leader_checks
from fulmarrouter import commands
from fulmarrouter import consensus
from fulmarrouter import ids
from fulmarrouter import messages
from fulmarrouter import raft_log
from fulmarrouter import read_index
from fulmarrouter.cluster import controller as controller_lib
from fulmarrouter.cluster import dispatcher
from fulmarrouter.cluster import log_commands
from fulmarrouter.cluster import model
from fulmarrouter.cluster import report_relays
from fulmarrouter.cluster import report_timing
from fulmarrouter.cluster import requests
from fulmarrouter.cluster import snapshots
from fulmarrouter.cluster import state as state_lib

TURN_S = 0.005
CONTROL_PORT = 8166
REPORTS_PER_S = 500
DIRECT_WORKERS = 48
CLIENT = read_index.Client(ids.ConnectionId(1), ids.CallId(1))


# Report intervals and hosts.


@when(
    "a worker with {free:d} of 64 cores free, among {workers:d} workers, is"
    " told when to report"
)
def step_next_report(context: Any, free: int, workers: int) -> None:
    context.report_interval_ms = report_timing.next_report_ms(
        free * 1000, 64_000, workers, REPORTS_PER_S
    )


@then("it reports again after {after:d} ms")
def step_report_interval(context: Any, after: int) -> None:
    assert context.report_interval_ms == after, context.report_interval_ms


def _choose_hosts(workers: int, others: list[str]) -> dict[str, str]:
    return {
        f"w{n}": report_relays.choose_report_host(
            f"w{n}", "leader", others, workers, DIRECT_WORKERS
        )
        for n in range(workers)
    }


@when(
    "{workers:d} workers are told where to report, with {others:d} other"
    " keepers connected"
)
def step_choose_report_hosts(context: Any, workers: int, others: int) -> None:
    context.other_hosts = [f"10.0.0.{n}" for n in range(others)]
    context.host_by_worker = _choose_hosts(workers, context.other_hosts)


@then(
    "the leader receives the reports of {leader:d} of them and each other"
    " keeper those of at least {each:d}"
)
def step_workers_per_host(context: Any, leader: int, each: int) -> None:
    hosts = list(context.host_by_worker.values())
    assert hosts.count("leader") == leader, hosts.count("leader")
    for host in context.other_hosts:
        assert hosts.count(host) >= each, (host, hosts.count(host))


@when(
    "{workers:d} workers are told where to report and one of {others:d} other"
    " keepers fails"
)
def step_relay_fails(context: Any, workers: int, others: int) -> None:
    hosts = [f"10.0.0.{n}" for n in range(others)]
    context.failed_host = hosts[1]
    context.hosts_before = _choose_hosts(workers, hosts)
    context.hosts_after = _choose_hosts(
        workers, [host for host in hosts if host != context.failed_host]
    )


@then("no worker of the remaining keepers is reassigned")
def step_other_workers_keep_host(context: Any) -> None:
    for worker, host in context.hosts_before.items():
        if host != context.failed_host:
            assert context.hosts_after[worker] == host


# A leading controller.


class SingleVoterLeader:
    """A controller that leads as the only voter, on a disk that never fails.

    Args:
        commands_in_log: Committed commands that its log holds when it starts.
        state: The state in its snapshot.
        job_id_hex_digits: As in the settings of a controller.
        fails: Whether something is made to fail on it.
    """

    def __init__(
        self,
        commands_in_log: Sequence[log_commands.AnyCommand] = (),
        state: state_lib.State | None = None,
        job_id_hex_digits: int = 0,
        fails: bool = False,
    ) -> None:
        self._fails = fails
        member = commands.KeeperAddress("k", "10.0.0.1", 7720)
        saved = consensus.PersistentState(
            consensus.HardState(),
            raft_log.SnapshotData(
                1,
                1,
                messages.Membership(voters=(member,)),
                snapshots.encode(state) if state is not None else b"",
            ),
            tuple(
                messages.Entry(
                    index,
                    1,
                    messages.EntryKind.COMMAND,
                    log_commands.encode(command),
                )
                for index, command in enumerate(commands_in_log, start=2)
            ),
        )
        replica = consensus.Replica(
            "k", saved, consensus.Timing(), random.Random(1), 0.0
        )
        self.controller = controller_lib.Controller(
            replica,
            controller_lib.ControllerSettings(
                1, CONTROL_PORT, job_id_hex_digits=job_id_hex_digits
            ),
            dispatcher.DispatchSettings(),
        )
        self.now = 10.0
        self.read_rounds = 0
        original_begin = replica.begin_read_round

        def count_and_begin() -> int | None:
            self.read_rounds += 1
            return original_begin()

        cast(Any, replica).begin_read_round = count_and_begin
        for _ in range(40):
            self.turn()
        assert self.controller.state.is_open
        self._sequence = 0

    def turn(self) -> list[read_index.Answered[requests.AnyReply]]:
        """Runs one turn: a tick, the disk write and the answers."""
        self.now += TURN_S
        self.controller.tick(self.now, 0)
        self.controller.replica.take_output()
        answered = self.controller.apply_committed(
            self.now, 0, self.controller.replica.log.last_index
        )
        if not self._fails:
            leader_checks.check(self.controller)
        return answered

    def report(
        self,
        running: tuple[requests.ActiveRun, ...] = (),
        ended: tuple[requests.EndedRun, ...] = (),
    ) -> None:
        """Passes a report of the only worker, of 8 cores, to the controller."""
        self._sequence += 1
        report = requests.WorkerReport(
            worker=model.WorkerId("w"),
            incarnation=1,
            sequence=self._sequence,
            service=filling_steps.SERVICE,
            address="",
            zone="z",
            machine="m",
            rack="r",
            labels=(),
            capacity=commands.Resources(8_000, 1_000, 0),
            draining=False,
            drain_time_left_ms=0,
            running=running,
            ended=ended,
        )
        self.controller.on_request(self.now, 0, CLIENT, report)

    def submit(self, job: str, millicores: int) -> None:
        """Commits a job of one task."""
        spec = model.JobSpec(
            "payload", (filling_steps.ordinary_step(millicores),)
        )
        self.controller.replica.propose(
            log_commands.encode(
                log_commands.SubmitJob(
                    model.JobId(job), filling_steps.QUEUE, spec, 0
                )
            )
        )
        for _ in range(4):
            self.turn()

    def wait_for_answer(self, turns: int) -> tuple[requests.Orders | None, int]:
        """Runs turns until a report is answered, at most the given number.

        Returns:
            The answer, or None if there was none, and the number of turns run.
        """
        for turn in range(turns):
            for answered in self.turn():
                assert isinstance(answered.reply, requests.Orders)
                return answered.reply, turn + 1
        return None, turns


@given(
    "a leading controller and a worker whose task ends, while {waiting:d} tasks"
    " wait"
)
def step_leader_and_ending_task(context: Any, waiting: int) -> None:
    context.leader = leader = SingleVoterLeader()
    leader.report()
    assert leader.wait_for_answer(10)[0]
    leader.submit("0a", 7_000)
    leader.report()
    orders, _ = leader.wait_for_answer(10)
    assert orders is not None and len(orders.starts) == 1
    start = orders.starts[0]
    context.active_run = requests.ActiveRun(start.task, start.run, "", 50)
    leader.report((context.active_run,))
    assert leader.wait_for_answer(10)[0]
    for number in range(waiting):
        leader.submit(f"{number + 16:x}", 5_000)
    leader.read_rounds = 0


@when("the end is reported")
def step_end_reported(context: Any) -> None:
    run = context.active_run
    ended = requests.EndedRun(1, run.task, run.run, model.Outcome.DONE, "")
    context.leader.report(ended=(ended,))
    context.orders, context.answer_turns = context.leader.wait_for_answer(40)


@then("the answer comes {moment} and starts {starts:d} tasks")
def step_answer_time(context: Any, moment: str, starts: int) -> None:
    assert context.orders is not None
    held_s = context.answer_turns * TURN_S
    if moment == "at once":
        assert held_s < report_timing.ANSWER_HOLD_S / 2, held_s
    else:
        assert held_s <= report_timing.ANSWER_HOLD_S + 2 * TURN_S, held_s
    assert len(context.orders.starts) == starts, context.orders.starts


@when("the end is reported and the leader is paused for {pause:g} s")
def step_report_end_and_pause(context: Any, pause: float) -> None:
    run = context.active_run
    ended = requests.EndedRun(1, run.task, run.run, model.Outcome.DONE, "")
    leader = context.leader
    leader.report(ended=(ended,))
    assert leader.wait_for_answer(4)[0] is None
    context.rounds_before_pause = leader.read_rounds
    leader.now += pause
    context.orders, _ = leader.wait_for_answer(40)


@then("it {verdict} before it answers")
def step_new_confirmation(context: Any, verdict: str) -> None:
    assert context.orders is not None
    assert context.orders.lease_ms > 0
    new_rounds = context.leader.read_rounds - context.rounds_before_pause
    assert new_rounds == (verdict == "asks for a new confirmation"), new_rounds


# Batches of requests that share a confirmation.


@dataclasses.dataclass
class _FakeLog:
    last_index: int = 0


class _SlowReplica:
    """A replica whose rounds are confirmed after a fixed time."""

    def __init__(self, confirmation_s: float) -> None:
        self.now = 0.0
        self.applied_index = 0
        self.log = _FakeLog()
        self.confirmation_s = confirmation_s
        self.round_start_times: list[float] = []

    def begin_read_round(self) -> int:
        """Starts a round and returns its number."""
        self.round_start_times.append(self.now)
        return len(self.round_start_times)

    def is_round_confirmed(self, number: int) -> bool:
        """Whether a round is confirmed; round 0 always is."""
        if not number:
            return True
        return (
            self.now >= self.round_start_times[number - 1] + self.confirmation_s
        )


@when(
    "{count:d} requests arrive within {span:d} ms and each confirmation takes"
    " {round_ms:d} ms"
)
def step_requests_arrive(
    context: Any, count: int, span: int, round_ms: int
) -> None:
    replica = _SlowReplica(round_ms / 1000)
    waiting: read_index.ReadIndexQueue[int] = read_index.ReadIndexQueue(
        cast(consensus.Replica, replica)
    )
    context.answered = 0
    context.count = count
    arrived = 0
    for tenths_of_ms in range(10 * (span + 100)):
        replica.now = tenths_of_ms / 10_000
        while arrived < count and arrived * span / count <= tenths_of_ms / 10:
            waiting.add(replica.now, CLIENT, arrived)
            arrived += 1
        waiting.start_round(replica.now)
        context.answered += len(waiting.take_confirmed(replica.now))
        assert not waiting.take_expired(replica.now)
    context.started_rounds = len(replica.round_start_times)


@then("at most {rounds:d} confirmations are started and all are answered")
def step_max_rounds(context: Any, rounds: int) -> None:
    assert context.started_rounds <= rounds, context.started_rounds
    assert context.answered == context.count, context.answered
