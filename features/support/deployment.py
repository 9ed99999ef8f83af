"""A deployment of real keeper and entry processes for tests."""

from collections.abc import Callable
import dataclasses
import http.client
import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import sys
import time
from typing import Any

import yaml

START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 25.0
# Shorter leases and election timeouts than the defaults.
FAST_LEASES = {
    "worker_lease_ms": 1500,
    "worker_heartbeat_ms": 200,
    "entry_lease_ms": 1000,
    "entry_heartbeat_ms": 150,
    "endpoint_lease_ms": 1500,
    "endpoint_heartbeat_ms": 200,
    "request_limit_ms": 3000,
}
FAST_ELECTION = {
    "heartbeat_ms": 50,
    "timeout_min_ms": 400,
    "timeout_max_ms": 800,
}


def free_port() -> int:
    """Returns a currently unused TCP port of the loopback address."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        port: int = probe.getsockname()[1]
        return port


def wait_until(
    condition: Callable[[], Any], timeout: float = START_TIMEOUT_S
) -> Any:
    """Waits until a condition is truthy; returns its last value.

    That value is falsy if the timeout has passed first.
    """
    deadline = time.monotonic() + timeout
    while True:
        value = condition()
        if value or time.monotonic() >= deadline:
            return value
        time.sleep(0.05)


@dataclasses.dataclass(frozen=True)
class HttpResponse:
    """An HTTP response."""

    status: int
    body: bytes
    headers: dict[str, str]

    @property
    def code(self) -> int:
        """Result code in the Fulmar-Code header, 0 if there is none."""
        return int(self.headers.get("Fulmar-Code", 0))

    def json(self) -> Any:
        return json.loads(self.body)


def call(
    address: str,
    method: str,
    path: str,
    body: Any = None,
    headers: dict[str, str] | None = None,
    timeout: float = 15.0,
) -> HttpResponse:
    """Sends one HTTP request on a new connection.

    A body that isn't bytes is sent as JSON.
    """
    connection = http.client.HTTPConnection(address, timeout=timeout)
    data = body if isinstance(body, bytes | None) else json.dumps(body).encode()
    try:
        connection.request(method, path, data, headers or {})
        response = connection.getresponse()
        return HttpResponse(
            response.status, response.read(), dict(response.getheaders())
        )
    finally:
        connection.close()


class Process:
    """A child process that runs a Python module; its output goes to a log."""

    def __init__(self, arguments: list[str], log: pathlib.Path) -> None:
        self.arguments = arguments
        self.log = log
        self.popen: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        with self.log.open("ab") as log:
            self.popen = subprocess.Popen(
                [sys.executable, "-m", *self.arguments], stdout=log, stderr=log
            )

    @property
    def pid(self) -> int:
        assert self.popen is not None
        return self.popen.pid

    @property
    def alive(self) -> bool:
        return self.popen is not None and self.popen.poll() is None

    def kill(self) -> None:
        """Kills the process, also while it is frozen."""
        if self.alive and self.popen:
            self.popen.send_signal(signal.SIGCONT)
            self.popen.kill()
            self.popen.wait()

    def freeze(self) -> None:
        """Pauses the process."""
        os.kill(self.pid, signal.SIGSTOP)

    def thaw(self) -> None:
        """Resumes a frozen process."""
        os.kill(self.pid, signal.SIGCONT)

    def terminate(self) -> int:
        """Asks the process to shut down; returns its exit code."""
        assert self.popen is not None
        self.popen.terminate()
        return self.popen.wait(timeout=STOP_TIMEOUT_S)


class Deployment:
    """Keepers and entries as processes on the loopback address.

    With `fast` they use short leases and election timeouts. `route` maps source,
    target and port to the port at which the source reaches the target keeper,
    for example that of a relay.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        keepers: int = 3,
        entries: int = 2,
        fast: bool = True,
        route: Callable[[str, str, int], int] | None = None,
    ) -> None:
        self.folder = folder
        self.fast = fast
        self.keeper_addresses: dict[str, tuple[str, int]] = {}
        self.entry_addresses: dict[str, str] = {}
        self.process_by_name: dict[str, Process] = {}
        self._route = route
        folder.mkdir(parents=True, exist_ok=True)
        for number in range(1, keepers + 1):
            self.keeper_addresses[f"k{number}"] = ("127.0.0.1", free_port())
        for name in list(self.keeper_addresses):
            self.add_keeper(name)
        for number in range(1, entries + 1):
            self.add_entry(f"e{number}")

    @property
    def entries(self) -> list[str]:
        """Addresses of all entries."""
        return list(self.entry_addresses.values())

    def add_keeper(self, name: str) -> None:
        """Writes a keeper's settings file.

        Its address must be in `keeper_addresses`.
        """
        host, port = self.keeper_addresses[name]
        settings = {
            "role": "keeper",
            "name": name,
            "domain": f"domain-{name}",
            "listen": {"host": host, "port": port},
            "listen_http": {"host": "127.0.0.1", "port": free_port()},
            "data_folder": str(self.folder / name),
            "keepers": self._keepers_as_seen_by(name),
        }
        if self.fast:
            settings["election"] = FAST_ELECTION
        self._add_process(name, "keeper", settings)

    def add_entry(self, name: str) -> None:
        """Writes an entry's settings file."""
        port = free_port()
        self.entry_addresses[name] = f"127.0.0.1:{port}"
        settings = {
            "role": "entry",
            "name": name,
            "domain": f"domain-{name}",
            "listen_http": {"host": "127.0.0.1", "port": port},
            "keepers": self._keepers_as_seen_by(name),
            "limits": {"drain_notice_ms": 300},
        }
        self._add_process(name, "entry", settings)

    def _keepers_as_seen_by(self, name: str) -> list[dict[str, Any]]:
        route = self._route or (lambda source, target, port: port)
        return [
            {"keeper": keeper, "host": host, "port": route(name, keeper, port)}
            for keeper, (host, port) in self.keeper_addresses.items()
        ]

    def _add_process(
        self, name: str, role: str, settings: dict[str, Any]
    ) -> None:
        if self.fast:
            settings["leases"] = FAST_LEASES
        path = self.folder / f"{name}.yaml"
        path.write_text(yaml.safe_dump(settings))
        arguments = ["fulmarrouter", role, str(path)]
        self.process_by_name[name] = Process(
            arguments, self.folder / f"{name}.log"
        )

    def initialize_keepers(self) -> None:
        """Initializes the data folders of all keepers added so far."""
        for name in self.keeper_addresses:
            path = self.folder / f"{name}.yaml"
            subprocess.run(
                [
                    sys.executable,
                    "-m",
                    "fulmarrouter",
                    "keeper-init",
                    str(path),
                ],
                check=True,
                capture_output=True,
            )

    def start(self) -> None:
        """Initializes the keepers, starts all processes and waits until ready."""
        self.initialize_keepers()
        for process in self.process_by_name.values():
            process.start()
        assert self.wait_ready(), self.logs()

    def wait_ready(self, timeout: float = START_TIMEOUT_S) -> bool:
        """Waits until every running entry accepts requests."""
        return all(
            self._wait_entry_ready(name, timeout)
            for name in self.entry_addresses
            if self.process_by_name[name].alive
        )

    def _wait_entry_ready(self, name: str, timeout: float) -> bool:
        return bool(wait_until(lambda: self.is_ready(name), timeout))

    def is_ready(self, name: str) -> bool:
        """Returns whether an entry reports that it is healthy."""
        try:
            response = call(
                self.entry_addresses[name], "GET", "/healthz", timeout=2
            )
        except OSError:
            return False
        return response.status == 200

    def status(self) -> Any:
        """Returns the cluster's status from the first entry that has it.

        None if no entry has it.
        """
        for address in self.entries:
            try:
                response = call(address, "GET", "/v1/status", timeout=6)
            except OSError:
                continue
            if response.status == 200:
                return response.json()
        return None

    def leader(self) -> str:
        """Returns the leader's name."""
        status = wait_until(self.status)
        assert status, self.logs()
        return str(status["leader"])

    def wipe(self, name: str) -> None:
        """Deletes a keeper's data folder."""
        shutil.rmtree(self.folder / name)

    def logs(self) -> str:
        """Returns the last 8 lines of each process's log."""
        return "\n".join(
            f"{name}: {line}"
            for name, process in self.process_by_name.items()
            if process.log.exists()
            for line in process.log.read_text().splitlines()[-8:]
        )

    def stop(self) -> dict[str, int]:
        """Shuts all processes down, entries first; returns their exit codes."""
        exit_codes = {}
        order = [*self.entry_addresses, *self.keeper_addresses]
        for name in order:
            process = self.process_by_name.get(name)
            if process is not None and process.alive:
                exit_codes[name] = process.terminate()
        return exit_codes

    def kill_all(self) -> None:
        """Kills all processes."""
        for process in self.process_by_name.values():
            process.kill()
