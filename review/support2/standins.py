"""Stand-ins of the platform for the cases of the second review.

Nodes are the project's own processes, started with the command of the deploy file.
Clients, workers and links are small stand-ins that follow the users' pages. Every
address is a loopback address.
"""

from collections.abc import Callable
import contextlib
import http.client
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import traceback
from typing import Any

ROOT = pathlib.Path(__file__).resolve().parents[2]
FRONT_PORT = 8161
CONTROL_PORT = 8166
READY_PORT = 8167
METRICS_PORT = 9464
PEER_PORT = 7720
PORTS = (FRONT_PORT, CONTROL_PORT, READY_PORT, METRICS_PORT, PEER_PORT)
ZONES = ("jyl-a", "jyl-b", "jyl-c", "jyl-d")
GRACE_S = 6.0
ANSWER_TIMEOUT_S = 1.0
HEARTBEAT_S = 1.5
AFTER_END_S = 0.05
HOLD_MAX_S = 10.0
STOP_TIMEOUT_S = 0.4
DRAIN_S = 2.0
STARTUP_S = 0.4
SERVICE = "huvo11a"
HOST = "nony24.example"
PREFIX = "/pule252/"
CAPACITY = {"cpu": 64000, "mem_mb": 256000, "gpu": 0}
NEVER = float("inf")


class CannotRunError(Exception):
    """The case could not be run, which says nothing about the rule."""


class Record:
    """What was sent, answered and run, with the seconds since the start."""

    def __init__(self, path: pathlib.Path) -> None:
        self.lock = threading.RLock()
        self._started_at = time.monotonic()
        self._file = path.open("w", encoding="utf-8")

    def add(self, event: str, **fields: Any) -> None:
        """Writes one line."""
        with self.lock:
            text = " ".join(f"{key}={value}" for key, value in fields.items())
            elapsed = time.monotonic() - self._started_at
            if self._file.closed:
                return
            self._file.write(f"{elapsed:8.3f} {event} {text}\n")
            self._file.flush()

    def close(self) -> None:
        """Writes no more lines."""
        with self.lock:
            self._file.close()


def call(
    address: str,
    method: str,
    path: str,
    body: Any = None,
    host: str = "",
    timeout_s: float = ANSWER_TIMEOUT_S,
) -> tuple[int, bytes]:
    """Sends one request on a connection of its own; status 0 if unanswered."""
    connection = http.client.HTTPConnection(address, timeout=timeout_s)
    headers = {"Content-Type": "application/json"}
    if host:
        headers["Host"] = host
    text = None
    if body is not None:
        text = body if isinstance(body, bytes) else json.dumps(body).encode()
    try:
        connection.request(method, path, text, headers)
        response = connection.getresponse()
        return response.status, response.read()
    except (OSError, http.client.HTTPException):
        return 0, b""
    finally:
        connection.close()


class Node:
    """One machine of the system, which restarts at its address."""

    def __init__(
        self, number: int, subnet: str, disks: int, folder: pathlib.Path
    ) -> None:
        self.host = f"{subnet}.{number}"
        self.name = f"front-{number}"
        self.front = f"{self.host}:{FRONT_PORT}"
        self.control = f"{self.host}:{CONTROL_PORT}"
        self._settings_path = folder / f"{self.name}.yaml"
        self._log_path = folder / f"{self.name}.log"
        data = folder / f"{self.name}-data"
        self._data = str(data) if number <= disks else ""
        if self._data:
            data.mkdir()
        self._zone = ZONES[(number - 1) % len(ZONES)]
        self._seeds = [f"{subnet}.{seed}:{CONTROL_PORT}" for seed in (1, 2, 3)]
        self._is_first_start = True
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Starts the process as the deploy file says."""
        settings = {
            "role": "node",
            "name": self.name,
            "domain": self._zone,
            "host": self.host,
            "peer_port": PEER_PORT,
            "callers": self.front,
            "readiness": f"{self.host}:{READY_PORT}",
            "control": self.control,
            "metrics": f"{self.host}:{METRICS_PORT}",
            "seeds": self._seeds,
            "found_deployment": self._is_first_start,
            "data_folder": self._data,
            "tolerated_losses": {"vms": 1, "failure_domains": 0},
            "max_worker_lease_ms": int(HOLD_MAX_S * 1000),
            "checkpoint_restore_ms": 600,
            "stop_grace_s": GRACE_S,
            "link_mbps": 1000.0,
            "advice": "",
        }
        # JSON is valid YAML.
        self._settings_path.write_text(json.dumps(settings))
        self._is_first_start = False
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["FULMARROUTER_CONFIG"] = str(self._settings_path)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with self._log_path.open("ab") as log:
            self.process = subprocess.Popen(
                ["python3", "platform/start.py"],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def is_ready(self) -> bool:
        """Whether the node answers its readiness check with 200."""
        address = f"{self.host}:{READY_PORT}"
        return call(address, "GET", "/api/readiness")[0] == 200

    def stop(self) -> None:
        """Ends the process at once."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


