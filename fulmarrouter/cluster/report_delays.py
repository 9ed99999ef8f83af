"""Tells how long a report was on its way, by its worker's steady clock.

A report may arrive seconds late, when its worker has crashed. Nobody takes the answer
to such a report then, so it is no sign of life, and grants no lease.
"""

from fulmarrouter.cluster import report_timing

# By how much a worker's clock may run slow, as a share, and a little more.
MAX_DRIFT = 0.03
# A worker drops the answer to a report that was on its way for longer.
MAX_ANSWERED_S = report_timing.REPORT_TIMEOUT_S + 0.2
# Reports that seem late for this long show that the clock has stood still, as that of a
# suspended VM may. Shorter than a lease.
RESET_S = 2.0


class WorkerClock:
    """The steady clock of one incarnation of a worker, as its reports show it."""

    def __init__(self) -> None:
        # Smallest difference to the leader's clock, allowing for drift since.
        self._offset_s = float("inf")
        self._updated_at = 0.0
        # Since when all reports have seemed late, and their smallest difference.
        self._late_since = float("inf")
        self._late_offset_s = float("inf")

    def delay_s(self, now: float, clock_ms: int) -> float:
        """Records a report; returns how long it was on its way at the least.

        Args:
            now: Monotonic time at which it arrived.
            clock_ms: The worker's clock at the sending; 0 if unknown.

        Returns:
            Seconds beyond the fastest report so far; 0 if that can't be told.
        """
        if not clock_ms:
            return 0.0
        offset_s = now - clock_ms / 1000
        drift_s = MAX_DRIFT * (now - self._updated_at)
        self._offset_s = min(offset_s, self._offset_s + drift_s)
        self._updated_at = now
        if offset_s - self._offset_s <= MAX_ANSWERED_S:
            self._late_since = self._late_offset_s = float("inf")
            return offset_s - self._offset_s
        self._late_since = min(self._late_since, now)
        self._late_offset_s = min(self._late_offset_s, offset_s)
        if now - self._late_since >= RESET_S:
            self._offset_s = self._late_offset_s
        return offset_s - self._offset_s
