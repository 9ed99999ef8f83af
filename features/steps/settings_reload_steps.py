"""Steps for settings files that change while a process runs."""

import pathlib
import tempfile
from typing import Any

from behave import given
from behave import then
from behave import when
import structlog.testing

from fulmarrouter import settings as settings_lib
from fulmarrouter.cluster import settings_watcher

SETTINGS = """role: node
name: n1
domain: z1
host: 127.0.0.1
peer_port: 7000
callers: 127.0.0.1:7001
readiness: 127.0.0.1:7002
control: 127.0.0.1:7003
seeds: [127.0.0.1:7003]
"""
TEXT_BY_CHANGE = {
    "other seeds": SETTINGS.replace("[127.0.0.1:7003]", "[127.0.0.2:7003]"),
    "another host": SETTINGS.replace("host: 127.0.0.1", "host: 127.0.0.3"),
    "another host and other seeds": SETTINGS.replace(
        "host: 127.0.0.1", "host: 127.0.0.3"
    ).replace("[127.0.0.1:7003]", "[127.0.0.2:7003]"),
    "truncated text": SETTINGS[:-4],
    "another role": SETTINGS.replace("role: node", "role: worker"),
}


@given("a settings file that is watched")
def step_watch_settings(context: Any) -> None:
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.path = pathlib.Path(folder.name) / "node.yaml"
    context.path.write_text(SETTINGS, encoding="utf-8")
    settings = settings_lib.load(context.path)
    assert isinstance(settings, settings_lib.NodeSettings)
    context.seeds = settings.seeds
    context.watcher = settings_watcher.SettingsWatcher(context.path, settings)
    context.watcher.poll(10.0, lambda seeds: None)


@when("it changes to {change}, {how} a signal")
def step_change_settings(context: Any, change: str, how: str) -> None:
    context.path.write_text(TEXT_BY_CHANGE[change], encoding="utf-8")
    now = 10.1
    if how == "with":
        context.watcher.request_reload()
    else:
        now += settings_watcher.CHECK_INTERVAL_S

    def set_seeds(seeds: tuple[str, ...]) -> None:
        context.seeds = seeds

    with structlog.testing.capture_logs() as lines:
        context.watcher.poll(now, set_seeds)
    context.lines = lines


@then("the seeds in use are {which} and the log says {line}")
def step_seeds_and_log(context: Any, which: str, line: str) -> None:
    wanted = "127.0.0.2:7003" if which == "new" else "127.0.0.1:7003"
    assert context.seeds == (wanted,), context.seeds
    assert [item["event"] for item in context.lines] == [line], context.lines


@then("the log names {setting} as a change that needs a restart")
def step_needs_restart(context: Any, setting: str) -> None:
    (line,) = context.lines
    assert line["needs_restart"] == setting, line
