"""Follows a process's settings file while the process runs.

Seeds are taken over at once. Every other change needs a restart, since
addresses, limits and the data folder belong to what has been opened with them.
"""

from collections.abc import Callable
import pathlib

from fulmarrouter import errors
from fulmarrouter import logs
from fulmarrouter import settings as settings_lib

# How often the file is looked at, where no signal tells that it has changed.
CHECK_INTERVAL_S = 1.0


class SettingsFile:
    """The settings file, and what of it has been taken over.

    Args:
        path: The file.
        settings: What it held when the process started.
    """

    def __init__(
        self, path: pathlib.Path, settings: settings_lib.NodeSettings
    ) -> None:
        self._log = logs.get(task="settings")
        self._path = path
        self._settings = settings
        self._stamp = _stamp(path)
        self._check_due = 0.0
        self._must_read = False

    def ask_to_read(self) -> None:
        """Asks for the file to be read; may be called in a signal handler."""
        self._must_read = True

    def poll(
        self,
        now: float,
        on_seeds: Callable[[tuple[str, ...]], None],
    ) -> None:
        """Reads the file if it has changed.

        Args:
            now: Monotonic time.
            on_seeds: Called with seeds that differ from the ones before.
        """
        if not self._must_read and now < self._check_due:
            return
        self._check_due = now + CHECK_INTERVAL_S
        stamp = _stamp(self._path)
        if not self._must_read and stamp == self._stamp:
            return
        self._must_read = False
        self._stamp = stamp
        try:
            given = settings_lib.load(self._path)
        except errors.SettingsError as error:
            self._log.warning("settings not taken", error=str(error))
            return
        if not isinstance(given, settings_lib.NodeSettings):
            self._log.warning("settings not taken", error="role has changed")
            return
        previous = self._settings
        self._settings = given
        self._log.info(
            "settings read",
            seeds=",".join(given.seeds),
            needs_restart=_needs_restart(previous, given),
        )
        if given.seeds != previous.seeds:
            on_seeds(given.seeds)


def _stamp(path: pathlib.Path) -> tuple[int, int, int]:
    """Returns what changes with the file; zeros where it can't be looked at."""
    try:
        found = path.stat()
    except OSError as error:
        logs.get(task="settings").warning("no settings file", error=str(error))
        return (0, 0, 0)
    return (found.st_mtime_ns, found.st_size, found.st_ino)


def _needs_restart(
    before: settings_lib.NodeSettings, after: settings_lib.NodeSettings
) -> str:
    """Returns the names of changed settings that need a restart."""
    changed = [
        name
        for name in before.__struct_fields__
        if name != "seeds" and getattr(before, name) != getattr(after, name)
    ]
    return ",".join(changed)
