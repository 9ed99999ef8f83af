"""A small deployment of the project's own processes on loopback addresses.

Each machine has an address of its own. Its process is started with the command
and the settings template of the deploy file, as DEPLOY.md defines them.
"""

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
FRONT_PORT = 8161
READY_PORT = 8167
CONTROL_PORT = 8166
PEER_PORTS = (7720, 7735)
METRICS_PORT = 9464
ZONES = ("jyl-a", "jyl-b", "jyl-c", "jyl-d")
HOST = "nony24.example"
BOUNDS = {
    "contact_ms": 3000,
    "ack_ms": 4000,
    "grace_s": 6,
    "config_apply_ms": 2000,
    "recovery_s": 12,
    "hold_max_ms": 10000,
    "stop_timeout_ms": 400,
    "finish_s": 14,
    "restore_ms": 600,
}
_TAG = re.compile(r"\{\{([#^]?)([^{}]*)\}\}")


class Record:
    """What was sent, answered and run, one line for each event."""

    def __init__(self, path: pathlib.Path) -> None:
        self._lock = threading.Lock()
        self._started_at = time.monotonic()
        self._file = path.open("w", encoding="utf-8")

    def add(self, text: str) -> None:
        """Writes one line with the seconds since the start."""
        elapsed = time.monotonic() - self._started_at
        with self._lock:
            self._file.write(f"{elapsed:8.3f} {text}\n")
            self._file.flush()


def _lookup(name: str, contexts: list[Any]) -> Any:
    if name == ".":
        return contexts[-1]
    for context in reversed(contexts):
        value = context
        for part in name.split("."):
            if isinstance(value, dict) and part in value:
                value = value[part]
            elif isinstance(value, list) and part.isdigit():
                value = value[int(part)]
            else:
                break
        else:
            return value
    return None


def render(text: str, contexts: list[Any]) -> str:
    """Fills in a settings template."""
    parts = []
    position = 0
    while (tag := _TAG.search(text, position)) is not None:
        parts.append(text[position : tag.start()])
        position = tag.end()
        kind, name = tag.groups()
        if kind:
            closing = "{{/" + name + "}}"
            end = text.index(closing, position)
            body = text[position:end]
            position = end + len(closing)
            value = _lookup(name, contexts)
            is_absent = value is None or value is False or value == []
            if kind == "^":
                items = [contexts[-1]] if is_absent else []
            elif isinstance(value, list):
                items = value
            else:
                items = [] if is_absent else [value]
            parts += [render(body, [*contexts, item]) for item in items]
            continue
        name, _, suffix = name.partition("|")
        value = _lookup(name, contexts)
        if suffix == "json" or isinstance(value, bool | dict):
            parts.append(json.dumps(value))
        elif isinstance(value, list):
            parts.append(",".join(map(str, value)))
        elif value is not None:
            parts.append(str(value))
    return "".join([*parts, text[position:]])


def call(
    address: str,
    method: str,
    path: str,
    body: Any = None,
    timeout_s: float = 4.0,
) -> tuple[int, bytes, str]:
    """Makes a call; returns status, body and Location, status 0 for none."""
    connection = http.client.HTTPConnection(address, timeout=timeout_s)
    headers = {"Host": HOST, "Content-Type": "application/json"}
    data = None if body is None else json.dumps(body)
    try:
        connection.request(method, path, data, headers)
        response = connection.getresponse()
        return (
            response.status,
            response.read(),
            response.getheader("Location") or "",
        )
    except (OSError, http.client.HTTPException):
        return 0, b"", ""
    finally:
        connection.close()


def _free_subnet() -> str:
    choice = random.SystemRandom()
    ports = (FRONT_PORT, READY_PORT, CONTROL_PORT, PEER_PORTS[0], METRICS_PORT)
    while True:
        subnet = f"127.{choice.randrange(2, 250)}.{choice.randrange(1, 250)}"
        try:
            for port in ports:
                with socket.socket() as probe:
                    probe.bind((f"{subnet}.1", port))
        except OSError:
            continue
        return subnet


