"""Steps on keepers that relay workers' reports to the leader."""

import pathlib
import signal
import tempfile
import threading
from typing import Any

from behave import given
from behave import then
from behave import when

from features.steps import platform_steps

FREEZE_DURATION_S = 3.0


@given(
    "{disks:d} keepers that relay reports to the leader, and {others:d} process"
    " without a disk"
)
def step_relaying_keepers(context: Any, disks: int, others: int) -> None:
    seeds = [f"127.0.1.{number}" for number in range(1, disks + 1)]
    context.processes = [
        platform_steps.Process(
            number,
            seeds,
            pathlib.Path(tempfile.mkdtemp()) if number <= disks else None,
            {"direct_workers": 0},
        )
        for number in range(1, disks + others + 1)
    ]
    context.add_cleanup(platform_steps.stop_processes, context.processes)
    context.diskless_process = context.processes[-1]
    platform_steps.wait_for(
        platform_steps.START_TIMEOUT_S, context.diskless_process.is_ready
    )


def _current_leader_host(context: Any) -> str:
    """Returns the host of the keeper that became leader last, by the logs."""
    latest = ("", "")
    for item in context.processes:
        for line in item.log_lines("event='leadership gained'"):
            latest = max(latest, (line.split("time=")[1], item.host))
    assert latest[1]
    return latest[1]


@then("the workers report to keepers other than the leader")
def step_workers_report_to_relays(context: Any) -> None:
    leader = _current_leader_host(context)
    for worker in context.workers:
        assert worker.leader and worker.leader != leader, worker.leader


@when("a keeper to which a worker reports is {fault}")
def step_relay_fault(context: Any, fault: str) -> None:
    host = context.workers[0].leader
    (relay,) = (item for item in context.processes if item.host == host)
    match fault:
        case "killed":
            relay.process.kill()
        case "asked to stop":
            relay.process.send_signal(signal.SIGTERM)
        case _:
            relay.process.send_signal(signal.SIGSTOP)
            resume_timer = threading.Timer(
                FREEZE_DURATION_S, relay.process.send_signal, [signal.SIGCONT]
            )
            resume_timer.start()
            context.add_cleanup(resume_timer.join)


@then("no task has been started twice")
def step_started_once(context: Any) -> None:
    started = [task for worker in context.workers for task, _ in worker.started]
    assert len(started) >= 10, started
    assert len(started) == len(set(started)), started
