"""Steps of submissions.feature: invalid and excessive jobs."""

from collections.abc import Callable
from collections.abc import Iterable
import contextlib
import functools
from typing import Any
from unittest import mock

from behave import given
from behave import then
from behave import when

from features.steps import filling_steps
from features.steps import leader_link_steps
from features.steps import platform_steps
from features.steps import reporting_steps
from features.support import leader_fuzz
from fulmarrouter import codes
from fulmarrouter import commands
from fulmarrouter import ids
from fulmarrouter import read_index
from fulmarrouter import wire
from fulmarrouter.cluster import admission
from fulmarrouter.cluster import job_requests
from fulmarrouter.cluster import log_commands
from fulmarrouter.cluster import model
from fulmarrouter.cluster import request_checks
from fulmarrouter.cluster import requests
from fulmarrouter.cluster import state as state_lib

BEYOND_64_BITS = 2**70
NOW_MS = 1_790_000_000_000  # Wall-clock time, in 2026.
TASK_NEEDS = commands.Resources(1000, 100, 0)


def _step_spec(count: int = 1, **fields: Any) -> model.StepSpec:
    return model.StepSpec(**{"count": count, "needs": TASK_NEEDS, **fields})


def _job_spec(*steps: model.StepSpec, **fields: Any) -> model.JobSpec:
    return model.JobSpec(payload="text", steps=steps, **fields)


JOB_BY_CONTENT = {
    "1 task": _job_spec(_step_spec()),
    "20000 tasks in a step": _job_spec(_step_spec(20_000)),
    "20001 tasks in a step": _job_spec(_step_spec(20_001)),
    "20001 tasks in two steps": _job_spec(_step_spec(20_000), _step_spec()),
    "a thousand billion tasks": _job_spec(_step_spec(10**12)),
    "a negative need of processors": _job_spec(
        _step_spec(needs=commands.Resources(-1, 100, 0))
    ),
    "a negative need of memory": _job_spec(
        _step_spec(needs=commands.Resources(1000, -1, 0))
    ),
    "a need beyond any worker": _job_spec(
        _step_spec(needs=commands.Resources(10**9, 100, 0))
    ),
    "a negative estimate": _job_spec(_step_spec(estimated_ms=-1)),
    "a negative number of repetitions": _job_spec(_step_spec(), repetitions=-1),
    "occurrences without time between them": _job_spec(
        _step_spec(), repetitions=2
    ),
    "an occurrence each second": _job_spec(
        _step_spec(), repetitions=60, interval_ms=1000
    ),
    "a payload of 65536 bytes": model.JobSpec("x" * 65536, (_step_spec(),)),
    "a payload of 65537 bytes": model.JobSpec("x" * 65537, (_step_spec(),)),
    "a number that can't be encoded": _job_spec(
        _step_spec(estimated_ms=BEYOND_64_BITS)
    ),
}


@given("a job with {content}")
def step_job(context: Any, content: str) -> None:
    context.job = JOB_BY_CONTENT[content]


@when("it is submitted to a process of a cluster")
def step_submit_to_process(context: Any) -> None:
    leader_link_steps.step_process_without_leader(context, "without a disk")
    encoded_requests: list[bytes] = []

    def send_request(address: str, call: Any, request: Any) -> bool:
        del address, call
        encoded_requests.append(requests.encode(request))
        return True

    node = context.node
    node.send_request = send_request
    node.gateway.learn_leader(0.0, leader_link_steps.LEADER_ADDRESS)
    context.encoded_requests = encoded_requests
    context.replies = []
    submission = requests.SubmitJob("host", "/q/1", context.job)
    node.forward_to_leader(submission, 2.5, context.replies.append)
    node.gateway.tick(0.1)
    node.stop()
    node.run()


@then("the submission is forwarded")
def step_submission_forwarded(context: Any) -> None:
    assert len(context.encoded_requests) == 1
    assert not context.replies


@then("the submission is refused")
def step_submission_refused(context: Any) -> None:
    assert not context.encoded_requests
    (reply,) = context.replies
    assert isinstance(reply, requests.Refused), reply


@given(
    "a leader with a job of {count:d} tasks, due every millisecond since 1970"
)
def step_overdue_job(context: Any, count: int) -> None:
    context.state = state_lib.State()
    queue = model.Queue(
        model.QueueName("q"), "host", "/q/", model.ServiceName("s"), 3000, 0, 3
    )
    spec = _job_spec(_step_spec(count), repetitions=10**9, interval_ms=1)
    context.state.apply(
        1, log_commands.SubmitJob(model.JobId("0a"), queue, spec, 0)
    )


@when("due occurrences are opened {times:d} times")
def step_open_due_occurrences(context: Any, times: int) -> None:
    index = 1
    for _ in range(times):
        for command in job_requests.commands_for_due_occurrences(
            context.state, NOW_MS
        ):
            index += 1
            context.state.apply(index, command)


@then("at most {limit:d} of its tasks have been opened")
def step_max_opened_tasks(context: Any, limit: int) -> None:
    job = context.state.job_by_id["0a"]
    opened_tasks = sum(
        len(step.tasks)
        for steps in job.steps_by_occurrence.values()
        for step in steps
    )
    assert 0 < opened_tasks <= limit, opened_tasks


