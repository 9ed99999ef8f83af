"""Runs a cluster node whose syncs to disk take long, for tests.

The delays follow from the seed in SYNC_SEED: periods of short ones alternate
with periods of up to 0.4 s each.
"""

from collections.abc import Callable
import os
import pathlib
import random
import runpy
import sys
import time

SEED_VARIABLE = "SYNC_SEED"
SHORT_DELAY_S = (0.002, 0.02)
LONG_DELAY_S = (0.05, 0.4)
PERIOD_S = (1.0, 4.0)
SLOW_PERIOD_SHARE = 0.6
PLATFORM_FOLDER = pathlib.Path(__file__).parents[2] / "platform"


class SyncDelays:
    """Delays of syncs, in seconds."""

    def __init__(self, seed: str) -> None:
        self._random = random.Random(seed)
        self._period_ends_at = 0.0
        self._range = SHORT_DELAY_S

    def next(self, now: float) -> float:
        """Returns the delay of a sync that begins now."""
        if now >= self._period_ends_at:
            self._period_ends_at = now + self._random.uniform(*PERIOD_S)
            is_slow = self._random.random() < SLOW_PERIOD_SHARE
            self._range = LONG_DELAY_S if is_slow else SHORT_DELAY_S
        return self._random.uniform(*self._range)


def _delayed(
    sync: Callable[[int], None], delays: SyncDelays
) -> Callable[[int], None]:
    def sync_late(descriptor: int) -> None:
        time.sleep(delays.next(time.monotonic()))
        sync(descriptor)

    return sync_late


def main() -> None:
    """Runs the node with the settings that its environment names."""
    delays = SyncDelays(os.environ[SEED_VARIABLE])
    os.fdatasync = _delayed(os.fdatasync, delays)  # type: ignore[assignment]
    sys.path.insert(0, str(PLATFORM_FOLDER))
    runpy.run_path(str(PLATFORM_FOLDER / "start.py"), run_name="__main__")


if __name__ == "__main__":
    main()
