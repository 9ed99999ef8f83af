"""Measures a deployment of real processes on the loopback address.

Measured are the latency that an entry adds to a request, requests and commits
per second, memory and idle processor time, the time until all entries have
confirmed a ticket, the cost of heartbeats, and the time without a leader after
the leader is killed.
"""

import concurrent.futures
import http.client
import pathlib
import statistics
import tempfile
import time

from bench import measurements
from features.support import deployment as deployment_lib
from features.support import fakes

REQUESTS = 1500
ROUNDS = 5
KILLS = 12


def _measure_latencies(
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


def _bench_latency(entry: str, endpoint: str) -> None:
    quantile_by_name = {"p50": 0.5, "p99": 0.99, "p99.9": 0.999}
    added: dict[str, list[float]] = {name: [] for name in quantile_by_name}
    direct_p50 = []
    non_idempotent_p50 = []
    for _ in range(ROUNDS):
        direct = _measure_latencies(endpoint, "/x", REQUESTS)
        via_entry = _measure_latencies(entry, "/call/booking/x", REQUESTS)
        non_idempotent_p50.append(
            statistics.median(
                _measure_latencies(entry, "/call/booking/x", 200, "POST")
            )
        )
        direct_p50.append(statistics.median(direct))
        for name, quantile in quantile_by_name.items():
            difference = measurements.percentile(
                via_entry, quantile
            ) - measurements.percentile(direct, quantile)
            added[name].append(difference)
    print(f"direct p50 ms: {measurements.format_spread(direct_p50)}")
    for name, values in added.items():
        print(
            f"latency added by the entry, {name} ms: {measurements.format_spread(values)}"
        )
    print(
        f"non-idempotent p50 ms: {measurements.format_spread(non_idempotent_p50)}"
    )


def _call_entry(entry: str) -> list[float]:
    return _measure_latencies(entry, "/call/booking/x", 600)


def _bench_throughput(entry: str) -> None:
    """Measures requests per second.

    Each caller is a process, so that callers don't share an interpreter lock.
    """
    for callers in (1, 6, 12):
        rates = []
        for _ in range(3):
            with concurrent.futures.ProcessPoolExecutor(callers) as pool:
                start = time.perf_counter()
                list(pool.map(_call_entry, [entry] * callers))
                rates.append(callers * 600 / (time.perf_counter() - start))
        print(
            f"requests/s through one entry, {callers} callers:"
            f" {measurements.format_spread(rates, 0)}"
        )


def _print_memory(deployment: deployment_lib.Deployment, when: str) -> None:
    for name in ("e1", deployment.leader()):
        resident, private = measurements.memory_mb(
            deployment.process_by_name[name].pid
        )
        print(
            f"memory {when} {name} MB: resident {resident:.1f} private {private:.1f}"
        )


def _bench_idle(deployment: deployment_lib.Deployment) -> None:
    leader = deployment.leader()
    follower = next(
        name for name in deployment.keeper_addresses if name != leader
    )
    pids = {
        name: deployment.process_by_name[name].pid
        for name in ("e1", leader, follower)
    }
    before = {name: measurements.cpu_seconds(pid) for name, pid in pids.items()}
    time.sleep(6)
    for name, pid in pids.items():
        share = (measurements.cpu_seconds(pid) - before[name]) / 6 * 100
        role = "leader" if name == leader else name
        print(f"idle processor time {role}: {share:.1f}% of a core")


def _bench_tickets(deployment: deployment_lib.Deployment) -> None:
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
        f"time until all entries confirm a ticket, {len(elapsed)} tickets, s: {measurements.format_spread(elapsed)}"
    )


def _bench_commits(deployment: deployment_lib.Deployment) -> None:
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


def _bench_heartbeats(deployment: deployment_lib.Deployment) -> None:
    """Measures a heartbeat's processor time at the entry and the leader."""
    leader = deployment.leader()
    pids = [deployment.process_by_name[name].pid for name in ("e1", leader)]
    capacity = {"millicores": 64000, "memory_mb": 250000, "accelerators": 0}
    count = 1500
    before = [measurements.cpu_seconds(pid) for pid in pids]
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
        cost = (measurements.cpu_seconds(pid) - used) / count * 1e6
        print(
            f"worker heartbeat at the {name}: {cost:.0f} us of processor time"
        )
    print(f"sequential worker heartbeats: {count / elapsed:.0f}/s")


def _bench_elections(deployment: deployment_lib.Deployment) -> None:
    leaderless_s = []
    for _ in range(KILLS):
        leader = deployment.leader()
        process = deployment.process_by_name[leader]
        process.kill()
        start = time.perf_counter()
        while deployment.status() is None:
            time.sleep(0.02)
        leaderless_s.append(time.perf_counter() - start)
        process.start()
        time.sleep(2.5)
    print(
        f"time without a leader after a kill, s: p50 {statistics.median(leaderless_s):.2f}"
        f" maximum of {len(leaderless_s)} {max(leaderless_s):.2f}"
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
    """Runs all benchmarks on one deployment with the default timeouts."""
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        deployment = deployment_lib.Deployment(folder, fast=False)
        endpoint_processes: list[deployment_lib.Process] = []
        try:
            deployment.start()
            _print_memory(deployment, "after start")
            endpoint_processes = _start_endpoints(deployment, folder)
            direct = fakes.FakeEndpoint(
                "p0", deployment.entries, service="other"
            )
            direct.start()
            time.sleep(4)
            _bench_idle(deployment)
            _bench_latency(deployment.entries[0], f"127.0.0.1:{direct.port}")
            _bench_throughput(deployment.entries[0])
            _bench_tickets(deployment)
            _bench_commits(deployment)
            _bench_heartbeats(deployment)
            _print_memory(deployment, "under load")
            direct.stop()
            _bench_elections(deployment)
        finally:
            for remote in endpoint_processes:
                remote.kill()
            deployment.kill_all()


if __name__ == "__main__":
    main()
