"""A stand-in for a worker, as the platform's pages describe it.

The payload of a task says what it does: `ms=N` runs for N milliseconds, and
`ms=0` until it is stopped.
"""

import dataclasses
import json
import re
import threading
import time
from typing import Any

import deployment as deployment_lib

ANSWER_TIMEOUT_S = 1.0
MAX_ANSWER_BYTES = 4 << 20
HEARTBEAT_S = 1.5
HOLD_MAX_S = 10.0
MAX_LISTED_ENDS = 500


@dataclasses.dataclass
class Run:
    """A run in progress."""

    task: str
    run: int
    duration_s: float
    started_at: float
    ends_at: float
    fails: bool


class Worker:
    """One life of a worker. Runs on a thread of its own.

    Args:
        name: The worker's id.
        addresses: Control addresses of the system.
        record: Receives what it starts and ends.
        cpu: Capacity in thousandths of a core.
        mem_mb: Memory.
        labels: The worker's kind and its rack.
    """

    def __init__(
        self,
        name: str,
        addresses: list[str],
        record: deployment_lib.Record,
        cpu: int = 64_000,
        mem_mb: int = 250_000,
        labels: tuple[str, str] = ("a", "r1-1"),
    ) -> None:
        self.name = name
        self.record = record
        self.addresses = addresses
        self.cpu = cpu
        self.mem_mb = mem_mb
        self.labels = labels
        self.born = int(time.time() * 1000)
        self.running: dict[str, Run] = {}
        self.ended: list[list[Any]] = []
        self.state = "ready"
        self.answers = 0
        self.rejected_answers = 0
        self.largest_answer = 0
        self.started: list[tuple[str, int, float]] = []
        self.lapsed: list[str] = []
        self._is_failing = False
        self._closed_run: dict[str, int] = {}
        self._last_end = 0
        self._sequence = 0
        self._token = 0
        self._lease_until = 0.0
        self._address_index = 0
        self._heartbeat_address = ""
        self._end_seen = threading.Event()
        self._halted = threading.Event()
        self.lock = threading.Lock()
        self._thread = threading.Thread(target=self._report, daemon=True)
        self._clock = threading.Thread(target=self._advance, daemon=True)

    def start(self) -> None:
        """Starts to report."""
        self.record.add("worker starts", worker=self.name)
        self._thread.start()
        self._clock.start()

    def crash(self) -> None:
        """Ends at once; everything that ran here is gone."""
        self.record.add("worker crashes", worker=self.name)
        self._halted.set()
        self._end_seen.set()
        with self.lock:
            self.running.clear()

    def set_failing(self, is_failing: bool) -> None:
        """Sets whether the runs that start from now on fail."""
        self.record.add("worker fails", worker=self.name, failing=is_failing)
        self._is_failing = is_failing

    # Tasks.

    def _advance(self) -> None:
        """Ends the runs whose time is over or whose lease has expired."""
        while not self._halted.wait(0.01):
            now = time.monotonic()
            with self.lock:
                if self.running and now >= self._lease_until:
                    for run in list(self.running.values()):
                        self.lapsed.append(run.task)
                        self._end(run.task, run.run, "lapsed")
                for run in list(self.running.values()):
                    if now >= run.ends_at:
                        how = "failed" if run.fails else "done"
                        self._end(run.task, run.run, how)

    def _end(self, task: str, run: int, how: str) -> None:
        self.running.pop(task, None)
        self._closed_run[task] = max(self._closed_run.get(task, 0), run)
        self._last_end += 1
        self.ended.append([self._last_end, task, run, how, ""])
        self.record.add("ended", worker=self.name, task=task, run=run, how=how)
        self._end_seen.set()

    def _start_run(self, task: str, run: int, spec: str) -> None:
        if run <= self._closed_run.get(task, 0):
            return
        known = self.running.get(task)
        if known is not None:
            return
        found = re.match(r"ms=(\d+)", spec)
        duration = int(found.group(1)) / 1000 if found else 0.1
        now = time.monotonic()
        ends_at = now + duration if duration else float("inf")
        self.running[task] = Run(
            task, run, duration, now, ends_at, self._is_failing
        )
        self.started.append((task, run, now))
        self.record.add("started", worker=self.name, task=task, run=run)

    def _stop_run(self, task: str, run: int) -> None:
        known = self.running.get(task)
        if known is not None and known.run == run:
            self._end(task, run, "stopped")
        else:
            self._closed_run[task] = max(self._closed_run.get(task, 0), run)

    # Reports.

    def heartbeat(self) -> dict[str, Any]:
        """Returns the next heartbeat."""
        with self.lock:
            self._sequence += 1
            now = time.monotonic()
            running = []
            for run in self.running.values():
                percent = 100
                if run.duration_s:
                    share = (now - run.started_at) / run.duration_s
                    percent = min(99, int(100 * share))
                running.append([run.task, run.run, "", percent, 10])
            return {
                "service": deployment_lib.SERVICE,
                "address": "127.0.0.1:9",
                "zone": "zone-0",
                "version": "v1",
                "slots": 8,
                "state": self.state,
                "cold_remaining_ms": 0,
                "machine": f"m-{self.name}",
                "capacity": {"cpu": self.cpu, "mem_mb": self.mem_mb, "gpu": 0},
                "labels": list(self.labels),
                "clock_ms": int(now * 1000),
                "sequence": self._sequence,
                "born": self.born,
                "running": running,
                "ended": [list(item) for item in self.ended[:MAX_LISTED_ENDS]],
            }

    def _report(self) -> None:
        while not self._halted.is_set():
            wait_s = self._report_once()
            deadline = time.monotonic() + wait_s
            while not self._halted.is_set():
                remaining = deadline - time.monotonic()
                if remaining <= 0:
                    break
                if self._end_seen.wait(remaining):
                    self._end_seen.clear()
                    deadline = min(deadline, time.monotonic() + 0.05)

    def _report_once(self) -> float:
        """Sends a heartbeat; returns the seconds until the next one."""
        if self._heartbeat_address:
            address = self._heartbeat_address
        else:
            self._address_index += 1
            address = self.addresses[self._address_index % len(self.addresses)]
        sent_at = time.monotonic()
        body = self.heartbeat()
        status, answer = self._post(address, body)
        elapsed = time.monotonic() - sent_at
        if self._halted.is_set():
            return 0.0
        self.largest_answer = max(self.largest_answer, len(answer))
        is_acknowledged = (
            200 <= status < 300
            and elapsed <= ANSWER_TIMEOUT_S
            and len(answer) <= MAX_ANSWER_BYTES
        )
        if not is_acknowledged:
            self.rejected_answers += 1
            self.record.add(
                "not acknowledged",
                worker=self.name,
                address=address,
                status=status,
                bytes=len(answer),
                ms=int(elapsed * 1000),
            )
            self._heartbeat_address = ""
            return 0.05
        self.answers += 1
        return self._obey(json.loads(answer or b"{}"), sent_at)

    def _post(self, address: str, body: dict[str, Any]) -> tuple[int, bytes]:
        path = f"/api/instances/{self.name}/heartbeat"
        status, answer, _ = deployment_lib.call(
            address, "POST", path, body, timeout_s=ANSWER_TIMEOUT_S
        )
        return status, answer

    def _obey(self, orders: dict[str, Any], sent_at: float) -> float:
        if orders.get("heartbeat_address"):
            self._heartbeat_address = orders["heartbeat_address"]
        token = orders.get("fencing_token", 0)
        with self.lock:
            if token >= self._token:
                self._token = token
                if "ack_seq" in orders:
                    self.ended = [
                        item
                        for item in self.ended
                        if item[0] > orders["ack_seq"]
                    ]
                for task, run in orders.get("stop", []):
                    self._stop_run(task, run)
                if "hold_ms" in orders:
                    hold_s = min(HOLD_MAX_S, orders["hold_ms"] / 1000)
                    self._lease_until = max(self._lease_until, sent_at + hold_s)
                    for item in orders.get("start", []):
                        self._start_run(item[0], item[1], item[2])
        return orders.get("retry_after_ms", HEARTBEAT_S * 1000) / 1000
