"""Keeps collections bounded by age, a few items at a time."""

from collections.abc import Callable
from typing import TypeVar

RETENTION_MS = 72 * 3600 * 1000
MAX_PRUNED_PER_CALL = 4

K = TypeVar("K")
V = TypeVar("V")


def prune_oldest(
    by_key: dict[K, V],
    now_ms: int,
    age_start: Callable[[V], int],
    is_settled: Callable[[V], bool],
) -> None:
    """Forgets settled items past their retention.

    Args:
        by_key: Items, the oldest first; an old one that isn't settled goes to
            the end.
        now_ms: Wall clock in milliseconds.
        age_start: Gives the time from which an item's age counts.
        is_settled: Tells whether an item may be forgotten.
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
