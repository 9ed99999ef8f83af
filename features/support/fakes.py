"""A fake endpoint and a fake worker, run in threads or as a process."""

import dataclasses
import http.client
import http.server
import json
import sys
import threading
import time
from typing import Any

HEARTBEAT_S = 0.2
REQUEST_TIMEOUT_S = 2.0


def post(
    address: str, path: str, body: dict[str, Any]
) -> dict[str, Any] | None:
    """Posts JSON; returns the JSON response, None unless its status is 200."""
    connection = http.client.HTTPConnection(address, timeout=REQUEST_TIMEOUT_S)
    try:
        connection.request("POST", path, json.dumps(body))
        response = connection.getresponse()
        answer = json.loads(response.read())
        return answer if response.status == 200 else None
    except (OSError, http.client.HTTPException, ValueError):
        return None
    finally:
        connection.close()


class _Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def _serve(self) -> None:
        endpoint: FakeEndpoint = self.server.endpoint  # type: ignore[attr-defined]
        length = int(self.headers.get("Content-Length", 0))
        body = self.rfile.read(length)
        key = self.headers.get("Fulmar-Key", "")
        endpoint.begin_request(key, self.path)
        try:
            endpoint.delay_response(self.path)
            if endpoint.silent.is_set():
                # Holds the connection open without ever answering.
                time.sleep(60)
            answer = f"{self.command} {self.path} ".encode() + body
            declared = len(answer)
            if self.path.startswith("/partial"):
                answer = answer[: declared // 2]
            self.send_response(200)
            request_id = self.headers.get("Fulmar-Request-Id", "")
            if self.path.startswith("/mismatch"):
                request_id = "another"
            self.send_header("Fulmar-Request-Id", request_id)
            self.send_header("Content-Length", str(declared))
            self.end_headers()
            self.wfile.write(answer)
            if self.path.startswith("/partial"):
                self.close_connection = True
        finally:
            endpoint.end_request()

    do_GET = do_POST = do_PUT = do_DELETE = do_PATCH = _serve  # noqa: N815

    def log_message(self, *arguments: object) -> None:
        del arguments


class _Server(http.server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256

    def handle_error(self, request: object, client_address: object) -> None:
        del request, client_address


class FakeEndpoint:
    """An HTTP server that echoes requests and records them.

    It announces itself to the entries in turn. Paths that start with /sleep/N
    are answered after N seconds, /partial is answered with half of the body,
    and /mismatch with the id of another request.

    Attributes:
        silent: While set, requests are held open without a response.
        leaving: While set, it announces that it is leaving.
        executed_keys: The keys of all keyed requests received.
        request_paths: The paths of all requests received.
        peak_in_progress: Most requests that were in progress at once.
    """

    def __init__(
        self,
        name: str,
        entries: list[str],
        service: str = "booking",
        slots: int = 8,
        port: int = 0,
        delay_s: float = 0.0,
    ) -> None:
        self.name = name
        self.entries = entries
        self.service = service
        self.slots = slots
        self.delay_s = delay_s
        self.silent = threading.Event()
        self.leaving = threading.Event()
        self.executed_keys: list[str] = []
        self.request_paths: list[str] = []
        self.in_progress = 0
        self.peak_in_progress = 0
        self.last_reply: dict[str, Any] | None = None
        self._lock = threading.Lock()
        self._stopped = threading.Event()
        self._server = _Server(("127.0.0.1", port), _Handler)
        self._server.endpoint = self  # type: ignore[attr-defined]
        self.port: int = self._server.server_address[1]
        self._incarnation = time.time_ns() // 1_000_000
        self._threads = [
            threading.Thread(target=self._server.serve_forever, daemon=True),
            threading.Thread(target=self._send_heartbeats, daemon=True),
        ]

    def start(self) -> "FakeEndpoint":
        for thread in self._threads:
            thread.start()
        return self

    def stop(self) -> None:
        self._stopped.set()
        self._server.shutdown()
        self._server.server_close()

    def begin_request(self, key: str, path: str) -> None:
        with self._lock:
            self.in_progress += 1
            self.peak_in_progress = max(self.peak_in_progress, self.in_progress)
            self.request_paths.append(path)
            if key:
                self.executed_keys.append(key)

    def end_request(self) -> None:
        with self._lock:
            self.in_progress -= 1

    def delay_response(self, path: str) -> None:
        delay = self.delay_s
        if path.startswith("/sleep/"):
            delay = float(path.split("/")[2])
        if delay:
            time.sleep(delay)

    def _send_heartbeats(self) -> None:
        turn = 0
        while not self._stopped.is_set():
            entry = self.entries[turn % len(self.entries)]
            turn += 1
            body = {
                "endpoint": self.name,
                "incarnation": self._incarnation,
                "service": self.service,
                "host": "127.0.0.1",
                "port": self.port,
                "slots": self.slots,
                "connections": self.slots * 8,
                "leaving": self.leaving.is_set(),
            }
            reply = post(entry, "/v1/endpoints/heartbeat", body)
            self.last_reply = reply or self.last_reply
            self._stopped.wait(HEARTBEAT_S)


def _parse_duration(payload: str) -> float:
    """Returns the seconds that a payload names.

    An empty payload takes no time, and one that isn't a number takes 1 s.
    """
    try:
        return float(payload or 0)
    except ValueError:
        return 1.0


@dataclasses.dataclass
class _FakeTask:
    """A task on a fake worker, and its latest report."""

    job: str
    epoch: int
    started_at: float
    duration_s: float
    first_step: int
    report: dict[str, Any]
    done: bool = False


@dataclasses.dataclass(frozen=True)
class Span:
    """Interval in which a job ran on a worker, in time and in steps."""

    job: str
    epoch: int
    worker: str
    start: float
    end: float
    first_step: int
    last_step: int


class FakeWorker:
    """A worker that runs jobs by waiting for the seconds in their payload.

    It reports to the entries in turn. A task's checkpoint is its step.

    Attributes:
        spans: All runs of jobs that have ended.
        cut_off: While set, it sends no heartbeats, but its tasks go on until
            their lease ends.
        frozen: While set, it does nothing at all.
        leaving: While set, it announces that it is leaving.
        peak_millicores: Most processor millicores that its tasks needed at
            once.
    """

    STEP_S = 0.1

    def __init__(
        self,
        name: str,
        entries: list[str],
        millicores: int = 8000,
        memory_mb: int = 16000,
        fails_all: bool = False,
    ) -> None:
        self.name = name
        self.entries = entries
        self.capacity = {
            "millicores": millicores,
            "memory_mb": memory_mb,
            "accelerators": 0,
        }
        self.fails_all = fails_all
        self.spans: list[Span] = []
        self.cut_off = threading.Event()
        self.frozen = threading.Event()
        self.leaving = threading.Event()
        self.peak_millicores = 0
        self._task_by_key: dict[tuple[str, int], _FakeTask] = {}
        self._millicores_by_key: dict[tuple[str, int], int] = {}
        # Newest epoch of each job; a lease that is not newer isn't used again.
        self._epoch_by_job: dict[str, int] = {}
        self._lease_until = 0.0
        self._stopped = threading.Event()
        self._incarnation = time.time_ns() // 1_000_000
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> "FakeWorker":
        self._thread.start()
        return self

    def stop(self) -> None:
        self._stopped.set()
        self._thread.join(timeout=3)

    def _run(self) -> None:
        turn = 0
        while not self._stopped.is_set():
            turn += 1
            if self.frozen.is_set():
                self._stopped.wait(0.05)
                continue
            self._stop_expired_tasks()
            self._update_tasks()
            if not self.cut_off.is_set():
                self._heartbeat(self.entries[turn % len(self.entries)])
            self._stopped.wait(HEARTBEAT_S)

    def _heartbeat(self, entry: str) -> None:
        sent_at = time.monotonic()
        body = {
            "worker": self.name,
            "incarnation": self._incarnation,
            "capacity": self.capacity,
            "leaving": self.leaving.is_set(),
            "reports": [task.report for task in self._task_by_key.values()],
        }
        reply = post(entry, "/v1/workers/heartbeat", body)
        if reply is None:
            return
        self._lease_until = max(
            self._lease_until, sent_at + reply["lease_ms"] / 1000
        )
        leases = {(item["job"], item["epoch"]) for item in reply["leases"]}
        for key in [key for key in self._task_by_key if key not in leases]:
            self._record_span(self._task_by_key.pop(key))
        for order in reply["stop"]:
            self._stop_task(order)
        for order in reply["start"]:
            self._start_task(order)

    def _start_task(self, order: dict[str, Any]) -> None:
        key = (order["job"], order["epoch"])
        if order["epoch"] <= self._epoch_by_job.get(order["job"], 0):
            return
        if time.monotonic() >= self._lease_until:
            return
        self._epoch_by_job[order["job"]] = order["epoch"]
        event = "failed" if self.fails_all else "started"
        self._millicores_by_key[key] = order["needs"]["millicores"]
        self._task_by_key[key] = _FakeTask(
            job=order["job"],
            epoch=order["epoch"],
            started_at=time.monotonic(),
            duration_s=_parse_duration(order["payload"]),
            first_step=order["checkpoint"],
            report={
                "job": order["job"],
                "epoch": order["epoch"],
                "event": event,
                "checkpoint": order["checkpoint"],
                "exit_code": 1 if self.fails_all else 0,
            },
            done=self.fails_all,
        )
        running = sum(
            self._millicores_by_key[item]
            for item, task in self._task_by_key.items()
            if not task.done
        )
        self.peak_millicores = max(self.peak_millicores, running)

    def _update_tasks(self) -> None:
        for task in self._task_by_key.values():
            if task.done:
                continue
            step = self._current_step(task)
            if step >= task.duration_s / self.STEP_S:
                self._finish_task(task, "succeeded", step)
            elif task.report["event"] in ("started", "checkpointed"):
                task.report = {
                    **task.report,
                    "event": "started",
                    "checkpoint": step,
                }

    def _current_step(self, task: _FakeTask) -> int:
        ran = time.monotonic() - task.started_at
        return task.first_step + int(ran / self.STEP_S)

    def _stop_task(self, order: dict[str, Any]) -> None:
        task = self._task_by_key.get((order["job"], order["epoch"]))
        if task is None:
            if order["epoch"] > self._epoch_by_job.get(order["job"], 0):
                self._report_not_started(order)
        elif not task.done:
            self._finish_task(task, "stopped", self._current_step(task))

    def _report_not_started(self, order: dict[str, Any]) -> None:
        """Reports that a lease ended by a stop order was never started."""
        job, epoch = order["job"], order["epoch"]
        self._epoch_by_job[job] = epoch
        report = {"job": job, "epoch": epoch, "event": "not_started"}
        self._task_by_key[job, epoch] = _FakeTask(
            job, epoch, time.monotonic(), 0, 0, report, done=True
        )

    def _finish_task(self, task: _FakeTask, event: str, step: int) -> None:
        self._record_span(task, step)
        task.report = {**task.report, "event": event, "checkpoint": step}

    def _record_span(self, task: _FakeTask, step: int | None = None) -> None:
        if task.done:
            return
        task.done = True
        last = self._current_step(task) if step is None else step
        self.spans.append(
            Span(
                task.job,
                task.epoch,
                self.name,
                task.started_at,
                time.monotonic(),
                task.first_step,
                last,
            )
        )

    def _stop_expired_tasks(self) -> None:
        if time.monotonic() < self._lease_until:
            return
        for task in self._task_by_key.values():
            if not task.done:
                self._finish_task(task, "stopped", self._current_step(task))

    @property
    def running(self) -> list[str]:
        """Jobs that are running."""
        return [
            task.job
            for task in list(self._task_by_key.values())
            if not task.done
        ]


def main() -> None:
    """Runs a fake until it is interrupted.

    The arguments are `endpoint NAME ENTRY...` or `worker NAME ENTRY...`.
    """
    kind, name, *entries = sys.argv[1:]
    fake: FakeEndpoint | FakeWorker
    if kind == "endpoint":
        fake = FakeEndpoint(name, entries)
    else:
        fake = FakeWorker(name, entries)
    fake.start()
    try:
        threading.Event().wait()
    except KeyboardInterrupt:
        fake.stop()


if __name__ == "__main__":
    main()
