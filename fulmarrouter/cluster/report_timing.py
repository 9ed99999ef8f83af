"""Determines when workers report, and how long answers to reports are held.

Designed for hundreds of workers that report to one leader. A task that has been
placed starts only with the answer to its worker's next report, so workers with
free capacity report more often. All workers report less often the more there
are, which bounds the load of the leader.
"""

# How long a worker waits for the answer to a report before it sends another one. It
# drops an answer that arrives later.
REPORT_TIMEOUT_S = 1.0
# Report intervals of workers with and without free capacity.
FREE_REPORT_INTERVAL_MS = 100
FULL_REPORT_INTERVAL_MS = 400
# With a longer interval, a working worker would be considered silent.
MAX_REPORT_INTERVAL_MS = 800
# Interval to the next report if orders are left for its answer, or ends for its list.
CONTINUED_REPORT_MS = 50
# A worker counts as full unless more than this share of its capacity is free.
MIN_FREE_SHARE = 0.03
# Time to assign the capacity that an ended run has freed, and to commit the
# assignment. Without holding the answer, the next task on that worker would
# wait for one more report.
ANSWER_HOLD_S = 0.06


def next_report_ms(
    free_millicores: int,
    capacity_millicores: int,
    workers: int,
    reports_per_s: float,
) -> int:
    """Returns the interval to a worker's next report if no run ends before.

    Args:
        free_millicores: The worker's free processor capacity.
        capacity_millicores: The worker's total processor capacity.
        workers: Number of workers that report to the leader.
        reports_per_s: Target number of reports that the leader reads per
            second.
    """
    is_free = free_millicores > capacity_millicores * MIN_FREE_SHARE
    wanted = FREE_REPORT_INTERVAL_MS if is_free else FULL_REPORT_INTERVAL_MS
    affordable = int(1000 * workers / reports_per_s)
    return min(MAX_REPORT_INTERVAL_MS, max(wanted, affordable))


def answer_hold_s(has_ends: bool, has_waiting: bool) -> float:
    """Returns for how long the answer to a report is held.

    Args:
        has_ends: Whether the report lists ended runs.
        has_waiting: Whether any tasks are waiting for capacity.
    """
    return ANSWER_HOLD_S if has_ends and has_waiting else 0.0
