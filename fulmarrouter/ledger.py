"""Run ledger: runs a non-idempotent request at most once for its key.

An entry records its intent before it sends an attempt to an endpoint, and the
outcome afterwards. The nonce names the attempt.
"""

from fulmarrouter import codes
from fulmarrouter import command_handlers
from fulmarrouter import commands
from fulmarrouter import event_record
from fulmarrouter import retention
from fulmarrouter import state as state_lib


def find_result(
    state: state_lib.State, key: str, digest: str
) -> commands.Result | None:
    """Returns the result for a request by its key, None if it has not run."""
    run = state.run_by_key.get(key)
    return None if run is None else _result_for_repeat(run, digest)


def _result_for_repeat(
    run: state_lib.Run, digest: str
) -> commands.Result | None:
    """Returns the result for a repeat of a run, None if it provably did not run."""
    if run.digest and run.digest != digest:
        return commands.Result(codes.Code.KEY_REUSED, run.digest)
    if run.state is commands.RunState.NOT_RUN:
        return None
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
    """Accepts an attempt if its key has not run.

    A repeat of an accepted intent is accepted until its outcome is recorded.
    Another attempt is accepted only if the request is the same and the earlier
    attempt provably did not run.
    """
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
    result = _result_for_repeat(run, command.digest)
    if result is not None:
        return result
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
    """Records how an attempt has ended.

    A recorded outcome is final, except that a late answer replaces UNKNOWN.
    """
    run = state.run_by_key.get(command.key)
    if run is None:
        # The attempt's intent may still arrive. It must be refused then, so its
        # nonce is recorded as spent.
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
        event_record.add_event(
            state,
            index,
            command.at_ms,
            state_lib.EventKind.RUN_UNKNOWN,
            command.key,
            "no whole answer",
        )
    return commands.Result(codes.Code.ACCEPTED, index=index)


def mark_runs_unknown(
    state: state_lib.State, index: int, at_ms: int, session: int
) -> None:
    """Marks the runs of an ended session that have no outcome as unknown."""
    for key, run in state.run_by_key.items():
        if run.session != session or run.state is not commands.RunState.INTENT:
            continue
        run.state = commands.RunState.UNKNOWN
        event_record.add_event(
            state,
            index,
            at_ms,
            state_lib.EventKind.RUN_UNKNOWN,
            key,
            f"session {session} ended",
        )
