"""Unreplicated state of the leading keeper: lease deadlines and plans.

Since none of it is replicated, a new leader starts all deadlines afresh. They
outlast every lease that an earlier leader can have renewed: that leader
confirmed its leadership with a majority between receiving a heartbeat and
answering it, so every heartbeat that it answered had arrived before the new
leader was elected.
"""

import dataclasses
import random

from fulmarrouter import commands
from fulmarrouter import interference
from fulmarrouter import jobs
from fulmarrouter import mitigation
from fulmarrouter import requests
from fulmarrouter import scheduling
from fulmarrouter import slot_allocation
from fulmarrouter import state as state_lib

# How often queued jobs are placed.
PLAN_INTERVAL_S = 0.05
# How often leases, sessions, probation and evictions are checked.
EXPIRY_INTERVAL_S = 0.2
# How often endpoint slots are divided among the entries.
SHARE_INTERVAL_S = 0.5
# How long a silent worker without jobs is kept after its lease deadline.
WORKER_REMOVAL_DELAY_S = 600.0
PROBATION_S = 300.0
# Distinct jobs that must fail or not start on a worker, with no success in
# between, before it is put on probation.
PROBATION_FAILURES = 3
# At most this fraction of the workers is put on probation at once; one worker
# always may be.
PROBATION_MAX_FRACTION = 0.25
# Older usage reports still update the estimates but don't change a worker's
# mitigation level, since the interference they show may be over.
MAX_REACTION_AGE_MS = 15_000


@dataclasses.dataclass(frozen=True)
class LeaseSettings:
    """Lease lengths and heartbeat intervals, in seconds.

    Attributes:
        max_clock_drift: How much faster one clock may run than another, as a
            fraction.
        fixed_margin: Added to each lease on the keeper's side.
        request_limit: Longest time that an entry lets a request run.
    """

    worker_lease: float = 6.0
    worker_heartbeat: float = 1.0
    entry_lease: float = 3.0
    endpoint_lease: float = 3.0
    endpoint_heartbeat: float = 0.5
    request_limit: float = 10.0
    max_clock_drift: float = 0.02
    fixed_margin: float = 0.2

    def with_margin(self, lease: float) -> float:
        """Returns how long the keeper waits to treat a lease as ended."""
        return lease * (1.0 + self.max_clock_drift) + self.fixed_margin

    @property
    def session_timeout(self) -> float:
        """How long after its last heartbeat an entry may still use a share."""
        return self.with_margin(self.entry_lease + self.request_limit)


@dataclasses.dataclass
class _EntryInfo:
    """What the leader knows of an entry's session from its last heartbeat."""

    lease_until: float
    config_version: int = 0
    draining: bool = False
    demand_by_service: dict[str, float] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass
class _WorkerInfo:
    """What the leader knows of a worker beyond the replicated state.

    Attributes:
        deadline: Until when the worker's leases may still be running.
        leaving: Its last heartbeat announced that it leaves.
        failed_jobs: Jobs that failed or did not start since its last success.
    """

    deadline: float
    leaving: bool = False
    failed_jobs: set[str] = dataclasses.field(default_factory=set)
    probation_until: float | None = None
    history: interference.ColocationHistory = dataclasses.field(
        default_factory=interference.ColocationHistory
    )


