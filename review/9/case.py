"""A worker is cut off as it leaves, and goes on for some seconds."""

import pathlib
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from support2 import standins  # noqa: E402

STEP = {
    "count": 6,
    "cpu": 13000,
    "mem_mb": 26000,
    "estimated_ms": 400,
    "long_running": True,
}


CUT_S = 5.5


def _case(deployment: standins.Deployment, with_trouble: bool) -> None:
    job = deployment.submit(STEP, standins.NEVER)
    deployment.wait_until_running(job, STEP["count"])
    leaving = deployment.busiest()
    leaves = threading.Event()

    def cut() -> None:
        if with_trouble:
            deployment.record.add("answers to the worker are lost from now on")
            leaving.link.drops_answers = True
            time.sleep(0.05)
        leaves.set()

    leaving.before_leave = cut
    leaving.drain()
    if not leaves.wait(20.0):
        raise standins.CannotRunError("the worker doesn't leave")
    time.sleep(CUT_S - 0.05)
    leaving.link.drops_answers = False
    deployment.record.add("the link is whole")
    time.sleep(1.0)


if __name__ == "__main__":
    standins.run_case(pathlib.Path(__file__).resolve().parent, 8, _case)
