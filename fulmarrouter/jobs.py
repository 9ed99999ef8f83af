"""Jobs and the leases under which workers run them.

A job is leased to at most one worker at a time: a lease is granted only to a
queued job, and a job returns to the queue only when its lease has provably
ended. Each grant raises the job's epoch, which fences earlier runs.
"""

from fulmarrouter import codes
from fulmarrouter import command_handlers
from fulmarrouter import commands
from fulmarrouter import record
from fulmarrouter import retention
from fulmarrouter import state as state_lib

QUARANTINE_WORKERS = 3
QUARANTINE_ATTEMPTS = 6


def quota_of(state: state_lib.State, team: str) -> commands.Resources | None:
    """Returns a team's quota, or None where it has none."""
    known = state.config_by_name.get(f"team_quota/{team}")
    if known is None or not isinstance(known.item, commands.TeamQuota):
        return None
    return known.item.limit


def is_draining(state: state_lib.State, name: str) -> bool:
    """Tells whether a ticket keeps new work from a worker or endpoint."""
    known = state.config_by_name.get(f"drain_state/{name}")
    if known is None or not isinstance(known.item, commands.DrainState):
        return False
    return known.item.draining


def free_capacity(worker: state_lib.Worker) -> commands.Resources:
    """Returns what of a worker is committed to no lease."""
    return worker.announcement.capacity.minus(worker.committed)


def _enqueue(state: state_lib.State, job: state_lib.Job) -> None:
    by_team = state.queue_by_priority.setdefault(job.spec.priority.value, {})
    by_team.setdefault(job.spec.team, {})[job.spec.job] = None


def _dequeue(state: state_lib.State, job: state_lib.Job) -> None:
    by_team = state.queue_by_priority[job.spec.priority.value]
    queued = by_team[job.spec.team]
    del queued[job.spec.job]
    if not queued:
        del by_team[job.spec.team]


@command_handlers.handles(commands.SubmitJob)
def _submit(
    state: state_lib.State, index: int, command: commands.SubmitJob
) -> commands.Result:
    spec = command.spec
    known = state.job_by_id.get(spec.job)
    if known is not None:
        if known.spec != spec:
            return commands.Result(codes.Code.KEY_REUSED, spec.job)
        return commands.Result(codes.Code.ACCEPTED, known.phase.value, index)
    quota = quota_of(state, spec.team)
    if quota is not None and not spec.needs.fits_in(quota):
        return commands.Result(
            codes.Code.NEVER_FITS, f"needs more than the quota of {spec.team}"
        )
    workers = state.worker_by_id.values()
    if state.worker_by_id and not any(
        spec.needs.fits_in(worker.announcement.capacity) for worker in workers
    ):
        return commands.Result(
            codes.Code.NEVER_FITS, "needs more than any announced worker holds"
        )
    retention.prune_oldest(
        state.job_by_id,
        command.at_ms,
        lambda old: old.submitted_ms,
        lambda old: old.phase.is_final,
    )
    job = state_lib.Job(spec, command.at_ms)
    state.job_by_id[spec.job] = job
    _enqueue(state, job)
    record.add_event(
        state,
        index,
        command.at_ms,
        state_lib.EventKind.JOB_SUBMITTED,
        spec.job,
        f"team={spec.team}",
    )
    return commands.Result(codes.Code.ACCEPTED, "queued", index)


@command_handlers.handles(commands.CancelJobs)
def _cancel(
    state: state_lib.State, index: int, command: commands.CancelJobs
) -> commands.Result:
    missing = 0
    for job_id in command.jobs:
        job = state.job_by_id.get(job_id)
        if job is None:
            missing += 1
            continue
        if job.phase is state_lib.JobPhase.QUEUED:
            _end(
                state,
                index,
                command.at_ms,
                job_id,
                job,
                state_lib.JobPhase.CANCELLED,
            )
        elif job.phase.holds_lease:
            _ask_to_stop(
                state, index, command.at_ms, job, commands.StopReason.CANCEL
            )
    if missing == len(command.jobs):
        return commands.Result(codes.Code.NO_SUCH_OBJECT)
    return commands.Result(codes.Code.ACCEPTED, f"missing={missing}", index)


