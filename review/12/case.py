"""A worker drains, and more tasks end on it than one heartbeat lists."""

import pathlib
import time

from support_3 import cases
from support_3 import deployment
from support_3 import worker

PREFIX = "/lohu930/"
JOB = "00000000000000d1"
WORKERS = 16
CAPACITY = 64_000
NEED = 50
COUNT = 1_600
TASK_S = 3.0
# How long before the first end the worker begins to drain.
DRAINS_BEFORE_S = 0.4
WATCHED_S = 25.0


def _find_second_runs(events: list[worker.Event]) -> list[str]:
    """Returns the starts after a run of the task was done and noted as such."""
    noted = {
        (item.worker, item.task, item.run)
        for item in events
        if item.kind == "noted"
    }
    done_by_task: dict[str, worker.Event] = {}
    found = []
    for event in events:
        key = (event.worker, event.task, event.run)
        if event.kind == "done" and key in noted:
            done_by_task.setdefault(event.task, event)
        done = done_by_task.get(event.task)
        if event.kind == "started" and done is not None:
            found.append(
                f"{event.task}: run {event.run} starts on {event.worker}"
                f" {event.at - done.at:.3f} s after run {done.run} was done on"
                f" {done.worker}; that end was taken note of"
            )
    return found


def _play(record: deployment.Record, is_disrupted: bool) -> bool:
    place = deployment.Deployment(record)
    history = worker.History(record)
    workers: list[worker.Worker] = []
    try:
        place.start()
        if not place.configure(1, {PREFIX: "booking"}, ("booking",)):
            raise cases.NotRunError("no configuration acknowledged")
        workers = [
            worker.Worker(
                f"i-{number}",
                "booking",
                place.controls,
                history,
                lambda task: TASK_S,
                capacity=CAPACITY,
                need_of=lambda task: NEED,
            )
            for number in range(WORKERS)
        ]
        time.sleep(2.0)
        step = {
            "count": COUNT,
            "cpu": NEED,
            "mem_mb": 16,
            "estimated_ms": int(TASK_S * 1000),
        }
        status, _, _ = deployment.call(
            place.fronts[-1],
            "POST",
            PREFIX + JOB,
            {"spec": "text", "steps": [step]},
        )
        record.add(f"client submits {JOB} {step}: {status}")
        if status != 200:
            raise cases.NotRunError("the job wasn't accepted")
        until = time.monotonic() + 10.0
        while not history.running(JOB) and time.monotonic() < until:
            time.sleep(0.02)
        time.sleep(TASK_S - DRAINS_BEFORE_S)
        chosen = max(workers, key=lambda item: len(item.run_by_task))
        if not chosen.run_by_task:
            raise cases.NotRunError("no worker has started a task")
        record.add(f"{chosen.name} runs {len(chosen.run_by_task)} tasks")
        if is_disrupted:
            chosen.drain()
            record.add(f"{chosen.name} begins to drain")
        time.sleep(WATCHED_S)
        status, answer, _ = deployment.call(
            place.fronts[-2], "GET", PREFIX + JOB
        )
        record.add(f"client reads {JOB}: {status} {answer!r}")
        found = _find_second_runs(history.of(JOB))
        for text in found:
            record.add(f"TWICE: {text}")
        record.add(f"started again after their success: {len(found)} tasks")
        return bool(found)
    finally:
        for item in workers:
            item.halt()
        place.close()


if __name__ == "__main__":
    cases.run(_play, pathlib.Path(__file__).parent)
