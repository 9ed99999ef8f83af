"""Announcement, removal and probation of workers."""

from fulmarrouter import codes
from fulmarrouter import command_handlers
from fulmarrouter import commands
from fulmarrouter import event_record
from fulmarrouter import jobs
from fulmarrouter import state as state_lib


@command_handlers.handles(commands.AnnounceWorker)
def _announce(
    state: state_lib.State, index: int, command: commands.AnnounceWorker
) -> commands.Result:
    """Adds a worker, or replaces its earlier incarnation.

    A restart ends the leases of the earlier incarnation but not its probation.
    """
    existing = state.worker_by_id.get(command.worker)
    kind = state_lib.EventKind.WORKER_ANNOUNCED
    if existing is not None:
        current_incarnation = existing.announcement.incarnation
        if command.incarnation < current_incarnation:
            return commands.Result(
                codes.Code.STALE_INCARNATION, str(current_incarnation)
            )
        if command.incarnation == current_incarnation:
            return commands.Result(codes.Code.ACCEPTED, index=index)
        kind = state_lib.EventKind.WORKER_RESTARTED
        for job_id in list(existing.jobs):
            jobs.end_unconfirmed_lease(
                state,
                index,
                command.at_ms,
                state.job_by_id[job_id],
                commands.EndReason.WORKER_RESTARTED,
            )
    on_probation = existing.on_probation if existing is not None else False
    state.worker_by_id[command.worker] = state_lib.Worker(
        command, on_probation=on_probation
    )
    event_record.add_event(
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
    """Removes a worker that holds no lease.

    A command about an unknown worker or another incarnation has no effect.
    """
    worker = state.worker_by_id.get(command.worker)
    if worker is None or worker.announcement.incarnation != command.incarnation:
        return commands.Result(codes.Code.ACCEPTED, index=index)
    if worker.jobs:
        return commands.Result(
            codes.Code.WRONG_PHASE, f"leases={len(worker.jobs)}"
        )
    del state.worker_by_id[command.worker]
    event_record.add_event(
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
    """Puts a worker on probation, so that it gets no lease, or releases it."""
    worker = state.worker_by_id.get(command.worker)
    if worker is None:
        return commands.Result(codes.Code.NO_SUCH_OBJECT, command.worker)
    if worker.on_probation == command.on_probation:
        return commands.Result(codes.Code.ACCEPTED, index=index)
    worker.on_probation = command.on_probation
    kind = state_lib.EventKind.WORKER_RELEASED
    if command.on_probation:
        kind = state_lib.EventKind.WORKER_PROBATION
    event_record.add_event(
        state, index, command.at_ms, kind, command.worker, command.reason
    )
    return commands.Result(codes.Code.ACCEPTED, index=index)
