"""Measures processor time and memory of decisions by size of the deployment.

Measured in one process: heartbeats, placement and idle ticks of the leader, its
memory and snapshots, routing choices, log writes, and the replay after a
restart.
"""

import gc
import pathlib
import random
import tempfile
import time

from bench import measurements
from fulmarrouter import commands
from fulmarrouter import consensus
from fulmarrouter import ids
from fulmarrouter import leader
from fulmarrouter import messages
from fulmarrouter import requests
from fulmarrouter import routing
from fulmarrouter import state as state_lib
from fulmarrouter import state_machine
from fulmarrouter import storage

WORKER_COUNTS = (100, 1000, 7400)
TASKS_PER_WORKER = 19


def _resident_mb() -> float:
    return measurements.memory_mb(
        int(pathlib.Path("/proc/self").resolve().name)
    )[0]


def _build_state(
    workers: int, tasks: int, teams: int = 10
) -> tuple[state_lib.State, int]:
    """Builds a state with running tasks by applying log commands."""
    state = state_lib.State()
    index = 0
    capacity = commands.Resources(64_000, 250_000, 0)
    for number in range(workers):
        index += 1
        announcement = commands.AnnounceWorker(f"w{number}", 1, capacity)
        state_machine.apply(state, index, announcement)
    for number in range(tasks):
        kind = (
            commands.JobKind.SERVICE
            if number % 6 == 0
            else commands.JobKind.BATCH
        )
        spec = commands.JobSpec(
            f"job-{number}",
            f"team-{number % teams}",
            f"class-{number % 8}",
            kind,
            needs=commands.Resources(1000, 1000, 0),
            idempotent=True,
        )
        index += 1
        state_machine.apply(state, index, commands.SubmitJob(spec, 0))
        worker = f"w{number % workers}"
        grant = commands.GrantLease(spec.job, worker, 1, 1, 0)
        state_machine.apply(state, index + 1, grant)
        task_report = commands.ReportTask(
            spec.job, 1, worker, commands.TaskEvent.STARTED, 0, 0, 0
        )
        index += 2
        state_machine.apply(state, index, task_report)
    return state, index


def _heartbeat(worker: str) -> requests.WorkerHeartbeat:
    usage = tuple(
        requests.UsageReport(f"job-{number}", 1, tail_ms=10.0 + number % 7)
        for number in range(3)
    )
    capacity = commands.Resources(64_000, 250_000, 0)
    return requests.WorkerHeartbeat(worker, 1, capacity, usage=usage)


def _time_idle_tick(
    core: leader.Leader, now: float, state: state_lib.State
) -> float:
    return measurements.cpu_per_call(lambda: core.tick(now, 0, state), 200)


def _bench_workers() -> None:
    for workers in WORKER_COUNTS:
        state, index = _build_state(workers, workers * TASKS_PER_WORKER)
        core = leader.Leader(leader.LeaseSettings(), random.Random(1))
        core.start_term(0.0, state)
        rng = random.Random(2)

        def send_heartbeat(
            core: leader.Leader = core,
            state: state_lib.State = state,
            rng: random.Random = rng,
            workers: int = workers,
        ) -> None:
            request = _heartbeat(f"w{rng.randrange(workers)}")
            core.on_worker_heartbeat(1.0, 0, state, request)
            core.worker_orders(state, request)

        heartbeat_us = measurements.cpu_per_call(send_heartbeat, 1000)
        grants = 0
        before = time.process_time()
        now = 1.0
        for wave in range(8):
            for number in range(64):
                spec = commands.JobSpec(
                    f"new-{wave}-{number}",
                    "team-1",
                    "class-1",
                    needs=commands.Resources(1000, 1000, 0),
                )
                index += 1
                state_machine.apply(state, index, commands.SubmitJob(spec, 0))
            now += 0.06
            for command in core.tick(now, 0, state):
                index += 1
                state_machine.apply(
                    state, index, commands.decode(commands.encode(command))
                )
                grants += isinstance(command, commands.GrantLease)
        start_us = (time.process_time() - before) / max(grants, 1) * 1e6
        core.tick(now + 0.3, 0, state)
        idle_us = _time_idle_tick(core, now, state)
        now += 1.0
        start = time.process_time()
        core.tick(now, 0, state)
        sweep_us = (time.process_time() - start) * 1e6
        print(
            f"workers {workers}: heartbeat {heartbeat_us:.0f} us, start"
            f" {start_us:.0f} us (of {grants}), idle tick {idle_us:.0f} us,"
            f" sweep {sweep_us:.0f} us"
        )


