"""Fault scenarios for the simulated cluster.

Each scenario runs one simulation (a history) whose random details follow from a
seed, and fails with an InvariantViolationError.
"""

import random

from features.support import cluster_simulation
from features.support import simulated_keepers
from features.support import simulated_processes


def _start_configured(seed: int) -> cluster_simulation.ClusterSimulation:
    """Returns a simulation that has formed a quorum and has a configuration."""
    simulation = cluster_simulation.ClusterSimulation(seed)
    simulation.run_until(6.0)
    simulation.replace_configuration(1)
    simulation.run_until(6.5)
    return simulation


def run_random_faults(
    seed: int, steps: int = 60
) -> cluster_simulation.ClusterSimulation:
    """Runs a history of random requests and faults.

    Raises:
        InvariantViolationError: An invariant does not hold.
    """
    simulation = _start_configured(seed)
    # Independent of the simulation's generator, which is seeded with `seed`.
    rng = random.Random(seed * 7919 + 1)
    version = 1
    for _ in range(steps):
        match rng.randrange(14):
            case 0 | 1 | 2 | 3:
                simulation.submit_job()
            case 4:
                simulation.cancel_job()
            case 5:
                simulation.show_job()
            case 6:
                version += 1
                simulation.replace_configuration(version)
            case 7:
                simulation.read_configuration()
            case 8:
                inject_keeper_fault(simulation, rng)
            case 9:
                worker = rng.choice(simulation.workers)
                simulation.kill_worker(worker)
            case 10:
                simulation.revive_worker(rng.choice(simulation.workers))
            case 11:
                worker = rng.choice(simulation.workers)
                worker.cut_off = not worker.cut_off
            case 12:
                simulation.loss = rng.choice((0.0, 0.0, 0.05, 0.15))
            case 13:
                simulation.end_partitions()
        simulation.run_until(simulation.now + rng.choice((0.05, 0.2, 0.6)))
    simulation.quiesce()
    return simulation


def run_isolated_leader(seed: int) -> cluster_simulation.ClusterSimulation:
    """Runs a history in which only workers and callers reach the leader.

    Another leader is elected meanwhile. Reads from the isolated one must not
    return an older configuration than the one accepted last.

    Raises:
        InvariantViolationError: An invariant does not hold.
    """
    simulation = _start_configured(seed)
    isolated_leader = next(
        host
        for host in simulation.hosts
        if host.controller is not None and host.controller.is_active_leader
    )
    isolated_leader.isolated = True
    # Callers only read from it: commands that it can't commit would delay its
    # answers.
    simulation.avoided_host = isolated_leader
    for version in range(2, 102):
        simulation.replace_configuration(version)
        simulation.submit_job()
        simulation.read_configuration(isolated_leader)
        simulation.run_until(simulation.now + 0.04)
    # A hundred jobs take the four workers about half a minute.
    simulation.quiesce(60.0)
    return simulation


def run_power_loss(seed: int) -> cluster_simulation.ClusterSimulation:
    """Runs a history in which all keepers lose power and one loses its disk.

    This happens twice, each time right after a configuration was acknowledged.

    Raises:
        InvariantViolationError: An invariant does not hold.
    """
    simulation = _start_configured(seed)
    rng = random.Random(seed * 7919 + 2)
    for version in (2, 3):
        for _ in range(3):
            simulation.submit_job()
        simulation.run_until(simulation.now + rng.uniform(0.02, 0.5))
        simulation.replace_configuration(version)
        deadline = simulation.now + 5.0
        while (
            simulation.acknowledged_version < version
            and simulation.now < deadline
        ):
            simulation.run_until(simulation.now + simulated_keepers.TICK_S)
        wiped_host = rng.choice(simulation.hosts)
        for host in simulation.hosts:
            simulation.crash(host, wipe=host is wiped_host)
        for host in rng.sample(simulation.hosts, len(simulation.hosts)):
            simulation.run_until(simulation.now + rng.uniform(0.0, 1.0))
            simulation.restart(host)
        # Gives the quorum time to replicate until it tolerates the loss of a
        # disk again.
        simulation.run_until(simulation.now + 10.0)
    simulation.quiesce()
    return simulation


def run_overlapping_losses(seed: int) -> cluster_simulation.ClusterSimulation:
    """Runs a history in which a disk is lost while another keeper is away.

    Three times, one keeper is killed, paused or cut off for a few seconds and
    another one loses its disk before or after that begins. Which keepers, how
    long and how far apart is random. The service must be back 12 s after both.

    Raises:
        InvariantViolationError: An invariant does not hold.
    """
    simulation = _start_configured(seed)
    rng = random.Random(seed * 7919 + 3)
    for version in (2, 3, 4):
        simulation.submit_job()
        simulation.replace_configuration(version)
        simulation.run_until(simulation.now + rng.uniform(0.1, 1.0))
        away, wiped = rng.sample(simulation.hosts, 2)
        away_at = simulation.now + rng.uniform(0.0, 1.0)
        wiped_at = away_at + rng.uniform(-0.5, 4.0)
        if wiped_at < away_at:
            simulation.run_until(wiped_at)
            simulation.crash(wiped, wipe=True)
        simulation.run_until(away_at)
        back_at = away_at + rng.uniform(3.0, 6.0)
        _take_away(simulation, rng, away, back_at)
        if wiped_at >= away_at:
            simulation.run_until(wiped_at)
            simulation.crash(wiped, wipe=True)
        for due, host in sorted(
            ((wiped_at + rng.uniform(0.5, 4.0), wiped), (back_at, away)),
            key=lambda item: item[0],
        ):
            simulation.run_until(due)
            host.cut_off = False
            simulation.restart(host)
        simulation.run_until(simulation.now + 12.0)
        if not simulation.has_active_leader():
            raise cluster_simulation.InvariantViolationError(
                "no leader 12 s after all keepers are back"
            )
    simulation.quiesce()
    return simulation