def _free_subnet() -> str:
    choice = random.SystemRandom()
    for _ in range(100):
        subnet = f"127.{choice.randrange(2, 250)}.{choice.randrange(1, 250)}"
        try:
            for port in PORTS:
                with socket.socket() as probe:
                    probe.bind((f"{subnet}.1", port))
        except OSError:
            continue
        return subnet
    raise CannotRunError("no free loopback addresses")


class Link:
    """The path from one worker to the system; a relay that can be disturbed.

    Attributes:
        drops_answers: Nothing that the system sends arrives, so that no connection
            can be opened either.
        is_cut: Nothing arrives in either direction.
        hold_until: What the worker sends arrives only then.
    """

    def __init__(self) -> None:
        self.drops_answers = False
        self.is_cut = False
        self.hold_until = 0.0
        self._relay_by_address: dict[str, str] = {}
        self._lock = threading.Lock()

    def address_of(self, target: str) -> str:
        """Returns the address of the relay to a node."""
        with self._lock:
            known = self._relay_by_address.get(target)
            if known is None:
                listener = socket.create_server(("127.0.0.1", 0))
                known = f"127.0.0.1:{listener.getsockname()[1]}"
                self._relay_by_address[target] = known
                _spawn(self._accept, listener, target)
            return known

    def _accept(self, listener: socket.socket, target: str) -> None:
        while True:
            accepted, _ = listener.accept()
            _spawn(self._connect, accepted, target)

    def _connect(self, accepted: socket.socket, target: str) -> None:
        if self.drops_answers or self.is_cut:
            # The handshake of a new connection can't be completed.
            time.sleep(60)
            return
        host, _, port = target.rpartition(":")
        try:
            upstream = socket.create_connection((host, int(port)), 1.0)
        except OSError:
            accepted.close()
            return
        upstream.settimeout(None)
        _spawn(self._pump, accepted, upstream, True)
        self._pump(upstream, accepted, False)

    def _pump(
        self, source: socket.socket, target: socket.socket, is_request: bool
    ) -> None:
        try:
            while data := source.recv(1 << 16):
                if is_request:
                    time.sleep(max(0.0, self.hold_until - time.monotonic()))
                if self.is_cut or (self.drops_answers and not is_request):
                    continue
                target.sendall(data)
        except OSError:
            pass
        if not self.is_cut and not (self.drops_answers and not is_request):
            with contextlib.suppress(OSError):
                target.shutdown(socket.SHUT_WR)


def _spawn(function: Callable[..., None], *args: Any) -> None:
    threading.Thread(target=function, args=args, daemon=True).start()


class Run:
    """A run on a worker."""

    def __init__(self, task: str, run: int, ends_at: float) -> None:
        self.task = task
        self.run = run
        self.started_at = time.monotonic()
        self.ends_at = ends_at
        self.stops_at = NEVER


class Fleet:
    """All workers and what they have run.

    Attributes:
        violations: What broke a rule.
        starts: Time, task, run and worker of each start.
        ends: Time, task, run, worker and kind of each end.
    """

    def __init__(self, record: Record) -> None:
        self.record = record
        self.workers: list[Worker] = []
        self.violations: list[str] = []
        self.starts: list[tuple[float, str, int, str]] = []
        self.ends: list[tuple[float, str, int, str, str]] = []
        # Duration of a task in seconds, by job and step.
        self.duration_by_step: dict[tuple[str, int], float] = {}

    def violate(self, text: str) -> None:
        """Notes that a rule was broken."""
        self.violations.append(text)
        self.record.add("RULE BROKEN", what=text)

    def advance_all(self) -> None:
        """Lets every worker end what has ended by now."""
        for worker in self.workers:
            worker.advance(time.monotonic())


