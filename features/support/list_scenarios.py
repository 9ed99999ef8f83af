"""Histories of workers on which more runs end than one of their reports lists.

Steps are wide and their runs take equally long, so that many end at once. Workers
drain, leave, crash and start again under their id meanwhile.
"""

import random

from features.support import cluster_scenarios
from features.support import cluster_simulation
from features.support import departure_scenarios
from features.support import restart_scenarios
from features.support import simulated_processes
from fulmarrouter import commands
from fulmarrouter.cluster import model

MAX_LISTED_ENDS = (1, 2, 3, 5)
# Below, at, above and several times the numbers of listed ends.
TASK_COUNTS = (1, 2, 3, 4, 6, 16, 40)
TASK_NEEDS = commands.Resources(100, 10, 0)
RUN_DURATIONS_S = (0.3, 1.8)
EXTRA_TIME_S = 90.0


def _drain(
    simulation: restart_scenarios.RestartSimulation,
    worker: simulated_processes.Worker,
    seconds: float,
) -> None:
    """Lets a worker drain for some time and then leave."""
    worker.draining = True
    worker.leaves_at = simulation.now + seconds
    simulation.call_later(seconds, lambda: simulation.leave(worker))


def run_short_lists(
    seed: int, steps: int = 40
) -> restart_scenarios.RestartSimulation:
    """Runs a history of workers whose reports list few ends.

    Raises:
        InvariantViolationError: An invariant does not hold.
    """
    simulation = restart_scenarios.RestartSimulation(seed)
    simulation.start()
    # Independent of the simulation's generator.
    rng = random.Random(seed * 7919 + 11)
    simulation.max_listed_ends = rng.choice(MAX_LISTED_ENDS)
    simulation.run_durations_s = (rng.choice(RUN_DURATIONS_S),)
    simulation.failure_share = rng.choice((0.0, 0.0, 0.02))
    for _ in range(steps):
        worker = rng.choice(simulation.workers)
        match rng.randrange(12):
            case 0 | 1 | 2 | 3 | 4:
                step = model.StepSpec(rng.choice(TASK_COUNTS), TASK_NEEDS, 300)
                simulation.submit_steps(cluster_simulation.QUEUE, (step,))
            case 5 | 6:
                _drain(simulation, worker, rng.uniform(0.5, 3.0))
            case 7 | 8:
                for item in list(simulation.workers):
                    simulation.revive_worker(item)
            case 9:
                simulation.restart_and_cut(worker, rng)
            case 10:
                cluster_scenarios.crash_leader(simulation)
            case 11:
                cluster_scenarios.inject_keeper_fault(simulation, rng)
        simulation.run_until(simulation.now + rng.choice((0.1, 0.3, 0.6)))
    simulation.run_durations_s = departure_scenarios.SHORT_RUN_DURATIONS_S
    simulation.recover(EXTRA_TIME_S)
    return simulation
