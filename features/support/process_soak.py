"""Random faults on real nodes with slow disks, under load.

Simulated workers check in their shared view that each start keeps the rules.
The order of faults, jobs and delays follows from the seed; their interleaving
with the processes does not.

Usage: python -m features.support.process_soak FIRST LAST [FOLDER]

The records and logs of seeds with violations are kept in FOLDER.
"""

from collections.abc import Callable
import dataclasses
import functools
import pathlib
import queue
import random
import shutil
import signal
import sys
import tempfile
import threading
import time

from features.support import run_checks
from features.support import soak_clients
from features.support import soak_nodes
from features.support import soak_workers

DISKS = 3
CLIENTS = 3
FAULTS_S = 26.0
START_TIMEOUT_S = 30.0
# Longer than the rules allow, since the machine may be busy.
END_TIMEOUT_S = 60.0
# Share of the stops of serving tasks during which a worker beside restarts.
MOVE_FAULT_SHARE = 0.5
RESTART_S = 0.05
SMALL_LIFE_S = 1.5
# For how long jobs are submitted to a queue whose service has no workers.
RETIRED_S = 4.0
# Workers that start again and are cut off soon after: the times between them, until
# one is back, until it is cut off, and for how long.
RECUT_INTERVAL_S = (1.5, 4.0)
RECUT_DOWN_S = (0.05, 0.7)
RECUT_DELAY_S = (0.1, 2.0)
RECUT_S = (2.0, soak_workers.HOLD_MAX_S + 3.0)
# Share of them for which a leave of the earlier life arrives late.
LATE_LEAVE_SHARE = 0.3
# Time between two workers that are told to leave; half of them aren't answered.
DRAIN_INTERVAL_S = (0.8, 2.4)
# Share of them that aren't heard at first, and for how long. More of their runs may end
# meanwhile than one report lists.
UNHEARD_DRAIN_SHARE = 0.5
UNHEARD_DRAIN_S = (0.5, 2.0)
# Mean times between faults; under few of them more serving tasks are moved.
NODE_INTERVALS_S = (1.6, 4.0, 8.0)
WORKER_INTERVALS_S = (1.5, 4.0)
WORKERS = (
    ("w1", "booking", ("a", "r-1")),
    ("w2", "booking", ("b", "r-1")),
    ("w3", "booking", ("a", "r-1")),
    ("w4", "booking", ("b", "r-2")),
    ("w5", "booking", ("a", "r-2")),
    ("w6", "booking", ("b", "r-2")),
    ("w7", "depot", ("a", "r-3")),
    ("w8", "depot", ("a", "r-3")),
    ("w9", "annex", ("a", "r-4")),
    ("w10", "annex", ("b", "r-4")),
)
# They keep their labels, so that each job can end.
STEADY_LABELS = ("w1", "w2", "w7")


@dataclasses.dataclass(frozen=True)
class Result:
    """What a seed did and which rules were broken."""

    starts: int
    moves: int
    assignments: int
    violations: tuple[str, ...]


