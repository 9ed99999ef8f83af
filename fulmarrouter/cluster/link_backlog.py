"""Tells when a VM's link will have sent what was handed to it.

Pure. Load it answers: a large job, or many reports, at a VM whose link takes
longer for them than a leader usually takes to reply.
"""

BYTES_PER_MBIT = 125_000


class LinkBacklog:
    """Counts what was handed to a link and what has left it since.

    Args:
        mbps: Rate of the link in Mbit/s, 0 where it is unknown; sending then
            counts as taking no time.
    """

    def __init__(self, mbps: float) -> None:
        self._bytes_per_s = mbps * BYTES_PER_MBIT
        self._idle_at = float("-inf")

    def record_sent(self, now: float, size: int) -> None:
        """Notes that a message of some bytes was handed to the link."""
        if self._bytes_per_s:
            starts_at = max(self._idle_at, now)
            self._idle_at = starts_at + size / self._bytes_per_s

    def seconds_to_send(self, now: float) -> float:
        """Returns the seconds until all of it has left."""
        return max(0.0, self._idle_at - now)

    def reset(self) -> None:
        """Notes that what had not left was dropped with its connection."""
        self._idle_at = float("-inf")
