"""Times of a graceful shutdown.

Pure. A process that is to end first fails its readiness check, goes on taking
callers until they are sent elsewhere, and answers everything in progress
before its grace period is over.
"""

# How long callers are still taken after the readiness check has begun to
# fail: two checks a second apart, and one that was under way.
READINESS_NOTICE_S = 2.5
# Time kept free before the end of the grace period.
KILL_MARGIN_S = 1.0
# Time before the end from which requests are answered at once, so that none
# is cut off because the leader is slow to answer.
FINAL_ANSWERS_S = 0.5


class GracefulShutdown:
    """A graceful shutdown in progress.

    Args:
        started_at: Monotonic time of its begin.
        grace_s: Time until the process is killed.
    """

    def __init__(self, started_at: float, grace_s: float) -> None:
        self._notice_until = started_at + READINESS_NOTICE_S
        self._end = started_at + grace_s - KILL_MARGIN_S

    def must_answer_all(self, now: float) -> bool:
        """Whether what is in progress has to be answered at once."""
        return now >= self._notice_until and now >= self._end - FINAL_ANSWERS_S

    def is_over(self, now: float, is_idle: bool) -> bool:
        """Whether the process may end.

        Args:
            now: Monotonic time.
            is_idle: Whether no connection of a caller is left.
        """
        if now < self._notice_until:
            return False
        return is_idle or now >= self._end