class Soak:
    """One seed.

    Args:
        seed: Determines jobs, faults and delays.
        folder: Receives settings, data, logs and the record.
        faults_s: Time in which faults begin.
    """

    def __init__(
        self, seed: int, folder: pathlib.Path, faults_s: float = FAULTS_S
    ) -> None:
        self._faults_s = faults_s
        self._random = random.Random(f"soak {seed}")
        self._seed = seed
        self._record = run_checks.Record(folder / "record.txt")
        self._checks = run_checks.RunChecks(self._record)
        subnet = soak_nodes.free_subnet()
        count = DISKS + self._random.randint(1, 2)
        settings: dict[str, object] = {
            "max_worker_lease_ms": int(soak_workers.HOLD_MAX_S * 1000),
            "job_id_hex_digits": 16,
        }
        if seed % 3 == 0:
            # Reports then go through keepers that don't lead.
            settings["direct_workers"] = 0
        self._nodes = [
            soak_nodes.SoakNode(
                number, subnet, DISKS, folder, seed, settings, self._checks
            )
            for number in range(1, count + 1)
        ]
        self._controls = [node.control for node in self._nodes]
        is_guarded = seed % 2 == 0
        self._guarded = {
            "booking": is_guarded,
            "depot": not is_guarded,
            "annex": is_guarded,
        }
        self._operator = soak_clients.Operator(
            seed, self._controls, self._guarded
        )
        callers = [node.callers for node in self._nodes]
        self._clients = [
            soak_clients.Client(number, seed, callers, self._checks)
            for number in range(CLIENTS)
        ]
        self._lives: list[soak_workers.Worker] = []
        self._all_lives: list[soak_workers.Worker] = []
        self._threads: list[threading.Thread] = []
        self._births = 0
        self._lives_lock = threading.Lock()
        self._are_faults_over = threading.Event()

    def run(self) -> Result:
        """Runs the seed."""
        try:
            self._start()
            self._play_faults()
            self._settle()
        finally:
            self._are_faults_over.set()
            for client in self._clients:
                client.closing.set()
            for life in self._all_lives:
                if not life.has_ended:
                    life.crash()
            for node in self._nodes:
                node.stop()
            for thread in self._threads:
                thread.join()
            self._record.close()
        return Result(
            self._checks.starts,
            self._count("event='serving task moved'"),
            self._count("event='tasks assigned'"),
            tuple(self._checks.violations),
        )

    def _count(self, text: str) -> int:
        return sum(node.count_log_lines(text) for node in self._nodes)

    def _start(self) -> None:
        for node in self._nodes:
            node.start()
        until = time.monotonic() + START_TIMEOUT_S
        if not self._operator.replace(until):
            with self._checks.lock:
                self._checks.add_violation("no configuration acknowledged")
        for name, service, labels in WORKERS:
            self._add_worker(name, service, labels)
        for client in self._clients:
            client.start()

    def _add_worker(
        self,
        name: str,
        service: str,
        labels: tuple[str, str],
        capacity: dict[str, int] = soak_workers.CAPACITY,
    ) -> None:
        self._births += 1
        life = soak_workers.Worker(
            name,
            service,
            labels,
            self._guarded[service],
            self._controls,
            self._checks,
            f"{self._seed} {self._births}",
            capacity,
        )
        self._lives.append(life)
        self._all_lives.append(life)
        life.start()

    # Faults.

    def _play_faults(self) -> None:
        """Begins faults of nodes and of workers; they may overlap."""
        started = time.monotonic()
        self._run_aside(self._disturb_moves)
        self._run_aside(self._restart_and_cut_workers)
        self._run_aside(self._drain_workers)
        plan: list[tuple[float, Callable[[], None]]] = []
        for begin, interval, fault in (
            (4.0, self._random.choice(NODE_INTERVALS_S), self._disturb_node),
            (
                3.0,
                self._random.choice(WORKER_INTERVALS_S),
                self._disturb_worker,
            ),
            (2.0, 5.0, self._change_configuration),
        ):
            at = begin
            while at < self._faults_s:
                plan.append((at, fault))
                at += self._random.uniform(0.4, 1.6) * interval
        for at, fault in sorted(plan, key=lambda item: item[0]):
            time.sleep(max(0.0, started + at - time.monotonic()))
            fault()
        self._are_faults_over.set()

    def _run_aside(self, function: Callable[[], None]) -> None:
        thread = threading.Thread(target=function, daemon=True)
        self._threads.append(thread)
        thread.start()

    def _disturb_node(self) -> None:
        node = self._random.choice(self._nodes)
        prefers_reported = self._random.random() < 0.4
        kind = self._random.choice(
            ["kill", "restart", "freeze", "freeze", "reload"]
        )
        seconds = self._random.uniform(0.2, 3.5)
        if prefers_reported:
            addresses = [life.report_address for life in self._lives]
            for candidate in self._nodes:
                if candidate.control == addresses[0]:
                    node = candidate
        act = {
            "kill": node.kill_for,
            "restart": node.restart,
            "freeze": node.freeze_for,
            "reload": node.reload,
        }[kind]
        if not node.in_use.acquire(blocking=False):
            return

        def act_and_release() -> None:
            try:
                act(seconds)
            finally:
                node.in_use.release()

        self._run_aside(act_and_release)

    def _disturb_worker(self) -> None:
        with self._lives_lock:
            self._disturb_any_worker()

    def _disturb_any_worker(self) -> None:
        index = self._random.randrange(len(self._lives))
        kind = self._random.choice(["crash", "crash", "drain", "silence"])
        seconds = self._random.uniform(0.1, 2.0)
        is_changed = self._random.random() < 0.5
        life = self._lives[index]
        if life.is_draining or life.silent_until > time.monotonic():
            return
        if kind == "silence":
            silence_s = soak_workers.HOLD_MAX_S + seconds
            self._record.add("worker is silent", worker=life.name)
            life.silent_until = time.monotonic() + silence_s
            return
        kind_label, rack = life.labels
        if is_changed and life.name not in STEADY_LABELS:
            kind_label = "b" if kind_label == "a" else "a"
        name = life.name
        if kind == "drain" and name not in STEADY_LABELS:
            life.drain()
            name = f"{name}x"
        else:
            heartbeat = life.crash()
            late = threading.Timer(
                seconds + 0.3, self._send_late, [name, heartbeat]
            )
            self._threads.append(late)
            late.start()
        self._lives.pop(index)
        time.sleep(min(seconds, 0.5))
        self._add_worker(name, life.service, (kind_label, rack))

    def _disturb_moves(self) -> None:
        """Restarts workers while a task beside theirs is being stopped.

        A worker returns with a small capacity, so that its task is assigned to
        another one at the same time as the task that stops.
        """
        choice = random.Random(f"moves {self._seed}")
        while not self._are_faults_over.is_set():
            try:
                task = self._checks.stopped_tasks.get(timeout=0.1)
            except queue.Empty:
                continue
            job = self._checks.job_by_id[task.partition(".")[0]]
            is_chosen = choice.random() < MOVE_FAULT_SHARE
            delay_s = choice.uniform(0.0, 0.3)
            if job.is_cancelled or not is_chosen:
                continue
            time.sleep(delay_s)
            with self._lives_lock:
                with self._checks.lock:
                    beside = self._checks.lives_beside(task)
                chosen = [life for life in self._lives if life in beside]
                if not chosen:
                    continue
                life = choice.choice(chosen)
                if life.is_draining:
                    continue
                self._restart(life, soak_workers.SMALL_CAPACITY)
            self._run_aside(functools.partial(self._restore, life.name))

    def _restart(
        self, life: soak_workers.Worker, capacity: dict[str, int]
    ) -> None:
        """Restarts a worker; the caller holds the lock."""
        life.crash()
        self._lives.remove(life)
        time.sleep(RESTART_S)
        self._add_worker(life.name, life.service, life.labels, capacity)

    def _restore(self, name: str) -> None:
        """Gives a worker its capacity back; it may have restarted meanwhile."""
        time.sleep(SMALL_LIFE_S)
        with self._lives_lock:
            for life in list(self._lives):
                is_small = life.capacity == soak_workers.SMALL_CAPACITY
                if life.name == name and is_small:
                    self._restart(life, soak_workers.CAPACITY)

    def _restart_and_cut_workers(self) -> None:
        """Has workers start again under their id, and cuts them off soon after.

        A worker takes the answer that its earlier life was waiting for.
        """
        choice = random.Random(f"recut {self._seed}")
        while not self._are_faults_over.wait(choice.uniform(*RECUT_INTERVAL_S)):
            with self._lives_lock:
                life = choice.choice(self._lives)
                is_silent = life.silent_until > time.monotonic()
                if life.is_draining or is_silent:
                    continue
                life.crash()
                self._lives.remove(life)
                time.sleep(choice.uniform(*RECUT_DOWN_S))
                self._add_worker(
                    life.name, life.service, life.labels, life.capacity
                )
                successor = self._lives[-1]
                life.hand_over(successor)
            self._are_faults_over.wait(choice.uniform(*RECUT_DELAY_S))
            silent_s = choice.uniform(*RECUT_S)
            self._record.add("worker is cut off", worker=successor.name)
            successor.silent_until = time.monotonic() + silent_s
            if choice.random() < LATE_LEAVE_SHARE:
                path = f"/api/instances/{life.name}/leave"
                soak_workers.post(choice.choice(self._controls), path, None)

    def _drain_workers(self) -> None:
        """Has the busiest workers drain and leave; others take their places."""
        choice = random.Random(f"drain {self._seed}")
        while not self._are_faults_over.wait(choice.uniform(*DRAIN_INTERVAL_S)):
            with self._lives_lock:
                now = time.monotonic()
                candidates = [
                    life
                    for life in self._lives
                    if life.name not in STEADY_LABELS
                    and not life.is_draining
                    and life.silent_until <= now
                ]
                if not candidates:
                    continue
                life = max(candidates, key=lambda item: len(item.run_by_task))
                if choice.random() < UNHEARD_DRAIN_SHARE:
                    silent_s = choice.uniform(*UNHEARD_DRAIN_S)
                    life.silent_until = now + silent_s
                life.drain()
                self._lives.remove(life)
                self._add_worker(f"{life.name}x", life.service, life.labels)

    def _send_late(self, name: str, heartbeat: dict[str, object]) -> None:
        """Sends a heartbeat of a worker that has crashed."""
        path = f"/api/instances/{name}/heartbeat"
        soak_workers.post(self._controls[0], path, heartbeat)

    def _change_configuration(self) -> None:
        until = time.monotonic() + 2.0
        self._operator.replace(until)

    # The end.

    def _settle(self) -> None:
        """Lets the faults end and checks that each accepted job ends."""
        for thread in self._threads:
            thread.join()
        self._record.add("faults have ended")
        self._retire_service()
        for client in self._clients:
            client.closing.set()
        until = time.monotonic() + END_TIMEOUT_S
        for client in self._clients:
            client.join(max(0.0, until - time.monotonic()))
        # Filling tasks of all jobs may be paused while serving ones run.
        until = time.monotonic() + END_TIMEOUT_S
        for client in self._clients:
            self._cancel_lasting_jobs(client, until)
        until = time.monotonic() + END_TIMEOUT_S
        for client in self._clients:
            self._wait_for_jobs(client, until)
        until = time.monotonic() + END_TIMEOUT_S
        self._replace(run_checks.MOVED_QUEUE_SERVICES[0])
        while self._operator.read_version() != self._operator.version:
            if time.monotonic() > until:
                self._add_violation("CONFIG is older than acknowledged")
                break
            time.sleep(0.2)
        with self._checks.lock:
            self._checks.check_rejected_jobs()
        for node in self._nodes:
            node.check_at_end()

    def _retire_service(self) -> None:
        """Ends the workers of a service, and sends its queue elsewhere.

        Clients go on meanwhile, so that jobs wait for these workers.
        """
        stays, retires = run_checks.MOVED_QUEUE_SERVICES
        self._replace(retires)
        for life in list(self._lives):
            if life.service == retires:
                life.crash()
                self._lives.remove(life)
        time.sleep(RETIRED_S)
        self._replace(stays)

    def _replace(self, moved_to: str) -> None:
        until = time.monotonic() + END_TIMEOUT_S
        if not self._operator.replace(until, moved_to):
            self._add_violation("no configuration acknowledged")

    def _add_violation(self, rule: str, **fields: object) -> None:
        with self._checks.lock:
            self._checks.add_violation(rule, **fields)

    def _cancel_lasting_jobs(
        self, client: soak_clients.Client, until: float
    ) -> None:
        for job in client.jobs:
            # One that may have been accepted would pause filling tasks for ever.
            if job.is_lasting and not job.is_rejected:
                while not client.cancel(job) and time.monotonic() < until:
                    time.sleep(0.2)

    def _wait_for_jobs(self, client: soak_clients.Client, until: float) -> None:
        for job in client.jobs:
            if not job.is_accepted:
                continue
            ends = ("cancelled", "done") if job.is_cancelled else ("done",)
            while (state := client.show(job)) not in ends:
                if job.is_cancelled and state == "410":
                    break
                if time.monotonic() > until:
                    self._add_violation("LOST", job=job.id, state=state)
                    break
                time.sleep(0.1)
        client.close()


