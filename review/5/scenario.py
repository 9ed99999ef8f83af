"""Submissions that meet a configuration that removes their route."""

import collections
import pathlib
import sys
import threading
import time

SUPPORT = pathlib.Path(__file__).resolve().parents[1] / "support"
sys.path.append(str(SUPPORT))

import deployment as deployment_lib  # noqa: E402
import worker as worker_lib  # noqa: E402

REMOVED_PREFIX = "/season/"
STEP = {"count": 1, "cpu": 100, "mem_mb": 16, "estimated_ms": 50}
CLIENTS = 16
PAUSE_S = 0.02
ROUNDS = 6
SETTLE_S = 4


class SteadyClient(threading.Thread):
    """Submits a job after another and takes each first answer as final.

    A 404 ends a client's attempts, as no such queue exists.
    """

    def __init__(
        self, front: str, record: deployment_lib.Record, halt: threading.Event
    ) -> None:
        super().__init__(daemon=True)
        self.status_by_job: dict[str, int] = {}
        self._front = front
        self._record = record
        self._halt = halt

    def run(self) -> None:
        """Submits until told to halt."""
        body = {"spec": "ms=50;", "steps": [STEP]}
        while not self._halt.wait(PAUSE_S):
            job = deployment_lib.job_id()
            status, _, _ = deployment_lib.call(
                self._front, "POST", REMOVED_PREFIX + job, body
            )
            self.status_by_job[job] = status
            self._record.add("submit", job=job, status=status)


def play(
    deployment: deployment_lib.Deployment,
    record: deployment_lib.Record,
    is_troubled: bool,
) -> int:
    """Removes and adds a route while clients use it."""
    deployment.start_all()
    kept = deployment_lib.route()
    removed = deployment_lib.route("r-season", REMOVED_PREFIX)
    version = 1
    deployment.order(
        "POST",
        "/api/config/replace",
        deployment_lib.configuration(version, [kept, removed]),
    )
    workers = [
        worker_lib.Worker(f"i-{number}", deployment.controls(), record)
        for number in range(3)
    ]
    for worker in workers:
        worker.start()
    time.sleep(2)
    halt = threading.Event()
    clients = [
        SteadyClient(
            deployment.front(deployment.nodes[number % len(deployment.nodes)]),
            record,
            halt,
        )
        for number in range(CLIENTS)
    ]
    for client in clients:
        client.start()
    for _ in range(ROUNDS):
        for routes in ([kept], [kept, removed]):
            time.sleep(2.5)
            version += 1
            deployment.order(
                "POST",
                "/api/config/replace",
                deployment_lib.configuration(
                    version, routes if is_troubled else [kept, removed]
                ),
            )
    halt.set()
    for client in clients:
        client.join()
    time.sleep(SETTLE_S)
    started = {
        task.partition(".")[0]
        for worker in workers
        for task, _, _ in worker.started
    }
    status_by_job = {
        job: status
        for client in clients
        for job, status in client.status_by_job.items()
    }
    counts = collections.Counter(status_by_job.values())
    broken = [
        job
        for job, status in status_by_job.items()
        if status == 404 and job in started
    ]
    for job in broken:
        record.add("refused and started", job=job)
    print("answers", dict(counts), "refused with 404 and started", len(broken))
    return int(bool(broken))


if __name__ == "__main__":
    sys.exit(deployment_lib.run_case(pathlib.Path(__file__).parent, play))
