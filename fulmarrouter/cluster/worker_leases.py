"""Tells when the leases of workers have ended, on the slowest worker clock.

A leader knows the leases that it grants. Those that earlier leaders granted to
workers with runs are inherited: they may have been granted until just before its
term began.
"""

from collections.abc import Iterable

from fulmarrouter.cluster import fleet as fleet_lib
from fulmarrouter.cluster import model
from fulmarrouter.cluster import state as state_lib


class WorkerLeases:
    """The leases of the workers.

    Args:
        lease_s: How long a worker may run tasks without a renewed lease.
        now: Monotonic time at which the leader's term begins.
        workers: The incarnations to which runs are assigned at that time.

    Attributes:
        inherited_end_by_key: When the leases that earlier leaders granted have
            ended, for incarnations that have not reported to this leader.
    """

    def __init__(
        self,
        lease_s: float,
        now: float = 0.0,
        workers: Iterable[state_lib.WorkerKey] = (),
    ) -> None:
        self._lease_s = lease_s
        self.inherited_end_by_key: dict[state_lib.WorkerKey, float] = (
            dict.fromkeys(workers, self.granted_end(now))
        )

    def granted_end(self, now: float) -> float:
        """Returns when leases granted by now have ended on any worker clock."""
        return (
            now
            + self._lease_s * fleet_lib.CLOCK_DRIFT_FACTOR
            + fleet_lib.LEASE_MARGIN_S
        )

    def end_of(
        self, worker: model.WorkerId, view: fleet_lib.WorkerView | None
    ) -> float:
        """Returns when all leases of a worker have ended.

        Args:
            worker: The worker, with all its incarnations.
            view: The worker as it reports to the leader, None if it doesn't.
        """
        ends = [
            lease_end
            for key, lease_end in self.inherited_end_by_key.items()
            if key.worker == worker
        ]
        if view is not None:
            ends.append(view.lease_until)
        return max(ends, default=0.0)

    def take_inherited_expired(self, now: float) -> list[state_lib.WorkerKey]:
        """Removes and returns the incarnations whose inherited lease has ended."""
        expired = [
            key
            for key, lease_end in self.inherited_end_by_key.items()
            if now >= lease_end
        ]
        for key in expired:
            del self.inherited_end_by_key[key]
        return expired
