"""Clients and operators of the soak; they keep their connections open."""

import contextlib
import http.client
import json
import random
import threading
import time
from typing import Any
import urllib.parse

from features.support import run_checks
from features.support import soak_workers

HOST = "h.example"
CLIENT_TIMEOUT_S = 4.0
OPERATOR_TIMEOUT_S = 1.0
SUBMISSION_INTERVAL_S = 0.25
RESUBMIT_DELAY_S = 0.2
MAX_LASTING_JOBS = 7
SERVING_IMAGES = 4
# Share of the jobs whose tasks outlast restarts and partitions of their workers.
LONG_SHARE = 0.15
LONG_MS = 9000
FILLING_IMAGES = 5
# Shares of the ordinary jobs that are submitted to queues which change, and that have
# about as many short tasks as a worker lists ends, or more.
NESTED_SHARE = 0.15
MOVED_SHARE = 0.3
WIDE_SHARE = 0.1
WIDE_COUNTS = (499, 500, 501, 800, 1100)
# Share of a client's calls that submit a job under a path that names none.
UNNAMED_SHARE = 0.04


class Connections:
    """One connection to each node, open until it breaks."""

    def __init__(self) -> None:
        self._by_address: dict[str, http.client.HTTPConnection] = {}

    def call(
        self,
        address: str,
        method: str,
        path: str,
        body: Any = None,
        timeout_s: float = CLIENT_TIMEOUT_S,
    ) -> tuple[int, bytes, str]:
        """Returns status, body and Location; status 0 without an answer."""
        connection = self._by_address.get(address)
        if connection is None:
            connection = http.client.HTTPConnection(address, timeout=timeout_s)
            self._by_address[address] = connection
        data = None if body is None else json.dumps(body)
        headers = {"Host": HOST, "Content-Type": "application/json"}
        try:
            connection.request(method, path, data, headers)
            response = connection.getresponse()
            location = response.getheader("Location") or ""
            return response.status, response.read(), location
        except (OSError, http.client.HTTPException):
            connection.close()
            del self._by_address[address]
            return 0, b"", ""

    def close(self) -> None:
        for connection in self._by_address.values():
            connection.close()


def make_job(choice: random.Random, job_id: str, is_lasting: bool) -> Any:
    """Returns a random job, either one that lasts or a short one."""
    if is_lasting:
        step: dict[str, Any] = {
            "count": choice.randint(2, 5),
            "cpu": choice.choice([1000, 1500, 2500]),
            "mem_mb": 1000,
            "estimated_ms": 400,
            "long_running": True,
            "image": f"s{choice.randrange(SERVING_IMAGES)}",
            "target_ms": soak_workers.TARGET_MS,
            "anti_affinity": choice.choice([1, 1, 1, 2]),
        }
        if choice.random() < 0.2:
            step["requirements"] = choice.choice("ab")
            step["count"] = 2
        return run_checks.Job(job_id, "/a/", f"ms=0 {job_id}", [step])
    step = {
        "count": choice.randint(1, 6),
        "cpu": choice.choice([500, 1000, 2500]),
        "mem_mb": 300,
        "estimated_ms": choice.choice([100, 400, 900]),
    }
    queue = "/d/" if choice.random() < 0.2 else "/b/"
    if choice.random() < 0.5:
        step["anti_affinity"] = choice.choice([1, 2])
    if choice.random() < 0.4 and queue != "/d/":
        step["fills"] = True
        step["image"] = f"f{choice.randrange(FILLING_IMAGES)}"
        step["cpu"] = choice.choice([2000, 4000, 6000])
        step["estimated_ms"] = choice.choice([1500, 3000])
    if choice.random() < 0.3 and queue != "/d/":
        step["requirements"] = choice.choice("ab")
    # A generator of its own, so that the jobs of a seed stay the same otherwise.
    if random.Random(f"long {job_id}").random() < LONG_SHARE:
        step["estimated_ms"] = LONG_MS
    if queue == "/b/" and not ("fills" in step or "requirements" in step):
        queue, step = _vary(job_id, queue, step)
    steps = [step]
    if choice.random() < 0.3:
        steps.append({**step, "count": choice.randint(1, 3), "after": [0]})
    payload = f"ms={step['estimated_ms']} {job_id}"
    return run_checks.Job(job_id, queue, payload, steps)


