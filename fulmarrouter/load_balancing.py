"""Ways to choose an endpoint among those with a free slot."""

from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import random


@dataclasses.dataclass
class EndpointLoad:
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
    times_chosen: int = 0


Strategy = Callable[[Sequence[EndpointLoad], random.Random], EndpointLoad]
STRATEGY_BY_NAME: dict[str, Strategy] = {}


def register_strategy(name: str) -> Callable[[Strategy], Strategy]:
    """Registers the decorated function under a name."""

    def register(function: Strategy) -> Strategy:
        STRATEGY_BY_NAME[name] = function
        return function

    return register


@register_strategy("random")
def choose_random(
    candidates: Sequence[EndpointLoad], rng: random.Random
) -> EndpointLoad:
    """Chooses any."""
    return rng.choice(candidates)


@register_strategy("round_robin")
def choose_round_robin(
    candidates: Sequence[EndpointLoad], rng: random.Random
) -> EndpointLoad:
    """Chooses the one that was chosen least often."""
    del rng
    return min(candidates, key=lambda load: (load.times_chosen, load.endpoint))


@register_strategy("least_outstanding")
def choose_least_outstanding(
    candidates: Sequence[EndpointLoad], rng: random.Random
) -> EndpointLoad:
    """Chooses the lowest number in use, at random among equals."""
    lowest = min(load.in_use for load in candidates)
    return rng.choice([load for load in candidates if load.in_use == lowest])


def _cost(load: EndpointLoad) -> float:
    return (load.in_use + 1) * max(load.latency, 1e-4)


@register_strategy("two_choices")
def choose_two_choices(
    candidates: Sequence[EndpointLoad], rng: random.Random
) -> EndpointLoad:
    """Chooses the lower latency times load of two taken at random."""
    if len(candidates) == 1:
        return candidates[0]
    first, second = rng.sample(candidates, 2)
    return first if _cost(first) <= _cost(second) else second


@register_strategy("least_cost")
def choose_least_cost(
    candidates: Sequence[EndpointLoad], rng: random.Random
) -> EndpointLoad:
    """Chooses the lowest latency times load of all."""
    start = rng.randrange(len(candidates))
    rotated = [*candidates[start:], *candidates[:start]]
    return min(rotated, key=_cost)