class Machine:
    """A machine with one process, which may be killed and started again."""

    def __init__(
        self,
        number: int,
        subnet: str,
        folder: pathlib.Path,
        has_disk: bool,
        seeds: list[str],
    ) -> None:
        zone = ZONES[(number - 1) % len(ZONES)]
        self.host = f"{subnet}.{number}"
        self.front = f"{self.host}:{FRONT_PORT}"
        self.control = f"{self.host}:{CONTROL_PORT}"
        self.log_path = folder / f"machine-{number}.log"
        self._settings_path = folder / f"machine-{number}.yaml"
        self._process: subprocess.Popen[bytes] | None = None
        self._fields: dict[str, Any] = {
            "node_name": f"front-{zone}-{number}",
            "ip": self.host,
            "zone": zone,
            "listen": {
                "front": self.front,
                "ready": f"{self.host}:{READY_PORT}",
                "control": self.control,
            },
            "internal_ports": list(PEER_PORTS),
            "seeds": seeds,
            "bootstrap": True,
            "limits": {"link_mbps": 1000.0},
            "fault_tolerance": {"machines": 1, "zones": 0, "regions": 0},
            "bounds": BOUNDS,
            "advice": f"{self.host}:9",
        }
        if has_disk:
            data_folder = folder / f"data-{number}"
            data_folder.mkdir()
            self._fields["data_directory"] = str(data_folder)

    def start(self) -> None:
        """Starts the process as the deploy file says."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = deploy["roles"]["node"]
        template = (ROOT / role["template"]).read_text()
        self._settings_path.write_text(render(template, [self._fields]))
        self._fields["bootstrap"] = False
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["FULMARROUTER_CONFIG"] = str(self._settings_path)
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        with self.log_path.open("ab") as log:
            self._process = subprocess.Popen(
                role["run"].split(),
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def has_ended(self) -> bool:
        """Whether the process has ended."""
        return self._process is None or self._process.poll() is not None

    def last_log_line(self) -> str:
        """Returns the last line that the process has written."""
        lines = self.log_path.read_text(errors="replace").splitlines()
        return lines[-1] if lines else ""

    def kill(self) -> None:
        """Kills the process, if it runs."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(signal.SIGCONT)
            self._process.kill()
            self._process.wait()


class Deployment:
    """Machines with disks, machines without, and the operator's calls.

    Args:
        record: Receives the operator's calls.
        disks: Number of machines with a disk; they have the lowest numbers.
        others: Number of machines without.
        seeds: Numbers of the machines in the list of seeds, from 1.
    """

    def __init__(
        self,
        record: Record,
        disks: int = 4,
        others: int = 6,
        seeds: tuple[int, ...] = (1, 2, 3),
    ) -> None:
        self._record = record
        self._folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        subnet = _free_subnet()
        addresses = [f"{subnet}.{number}:{CONTROL_PORT}" for number in seeds]
        self.machines = [
            Machine(number, subnet, self._folder, number <= disks, addresses)
            for number in range(1, disks + others + 1)
        ]

    @property
    def controls(self) -> list[str]:
        """Control addresses of all machines."""
        return [machine.control for machine in self.machines]

    @property
    def fronts(self) -> list[str]:
        """Addresses for clients of all machines."""
        return [machine.front for machine in self.machines]

    def start(self) -> None:
        """Starts all processes."""
        for machine in self.machines:
            machine.start()

    def configure(
        self,
        version: int,
        service_by_prefix: dict[str, str],
        services: tuple[str, ...],
        within_s: float = 30.0,
    ) -> bool:
        """Sends a configuration until it is acknowledged; whether it was."""
        body = {
            "version": version,
            "routes": [
                {
                    "name": f"r-{number}",
                    "host": HOST,
                    "path_prefix": prefix,
                    "kind": "unsafe",
                    "timeout_ms": 3000,
                    "target_duration_ms": 1000,
                    "priority": 0,
                    "service": service,
                    "max_attempts": 3,
                    "stretch": 1.5,
                }
                for number, (prefix, service) in enumerate(
                    service_by_prefix.items()
                )
            ],
            "services": [
                {
                    "name": name,
                    "health_check_path": "/health",
                    "max_connections": 64,
                    "protocol": "h1",
                    "tls": False,
                    "admission_control": True,
                    "spare": False,
                }
                for name in services
            ],
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 262144,
                "header_timeout_ms": 3000,
                "idle_timeout_ms": 15000,
            },
        }
        path = "/api/config/replace"
        attempt = 0
        until = time.monotonic() + within_s
        while time.monotonic() < until:
            address = self.controls[attempt % len(self.controls)]
            attempt += 1
            for _ in range(3):
                status, _, location = call(address, "POST", path, body, 1.0)
                self._record.add(
                    f"operator sends version {version} to {address}: {status}"
                )
                if status != 307:
                    break
                address = location.split("/")[2]
            if 200 <= status < 300:
                return True
            time.sleep(0.3)
        return False

    def close(self) -> None:
        """Kills all processes and removes their files."""
        for machine in self.machines:
            machine.kill()
        shutil.rmtree(self._folder, ignore_errors=True)
