"""A worker that follows PROTOCOL.md: it runs what it is told to start."""

from collections.abc import Callable
import dataclasses
import json
import threading
import time
from typing import Any

from support_3 import deployment

MAX_HOLD_S = 10.0
# Ends that one heartbeat lists.
MAX_LISTED_ENDS = 500
# For how long a worker that shuts down stays at least, and how long it does.
DRAIN_S = 2.0
STAYS_S = 3.0
ANSWER_TIMEOUT_S = 1.0
STOP_S = 0.1
AFTER_END_S = 0.05
STARTUP_S = 0.3
LASTS = float("inf")


@dataclasses.dataclass
class Run:
    """A run in progress.

    Attributes:
        duration_s: How long it works; LASTS for one that goes on.
    """

    number: int
    started_at: float
    duration_s: float
    stops_at: float = LASTS


@dataclasses.dataclass(frozen=True)
class Event:
    """The start of a run, its end, or that the end was taken note of."""

    at: float
    worker: str
    task: str
    run: int
    kind: str


class History:
    """The starts and ends of all runs on all workers."""

    def __init__(self, record: deployment.Record) -> None:
        self.lock = threading.RLock()
        self.events: list[Event] = []
        self._record = record

    def add(self, worker: str, task: str, run: int, kind: str) -> None:
        """Records an event that happens now."""
        with self.lock:
            self.events.append(Event(time.monotonic(), worker, task, run, kind))
            self._record.add(f"worker {worker}: {task} run {run} {kind}")

    def note(self, text: str) -> None:
        """Records something else."""
        self._record.add(text)

    def of(self, prefix: str) -> list[Event]:
        """Returns the events of the tasks whose names begin so."""
        with self.lock:
            return [
                event for event in self.events if event.task.startswith(prefix)
            ]

    def running(self, prefix: str) -> list[Event]:
        """Returns the starts of the runs in progress."""
        open_runs: dict[tuple[str, str, int], Event] = {}
        for event in self.of(prefix):
            key = (event.worker, event.task, event.run)
            if event.kind == "started":
                open_runs[key] = event
            else:
                open_runs.pop(key, None)
        return list(open_runs.values())


