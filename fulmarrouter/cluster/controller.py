"""A keeper of the cluster: its replica, the state, and the leader's work.

Pure: the owning task passes the time, stores and syncs the replica's output,
sends its messages, and hands replies back to where the requests came from.
"""

import dataclasses

import msgspec

from fulmarrouter import addresses
from fulmarrouter import codes
from fulmarrouter import confirmations
from fulmarrouter import consensus
from fulmarrouter import messages
from fulmarrouter import raft_log
from fulmarrouter.cluster import admission
from fulmarrouter.cluster import dispatcher as dispatcher_lib
from fulmarrouter.cluster import log_commands
from fulmarrouter.cluster import membership
from fulmarrouter.cluster import model
from fulmarrouter.cluster import notes as notes_lib
from fulmarrouter.cluster import queues
from fulmarrouter.cluster import relays
from fulmarrouter.cluster import report_timing
from fulmarrouter.cluster import requests
from fulmarrouter.cluster import state as state_lib

SNAPSHOT_ENTRIES = 6_000  # Keeps a restart's replay under a second.
# How long the quorum may stay smaller than wanted before callers are served
# all the same, where the deployment has fewer disks.
OPEN_PATIENCE_S = 5.0
# A keeper that hasn't answered the leader for this long takes no reports.
RELAY_SILENCE_S = 0.5
# Ends of runs that are worth a line of their own.
NOTABLE_OUTCOMES = (
    model.Outcome.FAILED,
    model.Outcome.LOST,
    model.Outcome.REFUSED,
    model.Outcome.GANG_INCOMPLETE,
)


Client = confirmations.Client
Answered = confirmations.Answered[requests.AnyReply]


@dataclasses.dataclass(frozen=True)
class ControllerSettings:
    """Settings of a controller.

    Attributes:
        wanted_voters: How many keepers are to vote.
        control_port: Port of the workers' interface, the same on all VMs.
        direct_workers: Workers up to which the leader reads reports itself.
    """

    wanted_voters: int
    control_port: int
    direct_workers: int = 48


