"""Steps for real processes that use the platform adapter."""

import concurrent.futures
import http.client
import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import threading
import time
from typing import Any
import urllib.parse

from behave import given
from behave import then
from behave import when
import yaml

ROOT = pathlib.Path(__file__).parents[2]
sys.path.append(str(ROOT / "platform"))

CALLER_PORT = 18161
READINESS_PORT = 18162
CONTROL_PORT = 18163
PEER_PORT = 18164
START_TIMEOUT_S = 20.0
LOG_DELAY_S = 2.0  # Longest time from a decision to its line in the log.
FAILING_PAYLOAD = "fail"


def configuration() -> dict[str, Any]:
    """Returns a configuration with one queue, as an operator sends it."""
    return {
        "version": 7,
        "routes": [
            {
                "name": "r1",
                "host": "h.example",
                "path_prefix": "/a/",
                "kind": "unsafe",
                "timeout_ms": 3000,
                "target_duration_ms": 1000,
                "priority": 0,
                "service": "s1",
                "max_attempts": 3,
                "stretch": 1.5,
            }
        ],
        "services": [{"name": "s1", "admission_control": True}],
        "limits": {"max_body_bytes": 262144},
    }


# Real processes.


def call(
    host: str,
    port: int,
    method: str,
    path: str,
    body: Any = None,
    headers: dict[str, str] | None = None,
    redirects: int = 2,
) -> tuple[int, bytes]:
    """Calls a process, following redirects; returns status and body."""
    connection = http.client.HTTPConnection(host, port, timeout=4)
    try:
        data = None if body is None else json.dumps(body)
        connection.request(method, path, data, headers or {})
        response = connection.getresponse()
        content = response.read()
        location = response.headers.get("Location")
    finally:
        connection.close()
    if response.status != 307 or location is None or redirects == 0:
        return response.status, content
    target = urllib.parse.urlsplit(location)
    assert target.hostname and target.port
    return call(
        target.hostname,
        target.port,
        method,
        target.path,
        body,
        headers,
        redirects - 1,
    )


class Process:
    """One process of the cluster, on a loopback address of its own.

    Args:
        number: Number in the name, the domain and the address of the process.
        seeds: Hosts of the seeds.
        folder: Data folder, if the process has a disk.
        extra_settings: Settings to add; they may override role, name and
            domain.
        is_first_start: Whether it is the first start of the deployment.
    """

    def __init__(
        self,
        number: int,
        seeds: list[str],
        folder: pathlib.Path | None,
        extra_settings: dict[str, Any] | None = None,
        is_first_start: bool = True,
    ) -> None:
        self.host = f"127.0.1.{number}"
        settings = {
            "role": "node",
            "name": f"node-{number}",
            "domain": f"zone-{number}",
            **(extra_settings or {}),
            "host": self.host,
            "peer_port": PEER_PORT,
            "callers": f"{self.host}:{CALLER_PORT}",
            "readiness": f"{self.host}:{READINESS_PORT}",
            "control": f"{self.host}:{CONTROL_PORT}",
            "seeds": [f"{seed}:{CONTROL_PORT}" for seed in seeds],
            "found_deployment": is_first_start,
            "data_folder": str(folder) if folder else "",
        }
        file = tempfile.NamedTemporaryFile(  # noqa: SIM115
            "w", suffix=".yaml", delete=False
        )
        with file:
            yaml.safe_dump(settings, file)
        self.process = subprocess.Popen(
            [sys.executable, str(ROOT / "platform" / "start.py")],
            env={**os.environ, "FULMARROUTER_CONFIG": file.name},
            cwd=ROOT,
            stdout=self._open_log(file.name + ".log"),
        )

    def _open_log(self, path: str) -> Any:
        self.log_path = pathlib.Path(path)
        return self.log_path.open("w")

    def log_lines(self, *parts: str) -> list[str]:
        """Returns the lines of the process's log that contain all parts."""
        return [
            line
            for line in self.log_path.read_text().splitlines()
            if all(part in line for part in parts)
        ]

    def is_ready(self) -> bool:
        """Whether the readiness check succeeds."""
        try:
            return (
                call(self.host, READINESS_PORT, "GET", "/api/readiness")[0]
                == 200
            )
        except OSError:
            return False


