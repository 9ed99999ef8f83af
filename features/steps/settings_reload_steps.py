"""Steps for settings files that change while a process runs."""

import contextlib
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time
from typing import Any

from behave import given
from behave import then
from behave import when
import structlog.testing

from fulmarrouter import codes
from fulmarrouter import settings as settings_lib
from fulmarrouter.cluster import settings_watcher

ROOT = pathlib.Path(__file__).parents[2]
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


@given("a node that is reading its settings")
def step_reading_node(context: Any) -> None:
    path = context.folder / "settings.yaml"
    os.mkfifo(path)
    context.node = subprocess.Popen(
        [sys.executable, str(ROOT / "platform" / "start.py")],
        env={**os.environ, "FULMARROUTER_CONFIG": str(path)},
        cwd=ROOT,
        stdout=subprocess.DEVNULL,
    )
    context.add_cleanup(context.node.wait)
    context.add_cleanup(context.node.kill)
    # Returns once the node has opened the file.
    context.settings_file = path.open("w", encoding="utf-8")


@when("it is asked to reload them, and the settings that it reads are invalid")
def step_reload_while_starting(context: Any) -> None:
    context.node.send_signal(signal.SIGHUP)
    time.sleep(0.1)
    with contextlib.suppress(BrokenPipeError):
        context.settings_file.write("role: worker")
        context.settings_file.flush()
    with contextlib.suppress(BrokenPipeError):
        context.settings_file.close()


@then("it exits since its settings are invalid")
def step_exited(context: Any) -> None:
    exit_code = context.node.wait(timeout=20)
    assert exit_code == codes.ExitCode.SETTINGS_INVALID, exit_code
