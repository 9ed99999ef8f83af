"""Steps of submissions.feature: jobs that ask for too much."""

import contextlib
from typing import Any
from unittest import mock

from behave import given
from behave import then
from behave import when

from features.steps import leader_link_steps
from features.steps import platform_steps
from features.support import leader_fuzz
from fulmarrouter import codes
from fulmarrouter import commands
from fulmarrouter import ids
from fulmarrouter import wire
from fulmarrouter.cluster import job_requests
from fulmarrouter.cluster import log_commands
from fulmarrouter.cluster import model
from fulmarrouter.cluster import request_checks
from fulmarrouter.cluster import requests
from fulmarrouter.cluster import state as state_lib

BEYOND_64_BITS = 2**70
NOW_MS = 1_790_000_000_000
NEEDS = commands.Resources(1000, 100, 0)


def _step(count: int = 1, **fields: Any) -> model.StepSpec:
    return model.StepSpec(**{"count": count, "needs": NEEDS, **fields})


def _job(*steps: model.StepSpec, **fields: Any) -> model.JobSpec:
    return model.JobSpec(payload="text", steps=steps, **fields)


JOB_BY_CONTENT = {
    "1 task": _job(_step()),
    "20000 tasks in a step": _job(_step(20_000)),
    "20001 tasks in a step": _job(_step(20_001)),
    "20001 tasks in two steps": _job(_step(20_000), _step()),
    "a thousand billion tasks": _job(_step(10**12)),
    "a negative need of processors": _job(
        _step(needs=commands.Resources(-1, 100, 0))
    ),
    "a negative need of memory": _job(
        _step(needs=commands.Resources(1000, -1, 0))
    ),
    "a need beyond any worker": _job(
        _step(needs=commands.Resources(10**9, 100, 0))
    ),
    "a negative estimate": _job(_step(estimated_ms=-1)),
    "a negative number of repetitions": _job(_step(), repetitions=-1),
    "occurrences without time between them": _job(_step(), repetitions=2),
    "an occurrence each second": _job(
        _step(), repetitions=60, interval_ms=1000
    ),
    "a number that can't be encoded": _job(_step(estimated_ms=BEYOND_64_BITS)),
}


@given("a job with {content}")
def step_job(context: Any, content: str) -> None:
    context.job = JOB_BY_CONTENT[content]


@when("it is handed to a process of a cluster")
def step_hand_in(context: Any) -> None:
    leader_link_steps.step_process(context, "without a disk")
    encoded: list[bytes] = []

    def send_request(address: str, call: Any, request: Any) -> bool:
        del address, call
        encoded.append(requests.encode(request))
        return True

    node = context.node
    node.send_request = send_request
    node.gateway.learn_leader(0.0, leader_link_steps.LEADER)
    context.encoded = encoded
    context.replies = []
    submission = requests.SubmitJob("host", "/q/1", context.job)
    node.forward_to_leader(submission, 2.5, context.replies.append)
    node.gateway.tick(0.1)
    node.stop()
    node.run()


@then("the submission is sent on")
def step_sent_on(context: Any) -> None:
    assert len(context.encoded) == 1
    assert not context.replies


@then("the submission is refused")
def step_refused(context: Any) -> None:
    assert not context.encoded
    (reply,) = context.replies
    assert isinstance(reply, requests.Refused), reply


@given(
    "a leader with a job of {count:d} tasks, due each millisecond since 1970"
)
def step_overdue(context: Any, count: int) -> None:
    context.state = state_lib.State()
    queue = model.Queue(
        model.QueueName("q"), "host", "/q/", model.ServiceName("s"), 3000, 0, 3
    )
    spec = _job(_step(count), repetitions=10**9, interval_ms=1)
    context.state.apply(
        1, log_commands.SubmitJob(model.JobId("0a"), queue, spec, 0)
    )


@when("occurrences are begun {times:d} times")
def step_begin(context: Any, times: int) -> None:
    index = 1
    for _ in range(times):
        for command in job_requests.commands_for_due_occurrences(
            context.state, NOW_MS
        ):
            index += 1
            context.state.apply(index, command)


@then("at most {limit:d} of its tasks have begun")
def step_begun(context: Any, limit: int) -> None:
    job = context.state.job_by_id["0a"]
    begun = sum(
        len(step.tasks)
        for steps in job.steps_by_occurrence.values()
        for step in steps
    )
    assert 0 < begun <= limit, begun


@when("another process asks it for something that it fails on")
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


@then("the other process is told {code}")
def step_told(context: Any, code: str) -> None:
    (reply,) = context.replies
    assert reply == requests.Refused(codes.Code[code]), reply


@when(
    "a leader is sent random jobs and reports with seeds {first:d} to {last:d},"
    " {checks}"
)
def step_fuzz(context: Any, first: int, last: int, checks: str) -> None:
    context.failing_seeds = []
    context.taken = 0
    check = mock.patch.object(
        request_checks, "find_problem", lambda request: ""
    )
    with check if checks == "left unchecked" else contextlib.nullcontext():
        for seed in range(first, last + 1):
            try:
                context.taken += leader_fuzz.run(seed)
            except Exception as error:
                context.failing_seeds.append(f"seed {seed}: {error!r}")


@then("it fails on none of them")
def step_fails_on_none(context: Any) -> None:
    assert not context.failing_seeds, context.failing_seeds
    assert context.taken


@then("it fails on at least one")
def step_fails_on_one(context: Any) -> None:
    assert context.failing_seeds


@when("jobs beyond all bounds are handed to every process")
def step_beyond(context: Any) -> None:
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


@then("every process is still there")
def step_still_there(context: Any) -> None:
    for item in context.processes:
        assert item.process.poll() is None, item.host
