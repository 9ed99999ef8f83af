"""Decides which keepers are voters, without an operator.

The wanted number of voters is odd: two for each tolerated loss, plus one.
Other keepers with a disk are learners. A keeper's identity is stored on its
disk. A keeper that lost its disk returns under a new identity, so that it
can't vote twice, and replaces the old identity at the same address.
"""

from collections.abc import Iterable
import dataclasses

from fulmarrouter import commands
from fulmarrouter import consensus
from fulmarrouter import messages

# A voter that is silent for longer is replaced if a learner is caught up.
# Longer than an election, so that a busy keeper isn't replaced.
SILENT_VOTER_TIMEOUT_S = 2.5
# A keeper stops being a candidate if it has not announced itself for this long.
CANDIDATE_TTL_S = 2.0
# A learner that is to vote, and a quorum of the voters that remain after one is
# removed, must have answered the leader within this time. A member that has is not
# replaced by another one at its address.
MAX_ANSWER_AGE_S = 1.0
# How long to wait for the wanted number of keepers before a founder is chosen
# among fewer.
FOUNDING_TIMEOUT_S = 6.0
# How long announcements are collected before a founder is chosen.
FOUNDING_DELAY_S = 0.7


@dataclasses.dataclass(frozen=True)
class Candidate:
    """A keeper that has announced itself.

    Attributes:
        is_blank: Whether it has neither log nor membership.
        may_found_quorum: Whether this is the first start of the deployment.
        heard_at: Monotonic time of the latest announcement.
        first_heard_at: Monotonic time of the first announcement.
    """

    address: commands.KeeperAddress
    zone: str
    is_blank: bool
    may_found_quorum: bool
    heard_at: float
    first_heard_at: float


class Announcements:
    """Keepers that have announced themselves to this process."""

    def __init__(self) -> None:
        self.candidate_by_id: dict[str, Candidate] = {}
        self._founder: str = ""

    def record(
        self,
        now: float,
        address: commands.KeeperAddress,
        zone: str,
        is_blank: bool,
        may_found_quorum: bool,
    ) -> None:
        """Records an announcement; drops other identities at its address."""
        previous = self.candidate_by_id.get(address.keeper)
        first_heard = previous.first_heard_at if previous else now
        self.candidate_by_id[address.keeper] = Candidate(
            address, zone, is_blank, may_found_quorum, now, first_heard
        )
        for keeper, other in list(self.candidate_by_id.items()):
            has_same_host_port = (other.address.host, other.address.port) == (
                address.host,
                address.port,
            )
            if has_same_host_port and keeper != address.keeper:
                del self.candidate_by_id[keeper]

    def live_candidates(self, now: float) -> list[Candidate]:
        """Returns the recently announced candidates, sorted by identity."""
        return sorted(
            (
                item
                for item in self.candidate_by_id.values()
                if now - item.heard_at <= CANDIDATE_TTL_S
            ),
            key=lambda item: item.address.keeper,
        )

    def choose_founder(self, now: float, wanted_voters: int) -> str:
        """Returns the keeper that must found the quorum, or an empty string.

        Only called by the process at the first seed address. None is chosen
        if a candidate has announced that it holds a log. Once made, the choice
        is kept.
        """
        if self._founder:
            return self._founder
        live = self.live_candidates(now)
        if not live or any(not item.is_blank for item in live):
            return ""
        eligible = [item for item in live if item.may_found_quorum]
        if not eligible:
            return ""
        waited = now - min(item.first_heard_at for item in live)
        if waited < FOUNDING_DELAY_S:
            return ""
        if len(eligible) < wanted_voters and waited < FOUNDING_TIMEOUT_S:
            return ""
        founder = min(
            eligible, key=lambda item: (item.address.host, item.address.port)
        )
        self._founder = founder.address.keeper
        return self._founder


def _without_keeper(
    members: Iterable[commands.KeeperAddress], keeper: str
) -> tuple[commands.KeeperAddress, ...]:
    return tuple(item for item in members if item.keeper != keeper)


