"""Chooses the keepers that receive workers' reports.

Designed for more workers than the leader can handle HTTP requests from. The
other keepers receive the requests and relay the reports, at less than half the
cost for the leader. A relay stores nothing: if it fails, its workers call
another process, and their leases last longer than that takes.
"""

from collections.abc import Sequence
import zlib

from fulmarrouter import consensus

# A keeper that has not answered the leader for longer than this is not used as
# a relay of workers' reports.
MAX_SILENCE_S = 0.5


def hosts_in_touch(now: float, replica: consensus.Replica) -> list[str]:
    """Returns the hosts of the other keepers that have just answered the leader.

    Args:
        now: Monotonic time.
        replica: The leader's replica.
    """
    return [
        item.host
        for item in replica.membership.all_keepers()
        if item.keeper != replica.keeper
        and replica.peer_status(now, item.keeper).seconds_since_ack
        <= MAX_SILENCE_S
    ]


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
