"""Starts a small deployment with the commands of the deploy file.

Each node gets a loopback address of its own; ports are the same on all nodes.
The settings file is rendered from the template that the deploy file names.
"""

from collections.abc import Callable
import http.client
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time
import tomllib
from typing import Any

ROOT = pathlib.Path(__file__).resolve().parents[2]
SERVICE = "booking"
HOST = "jobs.example"
PREFIX = "/jobs/"
# Values of the Hedegaard sheet that the template uses.
BOUNDS = {"hold_max_ms": 10000, "restore_ms": 600, "grace_s": 6}


class CouldNotRunError(Exception):
    """The case could not be played."""


class Record:
    """What was sent, answered and run, for `record.txt`."""

    def __init__(self, path: pathlib.Path) -> None:
        self._started = time.monotonic()
        self._lock = threading.Lock()
        self._file = path.open("w", encoding="utf-8")

    def add(self, event: str, **fields: Any) -> None:
        """Writes one line."""
        elapsed = time.monotonic() - self._started
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        with self._lock:
            self._file.write(f"{elapsed:8.3f} {event} {text}\n")
            self._file.flush()


def call(
    address: str,
    method: str,
    path: str,
    body: Any = None,
    host: str = HOST,
    timeout_s: float = 3.0,
) -> tuple[int, bytes, str]:
    """Sends one request; status 0 stands for no complete answer.

    Returns:
        The status, the body, and the Location header if there is one.
    """
    connection = http.client.HTTPConnection(address, timeout=timeout_s)
    data = None if body is None else json.dumps(body).encode()
    headers = {"Host": host, "Content-Type": "application/json"}
    try:
        connection.request(method, path, data, headers)
        answer = connection.getresponse()
        return answer.status, answer.read(), answer.getheader("Location") or ""
    except (OSError, http.client.HTTPException):
        return 0, b"", ""
    finally:
        connection.close()


def _render(template: str, values: dict[str, Any]) -> str:
    """Fills in the parts of the platform's template language in use."""

    def section(match: re.Match[str]) -> str:
        name, inner = match.group(2), match.group(3)
        value = _look_up(values, name)
        if match.group(1) == "^":
            return "" if value else inner
        if not value:
            return ""
        items = value if isinstance(value, list) else [value]
        return "".join(_render(inner, {**values, ".": item}) for item in items)

    def placeholder(match: re.Match[str]) -> str:
        value = _look_up(values, match.group(1))
        if match.group(2):
            return json.dumps(value)
        return "" if value is None else str(value)

    text = re.sub(
        r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}",
        section,
        template,
        flags=re.DOTALL,
    )
    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", placeholder, text)


def _look_up(values: dict[str, Any], name: str) -> Any:
    if name in values:
        return values[name]
    found: Any = values
    for part in name.split("."):
        if isinstance(found, dict):
            found = found.get(part)
        elif isinstance(found, list) and part.isdigit():
            found = found[int(part)]
        else:
            return None
    return found


