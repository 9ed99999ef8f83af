"""Checks that simulated keepers have recovered once all faults have ended."""

from collections.abc import Collection
from collections.abc import Sequence

from features.support import simulated_processes
from features.support import worker_limits
from fulmarrouter.cluster import controller as controller_lib
from fulmarrouter.cluster import model

VOTERS = 3


def check(
    hosts: Sequence[simulated_processes.Host],
    accepted_jobs: Collection[model.JobId],
    acknowledged_version: int,
) -> None:
    """Checks the only leader, its voters and its state.

    Args:
        hosts: The hosts of the keepers.
        accepted_jobs: Jobs whose submission was accepted.
        acknowledged_version: Newest configuration that was acknowledged.

    Raises:
        InvariantViolationError: There isn't one leader and three live voters, a job
            has not ended, or something accepted was lost.
    """
    leaders = [
        host.controller
        for host in hosts
        if host.controller is not None and host.controller.is_active_leader
    ]
    if len(leaders) != 1:
        _fail(f"{len(leaders)} leaders after all faults ended")
    (leader,) = leaders
    for job in accepted_jobs:
        if job not in leader.state.job_by_id:
            _fail(f"accepted job {job} was lost")
    for known in leader.state.job_by_id.values():
        if known.is_active:
            _fail(f"job {known.id} has not ended")
    held = leader.state.configuration
    if (held.version if held else 0) < acknowledged_version:
        _fail("an acknowledged configuration was lost")
    _check_voters(leader, hosts)


def _check_voters(
    leader: controller_lib.Controller,
    hosts: Sequence[simulated_processes.Host],
) -> None:
    voters = leader.replica.membership.voters
    alive = {host.disk.keeper for host in hosts}
    if not {item.keeper for item in voters} <= alive:
        _fail("a keeper whose disk was lost still votes")
    if len(voters) != VOTERS:
        _fail(f"{len(voters)} voters after all faults ended")


def _fail(text: str) -> None:
    raise worker_limits.InvariantViolationError(text)
