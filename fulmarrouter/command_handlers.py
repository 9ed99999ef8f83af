"""Registry of the functions that apply commands to the replicated state."""

from collections.abc import Callable
from typing import Any
from typing import TypeVar

from fulmarrouter import commands
from fulmarrouter import state as state_lib

# Applies a command: takes the state, the log index and the command.
Handler = Callable[[state_lib.State, int, Any], commands.Result]
HANDLER_BY_COMMAND: dict[type[commands.Command], Handler] = {}

_HandlerT = TypeVar("_HandlerT", bound=Handler)


def handles(
    command_type: type[commands.Command],
) -> Callable[[_HandlerT], _HandlerT]:
    """Registers the decorated function as the handler of a command type."""

    def register(handler: _HandlerT) -> _HandlerT:
        assert command_type not in HANDLER_BY_COMMAND, command_type
        HANDLER_BY_COMMAND[command_type] = handler
        return handler

    return register