class _FakeWorker(threading.Thread):
    """A worker that speaks the documented protocol; its tasks take 0.2 s."""

    def __init__(self, name: str, hosts: list[str]) -> None:
        super().__init__(daemon=True)
        self._worker_name = name
        self._hosts = hosts
        self._address = (hosts[0], CONTROL_PORT)
        self._runs: dict[str, tuple[int, float]] = {}
        self._failing_tasks: set[str] = set()
        self._unacknowledged_ends: list[list[Any]] = []
        self._ended_count = 0
        self.leader = ""
        self.started: list[tuple[str, int]] = []
        self.stopping = False

    def run(self) -> None:
        """Sends heartbeats until stopped."""
        sequence = 0
        born = int(time.time() * 1000)
        while not self.stopping:
            sequence += 1
            now = time.monotonic()
            for task, (run, ends_at) in list(self._runs.items()):
                if now >= ends_at:
                    del self._runs[task]
                    self._ended_count += 1
                    ending = "failed" if task in self._failing_tasks else "done"
                    self._unacknowledged_ends.append(
                        [self._ended_count, task, run, ending, ""]
                    )
            heartbeat = {
                "service": "s1",
                "address": "127.0.0.1:1",
                "zone": "z",
                "version": "v1",
                "slots": 8,
                "state": "ready",
                "cold_remaining_ms": 0,
                "sequence": sequence,
                "born": born,
                "capacity": {"cpu": 8000, "mem_mb": 1000, "gpu": 0},
                "labels": ["a", "r1"],
                "machine": self._worker_name,
                "running": [
                    [task, run, "", 10] for task, (run, _) in self._runs.items()
                ],
                "ended": self._unacknowledged_ends,
            }
            path = f"/api/instances/{self._worker_name}/heartbeat"
            try:
                status, body = call(*self._address, "POST", path, heartbeat)
                answer = json.loads(body) if status == 200 else {}
            except (OSError, ValueError, http.client.HTTPException):
                status, answer = 0, {}
            if status != 200:
                host = self._hosts[sequence % len(self._hosts)]
                self._address = (host, CONTROL_PORT)
            self._apply_orders(answer)
            time.sleep(0.1)

    def _apply_orders(self, answer: dict[str, Any]) -> None:
        if "heartbeat_address" in answer:
            host, _, port = answer["heartbeat_address"].rpartition(":")
            self._address = (host, int(port))
            self.leader = host
        acknowledged = answer.get("ack_seq", 0)
        self._unacknowledged_ends = [
            item for item in self._unacknowledged_ends if item[0] > acknowledged
        ]
        for task, run, payload, _ in answer.get("start", []):
            if payload == FAILING_PAYLOAD:
                self._failing_tasks.add(task)
            if task not in self._runs:
                self.started.append((task, run))
            self._runs[task] = (run, time.monotonic() + 0.2)


def stop_processes(processes: list[Process]) -> None:
    """Kills the given processes and waits for them to exit."""
    for item in processes:
        if item.process.poll() is None:
            item.process.kill()
        item.process.wait(timeout=10)


@given("{disks:d} processes of a cluster with disks and {others:d} without")
def step_start_processes(context: Any, disks: int, others: int) -> None:
    folders = [pathlib.Path(tempfile.mkdtemp()) for _ in range(disks)]
    start_processes(context, [*folders, *[None] * others], disks)


def start_processes(
    context: Any, folders: list[pathlib.Path | None], disks: int
) -> None:
    """Starts a process for each data folder, or None for one without a disk.

    The first ones, as many as there are disks, are the seeds. The last one has no
    disk.
    """
    seeds = [f"127.0.1.{number}" for number in range(1, disks + 1)]
    context.processes = [
        Process(number, seeds, folder)
        for number, folder in enumerate(folders, start=1)
    ]
    context.add_cleanup(stop_processes, context.processes)
    context.diskless_process = context.processes[-1]
    wait_for(START_TIMEOUT_S, context.diskless_process.is_ready)


@given("{disks:d} processes of a cluster with disks and a seed that has none")
def step_start_with_diskless_seed(context: Any, disks: int) -> None:
    context.seeds = [f"127.0.1.{disks + 1}"]
    context.processes = [
        Process(
            number,
            context.seeds,
            pathlib.Path(tempfile.mkdtemp()) if number <= disks else None,
        )
        for number in range(1, disks + 2)
    ]
    context.add_cleanup(stop_processes, context.processes)
    context.seed_number = disks + 1
    wait_for(START_TIMEOUT_S, context.processes[-1].is_ready)


@when("the seed is killed and started again")
def step_restart_seed(context: Any) -> None:
    stop_processes([context.processes[-1]])
    context.processes.append(Process(context.seed_number, context.seeds, None))


@then("the seed knows the leader again within {seconds:d} seconds")
def step_seed_knows_leader(context: Any, seconds: int) -> None:
    wait_for(seconds, context.processes[-1].is_ready)


def wait_for(seconds: float, condition: Any) -> None:
    """Waits until a condition holds; fails after the given time."""
    until = time.monotonic() + seconds
    while not condition():
        assert time.monotonic() < until, (
            f"the condition did not hold within {seconds} s"
        )
        time.sleep(0.1)


@given("an operator's configuration and {count:d} fake workers")
def step_configure_and_add_workers(context: Any, count: int) -> None:
    def is_accepted() -> bool:
        status, _ = call(
            context.diskless_process.host,
            CONTROL_PORT,
            "POST",
            "/api/config/replace",
            configuration(),
        )
        return status == 200

    wait_for(START_TIMEOUT_S, is_accepted)
    hosts = [item.host for item in context.processes]
    context.workers = [
        _FakeWorker(f"w{number}", hosts) for number in range(count)
    ]
    for worker in context.workers:
        worker.start()
    context.jobs = 0


