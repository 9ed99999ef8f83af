"""Estimates when a VM's link will have sent what was handed to it.

Does no I/O. The timeout for a leader's reply starts at that time. Otherwise a
large job or many reports would time out on a link that takes longer to send
them than a leader usually takes to reply.
"""

BYTES_PER_MBIT = 125_000


class LinkBacklog:
    """Tracks the bytes that a link has still to send.

    Args:
        mbps: Rate of the link in Mbit/s; 0 if it is unknown, in which case
            sending is assumed to take no time.
    """

    def __init__(self, mbps: float) -> None:
        self._bytes_per_s = mbps * BYTES_PER_MBIT
        self._idle_at = float("-inf")

    def record_sent(self, now: float, size: int) -> None:
        """Records that a message of `size` bytes was handed to the link."""
        if self._bytes_per_s:
            starts_at = max(self._idle_at, now)
            self._idle_at = starts_at + size / self._bytes_per_s

    def seconds_to_send(self, now: float) -> float:
        """Returns the seconds until the link has sent everything."""
        return max(0.0, self._idle_at - now)

    def reset(self) -> None:
        """Clears the backlog, which was dropped with its connection."""
        self._idle_at = float("-inf")