def _vary(
    job_id: str, queue: str, step: dict[str, Any]
) -> tuple[str, dict[str, Any]]:
    """Returns the queue and step of an ordinary job, or others in their place."""
    # A generator of its own, so that the jobs of a seed stay the same otherwise.
    choice = random.Random(f"vary {job_id}")
    drawn = choice.random()
    if drawn < WIDE_SHARE:
        return queue, {
            "count": choice.choice(WIDE_COUNTS),
            "cpu": 10,
            "mem_mb": 5,
            "estimated_ms": 1500,
        }
    drawn -= WIDE_SHARE
    if drawn < NESTED_SHARE:
        return choice.choice(run_checks.NESTED_QUEUES), step
    if drawn < NESTED_SHARE + MOVED_SHARE:
        return run_checks.MOVED_QUEUE, step
    return queue, step


class Client(threading.Thread):
    """Submits jobs until told to stop, then until each answer is clear."""

    def __init__(
        self,
        number: int,
        seed: int,
        addresses: list[str],
        checks: run_checks.RunChecks,
    ) -> None:
        super().__init__(daemon=True)
        self.closing = threading.Event()
        self._number = number
        self._random = random.Random(f"client {seed} {number}")
        # A generator of its own, so that the jobs of a seed stay the same.
        self._unnamed = random.Random(f"unnamed {seed} {number}")
        self._addresses = addresses
        self._checks = checks
        self._connections = Connections()
        self._jobs: list[run_checks.Job] = []
        self._submitted = 0

    def run(self) -> None:
        while not self.closing.wait(
            self._random.uniform(0.2, 1.8) * SUBMISSION_INTERVAL_S
        ):
            if self._unnamed.random() < UNNAMED_SHARE:
                self._submit_unnamed()
            choice = self._random.random()
            if choice < 0.15 and self._jobs:
                self._resubmit()
            elif choice < 0.3 and self._jobs:
                self.show(self._random.choice(self._jobs))
            else:
                self._submit_new()
        with contextlib.suppress(IndexError):
            while not self._checks.violations:
                job = next(
                    job
                    for job in [*self._jobs, None]
                    if job is None or self._is_unclear(job)
                )
                if job is None:
                    break
                self._submit(job)
                time.sleep(RESUBMIT_DELAY_S)

    def _is_unclear(self, job: run_checks.Job) -> bool:
        return not (job.is_accepted or job.is_rejected or job.is_cancelled)

    def _submit_new(self) -> None:
        lasting = [
            job for job in self._jobs if job.is_lasting and not job.is_cancelled
        ]
        if len(lasting) >= MAX_LASTING_JOBS:
            self.cancel(self._random.choice(lasting))
        self._submitted += 1
        job_id = f"{self._number:04x}{self._submitted:012x}"
        is_lasting = (
            self._number == 0 and self._random.random() < 0.5
        ) or self._submitted < 3
        job = make_job(self._random, job_id, is_lasting)
        with self._checks.lock:
            self._checks.job_by_id[job_id] = job
        self._jobs.append(job)
        for _ in range(self._random.randint(1, 6)):
            self._submit(job)
            if not self._is_unclear(job):
                return
            time.sleep(RESUBMIT_DELAY_S)

    def _submit_unnamed(self) -> None:
        """Submits a job under a path that names none; it must not be accepted."""
        job_id = f"{self._number:04x}{self._submitted:012x}"
        body = {"spec": "", "steps": [{"count": 1, "cpu": 100, "mem_mb": 10}]}
        for path in (f"/b/v1.9/{job_id}", f"/b/{job_id}.0", "/b/x", "/d/0/1"):
            address = self._random.choice(self._addresses)
            status, _, _ = self._connections.call(address, "POST", path, body)
            if 200 <= status < 300:
                with self._checks.lock:
                    self._checks.add_violation("ACCEPTED", path=path)

    def _resubmit(self) -> None:
        """Submits an earlier job once more, as retries may arrive late."""
        self._submit(self._random.choice(self._jobs))

    def _submit(self, job: run_checks.Job) -> None:
        body = {"spec": job.payload, "steps": job.steps}
        status, _, _ = self._connections.call(
            self._random.choice(self._addresses),
            "POST",
            job.queue + job.id,
            body,
        )
        with self._checks.lock:
            job.answers.append(status)
            self._checks.record.add("submitted", job=job.id, status=status)

    def cancel(self, job: run_checks.Job) -> bool:
        """Asks to cancel a job; returns whether that was acknowledged."""
        with self._checks.lock:
            job.is_cancelled = True
        status, _, _ = self._connections.call(
            self._random.choice(self._addresses), "DELETE", job.queue + job.id
        )
        self._checks.record.add("cancelled", job=job.id, status=status)
        return 200 <= status < 300 or status == 410

    def show(self, job: run_checks.Job) -> str:
        """Returns a job's state as shown, or the status of the answer."""
        status, body, _ = self._connections.call(
            self._random.choice(self._addresses), "GET", job.queue + job.id
        )
        if status != 200:
            return str(status)
        state = str(json.loads(body)["state"])
        with self._checks.lock:
            self._checks.check_shown_state(job, state)
        return state

    @property
    def jobs(self) -> list[run_checks.Job]:
        return list(self._jobs)

    def close(self) -> None:
        self._connections.close()


