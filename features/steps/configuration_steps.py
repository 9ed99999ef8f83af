"""Steps for operators who replace the configuration at a diskless process."""

import functools
import json
from typing import Any

from behave import then
from behave import when

from features.steps import platform_steps


@when(
    "an operator adds {count:d} routes at the process without a disk, {following}"
)
def step_add_routes(context: Any, count: int, following: str) -> None:
    routes = [
        {
            "name": f"r-{number}",
            "host": "h.example",
            "path_prefix": f"/many{number}/",
            "kind": "unsafe",
            "timeout_ms": 3000,
            "service": "s1",
        }
        for number in range(count)
    ]
    replacement = platform_steps.configuration()
    replacement["version"] = 8
    replacement["routes"] += routes
    context.status, _ = platform_steps.call(
        context.diskless_process.host,
        platform_steps.CONTROL_PORT,
        "POST",
        "/api/config/replace",
        replacement,
        redirects=2 if following == "following redirects" else 0,
    )


@then("the answer is {status:d}")
def step_answer_status(context: Any, status: int) -> None:
    assert context.status == status, context.status


@then("every process reads back version {version:d} within {seconds:g} seconds")
def step_read_back(context: Any, version: int, seconds: float) -> None:
    def is_read(host: str) -> bool:
        status, body = platform_steps.call(
            host, platform_steps.CONTROL_PORT, "GET", "/api/config/read"
        )
        return status == 200 and json.loads(body)["version"] == version

    for item in context.processes:
        platform_steps.wait_for(seconds, functools.partial(is_read, item.host))
