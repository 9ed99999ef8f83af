"""Measures what each scheduling mechanism is worth to callers.

Plays simulated loads with all mechanisms and with one of them switched off, on
the same arrivals, and prints the differences by kind of job. A positive figure
is what the mechanism is worth.
"""

from collections.abc import Callable
from collections.abc import Iterator
import concurrent.futures
import contextlib
import dataclasses
import functools
import math
import statistics
from typing import Any
from unittest import mock

import defopt

from bench import load_scenarios
from bench import load_simulation
from fulmarrouter.cluster import gaps
from fulmarrouter.cluster import health
from fulmarrouter.cluster import interference_control
from fulmarrouter.cluster import interference_model
from fulmarrouter.cluster import ordering
from fulmarrouter.cluster import pacing
from fulmarrouter.cluster import placement
from fulmarrouter.cluster import planner
from fulmarrouter.cluster import serving_moves
from fulmarrouter.cluster import stall_detection

NOTHING = "nothing"
# A serving task over its target costs its owner this many times that time.
OVER_TARGET_FACTOR = 4.0

_Switch = Callable[[], contextlib.AbstractContextManager[Any]]
_SWITCH_BY_MECHANISM: dict[str, _Switch] = {NOTHING: contextlib.nullcontext}


def _switches_off(mechanism: str) -> Callable[[_Switch], _Switch]:
    """Registers the decorated function as what switches a mechanism off."""

    def register(switch: _Switch) -> _Switch:
        _SWITCH_BY_MECHANISM[mechanism] = switch
        return switch

    return register


@_switches_off("moves of serving tasks")
def _no_serving_moves() -> contextlib.AbstractContextManager[Any]:
    return mock.patch.object(serving_moves.ServingMover, "run")


@_switches_off("compatibility by effects, not images")
def _compatibility_by_image() -> contextlib.AbstractContextManager[Any]:
    return mock.patch.object(
        interference_model.InterferenceModel,
        "compatibility",
        lambda self, image, other: float(image == other),
    )


@_switches_off("placement by image")
def _no_similarity() -> contextlib.AbstractContextManager[Any]:
    return mock.patch.object(placement, "SAME_IMAGE_SIMILARITY", 0.0)


@_switches_off("protected gaps")
@contextlib.contextmanager
def _no_gaps() -> Iterator[None]:
    with (
        mock.patch.object(gaps.GapDemand, "protects_gaps", return_value=False),
        mock.patch.object(gaps, "ORDINARY_PREFERRED_PERCENT", 0),
    ):
        yield


@_switches_off("moves of paused filling tasks")
def _no_filling_moves() -> contextlib.AbstractContextManager[Any]:
    return mock.patch.object(
        interference_control.InterferenceController,
        "_can_move",
        return_value=False,
    )


@_switches_off("learned effects")
def _no_learning() -> contextlib.AbstractContextManager[Any]:
    return mock.patch.object(
        interference_model.InterferenceModel,
        "effect",
        return_value=interference_model.PRIOR_EFFECT,
    )


@_switches_off("paces")
def _no_paces() -> contextlib.AbstractContextManager[Any]:
    def full_pace(
        effects: object, serving: object, filling: list[pacing.FillingTask]
    ) -> dict[str, int]:
        del effects, serving
        return {item.task: pacing.FULL_PACE_PERCENT for item in filling}

    return mock.patch.object(pacing, "compute_paces", full_pace)


@_switches_off("starvation")
def _no_starvation() -> contextlib.AbstractContextManager[Any]:
    return mock.patch.object(planner, "STARVATION_AGE_S", math.inf)


@_switches_off("limit on the headroom one task takes")
def _no_loss_limit() -> contextlib.AbstractContextManager[Any]:
    return mock.patch.object(placement, "MAX_HEADROOM_LOSS_SHARE", math.inf)


@_switches_off("least remaining work first")
def _no_work_order() -> contextlib.AbstractContextManager[Any]:
    return mock.patch.object(ordering, "remaining_core_s", return_value=0.0)


@_switches_off("jobs in time first")
def _no_timeliness() -> contextlib.AbstractContextManager[Any]:
    return mock.patch.object(
        ordering, "timeliness", return_value=ordering.Timeliness.IN_TIME
    )


@_switches_off("probation")
def _no_probation() -> contextlib.AbstractContextManager[Any]:
    return mock.patch.object(health.WorkerHealth, "begin_probation")


@_switches_off("stall detection")
def _no_stall_detection() -> contextlib.AbstractContextManager[Any]:
    return mock.patch.object(stall_detection, "is_stalled", return_value=False)


def _shares(load: str, mechanism: str, seed: int) -> dict[str, float]:
    """Plays a load without a mechanism; returns what each kind earns."""
    scenario = dataclasses.replace(
        load_scenarios.SCENARIO_BY_NAME[load], same_arrivals=True
    )
    with _SWITCH_BY_MECHANISM[mechanism]():
        results = load_simulation.Simulation(scenario, seed).run()
    shares = {
        kind: item.credit_share
        for kind, item in sorted(results.by_kind.items())
    }
    over_target = 1 - results.serving_in_target_share
    shares["serving"] = max(0.0, 1 - OVER_TARGET_FACTOR * over_target) * (
        1 - results.serving_waiting_share
    )
    return shares


def main(
    *, load: str = "dense", seeds: int = 6, processes: int = 2, only: str = ""
) -> None:
    """Prints what each mechanism is worth on a load, with standard errors.

    Args:
        load: Name of a scenario of the load simulation.
        seeds: Number of seeds, from 0 on; at least 2.
        processes: Number of processes to use.
        only: Mechanism to switch off; all of them if it is empty.
    """
    known = [name for name in _SWITCH_BY_MECHANISM if name != NOTHING]
    if load not in load_scenarios.SCENARIO_BY_NAME:
        raise SystemExit(f"load: no such scenario: {load}")
    if seeds < 2:
        raise SystemExit(f"seeds: must be at least 2, not {seeds}")
    if only and only not in known:
        raise SystemExit(f"only: no such mechanism: {only}")
    with concurrent.futures.ProcessPoolExecutor(processes) as pool:
        base = list(
            pool.map(functools.partial(_shares, load, NOTHING), range(seeds))
        )
        print(f"all mechanisms: {_describe([base])}", flush=True)
        for mechanism in [only] if only else known:
            without = list(
                pool.map(
                    functools.partial(_shares, load, mechanism), range(seeds)
                )
            )
            print(f"{mechanism}: {_describe([base, without])}", flush=True)


def _describe(plays: list[list[dict[str, float]]]) -> str:
    """Returns the mean of each kind, or of the differences, with its error."""
    parts = []
    for kind in plays[0][0]:
        values = [item[kind] for item in plays[0]]
        if len(plays) == 2:
            values = [
                value - item[kind]
                for value, item in zip(values, plays[1], strict=True)
            ]
        error = statistics.stdev(values) / math.sqrt(len(values))
        parts.append(f"{kind} {statistics.fmean(values):+.3f} ({error:.3f})")
    return ", ".join(parts)


if __name__ == "__main__":
    defopt.run(main)