class Node:
    """One process of the deployment."""

    def __init__(self, values: dict[str, Any], folder: pathlib.Path) -> None:
        self.name: str = values["node_name"]
        self.ip: str = values["ip"]
        self.process: subprocess.Popen[bytes] | None = None
        self.own_ends = 0
        self.is_down = False
        self.log_path = folder / f"{self.name}.log"
        self._values = values
        self._settings = folder / f"{self.name}.yaml"

    def start(self, command: list[str], template: str) -> None:
        """Starts the process with the settings of the moment."""
        self._settings.write_text(
            _render(template, self._values), encoding="utf-8"
        )
        # Only the first start of all is the start of a new deployment.
        self._values["bootstrap"] = False
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["FULMARROUTER_CONFIG"] = str(self._settings)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def send(self, number: int) -> None:
        """Sends a signal to the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    @property
    def has_ended(self) -> bool:
        """Whether the process has ended."""
        return self.process is None or self.process.poll() is not None


class Deployment:
    """Keepers and nodes without a disk.

    Args:
        record: Receives starts and signals.
        keepers: Number of nodes with a disk.
        entries: Number of nodes without one.
    """

    def __init__(
        self, record: Record, keepers: int = 3, entries: int = 1
    ) -> None:
        self.record = record
        self._folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self._role = tomllib.loads(
            (ROOT / "deploy" / "system.toml").read_text(encoding="utf-8")
        )["roles"]["node"]
        if not (ROOT / "target" / "deps").exists():
            raise CouldNotRunError("the build of the deploy file has not run")
        net = f"127.{random.randint(10, 250)}.{random.randint(1, 250)}"
        ports = _free_ports(net, 4)
        self.front_port, self._ready_port, self.control_port, peer_port = ports
        ips = [f"{net}.{number + 1}" for number in range(keepers + entries)]
        self.nodes: list[Node] = []
        for number, ip in enumerate(ips):
            is_keeper = number < keepers
            name = f"front-{number + 1}"
            data = self._folder / name
            values = {
                "node_name": name,
                "zone": f"zone-{number}",
                "ip": ip,
                "internal_ports": [peer_port, peer_port],
                "listen": {
                    "front": f"{ip}:{self.front_port}",
                    "ready": f"{ip}:{self._ready_port}",
                    "control": f"{ip}:{self.control_port}",
                },
                "seeds": [f"{item}:{self.control_port}" for item in ips[:3]],
                "bootstrap": True,
                "data_directory": str(data) if is_keeper else "",
                "fault_tolerance": {"machines": 1, "zones": 0},
                "bounds": BOUNDS,
                "limits": {"link_mbps": 1000.0},
                "advice": "",
            }
            self.nodes.append(Node(values, self._folder))
        self._is_stopping = threading.Event()
        self._platform = threading.Thread(target=self._restart_ended)

    def front(self, node: Node) -> str:
        """Returns a node's address for clients."""
        return f"{node.ip}:{self.front_port}"

    def control(self, node: Node) -> str:
        """Returns a node's address for workers and operators."""
        return f"{node.ip}:{self.control_port}"

    def controls(self) -> list[str]:
        """Returns the control addresses of all nodes."""
        return [self.control(node) for node in self.nodes]

    def start(self, node: Node) -> None:
        """Starts a node with the command of the deploy file."""
        self.record.add("start", node=node.name)
        command = self._role["run"].split()
        template = ROOT / self._role["template"]
        node.start(command, template.read_text(encoding="utf-8"))

    def start_all(self, timeout_s: float = 30.0) -> None:
        """Starts all nodes and waits until they are ready."""
        for node in self.nodes:
            self.start(node)
        self._platform.start()
        deadline = time.monotonic() + timeout_s
        for node in self.nodes:
            while not self.is_ready(node):
                if time.monotonic() > deadline:
                    raise CouldNotRunError(f"{node.name} did not become ready")
                time.sleep(0.1)

    def _restart_ended(self) -> None:
        """Restarts processes that have ended, as the platform does."""
        while not self._is_stopping.wait(0.2):
            for node in self.nodes:
                if node.has_ended and not node.is_down:
                    node.own_ends += 1
                    self.record.add("ended by itself", node=node.name)
                    if not self._is_stopping.wait(0.5):
                        self.start(node)

    def kill(self, node: Node, is_disk_lost: bool = False) -> None:
        """Kills a node; the platform does not restart it until told to."""
        self.record.add("kill", node=node.name, disk_lost=is_disk_lost)
        node.is_down = True
        node.send(signal.SIGKILL)
        if node.process is not None:
            node.process.wait()
        if is_disk_lost:
            shutil.rmtree(self._folder / node.name, ignore_errors=True)

    def bring_back(self, node: Node) -> None:
        """Starts a node that was killed."""
        self.start(node)
        node.is_down = False

    def is_ready(self, node: Node) -> bool:
        """Whether a node reports that it is ready."""
        address = f"{node.ip}:{self._ready_port}"
        return call(address, "GET", "/api/readiness", timeout_s=1.0)[0] == 200

    def signal(self, node: Node, number: int) -> None:
        """Sends a signal to a node."""
        self.record.add(
            "signal", node=node.name, signal=signal.Signals(number).name
        )
        node.send(number)

    def voters(self) -> list[Node]:
        """Returns the nodes that vote, as the last change in a log says."""
        newest = (0, "")
        for node in self.nodes:
            text = node.log_path.read_text(encoding="utf-8", errors="replace")
            for line in text.splitlines():
                found = re.search(r"voters=\[(.*?)\].* index=(\d+)", line)
                if found is not None:
                    newest = max(newest, (int(found.group(2)), found.group(1)))
        voters = []
        for node in self.nodes:
            identity = self._folder / node.name / "keeper-id"
            if identity.exists():
                keeper = identity.read_text(encoding="ascii").strip()
                if f"'{keeper}'" in newest[1]:
                    voters.append(node)
        return voters

    def leader(self) -> Node:
        """Returns the node to which a node without a disk sends operators."""
        for _ in range(50):
            _, _, location = call(
                self.control(self.nodes[-1]), "GET", "/api/config/read"
            )
            for node in self.nodes:
                if f"//{node.ip}:" in location:
                    return node
            time.sleep(0.1)
        raise CouldNotRunError("no leader")

    def order(
        self, method: str, path: str, body: Any = None, timeout_s: float = 20.0
    ) -> tuple[int, bytes]:
        """Calls the control interface as the operator does, until answered."""
        deadline = time.monotonic() + timeout_s
        number = 0
        while time.monotonic() < deadline:
            node = self.nodes[number % len(self.nodes)]
            number += 1
            address = self.control(node)
            for _ in range(3):
                status, answer, location = call(
                    address, method, path, body, timeout_s=1.0
                )
                if status != 307:
                    break
                address = location.partition("//")[2].partition("/")[0]
            self.record.add("order", path=path, node=node.name, status=status)
            if status and status < 500 and status not in (307, 408, 429):
                return status, answer
            time.sleep(0.1 * min(number, 10))
        return 0, b""

    def stop_all(self) -> None:
        """Ends all processes and removes their files."""
        self._is_stopping.set()
        if self._platform.is_alive():
            self._platform.join()
        for node in self.nodes:
            node.send(signal.SIGCONT)
            node.send(signal.SIGKILL)
        for node in self.nodes:
            if node.process is not None:
                node.process.wait()
        keep = os.environ.get("REVIEW_KEEP")
        if keep:
            shutil.copytree(self._folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self._folder, ignore_errors=True)


