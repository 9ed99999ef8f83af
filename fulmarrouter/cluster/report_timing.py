"""Decides when workers report, and how long their answers are held.

Load it answers: hundreds of workers whose reports one leader reads, while a
task that has been placed starts with its worker's next report. Workers with
room are asked more often, all of them less often the more there are.
"""

# How soon workers with room report again, and those without.
FREE_MS = 100
FULL_MS = 400
# Less often than this a worker would be taken for silent.
LONGEST_MS = 800
# Room, as a share of a worker's capacity, below which it counts as full.
FULL_SHARE = 0.03
# Time to plan for the room that a run has left, and to commit that. Without
# it the next task there would wait for one more report.
HOLD_S = 0.06


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
    is_free = free_millicores > capacity_millicores * FULL_SHARE
    wanted = FREE_MS if is_free else FULL_MS
    affordable = int(1000 * workers / reports_per_s)
    return min(LONGEST_MS, max(wanted, affordable))


def hold_answer_s(has_ends: bool, has_waiting: bool) -> float:
    """Returns for how long the answer to a report is held.

    Args:
        has_ends: Whether the report says that runs have ended.
        has_waiting: Whether any tasks wait for room.
    """
    return HOLD_S if has_ends and has_waiting else 0.0