@command_handlers.handles(commands.GrantLease)
def _grant(
    state: state_lib.State, index: int, command: commands.GrantLease
) -> commands.Result:
    job = state.job_by_id.get(command.job)
    worker = state.worker_by_id.get(command.worker)
    if job is None or worker is None:
        return commands.Result(codes.Code.NO_SUCH_OBJECT)
    if worker.announcement.incarnation != command.incarnation:
        return commands.Result(codes.Code.STALE_INCARNATION)
    if job.phase is not state_lib.JobPhase.QUEUED:
        return commands.Result(codes.Code.WRONG_PHASE, job.phase.value)
    if command.epoch != job.epoch + 1:
        return commands.Result(codes.Code.STALE_EPOCH, str(job.epoch))
    if worker.on_probation or is_draining(state, command.worker):
        return commands.Result(codes.Code.DRAINING, command.worker)
    if not job.spec.needs.fits_in(free_capacity(worker)):
        return commands.Result(codes.Code.OVER_CAPACITY, command.worker)
    team = job.spec.team
    held = state.held_by_team.get(team, commands.Resources()).plus(
        job.spec.needs
    )
    quota = quota_of(state, team)
    if quota is not None and not held.fits_in(quota):
        return commands.Result(codes.Code.OVER_QUOTA, team)
    _dequeue(state, job)
    state.held_by_team[team] = held
    worker.committed = worker.committed.plus(job.spec.needs)
    worker.jobs[command.job] = command.epoch
    job.phase = state_lib.JobPhase.LEASED
    job.epoch = command.epoch
    job.worker = command.worker
    job.started = False
    job.stop_reason = None
    kind = state_lib.EventKind.JOB_GRANTED
    if job.checkpoint:
        kind = state_lib.EventKind.JOB_RESUMED
    record.add_event(
        state,
        index,
        command.at_ms,
        kind,
        command.job,
        f"worker={command.worker} epoch={command.epoch} checkpoint={job.checkpoint}",
    )
    return commands.Result(codes.Code.ACCEPTED, index=index)


def can_evict(job: state_lib.Job) -> bool:
    """Tells whether a running job may be stopped and run again elsewhere."""
    return job.spec.idempotent or job.spec.checkpoints


@command_handlers.handles(commands.RequestStop)
def _request_stop(
    state: state_lib.State, index: int, command: commands.RequestStop
) -> commands.Result:
    job = state.job_by_id.get(command.job)
    if job is None:
        return commands.Result(codes.Code.NO_SUCH_OBJECT)
    if job.epoch != command.epoch:
        return commands.Result(codes.Code.STALE_EPOCH, str(job.epoch))
    if not job.phase.holds_lease:
        return commands.Result(codes.Code.WRONG_PHASE, job.phase.value)
    if command.reason is not commands.StopReason.CANCEL and not can_evict(job):
        return commands.Result(codes.Code.NOT_EVICTABLE)
    _ask_to_stop(state, index, command.at_ms, job, command.reason)
    return commands.Result(codes.Code.ACCEPTED, index=index)


def _ask_to_stop(
    state: state_lib.State,
    index: int,
    at_ms: int,
    job: state_lib.Job,
    reason: commands.StopReason,
) -> None:
    is_upgrade = reason is commands.StopReason.CANCEL
    if job.phase is state_lib.JobPhase.STOPPING and (
        not is_upgrade or job.stop_reason is reason
    ):
        return
    job.phase = state_lib.JobPhase.STOPPING
    job.stop_reason = reason
    record.add_event(
        state,
        index,
        at_ms,
        state_lib.EventKind.JOB_STOP_REQUESTED,
        job.spec.job,
        f"reason={reason.value} epoch={job.epoch}",
    )


@command_handlers.handles(commands.ReportTask)
def _report(
    state: state_lib.State, index: int, command: commands.ReportTask
) -> commands.Result:
    job = state.job_by_id.get(command.job)
    if job is None:
        return commands.Result(codes.Code.NO_SUCH_OBJECT)
    is_current = job.phase.holds_lease and job.worker == command.worker
    if job.epoch != command.epoch or not is_current:
        return commands.Result(codes.Code.STALE_EPOCH, str(job.epoch))
    job.checkpoint = max(job.checkpoint, command.checkpoint)
    match command.event:
        case commands.TaskEvent.STARTED:
            if not job.started:
                job.started = True
                _note(state, index, command, state_lib.EventKind.JOB_STARTED)
        case commands.TaskEvent.CHECKPOINTED:
            pass
        case commands.TaskEvent.SUCCEEDED:
            job.exit_code = command.exit_code
            _end(
                state,
                index,
                command.at_ms,
                command.job,
                job,
                state_lib.JobPhase.DONE,
            )
        case commands.TaskEvent.STOPPED:
            _on_stopped(state, index, command, job)
        case commands.TaskEvent.NOT_STARTED if job.stop_reason is not None:
            _on_stopped(state, index, command, job)
        case commands.TaskEvent.FAILED | commands.TaskEvent.NOT_STARTED:
            _on_failed(state, index, command, job)
    return commands.Result(codes.Code.ACCEPTED, index=index)


def _note(
    state: state_lib.State,
    index: int,
    command: commands.ReportTask,
    kind: state_lib.EventKind,
) -> None:
    record.add_event(
        state,
        index,
        command.at_ms,
        kind,
        command.job,
        f"worker={command.worker} epoch={command.epoch}"
        f" checkpoint={command.checkpoint} exit_code={command.exit_code}",
    )