class Worker:
    """One life of a worker, on a thread of its own."""

    def __init__(
        self,
        fleet: Fleet,
        name: str,
        addresses: list[str],
        unanswered_leave_s: float = 4.0,
    ) -> None:
        self.name = name
        self.link = Link()
        self.running: dict[str, Run] = {}
        self.is_draining = False
        self.is_up = True
        self.before_leave: Callable[[], None] = lambda: None
        self.before_heartbeat: Callable[[], None] = lambda: None
        self.after_heartbeat_sent: Callable[[], None] = lambda: None
        self.born = int(time.time() * 1000)
        self._fleet = fleet
        self._record = fleet.record
        self._addresses = addresses
        self._index = random.randrange(len(addresses))
        self._own_address = ""
        self._connection: http.client.HTTPConnection | None = None
        self._connected_to = ""
        self._sequence = 0
        self._token = 0
        self._lease_until = 0.0
        self._closed: dict[str, int] = {}
        self._ended: list[list[Any]] = []
        self._last_end = 0
        self._leave_due = NEVER
        self._unanswered_leave_s = unanswered_leave_s
        self._exit_due = NEVER
        self._wake = threading.Event()
        fleet.workers.append(self)
        self._record.add("worker starts", worker=name, born=self.born)
        _spawn(self._report)

    def drain(self) -> None:
        """Has it say that it drains; it leaves once that is acknowledged."""
        self.is_draining = True
        self._record.add("worker drains", worker=self.name)

    def crash(self) -> None:
        """Ends it and all that it runs at once, without a word."""
        with self._fleet.record.lock:
            self.advance(time.monotonic())
            self._halt("worker crashes")

    def _halt(self, event: str) -> None:
        self._record.add(event, worker=self.name, running=list(self.running))
        self.is_up = False
        now = time.monotonic()
        for run in self.running.values():
            self._fleet.ends.append((now, run.task, run.run, self.name, "lost"))
        self.running.clear()
        self._wake.set()

    # Runs. The lock of the record is held.

    def advance(self, now: float) -> None:
        """Ends what has ended by now."""
        for run in list(self.running.values()):
            due = min(run.ends_at, run.stops_at, self._lease_until)
            if due > now:
                continue
            how = "stopped" if due == run.stops_at else "lapsed"
            how = "done" if due == run.ends_at else how
            self._end(run.task, run.run, how)

    def _end(self, task: str, run: int, how: str) -> None:
        self.running.pop(task, None)
        self._closed[task] = max(run, self._closed.get(task, 0))
        self._last_end += 1
        self._ended.append([self._last_end, task, run, how, ""])
        self._fleet.ends.append((time.monotonic(), task, run, self.name, how))
        self._record.add("ended", worker=self.name, task=task, run=run, how=how)
        self._wake.set()

    def _start(self, order: list[Any]) -> None:
        task, run = order[0], order[1]
        known = self.running.get(task)
        if known is not None and known.run >= run:
            return
        if run <= self._closed.get(task, 0) or known is not None:
            self._end(task, run, "refused")
            return
        self._fleet.advance_all()
        job, _, step, _ = task.split(".")
        duration_s = self._fleet.duration_by_step[job, int(step)]
        now = time.monotonic()
        self._record.add("started", worker=self.name, task=task, run=run)
        for other in self._fleet.workers:
            if other is not self and other.is_up and task in other.running:
                self._fleet.violate(
                    f"TWICE: run {run} of {task} starts on {self.name} while run"
                    f" {other.running[task].run} is at work on {other.name},"
                    " which is up"
                )
        self.running[task] = Run(task, run, now + duration_s)
        self._fleet.starts.append((now, task, run, self.name))

    def _stop(self, task: str, run: int) -> None:
        known = self.running.get(task)
        if known is None or known.run > run:
            self._closed[task] = max(run, self._closed.get(task, 0))
        elif known.run == run and known.stops_at == NEVER:
            known.stops_at = time.monotonic() + STOP_TIMEOUT_S / 2
            self._record.add("stopping", worker=self.name, task=task, run=run)

    # Reports.

    def _heartbeat(self, now: float) -> dict[str, Any]:
        self._sequence += 1
        running = []
        for run in self.running.values():
            duration_s = run.ends_at - run.started_at
            if duration_s > 600:
                percent = min(
                    100, int(100 * (now - run.started_at) / STARTUP_S)
                )
            else:
                percent = min(
                    99, int(100 * (now - run.started_at) / duration_s)
                )
            running.append([run.task, run.run, "", percent, 20])
        heartbeat = {
            "service": SERVICE,
            "address": "127.0.0.1:9",
            "zone": ZONES[0],
            "version": "v1",
            "slots": 8,
            "state": "draining" if self.is_draining else "ready",
            "cold_remaining_ms": 0,
            "machine": f"m-{self.name}",
            "capacity": CAPACITY,
            "labels": ["a", "r1-1"],
            "clock_ms": int(now * 1000),
            "sequence": self._sequence,
            "born": self.born,
            "running": running,
            "ended": self._ended[:500],
        }
        if self.is_draining:
            heartbeat["drain_remaining_ms"] = int(DRAIN_S * 1000)
        return heartbeat

    def _send(self, action: str, body: dict[str, Any]) -> tuple[int, bytes]:
        """Sends on the open connection to a node, or on a new one."""
        target = self._own_address
        if not target:
            self._index += 1
            target = self._addresses[self._index % len(self._addresses)]
        if self._connection is None or self._connected_to != target:
            self._disconnect()
            self._connection = http.client.HTTPConnection(
                self.link.address_of(target), timeout=ANSWER_TIMEOUT_S
            )
            self._connected_to = target
        path = f"/api/instances/{self.name}/{action}"
        headers = {"Content-Type": "application/json"}
        if action == "heartbeat":
            self.before_heartbeat()
        try:
            self._connection.request(
                "POST", path, json.dumps(body).encode(), headers
            )
            if action == "heartbeat":
                self.after_heartbeat_sent()
            response = self._connection.getresponse()
            return response.status, response.read()
        except (OSError, http.client.HTTPException):
            self._disconnect()
            self._own_address = ""
            return 0, b""

    def _disconnect(self) -> None:
        if self._connection is not None:
            self._connection.close()
        self._connection = None

    def _report(self) -> None:
        while self.is_up:
            now = time.monotonic()
            if now >= self._exit_due:
                with self._record.lock:
                    self.advance(now)
                    self._halt("worker exits")
                return
            if now >= self._leave_due:
                self._leave()
            else:
                self._wait(time.monotonic() + self._report_once())

    def _wait(self, until: float) -> None:
        while self.is_up:
            with self._record.lock:
                now = time.monotonic()
                self.advance(now)
            if self._wake.is_set():
                self._wake.clear()
                until = min(until, now + AFTER_END_S)
            until = min(until, self._leave_due, self._exit_due)
            if now >= until:
                return
            self._wake.wait(min(0.02, until - now))

    def _report_once(self) -> float:
        sent_at = time.monotonic()
        with self._record.lock:
            self.advance(sent_at)
            heartbeat = self._heartbeat(sent_at)
        status, answer = self._send("heartbeat", heartbeat)
        with self._record.lock:
            now = time.monotonic()
            if not self.is_up:
                return 0.0
            if not 200 <= status < 300 or now - sent_at > ANSWER_TIMEOUT_S:
                self._record.add(
                    "heartbeat unanswered", worker=self.name, status=status
                )
                self._own_address = ""
                return AFTER_END_S
            if heartbeat["state"] == "draining" and self._leave_due == NEVER:
                self._leave_due = now + DRAIN_S + 1.0
            return self._obey(json.loads(answer or b"{}"), sent_at)

    def _obey(self, orders: dict[str, Any], sent_at: float) -> float:
        self._own_address = orders.get("heartbeat_address", self._own_address)
        token = orders.get("fencing_token", 0)
        if token >= self._token:
            self._token = token
            number = orders.get("ack_seq", 0)
            self._ended = [item for item in self._ended if item[0] > number]
            for task, run in orders.get("stop", []):
                self._stop(task, run)
            if "hold_ms" in orders:
                hold_s = min(HOLD_MAX_S, orders["hold_ms"] / 1000)
                self._lease_until = max(self._lease_until, sent_at + hold_s)
                for order in orders.get("start", []):
                    self._start(order)
        return float(orders.get("retry_after_ms", HEARTBEAT_S * 1000)) / 1000

    def _leave(self) -> None:
        """Says that it leaves; exits when answered, or some seconds later."""
        self._leave_due = NEVER
        self.before_leave()
        with self._record.lock:
            self.advance(time.monotonic())
            self._record.add(
                "leave sent", worker=self.name, running=list(self.running)
            )
        status, _ = self._send("leave", {"born": self.born})
        with self._record.lock:
            self._record.add("leave answered", worker=self.name, status=status)
            self.advance(time.monotonic())
            if status == 200:
                self._halt("worker exits")
            else:
                self._exit_due = (
                    time.monotonic()
                    + self._unanswered_leave_s
                    - ANSWER_TIMEOUT_S
                )


