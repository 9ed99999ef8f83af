"""Timing of a graceful shutdown.

Performs no I/O. A process that is told to stop first fails its readiness check,
goes on accepting requests until callers are routed elsewhere, and answers all
requests in progress before its grace period ends.
"""

# How long requests are still accepted after the readiness check has begun to
# fail: time for two checks one second apart, and one already in progress.
READINESS_NOTICE_S = 2.5
# The process ends at the latest this long before the end of the grace period,
# at which it would be killed.
KILL_MARGIN_S = 1.0
# From this long before the end, requests are answered immediately, without
# waiting for the leader, so that none is cut off by a slow answer.
FINAL_ANSWERS_S = 0.5


class GracefulShutdown:
    """A graceful shutdown in progress.

    Args:
        started_at: Monotonic time at which it started.
        grace_s: Time until the process is killed.
    """

    def __init__(self, started_at: float, grace_s: float) -> None:
        self._notice_until = started_at + READINESS_NOTICE_S
        self._end = started_at + grace_s - KILL_MARGIN_S

    def must_answer_all(self, now: float) -> bool:
        """Whether all requests in progress must be answered immediately."""
        return now >= self._notice_until and now >= self._end - FINAL_ANSWERS_S

    def is_over(self, now: float, is_idle: bool) -> bool:
        """Whether the process may end.

        Args:
            now: Monotonic time.
            is_idle: Whether all callers' connections are closed.
        """
        if now < self._notice_until:
            return False
        return is_idle or now >= self._end