def run_seed(
    seed: int,
    folder: pathlib.Path | None = None,
    faults_s: float = FAULTS_S,
) -> Result:
    """Runs a seed; keeps its files in a folder if a rule was broken."""
    with tempfile.TemporaryDirectory(prefix="soak-") as temporary:
        result = Soak(seed, pathlib.Path(temporary), faults_s).run()
        if result.violations and folder is not None:
            shutil.copytree(
                temporary, folder / f"seed-{seed}", dirs_exist_ok=True
            )
    return result


def main() -> int:
    """Runs the seeds given as arguments; returns 1 if a rule was broken."""
    # So that the processes of a seed are ended with this one.
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(1))
    first, last = int(sys.argv[1]), int(sys.argv[2])
    folder = pathlib.Path(sys.argv[3]) if len(sys.argv) > 3 else None
    failed = 0
    for seed in range(first, last + 1):
        started = time.monotonic()
        result = run_seed(seed, folder)
        failed += bool(result.violations)
        print(
            f"seed {seed}: {result.starts} starts, {result.moves} moves,"
            f" {result.assignments} assignments,"
            f" {len(result.violations)} violations,"
            f" {time.monotonic() - started:.0f} s",
            flush=True,
        )
        for violation in result.violations:
            print(f"  {violation}", flush=True)
    print(f"{last - first + 1} seeds, {failed} with violations")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