class Operator:
    """Sends configurations until they are acknowledged, and reads them back."""

    def __init__(
        self, seed: int, addresses: list[str], guarded: dict[str, bool]
    ) -> None:
        self._random = random.Random(f"operator {seed}")
        self._addresses = addresses
        self._guarded = guarded
        self._connections = Connections()
        self._version = 0

    def replace(self, until: float, moved_to: str = "") -> bool:
        """Sends the next configuration; returns whether it was acknowledged.

        Args:
            until: When to give up.
            moved_to: Service of the moved queue, with all other queues there; or
                empty to draw both.
        """
        self._version += self._random.randint(1, 3)
        body = self._configuration(moved_to)
        path = "/api/config/replace"
        while time.monotonic() < until:
            address = self._random.choice(self._addresses)
            for _ in range(3):
                status, _, location = self._connections.call(
                    address, "POST", path, body, OPERATOR_TIMEOUT_S
                )
                if status != 307:
                    break
                address = urllib.parse.urlsplit(location).netloc
            if 200 <= status < 300:
                return True
            time.sleep(RESUBMIT_DELAY_S)
        return False

    def read_version(self) -> int:
        """Returns the version that a node gives, or -1 without an answer."""
        address = self._random.choice(self._addresses)
        status, body, location = self._connections.call(
            address, "GET", "/api/config/read"
        )
        if status == 307:
            address = urllib.parse.urlsplit(location).netloc
            status, body, _ = self._connections.call(
                address, "GET", "/api/config/read"
            )
        return int(json.loads(body)["version"]) if status == 200 else -1

    @property
    def version(self) -> int:
        return self._version

    def _configuration(self, moved_to: str) -> dict[str, Any]:
        service_by_prefix = dict(run_checks.SERVICE_BY_QUEUE)
        service_by_prefix[run_checks.MOVED_QUEUE] = moved_to or (
            self._random.choice(run_checks.MOVED_QUEUE_SERVICES)
        )
        for prefix in run_checks.NESTED_QUEUES:
            if moved_to or self._random.random() < 0.5:
                service_by_prefix[prefix] = service_by_prefix["/b/"]
        routes = [
            {
                "name": f"r-{prefix}",
                "host": HOST,
                "path_prefix": prefix,
                "kind": "unsafe",
                "timeout_ms": self._random.choice([2500, 3000]),
                "target_duration_ms": 1000,
                "priority": number % 2,
                "service": service,
                "max_attempts": 3,
                "stretch": 1.5,
            }
            for number, (prefix, service) in enumerate(
                service_by_prefix.items()
            )
        ]
        for number in range(self._random.randrange(4)):
            extra = {"name": f"x-{number}", "path_prefix": f"/x{number}/"}
            routes.append({**routes[0], **extra})
        return {
            "version": self._version,
            "routes": routes,
            "services": [
                {"name": name, "admission_control": is_guarded}
                for name, is_guarded in self._guarded.items()
            ],
            "limits": {"max_body_bytes": 262144},
        }
