"""Decides when workers report, and how long their answers are held.

Load it answers: hundreds of workers whose reports one leader reads, while a
task that has been placed starts with its worker's next report. Workers with
room are asked more often, all of them less often the more there are.
"""

# How soon workers with room report again, and those without.
FREE_REPORT_INTERVAL_MS = 100
FULL_REPORT_INTERVAL_MS = 400
# Less often than this a worker would be taken for silent.
MAX_REPORT_INTERVAL_MS = 800
# Room, as a share of a worker's capacity, below which it counts as full.
MIN_FREE_SHARE = 0.03
# Time to plan for the room that a run has left, and to commit that. Without
# it the next task there would wait for one more report.
ANSWER_HOLD_S = 0.06


def next_report_ms(
    free_millicores: int,
    capacity_millicores: int,
    workers: int,
    reports_per_s: float,
) -> int:
    """Returns when a worker is to report again if nothing ends on it.

    Args:
        free_millicores: Room that it has.
        capacity_millicores: Its size.
        workers: How many report to the leader.
        reports_per_s: How many reports it is to read in a second.
    """
    is_free = free_millicores > capacity_millicores * MIN_FREE_SHARE
    wanted = FREE_REPORT_INTERVAL_MS if is_free else FULL_REPORT_INTERVAL_MS
    affordable = int(1000 * workers / reports_per_s)
    return min(MAX_REPORT_INTERVAL_MS, max(wanted, affordable))


def answer_hold_s(has_ends: bool, has_waiting: bool) -> float:
    """Returns for how long the answer to a report is held.

    Args:
        has_ends: Whether the report says that runs have ended.
        has_waiting: Whether any tasks wait for room.
    """
    return ANSWER_HOLD_S if has_ends and has_waiting else 0.0
