"""Removes items past their retention period, a few at a time."""

from collections.abc import Callable
from typing import TypeVar

RETENTION_MS = 72 * 3600 * 1000
# Bounds the work of one call.
MAX_PRUNED_PER_CALL = 4

K = TypeVar("K")
V = TypeVar("V")


def prune_oldest(
    by_key: dict[K, V],
    now_ms: int,
    age_start: Callable[[V], int],
    is_settled: Callable[[V], bool],
) -> None:
    """Removes settled items past their retention period.

    Args:
        by_key: Items, the oldest first. An item past its retention period that
            isn't settled is moved to the end.
        now_ms: Wall clock in milliseconds.
        age_start: Returns the time from which an item's age counts, on the same
            clock.
        is_settled: Returns whether an item may be removed.
    """
    oldest = [
        key for key, _ in zip(by_key, range(MAX_PRUNED_PER_CALL), strict=False)
    ]
    for key in oldest:
        item = by_key[key]
        if now_ms - age_start(item) < RETENTION_MS:
            return
        del by_key[key]
        if not is_settled(item):
            by_key[key] = item
