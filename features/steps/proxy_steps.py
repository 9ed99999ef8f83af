"""Steps on the attempts of the proxy."""

import concurrent.futures
import time
import types
from typing import Any
from unittest import mock

from behave import then
from behave import when

from fulmarrouter import codes
from fulmarrouter import ids
from fulmarrouter import proxy
from fulmarrouter import router_task
from fulmarrouter import routing

LIMIT_MS = 2000
OUTCOME_BY_CODE = {
    codes.Code.CONNECT_FAILED: routing.AttemptOutcome.CONNECT_FAILED,
    codes.Code.DEADLINE_PASSED: routing.AttemptOutcome.UNUSED,
}


class _Router:
    """Grants a slot for each attempt, then refuses."""

    def __init__(self, slots: int) -> None:
        self._slots_left = slots

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
            slot.set_result(routing.Refusal(1, codes.Code.NO_ENDPOINT))
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


@then("the caller is answered {name}")
def step_answered(context: Any, name: str) -> None:
    assert context.result.code.name == name, context.result
