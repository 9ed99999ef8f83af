"""A disk is lost while another machine that votes is down."""

import pathlib
import sys
import time

SUPPORT = pathlib.Path(__file__).resolve().parents[1] / "support"
sys.path.append(str(SUPPORT))

import deployment as deployment_lib  # noqa: E402
import worker as worker_lib  # noqa: E402

KEEPERS = 4
STEP = {"count": 2, "cpu": 2000, "mem_mb": 512, "estimated_ms": 200}
DOWN_S = 4.0
RECOVERY_S = 12.0
OBSERVED_S = 20.0
# The second loss comes 0.5 to 2.5 s after the first one.
GAP_S = 1.5


def play(
    deployment: deployment_lib.Deployment,
    record: deployment_lib.Record,
    is_troubled: bool,
) -> int:
    """Kills one voter, and another one with its disk; brings both back."""
    deployment.start_all()
    deployment.order(
        "POST",
        "/api/config/replace",
        deployment_lib.configuration(1, [deployment_lib.route()]),
    )
    workers = [
        worker_lib.Worker(f"i-{number}", deployment.controls(), record)
        for number in range(3)
    ]
    for worker in workers:
        worker.start()
    time.sleep(3)
    client = deployment_lib.Client(deployment, record)
    accepted = [client.submit("ms=200;", [STEP]) for _ in range(2)]
    time.sleep(2)
    if is_troubled:
        leader = deployment.leader()
        silent, wiped = [
            node for node in deployment.voters() if node is not leader
        ]
        killed_at = time.monotonic()
        deployment.kill(silent)
        time.sleep(GAP_S)
        deployment.kill(wiped, is_disk_lost=True)
        record.add("disk lost", after_s=round(time.monotonic() - killed_at, 2))
        time.sleep(max(0.0, killed_at + DOWN_S - time.monotonic()))
        deployment.bring_back(silent)
        deployment.bring_back(wiped)
        record.add("all machines are back")
    time.sleep(RECOVERY_S)
    # Later than `recovery_s` after all are back, for OBSERVED_S.
    status, _ = deployment.order(
        "GET", "/api/config/read", timeout_s=OBSERVED_S
    )
    states = [client.state(job) for job in accepted]
    new = client.submit("ms=200;", [STEP])
    record.add("judged", read=status, states=states, new=bool(new))
    print(f"read {status}; states {states}; new job accepted: {bool(new)}")
    is_known = all(state == "done" for state in states)
    return int(status != 200 or not is_known)


if __name__ == "__main__":
    sys.exit(
        deployment_lib.run_case(pathlib.Path(__file__).parent, play, KEEPERS)
    )