def next_membership(
    now: float,
    replica: consensus.Replica,
    candidates: list[Candidate],
    wanted_voters: int,
) -> messages.Membership | None:
    """Returns a membership that differs by one keeper, or None if none is due.

    A new candidate is added as a learner. If it has the address of a member
    other than the leader, that member is removed first, unless it still answers:
    then the announcement is a late one of an identity that has been replaced.

    Args:
        now: Monotonic time.
        replica: The leader's replica.
        candidates: Recently announced keepers, members or not.
        wanted_voters: Wanted number of voters.
    """
    current = replica.membership
    members = {item.keeper for item in current.all_keepers()}
    for candidate in candidates:
        if candidate.address.keeper in members:
            continue
        host_port = (candidate.address.host, candidate.address.port)
        replaced = [
            item
            for item in current.all_keepers()
            if (item.host, item.port) == host_port
            and item.keeper != replica.keeper
        ]
        if not replaced:
            return messages.Membership(
                current.voters, (*current.learners, candidate.address)
            )
        if not _has_just_answered(now, replica, replaced[0]):
            return _remove_keeper(current, replaced[0].keeper)
    return _next_voter_change(now, replica, candidates, wanted_voters)


def _remove_keeper(
    current: messages.Membership, keeper: str
) -> messages.Membership:
    return messages.Membership(
        _without_keeper(current.voters, keeper),
        _without_keeper(current.learners, keeper),
    )


def _next_voter_change(
    now: float,
    replica: consensus.Replica,
    candidates: list[Candidate],
    wanted_voters: int,
) -> messages.Membership | None:
    """Promotes a learner, or removes a voter or a silent learner, or neither.

    A silent voter is replaced in two changes: a learner is promoted, then the
    silent voter is removed. Until the first is committed, the voters are as
    many as wanted, so the disks that may be lost are as many as before. In the
    other order, the quorum could include a voter whose disk has just been lost
    while the silent one, which still has its log, no longer counts.
    """
    current = replica.membership
    silent_voters = [
        item
        for item in current.voters
        if _silence_s(now, replica, item) > SILENT_VOTER_TIMEOUT_S
    ]
    if len(current.voters) > wanted_voters:
        return _without_surplus_voter(now, replica, silent_voters)
    promotable = [
        item
        for item in current.learners
        if replica.is_caught_up(item.keeper)
        and _has_just_answered(now, replica, item)
    ]
    if promotable and (silent_voters or len(current.voters) < wanted_voters):
        chosen = _choose_voter(current, promotable, candidates)
        return messages.Membership(
            (*current.voters, chosen),
            _without_keeper(current.learners, chosen.keeper),
        )
    silent_learners = [
        item
        for item in current.learners
        if _silence_s(now, replica, item) > 4 * SILENT_VOTER_TIMEOUT_S
    ]
    if silent_learners:
        return _remove_keeper(current, silent_learners[0].keeper)
    return None


def _silence_s(
    now: float, replica: consensus.Replica, member: commands.KeeperAddress
) -> float:
    """Returns the time since a member's last answer, 0 for the leader itself."""
    return replica.peer_status(now, member.keeper).seconds_since_ack


def _has_just_answered(
    now: float, replica: consensus.Replica, member: commands.KeeperAddress
) -> bool:
    return _silence_s(now, replica, member) < MAX_ANSWER_AGE_S


def _choose_voter(
    current: messages.Membership,
    promotable: list[commands.KeeperAddress],
    candidates: list[Candidate],
) -> commands.KeeperAddress:
    """Returns the learner to promote; one in a zone without voters if any."""
    zone_by_id = {item.address.keeper: item.zone for item in candidates}
    voter_zones = [zone_by_id.get(item.keeper, "") for item in current.voters]
    for item in promotable:
        if zone_by_id.get(item.keeper, "") not in voter_zones:
            return item
    return promotable[0]


def _without_surplus_voter(
    now: float,
    replica: consensus.Replica,
    silent_voters: list[commands.KeeperAddress],
) -> messages.Membership | None:
    """Removes a silent voter, or makes the newest other one a learner.

    Returns None while too few of the voters that would remain answer.
    """
    current = replica.membership
    if silent_voters:
        surplus = silent_voters[0]
        changed = _remove_keeper(current, surplus.keeper)
    else:
        surplus = [
            item for item in current.voters if item.keeper != replica.keeper
        ][-1]
        changed = messages.Membership(
            _without_keeper(current.voters, surplus.keeper),
            (*current.learners, surplus),
        )
    answering = [
        item
        for item in changed.voters
        if _has_just_answered(now, replica, item)
    ]
    return changed if len(answering) >= changed.quorum else None