def _free_ports(net: str, count: int) -> list[int]:
    """Returns ports that are free at the first address of a network."""
    sockets = []
    for _ in range(count):
        probe = socket.socket()
        probe.bind((f"{net}.1", 0))
        sockets.append(probe)
    ports = [probe.getsockname()[1] for probe in sockets]
    for probe in sockets:
        probe.close()
    return ports


def route(name: str = "r-jobs", prefix: str = PREFIX) -> dict[str, Any]:
    """Returns a route as the operator sends it."""
    return {
        "name": name,
        "host": HOST,
        "path_prefix": prefix,
        "kind": "unsafe",
        "timeout_ms": 3000,
        "target_duration_ms": 1000,
        "priority": 0,
        "service": SERVICE,
        "max_attempts": 3,
        "stretch": 1.5,
    }


def configuration(version: int, routes: list[dict[str, Any]]) -> dict[str, Any]:
    """Returns a configuration as the operator sends it."""
    return {
        "version": version,
        "routes": routes,
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


def job_id() -> str:
    """Returns a new job ID."""
    return f"{random.getrandbits(64):016x}"


class Client:
    """A client that sends a request again, to other nodes, as the pages say.

    Args:
        deployment: The deployment to call.
        record: Receives the answers.
    """

    def __init__(self, deployment: Deployment, record: Record) -> None:
        self._fronts = [deployment.front(node) for node in deployment.nodes]
        self._record = record
        self._next = len(self._fronts) - 1

    def submit(
        self, spec: str, steps: list[dict[str, Any]], prefix: str = PREFIX
    ) -> str:
        """Submits a job; returns its ID if it was accepted."""
        job = job_id()
        body = {"spec": spec, "steps": steps}
        status, _ = self._call("POST", prefix + job, body)
        return job if 200 <= status < 300 else ""

    def state(self, job: str, prefix: str = PREFIX) -> str:
        """Returns a job's state, or the status if there is no state."""
        status, answer = self._call("GET", prefix + job)
        return json.loads(answer)["state"] if status == 200 else str(status)

    def waiting(self, prefix: str = PREFIX) -> int | None:
        """Returns how many jobs of a queue have not begun, if it is told."""
        status, answer = self._call("GET", prefix)
        return json.loads(answer)["waiting"] if status == 200 else None

    def _call(
        self, method: str, path: str, body: Any = None
    ) -> tuple[int, bytes]:
        status, answer = 0, b""
        for _ in range(5):
            address = self._fronts[self._next % len(self._fronts)]
            status, answer, _ = call(address, method, path, body)
            self._record.add(
                "client",
                call=f"{method} {path}",
                address=address,
                status=status,
                answer=answer.decode(errors="replace")[:80],
            )
            if status not in (0, 502, 504, 503, 429):
                break
            self._next += 1
            time.sleep(0.2)
        return status, answer


def run_case(
    folder: pathlib.Path,
    play: Callable[[Deployment, Record, bool], int],
    keepers: int = 3,
) -> int:
    """Plays a case; returns the exit status of its script.

    Args:
        folder: The case's folder, which receives `record.txt`.
        play: Plays the case with a deployment that has not been started; the
            last argument tells whether to cause the disruption. Returns 1 if
            the rule was broken and 0 if it held.
        keepers: Number of nodes with a disk.
    """
    record = Record(folder / "record.txt")
    is_troubled = os.environ.get("TROUBLE", "1") != "0"
    deployment = None
    try:
        deployment = Deployment(record, keepers)
        status = play(deployment, record, is_troubled)
    except CouldNotRunError as error:
        record.add("could not run", reason=error)
        print(f"could not run: {error}")
        return 2
    finally:
        if deployment is not None:
            deployment.stop_all()
    verdict = "rule broken" if status else "rule held"
    record.add(verdict)
    print(verdict)
    return status
