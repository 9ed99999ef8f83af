"""Workers and what is committed on them."""

from fulmarrouter import codes
from fulmarrouter import command_handlers
from fulmarrouter import commands
from fulmarrouter import jobs
from fulmarrouter import record
from fulmarrouter import state as state_lib


@command_handlers.handles(commands.AnnounceWorker)
def _announce(
    state: state_lib.State, index: int, command: commands.AnnounceWorker
) -> commands.Result:
    known = state.worker_by_id.get(command.worker)
    kind = state_lib.EventKind.WORKER_ANNOUNCED
    if known is not None:
        known_incarnation = known.announcement.incarnation
        if command.incarnation < known_incarnation:
            return commands.Result(
                codes.Code.STALE_INCARNATION, str(known_incarnation)
            )
        if command.incarnation == known_incarnation:
            return commands.Result(codes.Code.ACCEPTED, index=index)
        kind = state_lib.EventKind.WORKER_RESTARTED
        for job_id in list(known.jobs):
            jobs.lose_lease(
                state,
                index,
                command.at_ms,
                state.job_by_id[job_id],
                commands.EndReason.WORKER_RESTARTED,
            )
    on_probation = known.on_probation if known is not None else False
    state.worker_by_id[command.worker] = state_lib.Worker(
        command, on_probation=on_probation
    )
    record.add_event(
        state,
        index,
        command.at_ms,
        kind,
        command.worker,
        f"incarnation={command.incarnation}",
    )
    return commands.Result(codes.Code.ACCEPTED, index=index)


@command_handlers.handles(commands.RemoveWorker)
def _remove(
    state: state_lib.State, index: int, command: commands.RemoveWorker
) -> commands.Result:
    worker = state.worker_by_id.get(command.worker)
    if worker is None or worker.announcement.incarnation != command.incarnation:
        return commands.Result(codes.Code.ACCEPTED, index=index)
    if worker.jobs:
        return commands.Result(
            codes.Code.WRONG_PHASE, f"leases={len(worker.jobs)}"
        )
    del state.worker_by_id[command.worker]
    record.add_event(
        state,
        index,
        command.at_ms,
        state_lib.EventKind.WORKER_REMOVED,
        command.worker,
    )
    return commands.Result(codes.Code.ACCEPTED, index=index)


@command_handlers.handles(commands.SetProbation)
def _set_probation(
    state: state_lib.State, index: int, command: commands.SetProbation
) -> commands.Result:
    worker = state.worker_by_id.get(command.worker)
    if worker is None:
        return commands.Result(codes.Code.NO_SUCH_OBJECT, command.worker)
    if worker.on_probation == command.on_probation:
        return commands.Result(codes.Code.ACCEPTED, index=index)
    worker.on_probation = command.on_probation
    kind = state_lib.EventKind.WORKER_RELEASED
    if command.on_probation:
        kind = state_lib.EventKind.WORKER_PROBATION
    record.add_event(
        state, index, command.at_ms, kind, command.worker, command.reason
    )
    return commands.Result(codes.Code.ACCEPTED, index=index)
