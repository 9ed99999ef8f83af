"""Steps on logs of earlier versions."""

import base64
import json
import pathlib
from typing import Any

from behave import then
from behave import when

from features.support import state_digest
from fulmarrouter.cluster import log_commands
from fulmarrouter.cluster import snapshots
from fulmarrouter.cluster import state as state_lib

LOGS_PATH = pathlib.Path(__file__).parents[1] / "support/earlier_logs.json"


@when("the log of the earlier version, {name}, is applied")
def step_apply(context: Any, name: str) -> None:
    context.log = json.loads(LOGS_PATH.read_text())[name]
    context.commands = [
        log_commands.decode(base64.b64decode(text))
        for text in context.log["commands"]
    ]
    context.state = state_lib.State()
    context.results = [
        int(context.state.apply(index, command))
        for index, command in enumerate(context.commands, start=1)
    ]


@then("results and state are those of the earlier version")
def step_same(context: Any) -> None:
    assert context.results == context.log["results"]
    assert state_digest.digest(context.state) == context.log["digest"]


@then("the state is the same after each entry if it comes from a snapshot")
def step_same_from_snapshots(context: Any) -> None:
    state = state_lib.State()
    for index, command in enumerate(context.commands, start=1):
        state = snapshots.decode(snapshots.encode(state))
        state.apply(index, command)
    assert state_digest.digest(state) == context.log["digest"]
