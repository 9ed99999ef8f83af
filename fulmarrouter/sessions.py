"""Command handlers that open and end the sessions of entry processes."""

from fulmarrouter import codes
from fulmarrouter import command_handlers
from fulmarrouter import commands
from fulmarrouter import event_record
from fulmarrouter import ledger
from fulmarrouter import state as state_lib


@command_handlers.handles(commands.OpenSession)
def _open_session(
    state: state_lib.State, index: int, command: commands.OpenSession
) -> commands.Result:
    # A repeated command with the same nonce returns the existing session.
    for session in state.session_by_id.values():
        if session.entry == command.entry and session.nonce == command.nonce:
            return commands.Result(codes.Code.ACCEPTED, index=session.session)
    state.session_by_id[index] = state_lib.Session(
        index, command.entry, command.nonce, command.domain, command.at_ms
    )
    event_record.add_event(
        state,
        index,
        command.at_ms,
        state_lib.EventKind.SESSION_OPENED,
        command.entry,
        f"session={index}",
    )
    return commands.Result(codes.Code.ACCEPTED, index=index)


@command_handlers.handles(commands.EndSession)
def _end_session(
    state: state_lib.State, index: int, command: commands.EndSession
) -> commands.Result:
    session = state.session_by_id.pop(command.session, None)
    if session is None:
        return commands.Result(codes.Code.ACCEPTED, index=index)
    for endpoint in state.endpoint_by_id.values():
        endpoint.share_by_session.pop(command.session, None)
    ledger.mark_runs_unknown(state, index, command.at_ms, command.session)
    kind = state_lib.EventKind.SESSION_ENDED
    if command.expired:
        kind = state_lib.EventKind.SESSION_EXPIRED
    event_record.add_event(
        state,
        index,
        command.at_ms,
        kind,
        session.entry,
        f"session={session.session}",
    )
    return commands.Result(codes.Code.ACCEPTED, index=index)
