"""Log lines on the results of callers' and operators' commands."""

from fulmarrouter.cluster import decision_log
from fulmarrouter.cluster import log_commands
from fulmarrouter.cluster import state as state_lib


def log_result(
    decisions: decision_log.DecisionBuffer,
    state: state_lib.State,
    index: int,
    command: log_commands.AnyCommand,
    result: state_lib.Result,
) -> None:
    """Logs the result of a command that a caller or an operator waits for.

    Args:
        decisions: Receives the line.
        state: The state, to which the command has been applied.
        index: Log index of the command.
        command: The command.
        result: Its result.
    """
    match command:
        case log_commands.SubmitJob():
            decisions.add(
                "job accepted",
                job=command.job,
                queue=command.queue.name,
                result=result.name,
                index=index,
                open_steps=len(state.open_steps),
            )
        case log_commands.CancelJob():
            decisions.add("job cancelled", job=command.job, result=result.name)
        case log_commands.ReplaceConfiguration():
            decisions.add(
                "configuration decided",
                version=command.configuration.version,
                result=result.name,
                index=index,
            )