class Worker:
    """One life of a worker, on a thread of its own.

    Args:
        name: Its id.
        service: Its service.
        controls: Addresses to which it may report.
        history: Receives the starts and ends of its runs.
        duration_of: Returns how long a task works.
        capacity: Its capacity; it rejects what doesn't fit.
        need_of: Returns the processor time that a task claims.
    """

    def __init__(
        self,
        name: str,
        service: str,
        controls: list[str],
        history: History,
        duration_of: Callable[[str], float],
        capacity: int = 16_000,
        need_of: Callable[[str], int] = lambda task: 0,
    ) -> None:
        self.name = name
        self.run_by_task: dict[str, Run] = {}
        self._service = service
        self._controls = controls
        self._history = history
        self._duration_of = duration_of
        self._capacity = capacity
        self._need_of = need_of
        self._born = int(time.time() * 1000)
        self._clock_start = time.monotonic()
        self._sequence = 0
        self._token = 0
        self._lease_until = 0.0
        self._report_address = ""
        self._address_index = sum(name.encode()) % len(controls)
        self._closed_run_by_task: dict[str, int] = {}
        self._drain_started_at = LASTS
        self._ends: list[list[Any]] = []
        self._last_end = 0
        self._lock = threading.RLock()
        self._has_end = threading.Event()
        self._halted = threading.Event()
        threading.Thread(target=self._report, daemon=True).start()

    def halt(self) -> None:
        """Ends the worker."""
        self._halted.set()

    def drain(self) -> None:
        """Begins a planned shutdown."""
        with self._lock:
            self._drain_started_at = time.monotonic()
            self._has_end.set()

    def fail(self, task: str) -> bool:
        """Lets a run fail; returns whether there was one."""
        with self._lock:
            run = self.run_by_task.get(task)
            if run is not None:
                self._end(task, run.number, "failed")
            return run is not None

    def free(self) -> int:
        """Returns the processor time that no run claims."""
        with self._lock:
            return self._capacity - sum(map(self._need_of, self.run_by_task))

    def heartbeat(self) -> dict[str, Any]:
        """Returns its next heartbeat."""
        with self._lock:
            self._sequence += 1
            now = time.monotonic()
            running = []
            for task, run in self.run_by_task.items():
                ran_s = now - run.started_at
                if run.duration_s == LASTS:
                    percent = 100 if ran_s >= STARTUP_S else 50
                else:
                    percent = min(99, int(100 * ran_s / run.duration_s))
                running.append([task, run.number, "", percent, 10])
            drained_s = now - self._drain_started_at
            draining = {}
            if drained_s >= 0:
                left_ms = max(0, int((DRAIN_S - drained_s) * 1000))
                draining = {"state": "draining", "drain_remaining_ms": left_ms}
            return {
                "service": self._service,
                "address": "127.0.0.1:9",
                "zone": "jyl-a",
                "version": "v1",
                "slots": 8,
                "state": "ready",
                "cold_remaining_ms": 0,
                "capacity": {"cpu": self._capacity, "mem_mb": 64000, "gpu": 0},
                "labels": ["a", "r-1"],
                "machine": f"m-{self.name}",
                "clock_ms": 1 + int((now - self._clock_start) * 1000),
                "sequence": self._sequence,
                "born": self._born,
                "running": running,
                "ended": [list(item) for item in self._ends[:MAX_LISTED_ENDS]],
                **draining,
            }

    def _end(self, task: str, number: int, how: str) -> None:
        self.run_by_task.pop(task, None)
        known = self._closed_run_by_task.get(task, 0)
        self._closed_run_by_task[task] = max(known, number)
        self._last_end += 1
        self._ends.append([self._last_end, task, number, how, ""])
        self._history.add(self.name, task, number, how)
        self._has_end.set()

    def _advance(self, now: float) -> None:
        for task, run in list(self.run_by_task.items()):
            if now >= self._lease_until:
                self._end(task, run.number, "lapsed")
            elif now >= run.stops_at:
                self._end(task, run.number, "stopped")
            elif now >= run.started_at + run.duration_s:
                self._end(task, run.number, "done")

    def _report(self) -> None:
        next_at = 0.0
        while not self._halted.is_set():
            now = time.monotonic()
            with self._lock:
                self._advance(now)
            if now - self._drain_started_at >= STAYS_S:
                self._leave()
                return
            if self._has_end.is_set():
                self._has_end.clear()
                next_at = min(next_at, now + AFTER_END_S)
            if now < next_at:
                self._halted.wait(min(0.02, next_at - now))
                continue
            next_at = now + self._report_once()

    def _leave(self) -> None:
        address = self._report_address or self._controls[0]
        body = {"born": self._born}
        path = f"/api/instances/{self.name}/leave"
        status, _, _ = deployment.call(address, "POST", path, body, 1.0)
        self._history.note(f"worker {self.name} leaves: {status}")
        self._halted.set()

    def _report_once(self) -> float:
        """Sends a heartbeat; returns the seconds until the next one."""
        index = self._address_index % len(self._controls)
        address = self._report_address or self._controls[index]
        path = f"/api/instances/{self.name}/heartbeat"
        sent_at = time.monotonic()
        status, answer, _ = deployment.call(
            address, "POST", path, self.heartbeat(), ANSWER_TIMEOUT_S
        )
        now = time.monotonic()
        is_late = now - sent_at > ANSWER_TIMEOUT_S
        if not 200 <= status < 300 or is_late:
            self._report_address = ""
            self._address_index += 1
            return 0.1
        with self._lock:
            self._advance(now)
            return self._obey(json.loads(answer or b"{}"), sent_at, now)

    def _obey(
        self, orders: dict[str, Any], sent_at: float, now: float
    ) -> float:
        address = orders.get("heartbeat_address", self._report_address)
        self._report_address = address
        interval_s = float(orders.get("retry_after_ms", 1500)) / 1000
        token = orders.get("fencing_token", 0)
        if token < self._token or self._halted.is_set():
            return interval_s
        self._token = token
        acknowledged = orders.get("ack_seq", 0)
        for number, task, run_number, *_ in self._ends:
            if number <= acknowledged:
                self._history.add(self.name, task, run_number, "noted")
        self._ends = [item for item in self._ends if item[0] > acknowledged]
        for task, number in orders.get("stop", []):
            run = self.run_by_task.get(task)
            if run is not None and run.number == number:
                run.stops_at = min(run.stops_at, now + STOP_S)
        if "hold_ms" not in orders:
            return interval_s
        hold_s = min(MAX_HOLD_S, orders["hold_ms"] / 1000)
        self._lease_until = max(self._lease_until, sent_at + hold_s)
        for task, number, *_ in orders.get("start", []):
            is_closed = number <= self._closed_run_by_task.get(task, 0)
            if is_closed or task in self.run_by_task:
                continue
            if self._need_of(task) > self.free():
                self._end(task, number, "refused")
                continue
            duration_s = self._duration_of(task)
            self.run_by_task[task] = Run(number, now, duration_s)
            self._history.add(self.name, task, number, "started")
        return interval_s
