"""Remembers since when steps have waited for a better placement."""

from collections.abc import Container

from fulmarrouter.cluster import state as state_lib


class StepWaits:
    """Since when the waiting steps have not been placed."""

    def __init__(self) -> None:
        self._waiting_since: dict[state_lib.StepKey, float] = {}

    def start(self, now: float, key: state_lib.StepKey) -> None:
        """Records that a step could not be placed completely."""
        self._waiting_since.setdefault(key, now)

    def stop(self, key: state_lib.StepKey) -> None:
        """Records that a step has been placed completely."""
        self._waiting_since.pop(key, None)

    def retain_steps(self, keys: Container[state_lib.StepKey]) -> None:
        """Drops the steps that are not among the given ones."""
        self._waiting_since = {
            key: since
            for key, since in self._waiting_since.items()
            if key in keys
        }

    def waited_s(self, now: float, key: state_lib.StepKey) -> float:
        """Returns for how long a step has waited, 0 if it does not wait."""
        return now - self._waiting_since.get(key, now)