def _on_stopped(
    state: state_lib.State,
    index: int,
    command: commands.ReportTask,
    job: state_lib.Job,
) -> None:
    _note(state, index, command, state_lib.EventKind.JOB_STOPPED)
    if job.stop_reason is commands.StopReason.CANCEL:
        phase = state_lib.JobPhase.CANCELLED
        _end(state, index, command.at_ms, command.job, job, phase)
        return
    job.evictions += 1
    can_resume = (
        job.spec.idempotent or command.checkpoint > 0 or not job.started
    )
    if not can_resume:
        phase = state_lib.JobPhase.UNKNOWN
        _end(state, index, command.at_ms, command.job, job, phase)
        return
    _requeue(state, index, command.at_ms, job)


def _on_failed(
    state: state_lib.State,
    index: int,
    command: commands.ReportTask,
    job: state_lib.Job,
) -> None:
    job.exit_code = command.exit_code
    job.failed_on = (*job.failed_on, command.worker)
    if job.stop_reason is commands.StopReason.CANCEL:
        phase = state_lib.JobPhase.CANCELLED
        _end(state, index, command.at_ms, command.job, job, phase)
        return
    never_ran = (
        command.event is commands.TaskEvent.NOT_STARTED and not job.started
    )
    if not never_ran and not job.spec.idempotent:
        phase = state_lib.JobPhase.FAILED
        _end(state, index, command.at_ms, command.job, job, phase)
        return
    if _is_job_at_fault(state, job):
        phase = state_lib.JobPhase.QUARANTINED
        _end(state, index, command.at_ms, command.job, job, phase)
        return
    _requeue(state, index, command.at_ms, job)


def _is_job_at_fault(state: state_lib.State, job: state_lib.Job) -> bool:
    """Tells a bad job from a bad worker by where it has failed."""
    healthy = [
        worker
        for worker in job.failed_on
        if worker in state.worker_by_id
        and not state.worker_by_id[worker].on_probation
    ]
    if len(set(healthy)) >= QUARANTINE_WORKERS:
        return True
    return len(healthy) >= QUARANTINE_ATTEMPTS


@command_handlers.handles(commands.EndLease)
def _end_lease(
    state: state_lib.State, index: int, command: commands.EndLease
) -> commands.Result:
    job = state.job_by_id.get(command.job)
    if job is None or job.epoch != command.epoch or not job.phase.holds_lease:
        return commands.Result(codes.Code.STALE_EPOCH)
    lose_lease(state, index, command.at_ms, job, command.reason)
    return commands.Result(codes.Code.ACCEPTED, index=index)


def lose_lease(
    state: state_lib.State,
    index: int,
    at_ms: int,
    job: state_lib.Job,
    reason: commands.EndReason,
) -> None:
    """Ends a lease whose task's end nobody has confirmed."""
    record.add_event(
        state,
        index,
        at_ms,
        state_lib.EventKind.LEASE_ENDED,
        job.spec.job,
        f"worker={job.worker} epoch={job.epoch} reason={reason.value}",
    )
    if job.stop_reason is commands.StopReason.CANCEL:
        _end(
            state, index, at_ms, job.spec.job, job, state_lib.JobPhase.CANCELLED
        )
    elif job.spec.idempotent:
        _requeue(state, index, at_ms, job)
    else:
        _end(state, index, at_ms, job.spec.job, job, state_lib.JobPhase.UNKNOWN)


def _release(state: state_lib.State, job: state_lib.Job) -> None:
    worker = state.worker_by_id.get(job.worker)
    if worker is not None and worker.jobs.pop(job.spec.job, None) is not None:
        worker.committed = worker.committed.minus(job.spec.needs)
    team = job.spec.team
    state.held_by_team[team] = state.held_by_team[team].minus(job.spec.needs)


def _requeue(
    state: state_lib.State, index: int, at_ms: int, job: state_lib.Job
) -> None:
    _release(state, job)
    job.phase = state_lib.JobPhase.QUEUED
    job.worker = ""
    job.stop_reason = None
    _enqueue(state, job)
    record.add_event(
        state,
        index,
        at_ms,
        state_lib.EventKind.JOB_REQUEUED,
        job.spec.job,
        f"checkpoint={job.checkpoint}",
    )


def _end(
    state: state_lib.State,
    index: int,
    at_ms: int,
    job_id: str,
    job: state_lib.Job,
    phase: state_lib.JobPhase,
) -> None:
    if job.phase.holds_lease:
        _release(state, job)
    else:
        _dequeue(state, job)
    job.phase = phase
    record.add_event(
        state,
        index,
        at_ms,
        state_lib.EventKind.JOB_ENDED,
        job_id,
        f"phase={phase.value} epoch={job.epoch} exit_code={job.exit_code}",
    )
