"""Steps on the attempts of the proxy."""

import concurrent.futures
import time
import types
from typing import Any
from unittest import mock

from behave import then
from behave import when

from fulmarrouter import codes
from fulmarrouter import commands
from fulmarrouter import ids
from fulmarrouter import leader_client
from fulmarrouter import ledger
from fulmarrouter import proxy
from fulmarrouter import requests
from fulmarrouter import router_task
from fulmarrouter import routing
from fulmarrouter import state as state_lib

LIMIT_MS = 2000
OUTCOME_BY_CODE = {
    codes.Code.CONNECT_FAILED: routing.AttemptOutcome.CONNECT_FAILED,
    codes.Code.DEADLINE_PASSED: routing.AttemptOutcome.UNUSED,
}


class _Router:
    """Grants a slot for each attempt, then refuses."""

    def __init__(
        self, slots: int, refusal: codes.Code = codes.Code.NO_ENDPOINT
    ) -> None:
        self._slots_left = slots
        self._refusal = refusal

    def policy_of(self, service: str) -> Any:
        del service
        return types.SimpleNamespace(
            deadline_ms=LIMIT_MS, attempt_timeout_ms=LIMIT_MS
        )

    def post(self, message: Any) -> None:
        if not isinstance(message, router_task.AcquireSlot):
            return
        slot: concurrent.futures.Future[Any] = message.slot
        if not self._slots_left:
            slot.set_result(routing.Refusal(1, self._refusal))
            return
        self._slots_left -= 1
        assignment = routing.Assignment(
            1, "s", f"e{self._slots_left}", "127.0.0.1", 1, 0.0
        )
        slot.set_result(router_task.GrantedSlot(assignment, None))


@when("the attempts of an idempotent request end with {names}")
def step_attempts(context: Any, names: str) -> None:
    ended_with = [codes.Code[name] for name in names.split(", ")]
    failures = [
        proxy._AttemptError(
            code, OUTCOME_BY_CODE.get(code, routing.AttemptOutcome.LOST)
        )
        for code in ended_with
    ]
    settings = types.SimpleNamespace(
        leases=types.SimpleNamespace(request_limit_ms=LIMIT_MS)
    )
    router: Any = _Router(len(failures))
    target = proxy.Proxy(settings, router, mock.Mock(), mock.Mock())  # type: ignore[arg-type]
    request = proxy.CallerRequest(
        ids.ServiceName("s"),
        "GET",
        "/",
        (),
        b"",
        "caller",
        ids.RequestKey(""),
        True,
        LIMIT_MS,
        time.monotonic(),
    )
    with mock.patch.object(proxy.Proxy, "_attempt", side_effect=failures):
        context.result = target.serve(request)


KEY = ids.RequestKey("invoice-1")
ANSWER = commands.Answer(200, (), b"done")
STATE_BY_RECORD = {
    "an answer": commands.RunState.DONE,
    "an attempt": commands.RunState.INTENT,
    "an unknown outcome": commands.RunState.UNKNOWN,
    "another request": commands.RunState.DONE,
}


class _Ledger:
    """Answers as a leader whose ledger has one run, or none."""

    def __init__(self, recorded: str) -> None:
        self._recorded = recorded
        self._state = state_lib.State()

    def send_request(
        self, request: requests.AnyRequest, timeout: float
    ) -> leader_client.ReplyFuture:
        del timeout
        future: leader_client.ReplyFuture = concurrent.futures.Future()
        if self._recorded == "no leader":
            future.set_result(requests.Refused(codes.Code.KEEPER_UNAVAILABLE))
            return future
        assert isinstance(request, requests.FindRun), request
        if self._recorded in STATE_BY_RECORD:
            is_other = self._recorded == "another request"
            self._state.run_by_key[KEY] = state_lib.Run(
                digest="other" if is_other else request.digest,
                state=STATE_BY_RECORD[self._recorded],
                session=1,
                nonce="n",
                attempt=1,
                at_ms=0,
                answer=ANSWER,
            )
        found = ledger.find_result(self._state, request.key, request.digest)
        future.set_result(requests.FoundRun(found))
        return future


@when(
    "a request with a key of {origin} is refused with {refusal} and the ledger"
    " has {recorded}"
)
def step_refused(
    context: Any, origin: str, refusal: str, recorded: str
) -> None:
    settings = types.SimpleNamespace(
        leases=types.SimpleNamespace(request_limit_ms=LIMIT_MS)
    )
    router: Any = _Router(0, codes.Code[refusal])
    client: Any = _Ledger(recorded)
    target = proxy.Proxy(settings, router, client, mock.Mock())  # type: ignore[arg-type]
    request = proxy.CallerRequest(
        ids.ServiceName("s"),
        "POST",
        "/",
        (),
        b"",
        "caller",
        KEY,
        origin == "the entry",
        LIMIT_MS,
        time.monotonic(),
    )
    context.result = target.serve(request)
    if recorded == "an answer" and context.result.code is codes.Code.REPEATED:
        assert context.result.answer == ANSWER


@then("the caller is answered {name}")
def step_answered(context: Any, name: str) -> None:
    assert context.result.code.name == name, context.result