def _bench_memory() -> None:
    for tasks in (1000, 10_000, 50_000):
        gc.collect()
        before = _resident_mb()
        state, _ = _build_state(max(tasks // TASKS_PER_WORKER, 60), tasks)
        state.events.clear()
        gc.collect()
        used_bytes = (_resident_mb() - before) * 1024 * 1024
        start = time.process_time()
        snapshot = state_lib.encode(state)
        encode_ms = (time.process_time() - start) * 1000
        print(
            f"tasks {tasks}: {used_bytes / tasks:.0f} bytes resident each, snapshot"
            f" {len(snapshot) / tasks:.0f} bytes each, encoded in {encode_ms:.0f} ms"
        )
        del state, snapshot


def _bench_teams() -> None:
    for teams in (10, 710):
        state, index = _build_state(100, 100, teams)
        for number in range(2000):
            spec = commands.JobSpec(
                f"q-{number}",
                f"team-{number % teams}",
                needs=commands.Resources(1, 1),
            )
            state_machine.apply(
                state, index + number, commands.SubmitJob(spec, 0)
            )
        core = leader.Leader(leader.LeaseSettings(), random.Random(1))
        core.start_term(0.0, state)
        start = time.process_time()
        count = len(core.tick(1.0, 0, state))
        per_start = (time.process_time() - start) / count * 1e6
        print(
            f"teams {teams}: decision {per_start:.0f} us per start of {count}"
        )


def _bench_routing() -> None:
    for endpoints in (24, 100, 1000):
        router = routing.Router(random.Random(3))
        views = tuple(
            requests.EndpointView(
                f"p{item}", 1, "s", "127.0.0.1", 1, "", True, 8, 64, 1, 8
            )
            for item in range(endpoints)
        )
        router.open_session(ids.SessionId(1))
        router.apply_view(0.0, requests.EntryView(3000, "v", True, 1, views))

        def route(router: routing.Router = router) -> None:
            slot_request = routing.SlotRequest(1, "s", "c", 2.0)
            assignment = router.admit(0.0, slot_request)
            assert isinstance(assignment, routing.Assignment)
            router.release(0.001, assignment, routing.AttemptOutcome.ANSWERED)

        print(
            f"endpoints {endpoints}: routing choice"
            f" {measurements.cpu_per_call(route, 1000):.0f} us"
        )


def _bench_log() -> None:
    spec = commands.JobSpec("job-123456", "team-12", "class-3")
    command_by_name: dict[str, commands.AnyCommand] = {
        "submit": commands.SubmitJob(spec, 1_800_000_000_000),
        "grant": commands.GrantLease(
            "job-123456", "w1234", 1, 1, 1_800_000_000_000
        ),
        "started": commands.ReportTask(
            "job-123456",
            1,
            "w1234",
            commands.TaskEvent.STARTED,
            0,
            0,
            1_800_000_000_000,
        ),
        "ticket": commands.SubmitTicket(
            1,
            (commands.ServicePolicy(name="booking"),),
            "anna",
            1_800_000_000_000,
        ),
    }
    for name, command in command_by_name.items():
        print(
            f"log bytes {name}: {len(commands.encode(command))}; lease renewal: 0"
        )
    with tempfile.TemporaryDirectory() as folder:
        store = storage.Storage(pathlib.Path(folder))
        store.load()
        index = 0
        for batch in (1, 8, 64):
            start = time.perf_counter()
            for _ in range(200):
                entries = []
                for _ in range(batch):
                    index += 1
                    entries.append(
                        messages.Entry(
                            index, 1, messages.EntryKind.COMMAND, b"x" * 120
                        )
                    )
                store.write(consensus.Output(entries=entries), [])
            rate = 200 * batch / (time.perf_counter() - start)
            print(f"synced entries/s in groups of {batch}: {rate:.0f}")


def _bench_restart() -> None:
    for tickets in (500, 10_000):
        with tempfile.TemporaryDirectory() as folder:
            store = storage.Storage(pathlib.Path(folder))
            store.load()
            entries = []
            for number in range(1, tickets + 1):
                item = commands.DrainState(f"w{number % 50}", True)
                command = commands.SubmitTicket(number, (item,), "anna", 0)
                entries.append(
                    messages.Entry(
                        number,
                        1,
                        messages.EntryKind.COMMAND,
                        commands.encode(command),
                    )
                )
            for first in range(0, tickets, 50):
                store.write(
                    consensus.Output(entries=entries[first : first + 50]), []
                )
            store.close()
            start = time.perf_counter()
            recovered = storage.Storage(pathlib.Path(folder)).load()
            state = state_lib.State()
            for entry in recovered.entries:
                state_machine.apply(
                    state, entry.index, commands.decode(entry.data)
                )
            elapsed = (time.perf_counter() - start) * 1000
            print(f"restart after {tickets} tickets: {elapsed:.0f} ms")


def main() -> None:
    """Runs all benchmarks."""
    _bench_memory()
    _bench_workers()
    _bench_teams()
    _bench_routing()
    _bench_log()
    _bench_restart()


if __name__ == "__main__":
    main()
