"""Steps on the founding of a deployment."""

import pathlib
import tempfile
import time
from typing import Any
from unittest import mock

from behave import given
from behave import then
from behave import when

from features.steps import platform_steps
from fulmarrouter import commands
from fulmarrouter import durable_files
from fulmarrouter.cluster import founding
from fulmarrouter.cluster import membership

KEEPERS = ("k0", "k1", "k2")
WANTED_VOTERS = 3
TURN_S = 0.05
END_S = 12.0


class _Decider:
    """The process that decides, in one life after the other.

    Attributes:
        founders: The keepers that have been told to found the quorum.
    """

    def __init__(self, folder: pathlib.Path | None) -> None:
        self.folder = folder
        self.now = 0.0
        self.founders: set[str] = set()
        self.start(is_first_start=True)

    def start(
        self, is_first_start: bool = False, is_first_seed: bool = True
    ) -> None:
        self.founding = founding.Founding(
            self.folder, is_first_start, is_first_seed
        )
        self.announcements = membership.Announcements()

    def pass_time(
        self, seconds: float, heard: tuple[str, ...] = KEEPERS
    ) -> None:
        """Lets keepers without a log announce themselves for some time."""
        until = self.now + seconds
        while self.now < until:
            self.now += TURN_S
            for number, keeper in enumerate(KEEPERS):
                if keeper not in heard:
                    continue
                address = commands.KeeperAddress(
                    keeper, f"10.0.0.{number}", 7000
                )
                self.announcements.record(self.now, address, "zone", True, True)
            chosen = self.founding.choose_founder(
                self.now, self.announcements, WANTED_VOTERS
            )
            if chosen in heard:
                self.founders.add(chosen)


@given("3 keepers that announce themselves at the first start")
def step_keepers(context: Any) -> None:
    context.folder = pathlib.Path(tempfile.mkdtemp())


@when("the process that decides ends {moment}, and starts again with {disk}")
def step_decider_restarts(context: Any, moment: str, disk: str) -> None:
    folder = None if disk == "no disk" else context.folder
    decider = context.decider = _Decider(folder)
    if moment == "once it has decided":
        while not decider.founders:
            decider.pass_time(TURN_S)
    else:
        decider.pass_time(float(moment.split()[1]))
    if disk == "a new one":
        decider.folder = pathlib.Path(tempfile.mkdtemp())
    decider.start()
    decider.pass_time(END_S)


@when("it has decided, starts again {moment} and hears only of {others}")
def step_decides_once(context: Any, moment: str, others: str) -> None:
    decider = context.decider = _Decider(context.folder)
    decider.pass_time(2.0)
    if moment == "after a leader has been known":
        decider.founding.settle()
    decider.start(is_first_start="first start" in moment)
    heard = tuple(item for item in KEEPERS if item not in decider.founders)
    decider.pass_time(END_S, heard)


@when("a process that was not the first seed starts again as such")
def step_other_seed(context: Any) -> None:
    decider = context.decider = _Decider(context.folder)
    decider.folder = pathlib.Path(tempfile.mkdtemp())
    decider.start(is_first_start=True, is_first_seed=False)
    decider.start()
    decider.pass_time(END_S)


@when("the disk of the process that decides takes nothing for 2 s")
def step_failing_disk(context: Any) -> None:
    decider = context.decider = _Decider(context.folder)
    with mock.patch.object(durable_files, "replace", side_effect=OSError("x")):
        decider.pass_time(2.0)


@when("the disk takes writes again")
def step_disk_works(context: Any) -> None:
    context.decider.pass_time(1.0)


@then("{count:d} of them are told to found the quorum in all")
def step_founders(context: Any, count: int) -> None:
    assert len(context.decider.founders) == count, context.decider.founders


@given(
    "4 processes that start for the first time, the first seed being {seed:d}"
)
def step_first_start(context: Any, seed: int) -> None:
    numbers = [seed, *(number for number in (1, 2, 3) if number != seed)]
    context.seeds = [f"127.0.1.{number}" for number in numbers]
    context.folders = [
        *(pathlib.Path(tempfile.mkdtemp()) for _ in range(3)),
        None,
    ]
    context.processes = [
        platform_steps.Process(number, context.seeds, folder)
        for number, folder in enumerate(context.folders, start=1)
    ]
    context.add_cleanup(platform_steps.stop_processes, context.processes)


@when(
    "process {number:d} is killed {after:f} s after it has stored that, for"
    " {seconds:d} s"
)
def step_kill_process(
    context: Any, number: int, after: float, seconds: int
) -> None:
    path = context.folders[number - 1] / founding.FILE_NAME
    while not path.exists():
        time.sleep(0.01)
    time.sleep(after)
    platform_steps.stop_processes([context.processes[number - 1]])
    time.sleep(seconds)
    context.processes.append(
        platform_steps.Process(
            number,
            context.seeds,
            context.folders[number - 1],
            is_first_start=False,
        )
    )


@then("an operator's configuration is accepted within {seconds:d} seconds")
def step_configured(context: Any, seconds: int) -> None:
    host = context.processes[3].host

    def is_accepted() -> bool:
        try:
            status, _ = platform_steps.call(
                host,
                platform_steps.CONTROL_PORT,
                "POST",
                "/api/config/replace",
                platform_steps.configuration(),
            )
        except OSError:
            return False
        return status == 200

    platform_steps.wait_for(seconds, is_accepted)