class Deployment:
    """A small deployment: four nodes with disks, two without, some workers."""

    def __init__(self, folder: pathlib.Path, record: Record) -> None:
        self.record = record
        self.fleet = Fleet(record)
        subnet = _free_subnet()
        self.nodes = [Node(number, subnet, 4, folder) for number in range(1, 7)]

    def start(self, workers: int) -> None:
        """Starts the nodes, configures them, and starts the workers."""
        for node in self.nodes:
            node.start()
            self.record.add("node starts", node=node.name)
        self._wait_for(
            lambda: all(node.is_ready() for node in self.nodes), 30.0
        )
        self._configure()
        controls = [node.control for node in self.nodes]
        for number in range(1, workers + 1):
            Worker(self.fleet, f"i-{number:08x}", controls)
        time.sleep(1.0)

    def _configure(self) -> None:
        document = {
            "version": 7,
            "routes": [
                {
                    "name": "r-9n73hh2",
                    "host": HOST,
                    "path_prefix": PREFIX,
                    "kind": "unsafe",
                    "timeout_ms": 3000,
                    "target_duration_ms": 3000,
                    "priority": 0,
                    "service": SERVICE,
                    "max_attempts": 2,
                    "stretch": 2.2,
                }
            ],
            "services": [
                {
                    "name": SERVICE,
                    "health_check_path": "/health",
                    "max_connections": 64,
                    "protocol": "h1",
                    "tls": False,
                    "admission_control": True,
                    "spare": False,
                }
            ],
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 262144,
                "header_timeout_ms": 3000,
                "idle_timeout_ms": 15000,
            },
        }

        def is_accepted() -> bool:
            status, _ = call(
                random.choice(self.nodes[:4]).control,
                "POST",
                "/api/config/replace",
                document,
            )
            self.record.add("configuration sent", version=7, status=status)
            return status == 200

        self._wait_for(is_accepted, 20.0)

    def _wait_for(self, condition: Callable[[], bool], seconds: float) -> None:
        deadline = time.monotonic() + seconds
        while not condition():
            if time.monotonic() > deadline:
                raise CannotRunError("the deployment doesn't get ready")
            time.sleep(0.2)

    def submit(self, step: dict[str, Any], duration_s: float) -> str:
        """Hands in a job of one step and returns its ID."""
        job = f"{random.getrandbits(64):016x}"
        self.fleet.duration_by_step[job, 0] = duration_s
        body = {"spec": "text", "steps": [step]}
        for _ in range(10):
            node = random.choice(self.nodes)
            status, _ = call(
                node.front, "POST", PREFIX + job, body, HOST, timeout_s=3.0
            )
            self.record.add("job sent", job=job, node=node.name, status=status)
            if status == 200:
                return job
            time.sleep(0.3)
        raise CannotRunError("the job isn't accepted")

    def wait_until_running(self, job: str, count: int) -> None:
        """Waits until all tasks of a job are at work."""

        def is_running() -> bool:
            with self.record.lock:
                found = [
                    task
                    for worker in self.fleet.workers
                    for task in worker.running
                    if task.startswith(job)
                ]
            return len(found) == count

        self._wait_for(is_running, 20.0)

    def busiest(self) -> Worker:
        """Returns the worker with the most runs."""
        with self.record.lock:
            return max(self.fleet.workers, key=lambda item: len(item.running))

    def stop(self) -> None:
        """Ends all processes."""
        for node in self.nodes:
            node.stop()


def run_case(
    folder: pathlib.Path, workers: int, case: Callable[[Deployment, bool], None]
) -> None:
    """Runs a case and exits with 1 if a rule was broken, 0 if not, else 2."""
    with_trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder / "record.txt")
    scratch = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    code = 2
    deployment = Deployment(scratch, record)
    try:
        deployment.start(workers)
        case(deployment, with_trouble)
        code = 1 if deployment.fleet.violations else 0
    except CannotRunError as error:
        record.add("could not run", reason=error)
    except Exception:
        record.add("could not run", reason=traceback.format_exc())
    finally:
        record.add("result", code=code, trouble=with_trouble)
        record.close()
        deployment.stop()
        shutil.rmtree(scratch, ignore_errors=True)
    # Threads of stand-ins may still wait for their sockets.
    os._exit(code)
