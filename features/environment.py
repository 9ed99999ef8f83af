"""Set-up and clean-up of each scenario's folder, processes and fakes."""

import pathlib
import tempfile
from typing import Any


def before_scenario(context: Any, scenario: Any) -> None:
    del scenario
    context.temporary_directory = tempfile.TemporaryDirectory()
    context.folder = pathlib.Path(context.temporary_directory.name)
    context.deployment = None
    context.fakes = []
    context.relays = []


def after_scenario(context: Any, scenario: Any) -> None:
    if context.deployment is not None:
        if scenario.status == "failed":
            print(context.deployment.logs())
        context.deployment.kill_all()
    for fake in context.fakes:
        fake.stop()
    for relay in context.relays:
        relay.stop()
    context.temporary_directory.cleanup()
