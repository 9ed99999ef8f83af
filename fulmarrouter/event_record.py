"""The event record: events in log order, of which the newest are kept."""

import msgspec

from fulmarrouter import codes
from fulmarrouter import command_handlers
from fulmarrouter import commands
from fulmarrouter import state as state_lib

# The newest events that are always kept. Once DROP_BATCH more have been added,
# that many of the oldest are dropped.
MAX_EVENTS = 50_000
DROP_BATCH = 5_000
# A shorter time without commands before an election is not reported as a gap.
MIN_GAP_MS = 2_000


def add_event(
    state: state_lib.State,
    index: int,
    at_ms: int,
    kind: state_lib.EventKind,
    subject: str,
    detail: str = "",
    observer: str = "",
) -> None:
    """Appends an event; the oldest are dropped in batches and counted."""
    state.events.append(
        state_lib.Event(
            index, at_ms, observer or state.leader, kind, subject, detail
        )
    )
    if len(state.events) >= MAX_EVENTS + DROP_BATCH:
        del state.events[:DROP_BATCH]
        state.events_dropped += DROP_BATCH


class Gap(msgspec.Struct, frozen=True):
    """An interval before an election in which nothing could be recorded."""

    from_ms: int
    to_ms: int


class IntervalEvents(msgspec.Struct, frozen=True):
    """Events and gaps of an interval.

    Attributes:
        complete: False if events of the interval may have been dropped.
    """

    from_ms: int
    to_ms: int
    complete: bool
    events: tuple[state_lib.Event, ...]
    gaps: tuple[Gap, ...]


def events_in_interval(
    state: state_lib.State, from_ms: int, to_ms: int
) -> IntervalEvents:
    """Returns the events of an interval and the gaps that overlap it.

    The detail of a LEADER_ELECTED event is the time of the last command before
    it.
    """
    in_interval = tuple(
        event for event in state.events if from_ms <= event.at_ms <= to_ms
    )
    gaps = tuple(
        Gap(int(event.detail), event.at_ms)
        for event in state.events
        if event.kind is state_lib.EventKind.LEADER_ELECTED
        and event.at_ms - int(event.detail) >= MIN_GAP_MS
        and event.at_ms >= from_ms
        and int(event.detail) <= to_ms
    )
    oldest = state.events[0].at_ms if state.events else 0
    complete = state.events_dropped == 0 or oldest <= from_ms
    return IntervalEvents(from_ms, to_ms, complete, in_interval, gaps)


@command_handlers.handles(commands.LeaderElected)
def _leader_elected(
    state: state_lib.State, index: int, command: commands.LeaderElected
) -> commands.Result:
    """Records the new leader and the time of the last command before it."""
    state.leader = command.keeper
    last_recorded = state.last_event_ms or command.at_ms
    add_event(
        state,
        index,
        command.at_ms,
        state_lib.EventKind.LEADER_ELECTED,
        command.keeper,
        str(last_recorded),
    )
    return commands.Result(codes.Code.ACCEPTED, index=index)


@command_handlers.handles(commands.ReportCounts)
def _report_counts(
    state: state_lib.State, index: int, command: commands.ReportCounts
) -> commands.Result:
    """Adds an event with an entry's counts, observed by that entry."""
    counts = " ".join(
        f"{reason}={count}"
        for reason, count in sorted(command.by_reason.items())
    )
    add_event(
        state,
        index,
        command.at_ms,
        state_lib.EventKind.COUNTS,
        command.entry,
        f"from_ms={command.from_ms} {counts}",
        observer=command.entry,
    )
    return commands.Result(codes.Code.ACCEPTED, index=index)
