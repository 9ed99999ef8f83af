"""Decides which keepers take the workers' reports.

Load it answers: more workers than a leader can read the HTTP requests of. The
other keepers read them and pass on what they say, at less than half the cost
for the leader. A relay keeps nothing: if it fails, its workers call another
process, and leases outlast that.
"""

from collections.abc import Sequence
import zlib


def choose_report_host(
    worker: str,
    leader: str,
    others: Sequence[str],
    workers: int,
    direct_workers: int,
) -> str:
    """Returns the host that takes a worker's reports.

    Args:
        worker: The worker.
        leader: Host of the leader.
        others: Hosts of the other keepers that are known to be in touch.
        workers: How many workers report.
        direct_workers: Up to how many the leader reads the reports itself,
            which is a hop less.
    """
    if workers <= direct_workers or not others:
        return leader

    # Rendezvous hashing: a host that fails moves only its own workers.
    def weight(host: str) -> tuple[int, str]:
        return zlib.crc32(f"{worker} {host}".encode()), host

    return max(others, key=weight)