@when("handling a request of another process raises an exception")
def step_failing_request(context: Any) -> None:
    node = context.node
    context.replies = []

    def fail(*arguments: Any) -> None:
        raise KeyError(arguments)

    node.controller.on_request = fail
    node._answer = lambda answered: context.replies.append(answered.reply)
    request = requests.ShowTarget("host", "/q/1")
    call = wire.Call(ids.CallId(1), requests.encode(request))
    node._on_call(0.0, ids.ConnectionId(1), call)
    node.stop()
    node.run()


@then("the other process is answered {code}")
def step_reply_code(context: Any, code: str) -> None:
    (reply,) = context.replies
    assert reply == requests.Refused(codes.Code[code]), reply


@when(
    "a leader is sent random jobs and reports with seeds {first:d} to {last:d},"
    " {checks}"
)
def step_fuzz(context: Any, first: int, last: int, checks: str) -> None:
    patched_check = mock.patch.object(
        request_checks, "find_problem", lambda request: ""
    )
    with (
        patched_check if checks == "not validated" else contextlib.nullcontext()
    ):
        _run_fuzz(context, leader_fuzz.run, range(first, last + 1))


def _run_fuzz(
    context: Any, fuzz: Callable[[int], int], seeds: Iterable[int]
) -> None:
    context.accepted_requests, context.failing_seeds = leader_fuzz.run_seeds(
        fuzz, seeds
    )


@when(
    "a leader is sent jobs of many tasks and long strings with seeds"
    " {first:d} to {last:d}"
)
def step_fuzz_sizes(context: Any, first: int, last: int) -> None:
    run_large = functools.partial(leader_fuzz.run, is_large=True)
    _run_fuzz(context, run_large, range(first, last + 1))


@when("a leader is sent random configurations with seeds {first:d} to {last:d}")
def step_fuzz_configurations(context: Any, first: int, last: int) -> None:
    fuzz = leader_fuzz.run_configurations
    _run_fuzz(context, fuzz, range(first, last + 1))


@then("none of them crashes it")
def step_none_crashes(context: Any) -> None:
    assert not context.failing_seeds, context.failing_seeds
    assert context.accepted_requests


@then("at least one crashes it")
def step_some_crash(context: Any) -> None:
    assert context.failing_seeds


@when("jobs beyond the limits are submitted to every process")
def step_submit_invalid_jobs(context: Any) -> None:
    step = {"count": 1, "cpu": 500, "mem_mb": 10}
    bodies = [
        {"spec": "x", "steps": [{**step, "cpu": BEYOND_64_BITS}]},
        {"spec": "x", "steps": [{**step, "cpu": -500}]},
        {"spec": "x", "steps": [{**step, "count": 10**12}]},
        {"spec": "x", "steps": [step], "repetitions": 10**9},
    ]
    context.statuses = [
        platform_steps.call(
            process.host,
            platform_steps.CALLER_PORT,
            "POST",
            f"/a/{number:016x}",
            body,
            {"Host": "h.example"},
        )[0]
        for process in context.processes
        for number, body in enumerate(bodies, start=0xF00)
    ]


@then("each is refused with {status:d}")
def step_statuses(context: Any, status: int) -> None:
    assert set(context.statuses) == {status}, context.statuses


@then("every process is still running")
def step_processes_are_running(context: Any) -> None:
    for item in context.processes:
        assert item.process.poll() is None, item.host


@given("a leader that may hold {count:d} jobs")
def step_small_leader(context: Any, count: int) -> None:
    limit = mock.patch.object(admission, "MAX_JOBS", count)
    limit.start()
    context.add_cleanup(limit.stop)
    context.leader = reporting_steps.SingleVoterLeader()
    configuration = model.Configuration(
        1, "digest", b"", (filling_steps.QUEUE,), ()
    )
    context.leader.controller.replica.propose(
        log_commands.encode(log_commands.ReplaceConfiguration(configuration))
    )
    for _ in range(4):
        context.leader.turn()


@when("the jobs {jobs} are submitted before any of them is committed")
def step_submit_jobs(context: Any, jobs: str) -> None:
    leader = context.leader
    job_by_call = {}
    for number, job in enumerate(jobs.split(",")):
        client = read_index.Client(ids.ConnectionId(1), ids.CallId(number))
        job_by_call[client.call] = job
        request = requests.SubmitJob(
            "host", f"/q/{job}", _job_spec(_step_spec())
        )
        leader.controller.on_request(leader.now, 0, client, request)
    answers = [item for _ in range(6) for item in leader.turn()]
    assert len(answers) == len(job_by_call), answers
    context.refused_jobs = [
        job_by_call[item.client.call]
        for item in answers
        if isinstance(item.reply, requests.Refused)
    ]


@then("{count:d} jobs are held")
def step_held_jobs(context: Any, count: int) -> None:
    held = context.leader.controller.state.job_by_id
    assert len(held) == count, held


@then("the submissions that are refused are of the jobs {jobs}")
def step_refused_jobs(context: Any, jobs: str) -> None:
    expected = [] if jobs == "none" else jobs.split(",")
    assert context.refused_jobs == expected, context.refused_jobs
