"""Builds a keeper's controller from the settings of its process."""

import random

from fulmarrouter import addresses
from fulmarrouter import consensus
from fulmarrouter import settings as settings_lib
from fulmarrouter.cluster import controller
from fulmarrouter.cluster import dispatcher

# Long enough for a worker to keep its lease through an election and a short loss
# of connection. A longer lease would delay the tasks of a crashed worker more.
WORKER_LEASE_S = 6.0


def build(
    now: float,
    keeper: str,
    persistent_state: consensus.PersistentState,
    settings: settings_lib.NodeSettings,
) -> controller.Controller:
    """Returns the controller of a keeper that is starting.

    Args:
        now: Monotonic time.
        keeper: The keeper's identity.
        persistent_state: State loaded from its disk.
        settings: Checked settings of the process.
    """
    election = settings.election
    replica = consensus.Replica(
        keeper,
        persistent_state,
        consensus.Timing(
            election.heartbeat_ms / 1000,
            election.timeout_min_ms / 1000,
            election.timeout_max_ms / 1000,
        ),
        random.Random(),
        now,
    )
    return controller.Controller(
        replica,
        controller.ControllerSettings(
            wanted_voters=settings.tolerated_losses.voter_count(),
            control_port=addresses.port_of(settings.control),
            direct_workers=settings.direct_workers,
            job_id_hex_digits=settings.job_id_hex_digits,
        ),
        dispatcher.DispatchSettings(
            lease_s=min(WORKER_LEASE_S, settings.max_worker_lease_ms / 1000),
            restore_s=settings.checkpoint_restore_ms / 1000,
            reports_per_s=settings.reports_per_s,
            job_retention_s=settings.job_retention_s,
        ),
    )
