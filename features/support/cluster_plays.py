"""Histories of the cluster that follow a script, with random details."""

import random

from features.support import cluster_histories


def _begin(seed: int) -> cluster_histories.History:
    """Returns a history whose quorum is founded and configured."""
    history = cluster_histories.History(seed)
    history.run_until(6.0)
    history.configure(1)
    history.run_until(6.5)
    return history


def play(seed: int, steps: int = 60) -> cluster_histories.History:
    """Plays one history with random faults.

    Raises:
        cluster_histories.ViolationError: Something that must always hold did not.
    """
    history = _begin(seed)
    rng = random.Random(seed * 7919 + 1)
    version = 1
    for _ in range(steps):
        match rng.randrange(14):
            case 0 | 1 | 2 | 3:
                history.submit()
            case 4:
                history.cancel()
            case 5:
                history.show()
            case 6:
                version += 1
                history.configure(version)
            case 7:
                history.read()
            case 8:
                _harm_keeper(history, rng)
            case 9:
                worker = rng.choice(history.workers)
                history.kill_worker(worker)
            case 10:
                history.revive_worker(rng.choice(history.workers))
            case 11:
                worker = rng.choice(history.workers)
                worker.cut_off = not worker.cut_off
            case 12:
                history.loss = rng.choice((0.0, 0.0, 0.05, 0.15))
            case 13:
                for host in history.hosts:
                    host.cut_off = False
                    host.isolated = False
                    history.restart(host)
        history.run_until(history.now + rng.choice((0.05, 0.2, 0.6)))
    history.quiesce()
    return history


def play_isolated_leader(seed: int) -> cluster_histories.History:
    """Plays a leader that only workers and callers reach, for some seconds.

    Raises:
        cluster_histories.ViolationError: Something that must always hold did not.
    """
    history = _begin(seed)
    old = next(
        host
        for host in history.hosts
        if host.controller is not None and host.controller.is_active_leader
    )
    old.isolated = True
    # What it can't commit would hold up its answers.
    history.avoided = old
    for version in range(2, 102):
        history.configure(version)
        history.submit()
        history.read(old)
        history.run_until(history.now + 0.04)
    # A hundred jobs take the four workers about half a minute.
    history.quiesce(60.0)
    return history


def play_power_loss(seed: int) -> cluster_histories.History:
    """Plays a lost disk, while all other keepers lose power with it, twice.

    It strikes at the moment at which something is acknowledged.

    Raises:
        cluster_histories.ViolationError: Something that must always hold did not.
    """
    history = _begin(seed)
    rng = random.Random(seed * 7919 + 2)
    for version in (2, 3):
        for _ in range(3):
            history.submit()
        history.run_until(history.now + rng.uniform(0.02, 0.5))
        history.configure(version)
        patience = history.now + 5.0
        while history.version_acked < version and history.now < patience:
            history.run_until(history.now + cluster_histories.TICK_S)
        wiped = rng.choice(history.hosts)
        for host in history.hosts:
            history.crash(host, wipe=host is wiped)
        for host in rng.sample(history.hosts, len(history.hosts)):
            history.run_until(history.now + rng.uniform(0.0, 1.0))
            history.restart(host)
        # Until the quorum bears the loss of a disk again.
        history.run_until(history.now + 10.0)
    history.quiesce()
    return history


def _harm_keeper(
    history: cluster_histories.History, rng: random.Random
) -> None:
    """Harms one keeper at most: that is what the deployment bears."""
    harmed = [
        host
        for host in history.hosts
        if host.controller is None or host.is_apart
    ]
    if harmed:
        return
    host = rng.choice(history.hosts)
    match rng.randrange(5):
        case 0:
            host.isolated = True
        case 3:
            history.crash(host, wipe=False)
        case 1 if _may_wipe(history):
            history.crash(host, wipe=True)
        case 2:
            host.cut_off = True
        case _:
            host.frozen_until = history.now + rng.uniform(0.5, 3.0)


def _may_wipe(history: cluster_histories.History) -> bool:
    """A disk may be lost once the others hold all that was acknowledged."""
    for host in history.hosts:
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
