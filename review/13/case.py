"""An operator sends a queue to another service while a job of it waits."""

import json
import pathlib
import time

from support_3 import cases
from support_3 import deployment
from support_3 import worker

PREFIX = "/lohu930/"
LASTING = "00000000000000b0"
WAITING = "00000000000000b1"
LATER = "00000000000000b2"
NEED = {LASTING: 14_000, WAITING: 4_000, LATER: 4_000}
FINISH_S = deployment.BOUNDS["finish_s"]
CONFIG_APPLY_S = deployment.BOUNDS["config_apply_ms"] / 1000
HELD_S = 3.0


def _need_of(task: str) -> int:
    return NEED[task.partition(".")[0]]


def _duration_of(task: str) -> float:
    return worker.LASTS if task.startswith(LASTING) else 1.0


def _submit(
    place: deployment.Deployment,
    record: deployment.Record,
    job: str,
    step: dict[str, object],
) -> None:
    status, _, _ = deployment.call(
        place.fronts[-1],
        "POST",
        PREFIX + job,
        {"spec": "text", "steps": [step]},
    )
    record.add(f"client submits {job} {step}: {status}")
    if status != 200:
        raise cases.NotRunError(f"{job} wasn't accepted")


def _show(
    place: deployment.Deployment, record: deployment.Record, job: str
) -> str:
    status, answer, _ = deployment.call(place.fronts[-2], "GET", PREFIX + job)
    record.add(f"client reads {job}: {status} {answer!r}")
    return json.loads(answer)["state"] if status == 200 else str(status)


def _play(record: deployment.Record, is_disrupted: bool) -> bool:
    place = deployment.Deployment(record)
    history = worker.History(record)
    workers: list[worker.Worker] = []
    services = ("booking", "depot")
    try:
        place.start()
        if not place.configure(1, {PREFIX: "depot"}, services):
            raise cases.NotRunError("no configuration acknowledged")
        workers = [
            worker.Worker(
                f"i-{service}-{number}",
                service,
                place.controls,
                history,
                _duration_of,
                need_of=_need_of,
            )
            for service, count in (("booking", 4), ("depot", 2))
            for number in range(count)
        ]
        time.sleep(2.0)
        lasting = {
            "count": 2,
            "cpu": NEED[LASTING],
            "mem_mb": 256,
            "estimated_ms": 400,
            "long_running": True,
        }
        _submit(place, record, LASTING, lasting)
        time.sleep(2.0)
        if len(history.running(LASTING)) != 2:
            raise cases.NotRunError("the service isn't full")
        ordinary = {
            "count": 2,
            "cpu": NEED[WAITING],
            "mem_mb": 256,
            "estimated_ms": 1000,
        }
        _submit(place, record, WAITING, ordinary)
        time.sleep(2.0)
        if is_disrupted:
            if not place.configure(2, {PREFIX: "booking"}, services):
                raise cases.NotRunError("no change acknowledged")
            time.sleep(CONFIG_APPLY_S + 1.0)
            _submit(place, record, LATER, ordinary)
        # The rule looks at the jobs `finish_s` after the end of the traffic.
        time.sleep(FINISH_S)
        until = time.monotonic() + 4 * HELD_S
        waits_since = time.monotonic()
        longest_s = 0.0
        while time.monotonic() < until:
            state = _show(place, record, WAITING)
            free = sum(
                item.free() >= 2 * NEED[WAITING]
                for item in workers
                if "booking" in item.name
            )
            if not is_disrupted or history.of(WAITING) or not free:
                waits_since = time.monotonic()
            longest_s = max(longest_s, time.monotonic() - waits_since)
            time.sleep(0.5)
        if is_disrupted and _show(place, record, LATER) != "done":
            raise cases.NotRunError("the queue's new service runs nothing")
        record.add(
            f"{WAITING} is {state}; no task of it ran for {longest_s:.1f} s"
            " while its queue's service was empty"
        )
        return longest_s >= HELD_S
    finally:
        for item in workers:
            item.halt()
        place.close()


if __name__ == "__main__":
    cases.run(_play, pathlib.Path(__file__).parent)