@when("a caller submits a job to the process without a disk")
def step_submit_job(context: Any) -> None:
    _submit(context, "text")


@when("a caller submits a job whose tasks fail")
def step_submit_failing_job(context: Any) -> None:
    _submit(context, FAILING_PAYLOAD)


def _submit(context: Any, payload: str) -> None:
    context.jobs += 1
    context.job_path = f"/a/{context.jobs:016x}"
    steps = [
        {"count": 3, "cpu": 500, "mem_mb": 10},
        {"count": 2, "cpu": 500, "mem_mb": 10, "after": [0]},
    ]
    body = {"spec": payload, "steps": steps}

    def is_accepted() -> bool:
        status, _ = call(
            context.diskless_process.host,
            CALLER_PORT,
            "POST",
            context.job_path,
            body,
            {"Host": "h.example"},
        )
        return status == 200

    wait_for(START_TIMEOUT_S, is_accepted)


@then("its tasks are all done within {seconds:d} seconds")
def step_tasks_done(context: Any, seconds: int) -> None:
    step_job_state(context, "done", seconds)


@then("its state is {state} within {seconds:d} seconds")
def step_job_state(context: Any, state: str, seconds: int) -> None:
    def is_reached() -> bool:
        status, body = call(
            context.diskless_process.host,
            CALLER_PORT,
            "GET",
            context.job_path,
            None,
            {"Host": "h.example"},
        )
        return status == 200 and json.loads(body) == {"state": state}

    wait_for(seconds, is_reached)


@then("the logs show under its id which runs failed and on which worker")
def step_failed_runs_logged(context: Any) -> None:
    job = context.job_path.rpartition("/")[2]
    found: list[str] = []

    def is_written() -> bool:
        found[:] = [
            line
            for item in context.processes
            for line in item.log_lines("event='job ended'", job, "FAILED")
        ]
        return bool(found)

    wait_for(LOG_DELAY_S, is_written)
    assert len(found) == 1, found
    runs = [
        line
        for item in context.processes
        for line in item.log_lines("event='run ended'", job, "FAILED")
    ]
    # The task that used up its attempts has run at least three times.
    assert len(runs) >= 3, runs
    assert all("worker='w" in line for line in runs)


@when("a caller asks for a queue that does not exist")
def step_request_unknown_queue(context: Any) -> None:
    context.request_id = "feedc0de00000001"
    status, _ = call(
        context.diskless_process.host,
        CALLER_PORT,
        "GET",
        "/nowhere/1",
        None,
        {"Host": "h.example", "Request-Id": context.request_id},
    )
    assert status == 404


@when("a caller submits a job while no keeper runs")
def step_submit_without_keepers(context: Any) -> None:
    for item in context.processes[:-1]:
        item.process.kill()
    context.request_id = "feedc0de00000002"
    time.sleep(1.5)
    status, _ = call(
        context.diskless_process.host,
        CALLER_PORT,
        "POST",
        "/a/00000000000000ff",
        {"spec": "text", "steps": [{"count": 1, "cpu": 1, "mem_mb": 1}]},
        {"Host": "h.example", "Request-Id": context.request_id},
    )
    assert status in (503, 504)


@then(
    "the log of the process without a disk shows under the request id that {reason}"
)
def step_refusal_logged(context: Any, reason: str) -> None:
    codes_by_reason = {
        "no queue has that path": ("NO_SUCH_QUEUE",),
        "no keeper could be reached": (
            "KEEPER_UNAVAILABLE",
            "PROPOSAL_UNKNOWN",
        ),
    }
    lines: list[str] = []

    def is_written() -> bool:
        # The process logs the refusal just after it sends the answer.
        lines[:] = context.diskless_process.log_lines(
            "event='request refused'", context.request_id
        )
        return bool(lines)

    wait_for(LOG_DELAY_S, is_written)
    assert len(lines) == 1, lines
    assert any(code in lines[0] for code in codes_by_reason[reason]), lines


@when("the leader process is killed")
def step_kill_leader(context: Any) -> None:
    leader = context.workers[0].leader
    for item in context.processes:
        if item.host == leader:
            item.process.kill()
            return
    raise AssertionError("no worker has been told the address of a leader")


@then("a process that is stopped with a signal ends within its grace period")
def step_graceful_shutdown(context: Any) -> None:
    for worker in context.workers:
        worker.stopping = True
    with concurrent.futures.ThreadPoolExecutor(1) as executor:
        context.diskless_process.process.send_signal(signal.SIGTERM)
        ended = executor.submit(context.diskless_process.process.wait, 10)
        assert ended.result() == 0
