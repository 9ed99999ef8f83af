"""Chooses the keepers that receive workers' reports.

Designed for more workers than the leader can handle HTTP requests from. The
other keepers receive the requests and relay the reports, at less than half the
cost for the leader. A relay stores nothing: if it fails, its workers call
another process, and their leases last longer than that takes.
"""

from collections.abc import Sequence
import zlib


def choose_report_host(
    worker: str,
    leader_host: str,
    relay_hosts: Sequence[str],
    workers: int,
    direct_workers: int,
) -> str:
    """Returns the host that a worker sends its reports to.

    Args:
        worker: The worker.
        leader_host: Host of the leader.
        relay_hosts: Hosts of the other keepers that the leader is connected to.
        workers: Number of workers that report.
        direct_workers: Up to this number of workers, the leader receives the
            reports itself, which saves a hop.
    """
    if workers <= direct_workers or not relay_hosts:
        return leader_host

    # Rendezvous hashing: the failure of a host reassigns only its own workers.
    def weight(host: str) -> tuple[int, str]:
        return zlib.crc32(f"{worker} {host}".encode()), host

    return max(relay_hosts, key=weight)
