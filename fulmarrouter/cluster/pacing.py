"""Slows filling tasks down where serving tasks beside them miss their target.

Load it answers: filling tasks that disturb serving ones by amounts that
differ by image and change within seconds. The first step is a lower pace;
the pace rises again slowly once the tails have room.
"""

# Tail, as a share of the target, from which filling tasks are slowed down.
HIGH_WATER = 0.9
# Tail, as a share of the target, below which they may go faster again.
LOW_WATER = 0.7
# Factor by which a pace is cut.
CUT = 0.5
# Percent below which a cut pace becomes a pause.
PAUSE_BELOW = 10
# Percent by which a pace rises at a time.
RISE = 15
# Time between two changes; reports are averages over the last half second.
MIN_INTERVAL_S = 0.6


def next_pace(pace: int, worst_tail: float, since_change_s: float) -> int:
    """Returns the pace of a worker's filling tasks, in percent.

    Args:
        pace: The pace now.
        worst_tail: Highest tail of a serving task as a share of its target.
        since_change_s: Time since the pace was changed.
    """
    if since_change_s < MIN_INTERVAL_S:
        return pace
    if worst_tail >= HIGH_WATER:
        lower = int(pace * CUT)
        return lower if lower >= PAUSE_BELOW else 0
    if worst_tail <= LOW_WATER:
        return min(100, pace + RISE)
    return pace