class Leader:
    """Tracks leases and plans work; a new leader starts with empty state."""

    def __init__(self, settings: LeaseSettings, rng: random.Random) -> None:
        self.settings = settings
        self.estimator = interference.Estimator()
        self.mitigator = mitigation.Mitigator()
        self.scheduler = scheduling.Scheduler(
            self.estimator, self.mitigator, rng
        )
        self._entry_by_session: dict[int, _EntryInfo] = {}
        self._worker_by_id: dict[str, _WorkerInfo] = {}
        self._endpoint_deadline: dict[str, float] = {}
        self._target_by_share: dict[tuple[int, str], int] = {}
        self._target_version = 0
        self._plan_due = 0.0
        self._expiry_due = 0.0
        self._share_due = 0.0

    def start_term(self, now: float, state: state_lib.State) -> None:
        """Resets all deadlines and plans at the beginning of a term."""
        lease_settings = self.settings
        self._entry_by_session = {
            session: _EntryInfo(now + lease_settings.entry_lease)
            for session in state.session_by_id
        }
        self._worker_by_id = {
            worker: _WorkerInfo(
                now + lease_settings.with_margin(lease_settings.worker_lease),
                probation_until=now + PROBATION_S
                if item.on_probation
                else None,
            )
            for worker, item in state.worker_by_id.items()
        }
        self._endpoint_deadline = dict.fromkeys(
            state.endpoint_by_id, now + lease_settings.endpoint_lease
        )
        self._target_by_share = {}
        self.scheduler.reset()

    # Workers.

    def is_alive(self, now: float, worker: str) -> bool:
        """Returns whether a worker's leases may still be running."""
        info = self._worker_by_id.get(worker)
        return info is not None and info.deadline > now

    def on_worker_heartbeat(
        self,
        now: float,
        wall_ms: int,
        state: state_lib.State,
        request: requests.WorkerHeartbeat,
    ) -> list[commands.AnyCommand]:
        """Processes a worker's heartbeat; returns the commands to commit."""
        known = state.worker_by_id.get(request.worker)
        proposals: list[commands.AnyCommand] = []
        if (
            known is None
            or known.announcement.incarnation < request.incarnation
        ):
            proposals.append(_announcement(request, wall_ms))
        elif known.announcement.incarnation > request.incarnation:
            return []
        deadline = now + self.settings.with_margin(self.settings.worker_lease)
        info = self._worker_by_id.setdefault(
            request.worker, _WorkerInfo(deadline)
        )
        info.deadline = max(info.deadline, deadline)
        info.leaving = request.leaving
        for report in request.reports:
            job = state.job_by_id.get(report.job)
            if job is None or not _changes_job(job, request.worker, report):
                continue
            if job.phase is state_lib.JobPhase.LEASED:
                self._update_failed_jobs(info, report)
            proposals.append(
                commands.ReportTask(
                    job=report.job,
                    epoch=report.epoch,
                    worker=request.worker,
                    event=report.event,
                    checkpoint=report.checkpoint,
                    exit_code=report.exit_code,
                    at_ms=wall_ms,
                )
            )
        self._update_estimates(now, state, request, info)
        return proposals

    def worker_orders(
        self, state: state_lib.State, request: requests.WorkerHeartbeat
    ) -> requests.WorkerOrders:
        """Returns the reply to a worker's heartbeat.

        It names the leases that the reply renews, and the tasks to start, stop,
        throttle or checkpoint.
        """
        worker = state.worker_by_id.get(request.worker)
        lease_ms = int(self.settings.worker_lease * 1000)
        heartbeat_ms = int(self.settings.worker_heartbeat * 1000)
        if (
            worker is None
            or worker.announcement.incarnation != request.incarnation
        ):
            return requests.WorkerOrders(lease_ms, heartbeat_ms)
        leases: list[requests.LeaseView] = []
        starts: list[requests.StartOrder] = []
        stops: list[requests.StopOrder] = []
        throttles: list[requests.ThrottleOrder] = []
        checkpoints: list[requests.LeaseView] = []
        level = self.mitigator.level_of(request.worker)
        for job_id, epoch in worker.jobs.items():
            job = state.job_by_id[job_id]
            leases.append(requests.LeaseView(job_id, epoch))
            if job.phase is state_lib.JobPhase.STOPPING and job.stop_reason:
                stops.append(requests.StopOrder(job_id, epoch, job.stop_reason))
                continue
            if not job.started:
                starts.append(_start_order(job))
            is_batch = job.spec.kind is commands.JobKind.BATCH
            if not is_batch or level < mitigation.Level.THROTTLED:
                continue
            throttles.append(
                requests.ThrottleOrder(
                    job_id, epoch, mitigation.THROTTLE_PERCENT
                )
            )
            if job.spec.checkpoints and job.started:
                checkpoints.append(requests.LeaseView(job_id, epoch))
        return requests.WorkerOrders(
            lease_ms,
            heartbeat_ms,
            tuple(leases),
            tuple(starts),
            tuple(stops),
            tuple(throttles),
            tuple(checkpoints),
        )

    def _update_failed_jobs(
        self, info: _WorkerInfo, report: requests.TaskReport
    ) -> None:
        """Tracks the distinct jobs that failed since the last success."""
        if report.event is commands.TaskEvent.SUCCEEDED:
            info.failed_jobs.clear()
        if report.event in (
            commands.TaskEvent.FAILED,
            commands.TaskEvent.NOT_STARTED,
        ):
            info.failed_jobs.add(report.job)

    def _update_estimates(
        self,
        now: float,
        state: state_lib.State,
        request: requests.WorkerHeartbeat,
        info: _WorkerInfo,
    ) -> None:
        """Updates the estimates and the mitigation level from usage reports."""
        worker = state.worker_by_id.get(request.worker)
        if worker is None:
            return
        info.history.record(now, _count_classes(state, worker))
        level = self.mitigator.level_of(request.worker)
        # Throttled batch tasks interfere less than they would at full speed.
        is_unthrottled = level < mitigation.Level.THROTTLED
        for usage in request.usage:
            job = state.job_by_id.get(usage.job)
            colocated = info.history.at(now - usage.age_ms / 1000.0)
            if job is None or colocated is None:
                continue
            others = dict(colocated)
            own_class = job.spec.task_class
            others[own_class] = max(0, others.get(own_class, 0) - 1)
            if usage.tail_ms > 0:
                inflation = self.estimator.observe(
                    now, own_class, usage.tail_ms, others, is_unthrottled
                )
                if usage.age_ms <= MAX_REACTION_AGE_MS:
                    self.mitigator.observe(now, request.worker, inflation)
            elif usage.work_rate > 0:
                self.estimator.observe(
                    now, own_class, 1.0 / usage.work_rate, others
                )

    # Endpoints and entries.

    def on_endpoint_heartbeat(
        self,
        now: float,
        wall_ms: int,
        state: state_lib.State,
        request: requests.EndpointHeartbeat,
    ) -> list[commands.AnyCommand]:
        """Processes an endpoint's heartbeat; returns the commands to commit."""
        known = state.endpoint_by_id.get(request.endpoint)
        incarnation = known.announcement.incarnation if known else 0
        if incarnation > request.incarnation:
            return []
        self._endpoint_deadline[request.endpoint] = (
            now + self.settings.endpoint_lease
        )
        proposals: list[commands.AnyCommand] = []
        is_new = (
            known is None or incarnation < request.incarnation or known.lost
        )
        if is_new and not request.leaving:
            proposals.append(
                commands.AnnounceEndpoint(
                    request.endpoint,
                    request.incarnation,
                    request.service,
                    request.host,
                    request.port,
                    request.slots,
                    request.connections,
                    request.domain,
                    wall_ms,
                )
            )
        if request.leaving and known is not None and not known.leaving:
            proposals.append(
                commands.EndpointLeaving(
                    request.endpoint, request.incarnation, wall_ms
                )
            )
        return proposals

    def endpoint_accepted(
        self, state: state_lib.State, request: requests.EndpointHeartbeat
    ) -> requests.EndpointAccepted:
        """Returns the reply to an endpoint's heartbeat."""
        known = state.endpoint_by_id.get(request.endpoint)
        shares = known.share_by_session.values() if known else ()
        return requests.EndpointAccepted(
            lease_ms=int(self.settings.endpoint_lease * 1000),
            heartbeat_ms=int(self.settings.endpoint_heartbeat * 1000),
            shares_held=sum(share.slots for share in shares),
        )

    def on_entry_heartbeat(
        self,
        now: float,
        state: state_lib.State,
        request: requests.EntryHeartbeat,
    ) -> list[commands.AnyCommand]:
        """Processes an entry's heartbeat; returns the commands to commit."""
        if request.session not in state.session_by_id:
            return []
        self._entry_by_session[request.session] = _EntryInfo(
            lease_until=now
            + self.settings.with_margin(self.settings.entry_lease),
            config_version=request.config_version,
            draining=request.draining,
            demand_by_service=dict(request.demand_by_service),
        )
        proposals: list[commands.AnyCommand] = []
        for held in request.held:
            endpoint = state.endpoint_by_id.get(held.endpoint)
            if endpoint is None:
                continue
            share = endpoint.share_by_session.get(request.session)
            if share is None or share.version != held.version:
                continue
            if held.slots < share.slots:
                proposals.append(
                    slot_allocation.set_share(
                        endpoint, request.session, held.slots
                    )
                )
        return proposals

    def entry_view(
        self,
        state: state_lib.State,
        request: requests.EntryHeartbeat,
        term: int,
        keepers: tuple[commands.KeeperAddress, ...],
    ) -> requests.EntryView:
        """Returns the reply to an entry's heartbeat."""
        view = f"{term}.{state.view_version}.{self._target_version}"
        lease_ms = int(self.settings.entry_lease * 1000)
        if view == request.view:
            return requests.EntryView(
                lease_ms, view, False, config_version=state.config_version
            )
        return requests.EntryView(
            lease_ms,
            view,
            True,
            config_version=state.config_version,
            endpoints=tuple(
                self._endpoint_view(state, request, endpoint_id)
                for endpoint_id in sorted(state.endpoint_by_id)
            ),
            config=tuple(
                state.config_by_name[name].item
                for name in sorted(state.config_by_name)
            ),
            keepers=keepers,
        )

    def _endpoint_view(
        self,
        state: state_lib.State,
        request: requests.EntryHeartbeat,
        endpoint_id: str,
    ) -> requests.EndpointView:
        endpoint = state.endpoint_by_id[endpoint_id]
        announcement = endpoint.announcement
        share = endpoint.share_by_session.get(
            request.session, state_lib.Share(0, 0)
        )
        usable = _accepts_requests(state, endpoint)
        target = self._target_by_share.get(
            (request.session, endpoint_id), share.slots
        )
        return requests.EndpointView(
            endpoint=endpoint_id,
            incarnation=announcement.incarnation,
            service=announcement.service,
            host=announcement.host,
            port=announcement.port,
            domain=announcement.domain,
            usable=usable,
            slots=share.slots,
            connections=share.connections,
            version=share.version,
            target=min(target, share.slots) if usable else 0,
        )

    def session_views(
        self, now: float, state: state_lib.State
    ) -> tuple[requests.SessionView, ...]:
        """Returns the sessions of all entries, as shown to operators."""
        views = []
        for session_id, session in sorted(state.session_by_id.items()):
            info = self._entry_by_session.get(session_id, _EntryInfo(now))
            views.append(
                requests.SessionView(
                    entry=session.entry,
                    session=session_id,
                    domain=session.domain,
                    config_version=info.config_version,
                    lease_left_ms=max(0, int((info.lease_until - now) * 1000)),
                    draining=info.draining,
                )
            )
        return tuple(views)

    # Plans.

    def tick(
        self, now: float, wall_ms: int, state: state_lib.State
    ) -> list[commands.AnyCommand]:
        """Runs the periodic checks and plans that are due.

        Returns the commands to commit. Called only when all commands returned
        earlier have been applied, so that no decision is made twice.
        """
        proposals: list[commands.AnyCommand] = []
        if now >= self._expiry_due:
            self._expiry_due = now + EXPIRY_INTERVAL_S
            proposals += self._expire_workers(now, wall_ms, state)
            proposals += self._expire_endpoints(now, wall_ms, state)
            proposals += self._expire_sessions(now, wall_ms, state)
            proposals += self._update_probation(now, wall_ms, state)
            proposals += self._evict_interfering(now, wall_ms, state)
        if now >= self._share_due:
            self._share_due = now + SHARE_INTERVAL_S
            proposals += self._plan_shares(now, state)
        if now >= self._plan_due:
            self._plan_due = now + PLAN_INTERVAL_S
            workers = [
                worker
                for worker, info in self._worker_by_id.items()
                if info.deadline > now and not info.leaving
            ]
            proposals += self.scheduler.plan(now, wall_ms, state, workers)
        return proposals

    def _expire_workers(
        self, now: float, wall_ms: int, state: state_lib.State
    ) -> list[commands.AnyCommand]:
        """Ends expired leases, removes workers and drains leaving ones."""
        proposals: list[commands.AnyCommand] = []
        for worker_id, worker in state.worker_by_id.items():
            info = self._worker_by_id.get(worker_id)
            if info is None or info.deadline > now:
                if info is not None and self._is_leaving(
                    state, worker_id, info
                ):
                    proposals += self._drain(wall_ms, state, worker)
                continue
            if worker.jobs:
                proposals += [
                    commands.EndLease(
                        job, epoch, commands.EndReason.EXPIRED, wall_ms
                    )
                    for job, epoch in worker.jobs.items()
                ]
            elif info.leaving or now - info.deadline >= WORKER_REMOVAL_DELAY_S:
                self.mitigator.forget_worker(worker_id)
                proposals.append(
                    commands.RemoveWorker(
                        worker_id, worker.announcement.incarnation, wall_ms
                    )
                )
        return proposals

    def _is_leaving(
        self, state: state_lib.State, worker: str, info: _WorkerInfo
    ) -> bool:
        return info.leaving or jobs.is_draining(state, worker)

    def _drain(
        self, wall_ms: int, state: state_lib.State, worker: state_lib.Worker
    ) -> list[commands.AnyCommand]:
        """Stops the evictable tasks of a worker that leaves or is drained."""
        return [
            commands.RequestStop(job, epoch, commands.StopReason.DRAIN, wall_ms)
            for job, epoch in worker.jobs.items()
            if state.job_by_id[job].phase is state_lib.JobPhase.LEASED
            and jobs.can_evict(state.job_by_id[job])
        ]

    def _expire_endpoints(
        self, now: float, wall_ms: int, state: state_lib.State
    ) -> list[commands.AnyCommand]:
        """Removes endpoints whose lease has ended.

        The command marks an endpoint as lost while sessions hold shares of it,
        so it is sent again when they hold none.
        """
        proposals: list[commands.AnyCommand] = []
        for endpoint_id, endpoint in state.endpoint_by_id.items():
            deadline = self._endpoint_deadline.setdefault(
                endpoint_id, now + self.settings.endpoint_lease
            )
            is_drained = endpoint.lost and not endpoint.share_by_session
            if deadline > now or (endpoint.lost and not is_drained):
                continue
            proposals.append(
                commands.RemoveEndpoint(
                    endpoint_id,
                    endpoint.announcement.incarnation,
                    not endpoint.leaving,
                    wall_ms,
                )
            )
        return proposals

    def _expire_sessions(
        self, now: float, wall_ms: int, state: state_lib.State
    ) -> list[commands.AnyCommand]:
        """Ends sessions whose entry can no longer use its shares."""
        grace = self.settings.session_timeout - self.settings.entry_lease
        proposals: list[commands.AnyCommand] = []
        for session in state.session_by_id:
            info = self._entry_by_session.setdefault(
                session, _EntryInfo(now + self.settings.entry_lease)
            )
            if now >= info.lease_until + grace:
                proposals.append(commands.EndSession(session, True, wall_ms))
        return proposals

    def _update_probation(
        self, now: float, wall_ms: int, state: state_lib.State
    ) -> list[commands.AnyCommand]:
        """Starts probation of workers with repeated failures, and ends it.

        A worker on probation gets no jobs. The number of such workers is
        limited.
        """
        proposals: list[commands.AnyCommand] = []
        probation_count = sum(
            item.on_probation for item in state.worker_by_id.values()
        )
        limit = max(1, int(PROBATION_MAX_FRACTION * len(state.worker_by_id)))
        for worker_id, info in self._worker_by_id.items():
            worker = state.worker_by_id.get(worker_id)
            if worker is None:
                continue
            if worker.on_probation:
                if info.probation_until is None or info.probation_until <= now:
                    info.probation_until = None
                    info.failed_jobs.clear()
                    proposals.append(
                        commands.SetProbation(
                            worker_id, False, "time served", wall_ms
                        )
                    )
                continue
            if (
                len(info.failed_jobs) < PROBATION_FAILURES
                or probation_count >= limit
            ):
                continue
            probation_count += 1
            info.probation_until = now + PROBATION_S
            proposals.append(
                commands.SetProbation(
                    worker_id,
                    True,
                    f"failed_jobs={len(info.failed_jobs)}",
                    wall_ms,
                )
            )
        return proposals

    def _evict_interfering(
        self, now: float, wall_ms: int, state: state_lib.State
    ) -> list[commands.AnyCommand]:
        """Evicts one batch task from each worker at level EVICTING.

        The eviction budget limits how many tasks are evicted.
        """
        proposals: list[commands.AnyCommand] = []
        for worker_id, worker in state.worker_by_id.items():
            if (
                self.mitigator.level_of(worker_id)
                is not mitigation.Level.EVICTING
            ):
                continue
            victim = self._most_interfering(state, worker)
            if victim is None or not self.mitigator.eviction_budget.take(now):
                continue
            self.mitigator.on_eviction(now, worker_id)
            proposals.append(
                commands.RequestStop(
                    victim.spec.job,
                    victim.epoch,
                    commands.StopReason.EVICT,
                    wall_ms,
                )
            )
        return proposals

    def _most_interfering(
        self, state: state_lib.State, worker: state_lib.Worker
    ) -> state_lib.Job | None:
        """Returns the evictable batch task that slows the services the most."""
        held = [state.job_by_id[job] for job in worker.jobs]
        services = [
            job.spec.task_class
            for job in held
            if job.spec.kind is commands.JobKind.SERVICE
        ]
        evictable = [
            job
            for job in held
            if job.spec.kind is commands.JobKind.BATCH
            and job.phase is state_lib.JobPhase.LEASED
            and jobs.can_evict(job)
        ]

        def by_total_inflation(job: state_lib.Job) -> tuple[float, str]:
            total = sum(
                self.estimator.expected(service, job.spec.task_class)
                for service in services
            )
            return total, job.spec.job

        return max(evictable, key=by_total_inflation, default=None)

    def _plan_shares(
        self, now: float, state: state_lib.State
    ) -> list[commands.AnyCommand]:
        """Divides each service's slots among entries with a valid lease."""
        by_service: dict[str, dict[str, state_lib.Endpoint]] = {}
        for endpoint_id, endpoint in sorted(state.endpoint_by_id.items()):
            if _accepts_requests(state, endpoint):
                service = by_service.setdefault(
                    endpoint.announcement.service, {}
                )
                service[endpoint_id] = endpoint
        proposals: list[commands.AnyCommand] = []
        targets: dict[tuple[int, str], int] = {}
        for service_name, service in sorted(by_service.items()):
            demand_by_session = {
                session: info.demand_by_service.get(service_name, 0.0)
                for session, info in sorted(self._entry_by_session.items())
                if session in state.session_by_id
                and info.lease_until > now
                and not info.draining
            }
            plan = slot_allocation.plan_service(service, demand_by_session)
            proposals += plan.grants
            targets.update(plan.target_by_share)
        if targets != self._target_by_share:
            self._target_by_share = targets
            self._target_version += 1
        return proposals


