"""Applies the commands of the log to the replicated state."""

from fulmarrouter import codes
from fulmarrouter import command_handlers
from fulmarrouter import commands
from fulmarrouter import endpoints
from fulmarrouter import event_record
from fulmarrouter import jobs
from fulmarrouter import ledger
from fulmarrouter import sessions
from fulmarrouter import state as state_lib
from fulmarrouter import tickets
from fulmarrouter import workers

# Importing these modules registers their command handlers.
HANDLER_MODULES = (
    endpoints,
    jobs,
    ledger,
    event_record,
    sessions,
    tickets,
    workers,
)


def apply(
    state: state_lib.State, index: int, command: commands.AnyCommand
) -> commands.Result:
    """Applies the command at a log index and returns its result."""
    handler = command_handlers.HANDLER_BY_COMMAND.get(type(command))
    if handler is None:
        return commands.Result(codes.Code.INVALID, type(command).__name__)
    result = handler(state, index, command)
    at_ms = getattr(command, "at_ms", 0)
    state.last_event_ms = max(state.last_event_ms, at_ms)
    return result
