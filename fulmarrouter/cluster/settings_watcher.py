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


class SettingsWatcher:
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
        self._fingerprint = _fingerprint(path)
        self._check_due = 0.0
        self._reload_requested = False

    def request_reload(self) -> None:
        """Asks for the file to be read; may be called in a signal handler."""
        self._reload_requested = True

    def poll(
        self,
        now: float,
        on_seeds_changed: Callable[[tuple[str, ...]], None],
    ) -> None:
        """Reads the file if it has changed.

        Args:
            now: Monotonic time.
            on_seeds_changed: Called with seeds that differ from the ones before.
        """
        if not self._reload_requested and now < self._check_due:
            return
        self._check_due = now + CHECK_INTERVAL_S
        fingerprint = _fingerprint(self._path)
        if not self._reload_requested and fingerprint == self._fingerprint:
            return
        self._reload_requested = False
        self._fingerprint = fingerprint
        try:
            loaded = settings_lib.load(self._path)
        except errors.SettingsError as error:
            self._log.warning("settings not taken", error=str(error))
            return
        if not isinstance(loaded, settings_lib.NodeSettings):
            self._log.warning("settings not taken", error="role has changed")
            return
        previous = self._settings
        self._settings = loaded
        self._log.info(
            "settings read",
            seeds=",".join(loaded.seeds),
            needs_restart=_needs_restart(previous, loaded),
        )
        if loaded.seeds != previous.seeds:
            on_seeds_changed(loaded.seeds)


def _fingerprint(path: pathlib.Path) -> tuple[int, int, int]:
    """Returns what changes with the file; zeros where it can't be looked at."""
    try:
        status = path.stat()
    except OSError as error:
        logs.get(task="settings").warning("no settings file", error=str(error))
        return (0, 0, 0)
    return (status.st_mtime_ns, status.st_size, status.st_ino)


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
