"""Load-balancing strategies, which choose an endpoint with a free slot."""

from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import random


@dataclasses.dataclass
class EndpointLoad:
    """Load of an endpoint as seen by one entry.

    Attributes:
        slots: Slots granted to the entry.
        in_use: Slots that the entry uses now.
        latency: Moving average of the latency, in seconds.
        times_chosen: How often the entry has assigned a slot of the endpoint.
    """

    endpoint: str
    slots: int = 0
    in_use: int = 0
    latency: float = 0.0
    times_chosen: int = 0


Strategy = Callable[[Sequence[EndpointLoad], random.Random], EndpointLoad]
STRATEGY_BY_NAME: dict[str, Strategy] = {}


def register_strategy(name: str) -> Callable[[Strategy], Strategy]:
    """Registers the decorated function as the strategy of this name."""

    def register(function: Strategy) -> Strategy:
        STRATEGY_BY_NAME[name] = function
        return function

    return register


@register_strategy("random")
def choose_random(
    candidates: Sequence[EndpointLoad], rng: random.Random
) -> EndpointLoad:
    """Chooses uniformly at random."""
    return rng.choice(candidates)


@register_strategy("round_robin")
def choose_round_robin(
    candidates: Sequence[EndpointLoad], rng: random.Random
) -> EndpointLoad:
    """Chooses the endpoint that has been chosen least often."""
    del rng
    return min(candidates, key=lambda load: (load.times_chosen, load.endpoint))


@register_strategy("least_outstanding")
def choose_least_outstanding(
    candidates: Sequence[EndpointLoad], rng: random.Random
) -> EndpointLoad:
    """Chooses the fewest slots in use; ties are broken at random."""
    lowest = min(load.in_use for load in candidates)
    return rng.choice([load for load in candidates if load.in_use == lowest])


def _cost(load: EndpointLoad) -> float:
    """Returns latency times the slots in use after one more request.

    The floor lets the slots in use decide where the latency is close to zero.
    """
    return (load.in_use + 1) * max(load.latency, 1e-4)


@register_strategy("two_choices")
def choose_two_choices(
    candidates: Sequence[EndpointLoad], rng: random.Random
) -> EndpointLoad:
    """Chooses the lower cost of two endpoints drawn at random."""
    if len(candidates) == 1:
        return candidates[0]
    first, second = rng.sample(candidates, 2)
    return first if _cost(first) <= _cost(second) else second


@register_strategy("least_cost")
def choose_least_cost(
    candidates: Sequence[EndpointLoad], rng: random.Random
) -> EndpointLoad:
    """Chooses the lowest cost; ties go to the first from a random start."""
    start = rng.randrange(len(candidates))
    rotated = [*candidates[start:], *candidates[:start]]
    return min(rotated, key=_cost)