class Controller:
    """Core of a keeper process."""

    def __init__(
        self,
        replica: consensus.Replica,
        settings: ControllerSettings,
        dispatch_settings: dispatcher_lib.DispatchSettings,
    ) -> None:
        self.replica = replica
        self.state = state_lib.decode(replica.log.snapshot.data)
        self.announcements = membership.Announcements()
        self.notes = notes_lib.Notebook()
        self.dispatcher = dispatcher_lib.Dispatcher(
            dispatch_settings, self.notes
        )
        self._settings = settings
        self._leading_term = 0
        self._in_office = False
        self._office_since = 0.0
        self._confirmations: confirmations.Confirmations[
            requests.AnyRequest
        ] = confirmations.Confirmations(replica)
        self._answered: list[Answered] = []
        self._result_by_index: dict[int, state_lib.Result] = {}
        self._snapshot_index = replica.log.snapshot.last_index
        self._membership_due = 0.0
        self.has_more = False

    @property
    def in_office(self) -> bool:
        """Whether this keeper leads and has taken over the leader's work."""
        return self._in_office and self.replica.accepts_commands

    def leader_address(self) -> str:
        """Returns the leader's address as host:port, or an empty string."""
        return self.replica.membership.address_of(self.replica.leader)

    def leader_host(self) -> str:
        """Returns the leader's host, or an empty string."""
        return addresses.host_of(self.leader_address())

    # Input.

    def on_message(
        self, now: float, sender: str, message: messages.AnyMessage
    ) -> None:
        """Handles a message of another keeper."""
        self.replica.step(now, sender, message)

    def on_request(
        self,
        now: float,
        wall_ms: int,
        client: Client,
        request: requests.AnyRequest,
    ) -> None:
        """Handles a request that only the leader can answer."""
        if not self.in_office:
            self._refuse(
                client, codes.Code.NOT_LEADER, leader=self.leader_address()
            )
            return
        if isinstance(request, requests.Join):
            self._on_join(now, request)
            reply = requests.Located(
                self.leader_address(), self.member_addresses()
            )
            self._answered.append(Answered(client, reply))
            return
        if not self.state.is_open:
            self._refuse(
                client, codes.Code.QUORUM_INCOMPLETE, retry_after_ms=1000
            )
            return
        match request:
            case requests.WorkerReport():
                self._on_report(now, client, request)
            case requests.WorkerLeft():
                self._commit_all(self.dispatcher.on_left(self.state, request))
                self._confirmations.add(now, client, request)
            case requests.ReplaceConfiguration():
                index = self._commit(
                    log_commands.ReplaceConfiguration(request.configuration)
                )
                self._confirmations.add(now, client, request, index)
            case requests.SubmitJob():
                self._on_submit(now, wall_ms, client, request)
            case requests.CancelJob():
                self._on_cancel(now, client, request)
            case _:
                self._confirmations.add(now, client, request)

    def _on_join(self, now: float, request: requests.Join) -> None:
        self.announcements.note(
            now,
            request.address,
            request.zone,
            request.is_blank,
            request.may_found,
        )

    def _on_report(
        self, now: float, client: Client, request: requests.WorkerReport
    ) -> None:
        proposed = self.dispatcher.on_report(now, self.state, request)
        if proposed is None:
            self._answered.append(Answered(client, requests.Orders()))
            return
        proposed += self.dispatcher.absent_runs(now, self.state, request)
        index = self._commit_all(proposed)
        if index:
            self.dispatcher.note_proposed(request, index)
        held_s = report_timing.hold_answer_s(
            bool(request.ended), bool(self.state.open_steps)
        )
        self._confirmations.add(now, client, request, not_before=now + held_s)

    def _on_submit(
        self,
        now: float,
        wall_ms: int,
        client: Client,
        request: requests.SubmitJob,
    ) -> None:
        target = queues.resolve(
            self.state.configuration, request.host, request.path
        )
        if isinstance(target, queues.Unresolved) or target.job is None:
            self._confirmations.add(now, client, request)
            return
        if target.job not in self.state.job_by_id:
            verdict = admission.refusal(self.state)
            if verdict is not None:
                self.notes.add(
                    "job refused", job=target.job, reason=verdict.reason
                )
                self._answered.append(Answered(client, verdict))
                return
        index = self._commit(
            log_commands.SubmitJob(
                target.job, target.queue, request.spec, wall_ms
            )
        )
        self._confirmations.add(now, client, request, index)

    def _on_cancel(
        self, now: float, client: Client, request: requests.CancelJob
    ) -> None:
        target = queues.resolve(
            self.state.configuration, request.host, request.path
        )
        index = 0
        if isinstance(target, queues.Target) and target.job is not None:
            index = self._commit(log_commands.CancelJob(target.job))
        self._confirmations.add(now, client, request, index)

    def _commit(self, command: log_commands.AnyCommand) -> int:
        index = self.replica.propose(log_commands.encode(command))
        assert index is not None
        return index

    def _commit_all(self, proposed: list[log_commands.AnyCommand]) -> int:
        index = 0
        for command in proposed:
            index = self._commit(command)
        return index

    def _refuse(
        self,
        client: Client,
        code: codes.Code,
        reason: str = "",
        retry_after_ms: int = 0,
        leader: str = "",
    ) -> None:
        self._answered.append(
            Answered(
                client, requests.Refused(code, reason, retry_after_ms, leader)
            )
        )

    def member_addresses(self) -> tuple[str, ...]:
        """Returns where all keepers listen, as host:port."""
        return tuple(
            item.place for item in self.replica.membership.all_keepers()
        )

    # Time.

    def tick(self, now: float, wall_ms: int) -> None:
        """Acts on time; called once for each batch of input."""
        self.replica.tick(now)
        self._follow_role(now, wall_ms)
        if self.in_office:
            self._lead(now, wall_ms)
        self._confirmations.start(now)
        self.replica.flush(now)

    def next_due(self, now: float) -> float:
        """Returns when there is something to do if nothing arrives."""
        return min(
            self.replica.next_deadline(), self._confirmations.next_due(now)
        )

    def _lead(self, now: float, wall_ms: int) -> None:
        if now >= self._membership_due:
            self._membership_due = now + 0.1
            self._reconcile_members(now)
        if not self.state.is_open:
            return
        self._commit_all(self.dispatcher.expire(now, self.state))
        self._commit_all(self.dispatcher.effects_to_keep(now))
        self.dispatcher.note_load(now, self.state)
        self._commit_all(queues.due_occurrences(self.state, wall_ms))
        planned = self.dispatcher.planner.plan(now, self.state)
        if planned is not None:
            self._commit(planned)

    def _reconcile_members(self, now: float) -> None:
        if not self.state.is_open:
            voters = len(self.replica.membership.voters)
            is_late = now - self._office_since > OPEN_PATIENCE_S
            if voters >= self._settings.wanted_voters or is_late:
                self._commit(log_commands.OpenForService())
        change = membership.next_membership(
            now,
            self.replica,
            self.announcements.fresh(now),
            self._settings.wanted_voters,
        )
        if change is None:
            return
        index = self.replica.propose_membership(now, change)
        if index is not None:
            self.notes.add(
                "membership change",
                voters=[item.keeper for item in change.voters],
                learners=[item.keeper for item in change.learners],
                index=index,
            )

    def _follow_role(self, now: float, wall_ms: int) -> None:
        if self.replica.is_leader and self._leading_term != self.replica.term:
            self._leave_office()
            self._leading_term = self.replica.term
            self._commit(
                log_commands.LeaderElected(
                    self.replica.keeper, self.replica.term, wall_ms
                )
            )
        if (
            self.replica.is_leader
            and not self._in_office
            and self.replica.leads_with_committed_entry
            and self.replica.applied_index >= self.replica.commit_index
        ):
            self._in_office = True
            self._office_since = now
            self.dispatcher.take_office(now, self.state, wall_ms)
        if not self.replica.is_leader:
            self._leave_office()

    def _leave_office(self) -> None:
        self._in_office = False
        self._leading_term = 0
        for item in self._confirmations.take_all():
            if item.proposed_index:
                code = codes.Code.PROPOSAL_UNKNOWN
            else:
                code = codes.Code.NOT_LEADER
            self._refuse(item.client, code, leader=self.leader_address())
        self._result_by_index = {}

    # Output.

    def after_sync(
        self, now: float, wall_ms: int, durable_index: int | None
    ) -> list[Answered]:
        """Applies what is committed and returns the replies that are ready."""
        if durable_index is not None:
            self.replica.mark_durable(durable_index)
        if self._snapshot_index < self.replica.log.snapshot.last_index:
            snapshot = self.replica.log.snapshot
            self._snapshot_index = snapshot.last_index
            self.state = state_lib.decode(snapshot.data)
        entries = self.replica.take_committed()
        # What was applied may let more be planned at once.
        self.has_more = bool(entries) and self._in_office
        for entry in entries:
            self._apply(entry)
        if entries and self._in_office:
            self.dispatcher.on_applied(self.state, self.replica.applied_index)
        elif entries:
            self.state.forget_changes()
        self._follow_role(now, wall_ms)
        self._answer_waiting(now)
        answered = self._answered
        self._answered = []
        return answered

    def _apply(self, entry: messages.Entry) -> None:
        if entry.kind is messages.EntryKind.MEMBERS:
            return
        command = log_commands.decode(entry.data)
        if not self._in_office:
            self.state.apply(entry.index, command)
            return
        if isinstance(command, log_commands.EndRuns):
            self._apply_ends(entry.index, command)
            return
        result = self.state.apply(entry.index, command)
        match command:
            case log_commands.AssignTasks():
                self.dispatcher.planner.on_assigned(command)
            case log_commands.SubmitJob():
                self._result_by_index[entry.index] = result
                self.notes.add(
                    "job accepted",
                    job=command.job,
                    queue=command.queue.name,
                    result=result.name,
                    index=entry.index,
                    open_steps=len(self.state.open_steps),
                )
            case log_commands.CancelJob():
                self._result_by_index[entry.index] = result
                self.notes.add(
                    "job cancelled", job=command.job, result=result.name
                )
            case log_commands.ReplaceConfiguration():
                self._result_by_index[entry.index] = result
                self.notes.add(
                    "configuration decided",
                    version=command.configuration.version,
                    result=result.name,
                    index=entry.index,
                )

    def _apply_ends(self, index: int, command: log_commands.EndRuns) -> None:
        """Applies ends and notes which jobs are over with them."""
        active: dict[model.JobId, state_lib.Job] = {}
        for end in command.ends:
            found = self.state.find_task(end.task)
            if found is not None and found[0].is_active:
                active[found[0].id] = found[0]
            if end.outcome in NOTABLE_OUTCOMES:
                self.notes.add(
                    "run ended",
                    task=end.task,
                    run=end.run,
                    worker=end.worker,
                    outcome=end.outcome.name,
                    index=index,
                )
        self.state.apply(index, command)
        for job in active.values():
            if not job.is_active:
                self.notes.add(
                    "job ended", job=job.id, phase=job.phase.name, index=index
                )

    def _answer_waiting(self, now: float) -> None:
        for item in self._confirmations.take_confirmed(now):
            reply = self._reply_to(now, item)
            self._answered.append(Answered(item.client, reply))
        for item in self._confirmations.take_expired(now):
            code = codes.Code.KEEPER_UNAVAILABLE
            if item.proposed_index:
                code = codes.Code.PROPOSAL_UNKNOWN
            self._refuse(item.client, code)

    def _reply_to(
        self, now: float, item: confirmations.Waiting[requests.AnyRequest]
    ) -> requests.AnyReply:
        result = self._result_by_index.pop(item.proposed_index, None)
        match item.request:
            case requests.WorkerReport():
                orders = self.dispatcher.orders(
                    now, self.state, item.request, self.replica.term
                )
                return msgspec.structs.replace(
                    orders, report_to=self._report_to(now, item.request.worker)
                )
            case requests.ReplaceConfiguration():
                if result is state_lib.Result.CONFLICT:
                    return requests.Refused(
                        codes.Code.NUMBER_TAKEN,
                        "another configuration has this version",
                    )
                return requests.Accepted()
            case requests.ReadConfiguration():
                held = self.state.configuration
                if held is None:
                    return requests.Refused(codes.Code.NO_CONFIGURATION)
                return requests.ConfigurationView(held.document)
            case requests.WorkerLeft():
                return requests.Accepted()
            case (
                requests.SubmitJob()
                | requests.CancelJob()
                | requests.ShowTarget()
            ):
                return queues.answer(self.state, item.request)
            case _:
                return requests.Refused(codes.Code.INVALID)

    def _report_to(self, now: float, worker: model.WorkerId) -> str:
        """Returns where a worker is to send its next reports."""
        others = [
            item.host
            for item in self.replica.membership.all_keepers()
            if item.keeper != self.replica.keeper
            and self.replica.peer_status(now, item.keeper).seconds_since_ack
            <= RELAY_SILENCE_S
        ]
        host = relays.choose(
            worker,
            self.leader_host(),
            others,
            len(self.dispatcher.fleet.view_by_id),
            self._settings.direct_workers,
        )
        return f"{host}:{self._settings.control_port}"

    def take_snapshot(self) -> raft_log.SnapshotData | None:
        """Returns a snapshot to store, when enough has been applied."""
        applied = self.replica.applied_index
        if applied - self._snapshot_index < SNAPSHOT_ENTRIES:
            return None
        self._snapshot_index = applied
        return self.replica.compact(self.state.encode())
