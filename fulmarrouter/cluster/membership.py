"""Decides which keepers vote, without an operator.

Voters are an odd number, two for each loss to be borne and one more; other
keepers with a disk are learners. A keeper's identity lives on its disk: one
that lost its disk comes back under a new identity, so that it can't vote
twice, and takes the place of the old identity at its address.
"""

from collections.abc import Iterable
import dataclasses

from fulmarrouter import commands
from fulmarrouter import consensus
from fulmarrouter import messages

# Silence after which a voter's place goes to a learner that is level. Longer
# than an election, so that a busy keeper isn't replaced.
REPLACE_AFTER_S = 2.5
# A keeper whose announcements stop for this long is no candidate.
CANDIDATE_TTL_S = 2.0
# How long the founder waits for others before it founds without all of them.
FOUNDING_PATIENCE_S = 6.0
# How long announcements are collected before a founder is named.
FOUNDING_DELAY_S = 0.7


@dataclasses.dataclass(frozen=True)
class Candidate:
    """A keeper that has announced itself."""

    address: commands.KeeperAddress
    zone: str
    is_blank: bool
    may_found: bool
    heard_at: float
    first_heard_at: float


class Announcements:
    """Keepers that have announced themselves to this process."""

    def __init__(self) -> None:
        self.candidate_by_id: dict[str, Candidate] = {}
        self._founder: str = ""

    def note(
        self,
        now: float,
        address: commands.KeeperAddress,
        zone: str,
        is_blank: bool,
        may_found: bool,
    ) -> None:
        """Notes an announcement."""
        known = self.candidate_by_id.get(address.keeper)
        first = known.first_heard_at if known else now
        self.candidate_by_id[address.keeper] = Candidate(
            address, zone, is_blank, may_found, now, first
        )
        for keeper, other in list(self.candidate_by_id.items()):
            same_place = (other.address.host, other.address.port) == (
                address.host,
                address.port,
            )
            if same_place and keeper != address.keeper:
                del self.candidate_by_id[keeper]

    def fresh(self, now: float) -> list[Candidate]:
        """Returns the candidates heard of lately, in a fixed order."""
        return sorted(
            (
                item
                for item in self.candidate_by_id.values()
                if now - item.heard_at <= CANDIDATE_TTL_S
            ),
            key=lambda item: item.address.keeper,
        )

    def founder(self, now: float, wanted: int) -> str:
        """Names the keeper that is to found the quorum, or nobody.

        Only the process at the first seed asks this. Nobody is named once any
        keeper has announced that it holds a log.
        """
        if self._founder:
            return self._founder
        known = self.fresh(now)
        if not known or any(not item.is_blank for item in known):
            return ""
        able = [item for item in known if item.may_found]
        if not able:
            return ""
        waited = now - min(item.first_heard_at for item in known)
        if waited < FOUNDING_DELAY_S:
            return ""
        if len(able) < wanted and waited < FOUNDING_PATIENCE_S:
            return ""
        first = min(
            able, key=lambda item: (item.address.host, item.address.port)
        )
        self._founder = first.address.keeper
        return self._founder


def _without(
    members: Iterable[commands.KeeperAddress], keeper: str
) -> tuple[commands.KeeperAddress, ...]:
    return tuple(item for item in members if item.keeper != keeper)


def next_membership(
    now: float,
    replica: consensus.Replica,
    candidates: list[Candidate],
    wanted_voters: int,
) -> messages.Membership | None:
    """Returns the next membership, one keeper away from the present, or None.

    Args:
        now: Monotonic time.
        replica: The leader's replica.
        candidates: Keepers heard of lately, members or not.
        wanted_voters: How many are to vote.
    """
    current = replica.membership
    place_by_keeper = {
        item.keeper: (item.host, item.port) for item in current.all_keepers()
    }
    for candidate in candidates:
        if candidate.address.keeper in place_by_keeper:
            continue
        place = (candidate.address.host, candidate.address.port)
        for keeper, known in place_by_keeper.items():
            if known == place and keeper != replica.keeper:
                return _removed(current, keeper)
        return messages.Membership(
            current.voters, (*current.learners, candidate.address)
        )
    return _next_voter(now, replica, candidates, wanted_voters)


def _removed(current: messages.Membership, keeper: str) -> messages.Membership:
    return messages.Membership(
        _without(current.voters, keeper), _without(current.learners, keeper)
    )


def _next_voter(
    now: float,
    replica: consensus.Replica,
    candidates: list[Candidate],
    wanted_voters: int,
) -> messages.Membership | None:
    current = replica.membership
    ready = [
        item
        for item in current.learners
        if replica.is_caught_up(item.keeper)
        and replica.peer_status(now, item.keeper).seconds_since_ack < 1.0
    ]
    silent = [
        item
        for item in current.voters
        if item.keeper != replica.keeper
        and replica.peer_status(now, item.keeper).seconds_since_ack
        > REPLACE_AFTER_S
    ]
    zone_by_id = {item.address.keeper: item.zone for item in candidates}
    if len(current.voters) < wanted_voters and ready:
        chosen = ready[0]
        used = [zone_by_id.get(item.keeper, "") for item in current.voters]
        for item in ready:
            if zone_by_id.get(item.keeper, "") not in used:
                chosen = item
                break
        return messages.Membership(
            (*current.voters, chosen),
            _without(current.learners, chosen.keeper),
        )
    if silent and ready:
        return _removed(current, silent[0].keeper)
    stale = [
        item
        for item in current.learners
        if replica.peer_status(now, item.keeper).seconds_since_ack
        > 4 * REPLACE_AFTER_S
    ]
    if stale:
        return _removed(current, stale[0].keeper)
    return None
