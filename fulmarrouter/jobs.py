"""Jobs and the leases under which workers run them.

A job is leased to at most one worker at a time: a lease is granted only to a
queued job, and a job returns to the queue only when its lease has provably
ended. Each grant raises the job's epoch, and reports on earlier epochs are
refused.
"""

from fulmarrouter import codes
from fulmarrouter import command_handlers
from fulmarrouter import commands
from fulmarrouter import event_record
from fulmarrouter import retention
from fulmarrouter import state as state_lib

# A job that would be queued again after a failure is quarantined instead if it
# has failed on this many distinct healthy workers, or this many times on any
# healthy workers.
QUARANTINE_DISTINCT_WORKERS = 3
QUARANTINE_FAILURES = 6


def quota_of(state: state_lib.State, team: str) -> commands.Resources | None:
    """Returns a team's quota, or None where it has none."""
    config_object = state.config_by_name.get(f"team_quota/{team}")
    if config_object is None or not isinstance(
        config_object.item, commands.TeamQuota
    ):
        return None
    return config_object.item.limit


def is_draining(state: state_lib.State, name: str) -> bool:
    """Returns whether a ticket has set a worker or endpoint to draining."""
    config_object = state.config_by_name.get(f"drain_state/{name}")
    if config_object is None or not isinstance(
        config_object.item, commands.DrainState
    ):
        return False
    return config_object.item.draining


def free_capacity(worker: state_lib.Worker) -> commands.Resources:
    """Returns the capacity of a worker that isn't committed to leases."""
    return worker.announcement.capacity.minus(worker.committed)


def _enqueue(state: state_lib.State, job: state_lib.Job) -> None:
    """Adds a job to the end of the queue of its priority and team."""
    by_team = state.queue_by_priority.setdefault(job.spec.priority.value, {})
    by_team.setdefault(job.spec.team, {})[job.spec.job] = None


def _dequeue(state: state_lib.State, job: state_lib.Job) -> None:
    """Removes a job from the queue of its priority and team."""
    by_team = state.queue_by_priority[job.spec.priority.value]
    queued = by_team[job.spec.team]
    del queued[job.spec.job]
    if not queued:
        del by_team[job.spec.team]


