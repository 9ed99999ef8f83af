"""Run ledger: a non-idempotent request runs at most once for its key."""

from fulmarrouter import codes
from fulmarrouter import command_handlers
from fulmarrouter import commands
from fulmarrouter import record
from fulmarrouter import retention
from fulmarrouter import state as state_lib


def _known_result(run: state_lib.Run) -> commands.Result:
    """Answers a resend of a key that has a record."""
    if run.state is commands.RunState.INTENT:
        return commands.Result(codes.Code.IN_PROGRESS)
    if run.state is commands.RunState.UNKNOWN:
        return commands.Result(codes.Code.OUTCOME_UNKNOWN)
    if run.answer is None:
        return commands.Result(codes.Code.ANSWER_NOT_KEPT)
    return commands.Result(codes.Code.REPEATED, answer=run.answer)


@command_handlers.handles(commands.RecordIntent)
def _record_intent(
    state: state_lib.State, index: int, command: commands.RecordIntent
) -> commands.Result:
    if command.session not in state.session_by_id:
        return commands.Result(codes.Code.SESSION_ENDED)
    run = state.run_by_key.get(command.key)
    if run is None:
        retention.prune_oldest(
            state.run_by_key,
            command.at_ms,
            lambda old: old.at_ms,
            lambda old: old.state is not commands.RunState.INTENT,
        )
        state.run_by_key[command.key] = state_lib.Run(
            digest=command.digest,
            state=commands.RunState.INTENT,
            session=command.session,
            nonce=command.nonce,
            attempt=1,
            at_ms=command.at_ms,
        )
        return commands.Result(codes.Code.ACCEPTED, index=index)
    if run.nonce == command.nonce:
        if run.state is commands.RunState.INTENT:
            return commands.Result(codes.Code.ACCEPTED, index=index)
        return commands.Result(codes.Code.NONCE_SPENT)
    if run.digest and run.digest != command.digest:
        return commands.Result(codes.Code.KEY_REUSED, run.digest)
    if run.state is not commands.RunState.NOT_RUN:
        return _known_result(run)
    run.digest = command.digest
    run.state = commands.RunState.INTENT
    run.session = command.session
    run.nonce = command.nonce
    run.attempt += 1
    run.at_ms = command.at_ms
    return commands.Result(codes.Code.ACCEPTED, index=index)


@command_handlers.handles(commands.RecordOutcome)
def _record_outcome(
    state: state_lib.State, index: int, command: commands.RecordOutcome
) -> commands.Result:
    run = state.run_by_key.get(command.key)
    if run is None:
        # An intent that is still in flight must not be accepted later.
        if command.state is commands.RunState.NOT_RUN:
            state.run_by_key[command.key] = state_lib.Run(
                digest="",
                state=commands.RunState.NOT_RUN,
                session=0,
                nonce=command.nonce,
                attempt=0,
                at_ms=command.at_ms,
            )
        return commands.Result(codes.Code.ACCEPTED, index=index)
    if run.nonce != command.nonce:
        return commands.Result(codes.Code.NONCE_SPENT)
    is_open = run.state is commands.RunState.INTENT
    is_late_answer = (
        run.state is commands.RunState.UNKNOWN
        and command.state is commands.RunState.DONE
    )
    if not is_open and not is_late_answer:
        return commands.Result(codes.Code.ACCEPTED, index=index)
    run.state = command.state
    run.answer = command.answer
    if command.state is commands.RunState.UNKNOWN:
        record.add_event(
            state,
            index,
            command.at_ms,
            state_lib.EventKind.RUN_UNKNOWN,
            command.key,
            "no whole answer",
        )
    return commands.Result(codes.Code.ACCEPTED, index=index)


def abandon_session(
    state: state_lib.State, index: int, at_ms: int, session: int
) -> None:
    """Marks the open runs of a session that has ended as unknown."""
    for key, run in state.run_by_key.items():
        if run.session != session or run.state is not commands.RunState.INTENT:
            continue
        run.state = commands.RunState.UNKNOWN
        record.add_event(
            state,
            index,
            at_ms,
            state_lib.EventKind.RUN_UNKNOWN,
            key,
            f"session {session} ended",
        )
