"""A job is submitted to a route that has just been removed."""

import pathlib
import threading
import time

from support_3 import cases
from support_3 import deployment
from support_3 import worker

# Both on one host. The longest prefix with which a path begins selects the route.
WIDE_PREFIX = "/lohu930/"
NARROW_PREFIX = "/lohu930/v1.2/"
BEFORE = "00000000000000a0"
LATE = "00000000000000a1"
AFTER = "00000000000000a2"
CONFIG_APPLY_S = deployment.BOUNDS["config_apply_ms"] / 1000
RESTART_DELAY_S = 0.5
WATCHED_S = 40.0
# Ends by themselves of one process that are a fault, and the machines with a disk
# on which they are: half of the core.
FAULT_ENDS = 3
FAULT_MACHINES = 2
DISKS = 4


class Platform:
    """Starts each process again that ends by itself, and counts its ends."""

    def __init__(
        self, place: deployment.Deployment, record: deployment.Record
    ) -> None:
        self.ends = [0] * len(place.machines)
        self._place = place
        self._record = record
        self._closed = threading.Event()
        self._thread = threading.Thread(target=self._watch, daemon=True)
        self._thread.start()

    def _watch(self) -> None:
        while not self._closed.wait(0.1):
            for index, machine in enumerate(self._place.machines):
                if not machine.has_ended():
                    continue
                self.ends[index] += 1
                self._record.add(
                    f"the process of machine {index + 1} ended by itself:"
                    f" {machine.last_log_line()}"
                )
                self._closed.wait(RESTART_DELAY_S)
                if not self._closed.is_set():
                    machine.start()

    def close(self) -> None:
        """Stops to start processes."""
        self._closed.set()
        self._thread.join()


def _submit(
    place: deployment.Deployment, record: deployment.Record, path: str
) -> int:
    step = {"count": 2, "cpu": 1000, "mem_mb": 256, "estimated_ms": 1000}
    status, _, _ = deployment.call(
        place.fronts[-1], "POST", path, {"spec": "text", "steps": [step]}
    )
    record.add(f"client submits {path}: {status}")
    return status


def _play(record: deployment.Record, is_disrupted: bool) -> bool:
    place = deployment.Deployment(record, disks=DISKS)
    history = worker.History(record)
    workers: list[worker.Worker] = []
    platform = None
    both = {WIDE_PREFIX: "booking", NARROW_PREFIX: "booking"}
    try:
        place.start()
        if not place.configure(1, both, ("booking",)):
            raise cases.NotRunError("no configuration acknowledged")
        platform = Platform(place, record)
        workers = [
            worker.Worker(
                f"i-{number}",
                "booking",
                place.controls,
                history,
                lambda task: 1.0,
            )
            for number in range(6)
        ]
        time.sleep(2.0)
        if _submit(place, record, NARROW_PREFIX + BEFORE) != 200:
            raise cases.NotRunError("the queue doesn't work")
        time.sleep(2.0)
        if is_disrupted:
            only = {WIDE_PREFIX: "booking"}
            if not place.configure(2, only, ("booking",)):
                raise cases.NotRunError("no change acknowledged")
            time.sleep(CONFIG_APPLY_S + 0.5)
        _submit(place, record, NARROW_PREFIX + LATE)
        until = time.monotonic() + WATCHED_S
        served = 0
        while time.monotonic() < until:
            time.sleep(2.0)
            served = _submit(place, record, WIDE_PREFIX + AFTER)
        faulty = sum(ends >= FAULT_ENDS for ends in platform.ends[:DISKS])
        record.add(f"ends by themselves of each process: {platform.ends}")
        record.add(f"answer to the last submission: {served}")
        return faulty >= FAULT_MACHINES
    finally:
        for item in workers:
            item.halt()
        if platform is not None:
            platform.close()
        place.close()


if __name__ == "__main__":
    cases.run(_play, pathlib.Path(__file__).parent)
