"""Registry of the functions that apply a command to the replicated state."""

from collections.abc import Callable
from typing import Any
from typing import TypeVar

from fulmarrouter import commands
from fulmarrouter import state as state_lib

Handler = Callable[[state_lib.State, int, Any], commands.Result]
HANDLER_BY_COMMAND: dict[type[commands.Command], Handler] = {}

_H = TypeVar("_H", bound=Handler)


def handles(command_type: type[commands.Command]) -> Callable[[_H], _H]:
    """Registers the decorated function for one command type."""

    def register(handler: _H) -> _H:
        assert command_type not in HANDLER_BY_COMMAND, command_type
        HANDLER_BY_COMMAND[command_type] = handler
        return handler

    return register
