"""Runs a case: its exit code, its time limit, and the end of its processes."""

from collections.abc import Callable
import os
import pathlib
import signal
import sys
import threading
import traceback
from types import FrameType

from support_3 import deployment

EXIT_HELD = 0
EXIT_BROKEN = 1
EXIT_NOT_RUN = 2
TIME_LIMIT_S = 112.0


class NotRunError(Exception):
    """The case couldn't run as it is meant to."""


# Returns whether the rule was broken.
Case = Callable[[deployment.Record, bool], bool]


def _interrupt(number: int, frame: FrameType | None) -> None:
    del frame
    raise NotRunError(f"ended by signal {number}")


def run(case: Case, folder: pathlib.Path) -> None:
    """Runs a case and exits with its code.

    Args:
        case: Called with the record and whether the disruption is played.
        folder: The folder of the case, for its record.
    """
    signal.signal(signal.SIGTERM, _interrupt)
    signal.signal(signal.SIGALRM, _interrupt)
    signal.setitimer(signal.ITIMER_REAL, TIME_LIMIT_S)
    record = deployment.Record(folder / "record.txt")
    is_disrupted = os.environ.get("TROUBLE", "1") != "0"
    record.add(f"disruption: {is_disrupted}")
    try:
        is_broken = case(record, is_disrupted)
    except BaseException:
        record.add(traceback.format_exc())
        record.add("exit 2: the case couldn't run")
        traceback.print_exc()
        _exit(EXIT_NOT_RUN)
    code = EXIT_BROKEN if is_broken else EXIT_HELD
    record.add(f"exit {code}: the rule {'was broken' if is_broken else 'held'}")
    _exit(code)


def _exit(code: int) -> None:
    sys.stdout.flush()
    sys.stderr.flush()
    # Threads of stand-ins may still wait for answers.
    assert threading.main_thread() is threading.current_thread()
    os._exit(code)
