"""Ways to choose an endpoint among those with a free slot."""

from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import random


@dataclasses.dataclass
class Load:
    """What an entry knows of an endpoint's load.

    Attributes:
        slots: Slots that the entry may use.
        in_use: Slots that it uses now.
        latency: Smoothed latency in seconds.
    """

    endpoint: str
    slots: int = 0
    in_use: int = 0
    latency: float = 0.0
    chosen: int = 0


Chooser = Callable[[Sequence[Load], random.Random], Load]
CHOOSER_BY_NAME: dict[str, Chooser] = {}


def chooser(name: str) -> Callable[[Chooser], Chooser]:
    """Registers the decorated function under a name."""

    def register(function: Chooser) -> Chooser:
        CHOOSER_BY_NAME[name] = function
        return function

    return register


@chooser("random")
def choose_random(candidates: Sequence[Load], rng: random.Random) -> Load:
    """Chooses any."""
    return rng.choice(candidates)


@chooser("round_robin")
def choose_in_turn(candidates: Sequence[Load], rng: random.Random) -> Load:
    """Chooses the one that was chosen least often."""
    del rng
    return min(candidates, key=lambda load: (load.chosen, load.endpoint))


@chooser("least_outstanding")
def choose_least_outstanding(
    candidates: Sequence[Load], rng: random.Random
) -> Load:
    """Chooses the lowest number in use, at random among equals."""
    lowest = min(load.in_use for load in candidates)
    return rng.choice([load for load in candidates if load.in_use == lowest])


def _cost(load: Load) -> float:
    return (load.in_use + 1) * max(load.latency, 1e-4)


@chooser("two_choices")
def choose_of_two(candidates: Sequence[Load], rng: random.Random) -> Load:
    """Chooses the lower latency times load of two taken at random."""
    if len(candidates) == 1:
        return candidates[0]
    first, second = rng.sample(candidates, 2)
    return first if _cost(first) <= _cost(second) else second


@chooser("least_cost")
def choose_least_cost(candidates: Sequence[Load], rng: random.Random) -> Load:
    """Chooses the lowest latency times load of all."""
    start = rng.randrange(len(candidates))
    rotated = [*candidates[start:], *candidates[:start]]
    return min(rotated, key=_cost)
