"""Watches a process's settings file while the process runs.

Changed seeds take effect at once. Every other change needs a restart, since
sockets and files have been opened with the addresses, limits and data folder.
"""

from collections.abc import Callable
import pathlib

from fulmarrouter import errors
from fulmarrouter import logs
from fulmarrouter import settings as settings_lib

# How often the file is checked for changes if no signal requests a reload.
CHECK_INTERVAL_S = 1.0


class SettingsWatcher:
    """Reloads a settings file when it changes.

    Args:
        path: The file.
        settings: The settings that the process started with.
    """

    def __init__(
        self, path: pathlib.Path, settings: settings_lib.NodeSettings
    ) -> None:
        self._log = logs.new_logger(task="settings")
        self._path = path
        self._started_with = settings
        self._seeds = settings.seeds
        self._fingerprint = _fingerprint(path)
        self._check_due = 0.0
        self._reload_requested = False

    def request_reload(self) -> None:
        """Requests a reload; may be called from a signal handler."""
        self._reload_requested = True

    def poll(
        self,
        now: float,
        on_seeds_changed: Callable[[tuple[str, ...]], None],
    ) -> None:
        """Reloads the file if it has changed or a reload was requested.

        Args:
            now: Monotonic time.
            on_seeds_changed: Called with the new seeds if they differ.
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
            self._log.warning(
                "settings not taken",
                error="the role can't change without a restart",
            )
            return
        self._log.info(
            "settings read",
            seeds=",".join(loaded.seeds),
            needs_restart=_needs_restart(self._started_with, loaded),
        )
        if loaded.seeds != self._seeds:
            self._seeds = loaded.seeds
            on_seeds_changed(loaded.seeds)


def _fingerprint(path: pathlib.Path) -> tuple[int, int, int]:
    """Returns values that change with the file; zeros if it is inaccessible."""
    try:
        status = path.stat()
    except OSError as error:
        logs.new_logger(task="settings").warning(
            "could not stat the settings file", error=str(error)
        )
        return (0, 0, 0)
    return (status.st_mtime_ns, status.st_size, status.st_ino)


def _needs_restart(
    in_force: settings_lib.NodeSettings, after: settings_lib.NodeSettings
) -> str:
    """Returns the changed settings that need a restart, comma-separated."""
    changed = [
        name
        for name in in_force.__struct_fields__
        if name != "seeds" and getattr(in_force, name) != getattr(after, name)
    ]
    return ",".join(changed)