@command_handlers.handles(commands.SubmitJob)
def _submit(
    state: state_lib.State, index: int, command: commands.SubmitJob
) -> commands.Result:
    """Queues a job, unless no worker or its team's quota could ever hold it.

    A repeat of a submission is accepted and changes nothing; the same key with
    another spec is refused. The capacity of workers is not checked before the
    first one has announced itself.
    """
    spec = command.spec
    existing = state.job_by_id.get(spec.job)
    if existing is not None:
        if existing.spec != spec:
            return commands.Result(codes.Code.KEY_REUSED, spec.job)
        return commands.Result(codes.Code.ACCEPTED, existing.phase.value, index)
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
    event_record.add_event(
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
    """Cancels queued jobs at once and asks for running ones to be stopped.

    Jobs that have ended stay as they are.
    """
    missing = 0
    for job_id in command.jobs:
        job = state.job_by_id.get(job_id)
        if job is None:
            missing += 1
            continue
        if job.phase is state_lib.JobPhase.QUEUED:
            _end_job(
                state,
                index,
                command.at_ms,
                job_id,
                job,
                state_lib.JobPhase.CANCELLED,
            )
        elif job.phase.holds_lease:
            _mark_stopping(
                state, index, command.at_ms, job, commands.StopReason.CANCEL
            )
    if missing == len(command.jobs):
        return commands.Result(codes.Code.NO_SUCH_OBJECT)
    return commands.Result(codes.Code.ACCEPTED, f"missing={missing}", index)


@command_handlers.handles(commands.GrantLease)
def _grant(
    state: state_lib.State, index: int, command: commands.GrantLease
) -> commands.Result:
    """Leases a queued job to a worker, if the state still allows it."""
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
    held_with_job = state.held_by_team.get(team, commands.Resources()).plus(
        job.spec.needs
    )
    quota = quota_of(state, team)
    if quota is not None and not held_with_job.fits_in(quota):
        return commands.Result(codes.Code.OVER_QUOTA, team)
    _dequeue(state, job)
    state.held_by_team[team] = held_with_job
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
    event_record.add_event(
        state,
        index,
        command.at_ms,
        kind,
        command.job,
        f"worker={command.worker} epoch={command.epoch} checkpoint={job.checkpoint}",
    )
    return commands.Result(codes.Code.ACCEPTED, index=index)


def can_evict(job: state_lib.Job) -> bool:
    """Returns whether a running job may be stopped and run again elsewhere."""
    return job.spec.idempotent or job.spec.checkpoints


@command_handlers.handles(commands.RequestStop)
def _request_stop(
    state: state_lib.State, index: int, command: commands.RequestStop
) -> commands.Result:
    """Asks for a running job to be stopped.

    A job that can't be run again is stopped only by a cancellation.
    """
    job = state.job_by_id.get(command.job)
    if job is None:
        return commands.Result(codes.Code.NO_SUCH_OBJECT)
    if job.epoch != command.epoch:
        return commands.Result(codes.Code.STALE_EPOCH, str(job.epoch))
    if not job.phase.holds_lease:
        return commands.Result(codes.Code.WRONG_PHASE, job.phase.value)
    if command.reason is not commands.StopReason.CANCEL and not can_evict(job):
        return commands.Result(codes.Code.NOT_EVICTABLE)
    _mark_stopping(state, index, command.at_ms, job, command.reason)
    return commands.Result(codes.Code.ACCEPTED, index=index)


def _mark_stopping(
    state: state_lib.State,
    index: int,
    at_ms: int,
    job: state_lib.Job,
    reason: commands.StopReason,
) -> None:
    """Moves a job to the phase STOPPING.

    In a job that is stopping already, only a cancellation replaces the reason:
    a cancelled job must not be queued again.
    """
    is_cancel = reason is commands.StopReason.CANCEL
    if job.phase is state_lib.JobPhase.STOPPING and (
        not is_cancel or job.stop_reason is reason
    ):
        return
    job.phase = state_lib.JobPhase.STOPPING
    job.stop_reason = reason
    event_record.add_event(
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
    """Applies a worker's report, unless it is about an earlier lease."""
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
                _add_task_event(
                    state, index, command, state_lib.EventKind.JOB_STARTED
                )
        case commands.TaskEvent.CHECKPOINTED:
            pass
        case commands.TaskEvent.SUCCEEDED:
            job.exit_code = command.exit_code
            _end_job(
                state,
                index,
                command.at_ms,
                command.job,
                job,
                state_lib.JobPhase.DONE,
            )
        case commands.TaskEvent.STOPPED:
            _on_stopped(state, index, command, job)
        # A stop was requested before the task started; that's no failure.
        case commands.TaskEvent.NOT_STARTED if job.stop_reason is not None:
            _on_stopped(state, index, command, job)
        case commands.TaskEvent.FAILED | commands.TaskEvent.NOT_STARTED:
            _on_failed(state, index, command, job)
    return commands.Result(codes.Code.ACCEPTED, index=index)


def _add_task_event(
    state: state_lib.State,
    index: int,
    command: commands.ReportTask,
    kind: state_lib.EventKind,
) -> None:
    """Adds an event that describes a worker's report."""
    event_record.add_event(
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
    """Ends a cancelled job, or queues an evicted or drained one again.

    A non-idempotent job whose task had started and reported no checkpoint to
    resume from must not run twice, so it ends as UNKNOWN.
    """
    _add_task_event(state, index, command, state_lib.EventKind.JOB_STOPPED)
    if job.stop_reason is commands.StopReason.CANCEL:
        phase = state_lib.JobPhase.CANCELLED
        _end_job(state, index, command.at_ms, command.job, job, phase)
        return
    job.evictions += 1
    can_rerun = job.spec.idempotent or command.checkpoint > 0 or not job.started
    if not can_rerun:
        phase = state_lib.JobPhase.UNKNOWN
        _end_job(state, index, command.at_ms, command.job, job, phase)
        return
    _requeue(state, index, command.at_ms, job)


def _on_failed(
    state: state_lib.State,
    index: int,
    command: commands.ReportTask,
    job: state_lib.Job,
) -> None:
    """Ends a job whose task failed or did not start, or queues it again.

    A non-idempotent job is queued again only if its task never started. A job
    that seems to cause its failures itself is quarantined.
    """
    job.exit_code = command.exit_code
    job.failed_on = (*job.failed_on, command.worker)
    if job.stop_reason is commands.StopReason.CANCEL:
        phase = state_lib.JobPhase.CANCELLED
        _end_job(state, index, command.at_ms, command.job, job, phase)
        return
    never_ran = (
        command.event is commands.TaskEvent.NOT_STARTED and not job.started
    )
    if not never_ran and not job.spec.idempotent:
        phase = state_lib.JobPhase.FAILED
        _end_job(state, index, command.at_ms, command.job, job, phase)
        return
    if _should_quarantine(state, job):
        phase = state_lib.JobPhase.QUARANTINED
        _end_job(state, index, command.at_ms, command.job, job, phase)
        return
    _requeue(state, index, command.at_ms, job)


def _should_quarantine(state: state_lib.State, job: state_lib.Job) -> bool:
    """Returns whether a job, not its workers, seems to cause its failures.

    Failures on a worker that is on probation or was removed don't count, since
    the worker may have caused them.
    """
    failures_on_healthy = [
        worker
        for worker in job.failed_on
        if worker in state.worker_by_id
        and not state.worker_by_id[worker].on_probation
    ]
    if len(set(failures_on_healthy)) >= QUARANTINE_DISTINCT_WORKERS:
        return True
    return len(failures_on_healthy) >= QUARANTINE_FAILURES


@command_handlers.handles(commands.EndLease)
def _end_lease(
    state: state_lib.State, index: int, command: commands.EndLease
) -> commands.Result:
    """Ends a lease, unless it has ended already."""
    job = state.job_by_id.get(command.job)
    if job is None or job.epoch != command.epoch or not job.phase.holds_lease:
        return commands.Result(codes.Code.STALE_EPOCH)
    end_unconfirmed_lease(state, index, command.at_ms, job, command.reason)
    return commands.Result(codes.Code.ACCEPTED, index=index)


def end_unconfirmed_lease(
    state: state_lib.State,
    index: int,
    at_ms: int,
    job: state_lib.Job,
    reason: commands.EndReason,
) -> None:
    """Ends a lease without the worker's confirmation that its task has ended.

    Unless it is being cancelled, an idempotent job is queued again. Any other
    job may have run, so it ends as UNKNOWN.
    """
    event_record.add_event(
        state,
        index,
        at_ms,
        state_lib.EventKind.LEASE_ENDED,
        job.spec.job,
        f"worker={job.worker} epoch={job.epoch} reason={reason.value}",
    )
    if job.stop_reason is commands.StopReason.CANCEL:
        _end_job(
            state, index, at_ms, job.spec.job, job, state_lib.JobPhase.CANCELLED
        )
    elif job.spec.idempotent:
        _requeue(state, index, at_ms, job)
    else:
        _end_job(
            state, index, at_ms, job.spec.job, job, state_lib.JobPhase.UNKNOWN
        )


def _release_resources(state: state_lib.State, job: state_lib.Job) -> None:
    """Frees what a job holds of its worker's capacity and its team's quota."""
    worker = state.worker_by_id.get(job.worker)
    if worker is not None and worker.jobs.pop(job.spec.job, None) is not None:
        worker.committed = worker.committed.minus(job.spec.needs)
    team = job.spec.team
    state.held_by_team[team] = state.held_by_team[team].minus(job.spec.needs)


def _requeue(
    state: state_lib.State, index: int, at_ms: int, job: state_lib.Job
) -> None:
    """Ends a job's lease and puts the job back in the queue."""
    _release_resources(state, job)
    job.phase = state_lib.JobPhase.QUEUED
    job.worker = ""
    job.stop_reason = None
    _enqueue(state, job)
    event_record.add_event(
        state,
        index,
        at_ms,
        state_lib.EventKind.JOB_REQUEUED,
        job.spec.job,
        f"checkpoint={job.checkpoint}",
    )


def _end_job(
    state: state_lib.State,
    index: int,
    at_ms: int,
    job_id: str,
    job: state_lib.Job,
    phase: state_lib.JobPhase,
) -> None:
    """Moves a job from the queue, or from its lease, to a final phase."""
    if job.phase.holds_lease:
        _release_resources(state, job)
    else:
        _dequeue(state, job)
    job.phase = phase
    event_record.add_event(
        state,
        index,
        at_ms,
        state_lib.EventKind.JOB_ENDED,
        job_id,
        f"phase={phase.value} epoch={job.epoch} exit_code={job.exit_code}",
    )
