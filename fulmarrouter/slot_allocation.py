"""Divides the slots of endpoints among the entries, by demand."""

import dataclasses

from fulmarrouter import commands
from fulmarrouter import endpoints
from fulmarrouter import state as state_lib

# Demand that each session counts with at least, so that an idle entry can serve
# its first requests at once.
MIN_DEMAND = 1.0
# Fraction of its slots, and at least one slot, that a session must have in
# excess before it is asked to give slots back.
REBALANCE_THRESHOLD = 0.15


@dataclasses.dataclass(frozen=True)
class SharePlan:
    """Changes to the shares of one service's endpoints.

    Attributes:
        grants: Commands that grant free slots.
        target_by_share: Slots to which a session should reduce its share, by
            (session, endpoint); other shares stay as they are.
    """

    grants: list[commands.SetShare]
    target_by_share: dict[tuple[int, str], int]


def divide_slots(
    total: int, demand_by_session: dict[int, float]
) -> dict[int, int]:
    """Divides all slots among sessions in proportion to their demand.

    Fractions are settled by the largest remainder method. Each session counts
    with at least `MIN_DEMAND`.
    """
    if not demand_by_session:
        return {}
    weight_by_session = {
        session: max(demand, MIN_DEMAND)
        for session, demand in demand_by_session.items()
    }
    weight_sum = sum(weight_by_session.values())
    exact = {
        session: total * weight / weight_sum
        for session, weight in weight_by_session.items()
    }
    goal_by_session = {session: int(value) for session, value in exact.items()}
    by_remainder = sorted(
        exact,
        key=lambda session: (
            goal_by_session[session] - exact[session],
            session,
        ),
    )
    for session in by_remainder[: total - sum(goal_by_session.values())]:
        goal_by_session[session] += 1
    return goal_by_session


def plan_service(
    endpoint_by_id: dict[str, state_lib.Endpoint],
    demand_by_session: dict[int, float],
) -> SharePlan:
    """Plans the shares of a service's endpoints that accept new requests.

    Free slots are granted at once. Where they are not enough, sessions with a
    surplus are given targets to reduce their shares to.
    """
    total = sum(item.announcement.slots for item in endpoint_by_id.values())
    goal_by_session = divide_slots(total, demand_by_session)
    held_by_session = {
        session: sum(
            item.share_by_session[session].slots
            for item in endpoint_by_id.values()
            if session in item.share_by_session
        )
        for session in goal_by_session
    }
    free_by_endpoint = {
        endpoint_id: max(0, endpoints.free_share(item).slots)
        for endpoint_id, item in endpoint_by_id.items()
    }
    added: dict[tuple[int, str], int] = {}
    by_deficit = sorted(
        goal_by_session,
        key=lambda session: (
            held_by_session[session] - goal_by_session[session],
            session,
        ),
    )
    for session in by_deficit:
        missing = goal_by_session[session] - held_by_session[session]
        while missing > 0:
            endpoint_id = _endpoint_with_most_slots(free_by_endpoint)
            if endpoint_id is None:
                break
            free_by_endpoint[endpoint_id] -= 1
            added[session, endpoint_id] = (
                added.get((session, endpoint_id), 0) + 1
            )
            missing -= 1
    grants = [
        _grant(endpoint_by_id[endpoint_id], session, count)
        for (session, endpoint_id), count in sorted(added.items())
    ]
    return SharePlan(
        grants,
        _targets(endpoint_by_id, goal_by_session, held_by_session, added),
    )


def _endpoint_with_most_slots(slots_by_endpoint: dict[str, int]) -> str | None:
    """Returns the endpoint with the most slots, or None if all have none."""
    best = max(
        sorted(slots_by_endpoint),
        key=lambda item: slots_by_endpoint[item],
        default=None,
    )
    if best is None or slots_by_endpoint[best] == 0:
        return None
    return best


def _grant(
    endpoint: state_lib.Endpoint, session: int, added: int
) -> commands.SetShare:
    share = endpoint.share_by_session.get(session, state_lib.Share(0, 0))
    slots = share.slots + added
    return set_share(endpoint, session, slots)


def set_share(
    endpoint: state_lib.Endpoint, session: int, slots: int
) -> commands.SetShare:
    """Returns the command that sets a session's slots on an endpoint.

    Connections are divided in proportion to slots.
    """
    announcement = endpoint.announcement
    per_slot = announcement.connections // announcement.slots
    share = endpoint.share_by_session.get(session, state_lib.Share(0, 0))
    return commands.SetShare(
        endpoint=announcement.endpoint,
        session=session,
        slots=slots,
        connections=slots * per_slot,
        expected_version=share.version,
    )


def _targets(
    endpoint_by_id: dict[str, state_lib.Endpoint],
    goal_by_session: dict[int, int],
    held_by_session: dict[int, int],
    added: dict[tuple[int, str], int],
) -> dict[tuple[int, str], int]:
    """Returns the targets of sessions that should give slots back."""
    still_missing = sum(
        max(0, goal_by_session[session] - held_by_session[session])
        for session in goal_by_session
    ) - sum(added.values())
    targets: dict[tuple[int, str], int] = {}
    by_surplus = sorted(
        goal_by_session,
        key=lambda session: (
            goal_by_session[session] - held_by_session[session],
            session,
        ),
    )
    for session in by_surplus:
        surplus = held_by_session[session] - goal_by_session[session]
        threshold = max(1.0, REBALANCE_THRESHOLD * held_by_session[session])
        if surplus < threshold or still_missing <= 0:
            continue
        surplus = min(surplus, still_missing)
        still_missing -= surplus
        slots_by_endpoint = {
            endpoint_id: item.share_by_session[session].slots
            for endpoint_id, item in endpoint_by_id.items()
            if session in item.share_by_session
        }
        for _ in range(surplus):
            endpoint_id = _endpoint_with_most_slots(slots_by_endpoint)
            if endpoint_id is None:
                break
            slots_by_endpoint[endpoint_id] -= 1
            targets[session, endpoint_id] = slots_by_endpoint[endpoint_id]
    return targets
