"""The last attempt of a task whose only suitable worker failed it once."""

import pathlib
import sys
import time

SUPPORT = pathlib.Path(__file__).resolve().parents[1] / "support"
sys.path.append(str(SUPPORT))

import deployment as deployment_lib  # noqa: E402
import worker as worker_lib  # noqa: E402

TASK = {"count": 1, "cpu": 2000, "mem_mb": 512, "estimated_ms": 300}
FAULT_S = 5.0
FINISH_S = 14
CALM_S = 3


def play(
    deployment: deployment_lib.Deployment,
    record: deployment_lib.Record,
    is_troubled: bool,
) -> int:
    """Submits a job for a kind of worker of which there is one."""
    deployment.start_all()
    route = {**deployment_lib.route(), "max_attempts": 2}
    deployment.order(
        "POST",
        "/api/config/replace",
        deployment_lib.configuration(1, [route]),
    )
    workers = [
        worker_lib.Worker(
            f"i-{number}",
            deployment.controls(),
            record,
            labels=("b" if number == 0 else "a", f"r1-{number % 3}"),
        )
        for number in range(7)
    ]
    for worker in workers:
        worker.start()
    time.sleep(2)
    client = deployment_lib.Client(deployment, record)
    if is_troubled:
        workers[0].set_failing(True)
    job = client.submit("ms=300;", [{"requirements": "b", **TASK}])
    time.sleep(FAULT_S)
    workers[0].set_failing(False)
    # The other kind of worker goes on serving.
    others = [
        client.submit("ms=300;", [{"requirements": "a", **TASK}])
        for _ in range(10)
    ]
    time.sleep(FINISH_S)
    first = len(workers[0].started)
    state = client.state(job)
    time.sleep(CALM_S)
    last = client.state(job)
    other_states = {client.state(other) for other in others}
    started = len(workers[0].started)
    record.add("judged", first=state, last=last, started=started)
    print(f"job {state}, then {last}; starts {started}; others {other_states}")
    is_idle = started == first and not workers[0].running
    return int(last not in ("done", "failed") and is_idle)


if __name__ == "__main__":
    sys.exit(deployment_lib.run_case(pathlib.Path(__file__).parent, play))
