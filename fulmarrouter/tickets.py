"""Change tickets: numbered changes to the configuration.

A ticket replaces the whole state of each object that it names. Of several
tickets with one number, the first in the log is accepted. Each object only
moves to a higher ticket number, so an accepted ticket is never undone by an
older one that arrives late.
"""

import hashlib

import msgspec

from fulmarrouter import codes
from fulmarrouter import command_handlers
from fulmarrouter import commands
from fulmarrouter import event_record
from fulmarrouter import state as state_lib

# Accepted tickets that are kept. Repeats of these are recognized; lower numbers
# are refused.
MAX_TICKETS = 20_000


def digest_of(items: tuple[commands.TicketItem, ...]) -> str:
    """Returns a digest of a ticket's content."""
    return hashlib.sha256(msgspec.msgpack.encode(items)).hexdigest()[:32]


@command_handlers.handles(commands.SubmitTicket)
def _submit(
    state: state_lib.State, index: int, command: commands.SubmitTicket
) -> commands.Result:
    """Sets all objects that a ticket names, or refuses the ticket as a whole.

    A repeat of an accepted ticket gets the same result again.
    """
    digest = digest_of(command.items)
    existing = state.ticket_by_number.get(command.number)
    if existing is not None:
        if existing.digest == digest:
            return commands.Result(
                codes.Code.ACCEPTED, digest, existing.version
            )
        return _refuse(
            state,
            index,
            command,
            codes.Code.NUMBER_TAKEN,
            f"winner={existing.digest}",
        )
    if command.number <= state.ticket_floor:
        return _refuse(
            state,
            index,
            command,
            codes.Code.NUMBER_TOO_OLD,
            f"floor={state.ticket_floor}",
        )
    names = tuple(state_lib.config_name(item) for item in command.items)
    if len(set(names)) != len(names):
        return _refuse(
            state,
            index,
            command,
            codes.Code.INVALID,
            "an object is named twice",
        )
    for name in names:
        current = state.config_by_name.get(name)
        if current is not None and current.number > command.number:
            return _refuse(
                state,
                index,
                command,
                codes.Code.NUMBER_SUPERSEDED,
                f"{name} is set by ticket {current.number}",
            )
    for name, item in zip(names, command.items, strict=True):
        state.config_by_name[name] = state_lib.ConfigObject(
            command.number, item
        )
    state.config_version = index
    state.view_version = index
    state.ticket_by_number[command.number] = state_lib.Ticket(
        command.number, digest, command.operator, command.at_ms, index, names
    )
    _drop_lowest_numbers(state)
    event_record.add_event(
        state,
        index,
        command.at_ms,
        state_lib.EventKind.TICKET_ACCEPTED,
        str(command.number),
        f"digest={digest} operator={command.operator} objects={','.join(names)}",
    )
    return commands.Result(codes.Code.ACCEPTED, digest, index)


def _refuse(
    state: state_lib.State,
    index: int,
    command: commands.SubmitTicket,
    code: codes.Code,
    reason: str,
) -> commands.Result:
    """Adds an event for a refused ticket and returns the result."""
    event_record.add_event(
        state,
        index,
        command.at_ms,
        state_lib.EventKind.TICKET_REFUSED,
        str(command.number),
        f"code={code.value} {reason} operator={command.operator}",
    )
    return commands.Result(code, reason)


def _drop_lowest_numbers(state: state_lib.State) -> None:
    """Bounds the tickets kept; numbers up to a dropped one are refused."""
    while len(state.ticket_by_number) > MAX_TICKETS:
        lowest = min(state.ticket_by_number)
        del state.ticket_by_number[lowest]
        state.ticket_floor = max(state.ticket_floor, lowest)