def _announcement(
    request: requests.WorkerHeartbeat, wall_ms: int
) -> commands.AnnounceWorker:
    return commands.AnnounceWorker(
        request.worker,
        request.incarnation,
        request.capacity,
        request.rack,
        request.domain,
        wall_ms,
    )


def _changes_job(
    job: state_lib.Job, worker: str, report: requests.TaskReport
) -> bool:
    """Returns whether a report would change a job.

    Repeated reports and reports about an earlier lease don't change it.
    """
    if job.epoch != report.epoch or job.worker != worker:
        return False
    if not job.phase.holds_lease:
        return False
    if report.event is commands.TaskEvent.STARTED:
        return not job.started or report.checkpoint > job.checkpoint
    if report.event is commands.TaskEvent.CHECKPOINTED:
        return report.checkpoint > job.checkpoint
    return True


def _start_order(job: state_lib.Job) -> requests.StartOrder:
    return requests.StartOrder(
        job=job.spec.job,
        epoch=job.epoch,
        checkpoint=job.checkpoint,
        kind=job.spec.kind,
        needs=job.spec.needs,
        payload=job.spec.payload,
    )


def _accepts_requests(
    state: state_lib.State, endpoint: state_lib.Endpoint
) -> bool:
    """Returns whether an endpoint accepts new requests."""
    if endpoint.leaving or endpoint.lost:
        return False
    return not jobs.is_draining(state, endpoint.announcement.endpoint)


def _count_classes(
    state: state_lib.State, worker: state_lib.Worker
) -> dict[str, int]:
    count_by_class: dict[str, int] = {}
    for job_id in worker.jobs:
        task_class = state.job_by_id[job_id].spec.task_class
        count_by_class[task_class] = count_by_class.get(task_class, 0) + 1
    return count_by_class
