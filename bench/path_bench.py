"""Latency added by an entry, requests per second, memory, idle processor time.

Also: time without a leader after a kill, time until a ticket is in force, and
commits per second. Real processes on the loopback address.
"""

import concurrent.futures
import http.client
import pathlib
import statistics
import tempfile
import time

from bench import report
from features.support import deployment as deployment_lib
from features.support import fakes

REQUESTS = 1500
RUNS = 5
KILLS = 12


def _series(
    address: str, path: str, count: int, method: str = "GET"
) -> list[float]:
    host, port = address.split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=10)
    elapsed = []
    for _ in range(count):
        start = time.perf_counter()
        connection.request(method, path)
        connection.getresponse().read()
        elapsed.append((time.perf_counter() - start) * 1000)
    connection.close()
    return elapsed


def _latency(entry: str, endpoint: str) -> None:
    cases = {"p50": 0.5, "p99": 0.99, "p99.9": 0.999}
    added: dict[str, list[float]] = {name: [] for name in cases}
    direct_p50 = []
    keyed = []
    for _ in range(RUNS):
        direct = _series(endpoint, "/x", REQUESTS)
        through = _series(entry, "/call/booking/x", REQUESTS)
        keyed.append(
            statistics.median(_series(entry, "/call/booking/x", 200, "POST"))
        )
        direct_p50.append(statistics.median(direct))
        for name, share in cases.items():
            difference = report.percentile(through, share) - report.percentile(
                direct, share
            )
            added[name].append(difference)
    print(f"direct p50 ms: {report.spread(direct_p50)}")
    for name, values in added.items():
        print(f"added by the entry {name} ms: {report.spread(values)}")
    print(f"non-idempotent p50 ms: {report.spread(keyed)}")


def _call_entry(entry: str) -> list[float]:
    return _series(entry, "/call/booking/x", 600)


def _throughput(entry: str) -> None:
    """Callers are processes, so that they don't hold each other up."""
    for callers in (1, 6, 12):
        rates = []
        for _ in range(3):
            with concurrent.futures.ProcessPoolExecutor(callers) as pool:
                start = time.perf_counter()
                list(pool.map(_call_entry, [entry] * callers))
                rates.append(callers * 600 / (time.perf_counter() - start))
        print(
            f"requests/s through one entry, {callers} callers:"
            f" {report.spread(rates, 0)}"
        )


def _memory(deployment: deployment_lib.Deployment, when: str) -> None:
    for name in ("e1", deployment.leader()):
        resident, private = report.memory_mb(
            deployment.process_by_name[name].pid
        )
        print(
            f"memory {when} {name} MB: resident {resident:.1f} private {private:.1f}"
        )


def _idle(deployment: deployment_lib.Deployment) -> None:
    leader = deployment.leader()
    follower = next(
        name for name in deployment.keeper_addresses if name != leader
    )
    pids = {
        name: deployment.process_by_name[name].pid
        for name in ("e1", leader, follower)
    }
    before = {name: report.cpu_seconds(pid) for name, pid in pids.items()}
    time.sleep(6)
    for name, pid in pids.items():
        share = (report.cpu_seconds(pid) - before[name]) / 6 * 100
        role = "leader" if name == leader else name
        print(f"idle processor time {role}: {share:.1f}% of a core")


def _tickets(deployment: deployment_lib.Deployment) -> None:
    first = deployment.entries[0]
    elapsed = []
    for number in range(1, 16):
        item = {
            "type": "drain_state",
            "name": "none",
            "draining": bool(number % 2),
        }
        start = time.perf_counter()
        deployment_lib.call(
            first, "POST", "/v1/tickets", {"number": number, "items": [item]}
        )
        while True:
            answer = deployment_lib.call(first, "GET", f"/v1/tickets/{number}")
            ticket = answer.json()["tickets"][0]
            if len(ticket["confirmed"]) == len(deployment.entries):
                break
            time.sleep(0.01)
        elapsed.append(time.perf_counter() - start)
    print(
        f"ticket confirmed by all {len(elapsed)} times s: {report.spread(elapsed)}"
    )


def _commits(deployment: deployment_lib.Deployment) -> None:
    for callers in (1, 8, 32):

        def submit(caller: int, callers: int = callers) -> None:
            for number in range(40):
                name = f"job-{callers}-{caller}-{number}"
                deployment_lib.call(
                    deployment.entries[caller % 2],
                    "POST",
                    "/v1/jobs",
                    {"job": name, "team": "t"},
                )

        start = time.perf_counter()
        with concurrent.futures.ThreadPoolExecutor(callers) as pool:
            list(pool.map(submit, range(callers)))
        rate = callers * 40 / (time.perf_counter() - start)
        print(f"commits/s with {callers} callers: {rate:.0f}")


def _heartbeats(deployment: deployment_lib.Deployment) -> None:
    """Processor time of one worker heartbeat, at the entry and at the leader."""
    leader = deployment.leader()
    pids = [deployment.process_by_name[name].pid for name in ("e1", leader)]
    capacity = {"millicores": 64000, "memory_mb": 250000, "accelerators": 0}
    count = 1500
    before = [report.cpu_seconds(pid) for pid in pids]
    start = time.perf_counter()
    for number in range(count):
        body = {
            "worker": f"w{number % 50}",
            "incarnation": 1,
            "capacity": capacity,
        }
        fakes.post(deployment.entries[0], "/v1/workers/heartbeat", body)
    elapsed = time.perf_counter() - start
    for name, pid, used in zip(("entry", "leader"), pids, before, strict=True):
        cost = (report.cpu_seconds(pid) - used) / count * 1e6
        print(
            f"worker heartbeat at the {name}: {cost:.0f} us of processor time"
        )
    print(f"worker heartbeats one after the other: {count / elapsed:.0f}/s")


def _elections(deployment: deployment_lib.Deployment) -> None:
    gaps = []
    for _ in range(KILLS):
        leader = deployment.leader()
        process = deployment.process_by_name[leader]
        process.kill()
        start = time.perf_counter()
        while deployment.status() is None:
            time.sleep(0.02)
        gaps.append(time.perf_counter() - start)
        process.start()
        time.sleep(2.5)
    print(
        f"without a leader after a kill s: p50 {statistics.median(gaps):.2f}"
        f" worst of {len(gaps)} {max(gaps):.2f}"
    )


def _start_endpoints(
    deployment: deployment_lib.Deployment, folder: pathlib.Path
) -> list[deployment_lib.Process]:
    processes = []
    for name in ("p1", "p2"):
        arguments = ["features.support.fakes", "endpoint", name]
        process = deployment_lib.Process(
            arguments + deployment.entries, folder / f"{name}.log"
        )
        process.start()
        processes.append(process)
    return processes


def main() -> None:
    """Runs all parts on one deployment with the default timeouts."""
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        deployment = deployment_lib.Deployment(folder, fast=False)
        remotes: list[deployment_lib.Process] = []
        try:
            deployment.start()
            _memory(deployment, "after start")
            remotes = _start_endpoints(deployment, folder)
            direct = fakes.FakeEndpoint(
                "p0", deployment.entries, service="other"
            )
            direct.start()
            time.sleep(4)
            _idle(deployment)
            _latency(deployment.entries[0], f"127.0.0.1:{direct.port}")
            _throughput(deployment.entries[0])
            _tickets(deployment)
            _commits(deployment)
            _heartbeats(deployment)
            _memory(deployment, "under load")
            direct.stop()
            _elections(deployment)
        finally:
            for remote in remotes:
                remote.kill()
            deployment.kill_all()


if __name__ == "__main__":
    main()
