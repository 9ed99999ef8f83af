"""Orders for one worker that are larger than a frame between the nodes."""

import pathlib
import sys
import time

SUPPORT = pathlib.Path(__file__).resolve().parents[1] / "support"
sys.path.append(str(SUPPORT))

import deployment as deployment_lib  # noqa: E402
import worker as worker_lib  # noqa: E402

# 43 of the 64 cores and 69 of the 250 GB of one worker.
TASKS = 4300
TASK = {"cpu": 10, "mem_mb": 16, "estimated_ms": 500}
SPEC_BYTES = 4000
OBSERVED_S = 40
# Own ends on half of the core: RULES.md, "Fault".
OWN_ENDS = 3
FAULTY_NODES = 2


def play(
    deployment: deployment_lib.Deployment,
    record: deployment_lib.Record,
    is_troubled: bool,
) -> int:
    """Submits a large job for the workers of a kind, and then a small one."""
    deployment.start_all()
    deployment.order(
        "POST",
        "/api/config/replace",
        deployment_lib.configuration(1, [deployment_lib.route()]),
    )
    workers = [
        worker_lib.Worker(
            f"i-{number}",
            deployment.controls(),
            record,
            labels=("b" if number == 0 else "a", f"r1-{number % 3}"),
        )
        for number in range(6)
    ]
    for worker in workers:
        worker.start()
    time.sleep(2)
    client = deployment_lib.Client(deployment, record)
    # Without the disruption, the same job comes with a short payload.
    spec = "ms=500;".ljust(SPEC_BYTES if is_troubled else 40, "x")
    large = client.submit(spec, [{"count": TASKS, "requirements": "b", **TASK}])
    time.sleep(OBSERVED_S)
    small = client.submit("ms=100;", [{"count": 1, "cpu": 2000, "mem_mb": 512}])
    time.sleep(2)
    states = {job: client.state(job) for job in (large, small)}
    record.add("states", **states)
    ends = {node.name: node.own_ends for node in deployment.nodes}
    record.add("own ends", **ends)
    record.add("largest answer", bytes=workers[0].largest_answer)
    print("states", list(states.values()), "own ends", ends)
    faulty = sum(count >= OWN_ENDS for count in ends.values())
    return int(faulty >= FAULTY_NODES)


if __name__ == "__main__":
    sys.exit(deployment_lib.run_case(pathlib.Path(__file__).parent, play))
