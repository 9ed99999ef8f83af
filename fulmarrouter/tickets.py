"""Change tickets: numbered, whole-state, first come in the log.

Each configured object only moves to a higher ticket number, so an accepted
ticket is never undone by an older one that arrives late.
"""

import hashlib

import msgspec

from fulmarrouter import codes
from fulmarrouter import command_handlers
from fulmarrouter import commands
from fulmarrouter import record
from fulmarrouter import state as state_lib

MAX_TICKETS = 20_000


def digest_of(items: tuple[commands.TicketItem, ...]) -> str:
    """Returns a digest of a ticket's content."""
    return hashlib.sha256(msgspec.msgpack.encode(items)).hexdigest()[:32]


@command_handlers.handles(commands.SubmitTicket)
def _submit(
    state: state_lib.State, index: int, command: commands.SubmitTicket
) -> commands.Result:
    digest = digest_of(command.items)
    known = state.ticket_by_number.get(command.number)
    if known is not None:
        if known.digest == digest:
            return commands.Result(codes.Code.ACCEPTED, digest, known.version)
        return _refuse(
            state,
            index,
            command,
            codes.Code.NUMBER_TAKEN,
            f"winner={known.digest}",
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
    _forget_oldest(state)
    record.add_event(
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
    record.add_event(
        state,
        index,
        command.at_ms,
        state_lib.EventKind.TICKET_REFUSED,
        str(command.number),
        f"code={code.value} {reason} operator={command.operator}",
    )
    return commands.Result(code, reason)


def _forget_oldest(state: state_lib.State) -> None:
    """Keeps the numbers in memory bounded; forgotten ones stay refused."""
    while len(state.ticket_by_number) > MAX_TICKETS:
        lowest = min(state.ticket_by_number)
        del state.ticket_by_number[lowest]
        state.ticket_floor = max(state.ticket_floor, lowest)