def run_queue_changes(seed: int) -> cluster_simulation.ClusterSimulation:
    """Runs a history in which a queue is removed and added under submissions.

    Raises:
        InvariantViolationError: An invariant does not hold.
    """
    simulation = _start_configured(seed)
    rng = random.Random(seed * 7919 + 4)
    for version in range(2, 42):
        queues = (cluster_simulation.QUEUE,) if version % 2 else ()
        change_at = rng.randrange(6)
        for number in range(6):
            if number == change_at:
                simulation.replace_configuration(version, queues)
            simulation.submit_job()
            simulation.run_until(simulation.now + rng.uniform(0.0, 0.02))
        if rng.random() < 0.1:
            inject_keeper_fault(simulation, rng)
        simulation.run_until(simulation.now + rng.uniform(0.0, 0.3))
    simulation.quiesce(60.0)
    return simulation


def run_labelled_jobs(seed: int) -> cluster_simulation.ClusterSimulation:
    """Runs a history of jobs that only one worker may run and often fails.

    The fault ends after a while. Nothing else comes to that worker.

    Raises:
        InvariantViolationError: An invariant does not hold.
    """
    simulation = _start_configured(seed)
    rng = random.Random(seed * 7919 + 5)
    rng.choice(simulation.workers).labels = ("special",)
    simulation.run_until(simulation.now + 1.0)
    for _ in range(4):
        simulation.failure_share = 0.8
        simulation.submit_job(required_label="special")
        simulation.run_until(simulation.now + rng.uniform(0.5, 4.0))
        simulation.failure_share = 0.0
        simulation.run_until(simulation.now + rng.uniform(0.0, 4.0))
    simulation.quiesce(60.0)
    return simulation


def run_early_cancellings(seed: int) -> cluster_simulation.ClusterSimulation:
    """Runs a history of jobs whose submissions arrive after their cancelling.

    Raises:
        InvariantViolationError: An invariant does not hold.
    """
    simulation = _start_configured(seed)
    rng = random.Random(seed * 7919 + 6)
    for _ in range(20):
        simulation.submit_cancelled_job(rng.uniform(0.0, 4.0))
        simulation.submit_job()
        if rng.random() < 0.1:
            inject_keeper_fault(simulation, rng)
        simulation.run_until(simulation.now + rng.uniform(0.0, 0.6))
        for host in simulation.hosts:
            simulation.restart(host)
    simulation.quiesce(60.0)
    return simulation


def _take_away(
    simulation: cluster_simulation.ClusterSimulation,
    rng: random.Random,
    host: simulated_processes.Host,
    until: float,
) -> None:
    """Kills, cuts off or pauses a keeper whose disk stays."""
    match rng.randrange(3):
        case 0:
            simulation.crash(host, wipe=False)
        case 1:
            host.cut_off = True
        case _:
            host.frozen_until = until


def inject_keeper_fault(
    simulation: cluster_simulation.ClusterSimulation, rng: random.Random
) -> None:
    """Injects a fault into a random keeper.

    Does nothing while a keeper is down or partitioned, since the cluster
    tolerates one such fault at a time.
    """
    faulty = [
        host
        for host in simulation.hosts
        if host.controller is None or host.is_partitioned
    ]
    if faulty:
        return
    host = rng.choice(simulation.hosts)
    match rng.randrange(5):
        case 0:
            host.isolated = True
        case 3:
            simulation.crash(host, wipe=False)
        case 1 if _may_wipe(simulation):
            simulation.crash(host, wipe=True)
        case 2:
            host.cut_off = True
        case _:
            host.frozen_until = simulation.now + rng.uniform(0.5, 3.0)


def crash_leader(simulation: cluster_simulation.ClusterSimulation) -> None:
    """Crashes the leader, unless another keeper has a fault."""
    hosts = simulation.hosts
    if any(host.controller is None or host.is_partitioned for host in hosts):
        return
    for host in hosts:
        if host.controller is not None and host.controller.is_active_leader:
            simulation.crash(host, wipe=False)


def _may_wipe(simulation: cluster_simulation.ClusterSimulation) -> bool:
    """Returns whether a disk may be lost now.

    It may once there are three voters that hold everything committed, so that
    the other disks have all that was acknowledged.
    """
    for host in simulation.hosts:
        controller = host.controller
        if controller is None or not controller.is_active_leader:
            continue
        replica = controller.replica
        voters = replica.membership.voters
        return len(voters) == 3 and all(
            item.keeper == replica.keeper or replica.is_caught_up(item.keeper)
            for item in voters
        )
    return False
