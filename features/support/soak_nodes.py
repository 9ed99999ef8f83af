"""Real nodes with slow disks on loopback addresses of their own."""

import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import threading
import time
from typing import Any

import yaml

from features.support import run_checks

ROOT = pathlib.Path(__file__).parents[2]
NODE_SCRIPT = ROOT / "features" / "support" / "slow_disk_node.py"
CALLER_PORT = 18261
READINESS_PORT = 18262
CONTROL_PORT = 18263
PEER_PORT = 18264
PORTS = (CALLER_PORT, READINESS_PORT, CONTROL_PORT, PEER_PORT)
GRACE_S = 6.0


def free_subnet() -> str:
    """Returns the first three numbers of loopback addresses not in use."""
    # Not seeded: other runs on this machine may have the same seed.
    choice = random.SystemRandom()
    while True:
        subnet = f"127.{choice.randrange(2, 250)}.{choice.randrange(1, 250)}"
        try:
            for port in PORTS:
                with socket.socket() as probe:
                    probe.bind((f"{subnet}.1", port))
        except OSError:
            continue
        return subnet


class SoakNode:
    """One node, restarted with the same data and address.

    Args:
        number: Number in its name and address.
        subnet: First three numbers of its address.
        disks: Number of nodes with disks; they have the lowest numbers.
        folder: Folder for settings, data and log.
        seed: Seed of the delays of its disk.
        extra_settings: Settings to add.
        checks: Receives what breaks a rule.

    Attributes:
        in_use: Held while a fault acts on the node.
    """

    def __init__(
        self,
        number: int,
        subnet: str,
        disks: int,
        folder: pathlib.Path,
        seed: int,
        extra_settings: dict[str, Any],
        checks: run_checks.RunChecks,
    ) -> None:
        self.name = f"node-{number}"
        self.host = f"{subnet}.{number}"
        self.callers = f"{self.host}:{CALLER_PORT}"
        self.control = f"{self.host}:{CONTROL_PORT}"
        self.readiness = f"{self.host}:{READINESS_PORT}"
        self.log_path = folder / f"{self.name}.log"
        self.in_use = threading.Lock()
        self._settings_path = folder / f"{self.name}.yaml"
        self._seed = f"{seed} {number}"
        self._starts = 0
        self._checks = checks
        self._popen: subprocess.Popen[bytes] | None = None
        data_folder = folder / f"{self.name}-data"
        self._settings = {
            "role": "node",
            "name": self.name,
            "domain": f"zone-{number}",
            "host": self.host,
            "peer_port": PEER_PORT,
            "callers": self.callers,
            "readiness": self.readiness,
            "control": self.control,
            "seeds": [f"{subnet}.{i}:{CONTROL_PORT}" for i in (1, 2, 3)],
            "found_deployment": True,
            "data_folder": str(data_folder) if number <= disks else "",
            "stop_grace_s": GRACE_S,
            **extra_settings,
        }
        if number <= disks:
            data_folder.mkdir()

    def start(self) -> None:
        self._settings_path.write_text(yaml.safe_dump(self._settings))
        # Only the first start of all founds the deployment.
        self._settings["found_deployment"] = False
        self._starts += 1
        with self.log_path.open("ab") as log:
            self._popen = subprocess.Popen(
                [sys.executable, str(NODE_SCRIPT)],
                env={
                    **os.environ,
                    "FULMARROUTER_CONFIG": str(self._settings_path),
                    "SYNC_SEED": f"{self._seed} {self._starts}",
                    "PYTHONPATH": str(ROOT),
                },
                cwd=ROOT,
                stdout=log,
                stderr=log,
            )

    @property
    def process(self) -> subprocess.Popen[bytes]:
        assert self._popen is not None
        return self._popen

    def _record(self, event: str) -> None:
        self._checks.record.add(event, node=self.name)

    def _check_alive(self) -> None:
        """Records a violation if the node has ended by itself."""
        if self.process.poll() is not None:
            with self._checks.lock:
                self._checks.add_violation(
                    "node ended", node=self.name, code=self.process.returncode
                )
            self.start()

    # Faults; the caller holds `in_use`.

    def kill_for(self, seconds: float) -> None:
        """Kills the process and starts it again after some time."""
        self._check_alive()
        self._record("kill")
        self.process.kill()
        self.process.wait()
        time.sleep(seconds)
        self._record("start")
        self.start()

    def restart(self, seconds: float) -> None:
        """Asks the process to stop and starts it again after some time."""
        self._check_alive()
        self._record("terminate")
        self.process.terminate()
        try:
            self.process.wait(GRACE_S)
        except subprocess.TimeoutExpired:
            self._record("kill after grace period")
            self.process.kill()
            self.process.wait()
        time.sleep(seconds)
        self._record("start")
        self.start()

    def freeze_for(self, seconds: float) -> None:
        """Pauses the process."""
        self._check_alive()
        self._record("freeze")
        self.process.send_signal(signal.SIGSTOP)
        time.sleep(seconds)
        self._record("thaw")
        self.process.send_signal(signal.SIGCONT)

    def reload(self, seconds: float) -> None:
        """Changes the order of the seeds and signals the change."""
        self._check_alive()
        self._record("reload")
        seeds = self._settings["seeds"]
        self._settings["seeds"] = [*seeds[1:], seeds[0]]
        self._settings_path.write_text(yaml.safe_dump(self._settings))
        self.process.send_signal(signal.SIGHUP)
        time.sleep(seconds)

    def check_at_end(self) -> None:
        with self.in_use:
            self._check_alive()

    def stop(self) -> None:
        """Kills the process."""
        if self._popen is not None and self._popen.poll() is None:
            self._popen.send_signal(signal.SIGCONT)
            self._popen.kill()
            self._popen.wait()

    def count_log_lines(self, text: str) -> int:
        """Returns how many lines of the log contain a text."""
        if not self.log_path.exists():
            return 0
        return self.log_path.read_text(errors="replace").count(text)
