"""A keeper of the cluster: its replica, its state and the leader's work.

Does no I/O. The owning task passes in the time, stores and syncs the replica's
output, sends its messages, and returns the replies to the requests' clients.
"""

from collections.abc import Callable
import dataclasses

import msgspec

from fulmarrouter import addresses
from fulmarrouter import codes
from fulmarrouter import consensus
from fulmarrouter import messages
from fulmarrouter import raft_log
from fulmarrouter import read_index
from fulmarrouter.cluster import admission
from fulmarrouter.cluster import decision_log
from fulmarrouter.cluster import dispatcher as dispatcher_lib
from fulmarrouter.cluster import failures
from fulmarrouter.cluster import job_requests
from fulmarrouter.cluster import log_commands
from fulmarrouter.cluster import membership
from fulmarrouter.cluster import model
from fulmarrouter.cluster import report_relays
from fulmarrouter.cluster import report_timing
from fulmarrouter.cluster import requests
from fulmarrouter.cluster import result_log
from fulmarrouter.cluster import run_log
from fulmarrouter.cluster import snapshots
from fulmarrouter.cluster import state as state_lib

# Entries applied between two snapshots. Keeps the replay after a restart under a
# second.
SNAPSHOT_INTERVAL_ENTRIES = 6_000
# Bytes of the entries applied between two snapshots. Bounds the log on the disk and in
# memory, whatever the size of an entry; a configuration may have megabytes.
SNAPSHOT_INTERVAL_BYTES = 16 << 20
# How long a leader waits for the wanted number of voters before it opens the
# service with fewer, since the deployment may have fewer disks.
OPEN_TIMEOUT_S = 5.0

Client = read_index.Client
Answered = read_index.Answered[requests.AnyReply]


@dataclasses.dataclass(frozen=True)
class ControllerSettings:
    """Settings of a controller.

    Attributes:
        wanted_voters: Number of keepers that are to vote.
        control_port: Port of the interface that workers report to, the same
            on all VMs.
        job_id_hex_digits: Number of hexadecimal digits of a job's ID; 0 if that
            isn't prescribed.
        direct_workers: Largest number of workers whose reports all go straight
            to the leader; with more, the other keepers relay them.
    """

    wanted_voters: int
    control_port: int
    direct_workers: int = 48
    job_id_hex_digits: int = 0


class Controller:
    """Core of a keeper process.

    Attributes:
        has_pending_work: Whether `tick` has work to do without delay.
    """

    def __init__(
        self,
        replica: consensus.Replica,
        settings: ControllerSettings,
        dispatch_settings: dispatcher_lib.DispatchSettings,
    ) -> None:
        self.replica = replica
        self.state = snapshots.decode(replica.log.snapshot.data)
        self.announcements = membership.Announcements()
        self.decisions = decision_log.DecisionBuffer()
        self.dispatcher = dispatcher_lib.Dispatcher(
            dispatch_settings, self.decisions
        )
        self._settings = settings
        self._elected_term = 0
        self._is_active_leader = False
        self._active_since = 0.0
        self._has_ended_unreadable_jobs = False
        self._read_index_queue: read_index.ReadIndexQueue[
            requests.AnyRequest
        ] = read_index.ReadIndexQueue(replica)
        self._answered: list[Answered] = []
        self._result_by_index: dict[int, state_lib.Result] = {}
        self._run_log = run_log.RunLog(self.decisions)
        self._proposed_queues: dict[model.JobId, model.QueueName] = {}
        self._snapshot_index = replica.log.snapshot.last_index
        self._membership_due = 0.0
        self.has_pending_work = False

    @property
    def is_active_leader(self) -> bool:
        """Whether this keeper leads and does the leader's work.

        The work starts once the keeper has committed an entry of its own term
        and applied all committed entries, and pauses while leadership is
        transferred.
        """
        return self._is_active_leader and self.replica.accepts_commands

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
        """Handles a message from another keeper."""
        self.replica.step(now, sender, message)

    def on_request(
        self,
        now: float,
        wall_ms: int,
        client: Client,
        request: requests.AnyRequest,
    ) -> None:
        """Handles a request that only the leader can answer."""
        try:
            self._handle_request(now, wall_ms, client, request)
        except Exception as error:
            self._answer_failed(client, request, error)

    def _handle_request(
        self,
        now: float,
        wall_ms: int,
        client: Client,
        request: requests.AnyRequest,
    ) -> None:
        if not self.is_active_leader:
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
                self._propose_all(self.dispatcher.on_left(self.state, request))
                self._read_index_queue.add(now, client, request)
            case requests.ReplaceConfiguration():
                index = self._propose(
                    log_commands.ReplaceConfiguration(request.configuration)
                )
                self._read_index_queue.add(now, client, request, index)
            case requests.SubmitJob():
                self._on_submit(now, wall_ms, client, request)
            case requests.CancelJob():
                self._on_cancel(now, client, request)
            case _:
                self._read_index_queue.add(now, client, request)

    def _on_join(self, now: float, request: requests.Join) -> None:
        self.announcements.record(
            now,
            request.address,
            request.zone,
            request.is_blank,
            request.may_found_quorum,
        )

    def _on_report(
        self, now: float, client: Client, request: requests.WorkerReport
    ) -> None:
        proposed = self.dispatcher.on_report(now, self.state, request)
        if proposed is None:
            # The report is older than one that has been handled.
            self._answered.append(Answered(client, requests.Orders()))
            return
        proposed += self.dispatcher.end_absent_runs(now, self.state, request)
        index = self._propose_all(proposed)
        if index:
            self.dispatcher.on_proposed(request, index)
        delay_s = report_timing.answer_hold_s(
            bool(request.ended), bool(self.state.open_steps)
        )
        self._read_index_queue.add(
            now, client, request, not_before=now + delay_s
        )

    def _on_submit(
        self,
        now: float,
        wall_ms: int,
        client: Client,
        request: requests.SubmitJob,
    ) -> None:
        target = self._resolve(request)
        if isinstance(target, job_requests.Unresolved) or target.job is None:
            self._read_index_queue.add(now, client, request)
            return
        refused = admission.refusal(self.state, self._proposed_queues, target)
        if refused is not None:
            self.decisions.add(
                "job refused", job=target.job, reason=refused.reason
            )
            self._answered.append(Answered(client, refused))
            return
        index = self._propose(
            log_commands.SubmitJob(
                target.job, target.queue, request.spec, wall_ms
            )
        )
        self._proposed_queues[target.job] = target.queue.name
        self._read_index_queue.add(now, client, request, index)

    def _on_cancel(
        self, now: float, client: Client, request: requests.CancelJob
    ) -> None:
        target = self._resolve(request)
        index = 0
        if (
            isinstance(target, job_requests.Target)
            and target.job is not None
            and not admission.belongs_to_other_queue(
                self.state, self._proposed_queues, target
            )
        ):
            index = self._propose(log_commands.CancelJob(target.job))
        self._read_index_queue.add(now, client, request, index)

    def _resolve(
        self, request: requests.SubmitJob | requests.CancelJob
    ) -> job_requests.Target | job_requests.Unresolved:
        return job_requests.resolve_path(
            self.state.configuration,
            request.host,
            request.path,
            self._settings.job_id_hex_digits,
            self.state.job_by_id,
        )

    def _propose(self, command: log_commands.AnyCommand) -> int:
        """Proposes a command as the leader; returns its log index."""
        index = self.replica.propose(log_commands.encode(command))
        assert index is not None
        return index

    def _propose_all(self, proposed: list[log_commands.AnyCommand]) -> int:
        """Proposes commands; returns the last one's log index, 0 for none."""
        index = 0
        for command in proposed:
            index = self._propose(command)
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
        """Returns the addresses of all keepers as host:port."""
        return tuple(
            item.host_port for item in self.replica.membership.all_keepers()
        )

    # Timers.

    def tick(self, now: float, wall_ms: int) -> None:
        """Runs due work; called once for each batch of input."""
        self.replica.tick(now)
        self._update_role(now, wall_ms)
        if self.is_active_leader:
            self._tick_as_leader(now, wall_ms)
        self._read_index_queue.start_round(now)
        self.replica.flush(now)

    def next_due(self, now: float) -> float:
        """Returns when there is something to do if nothing arrives."""
        return min(
            self.replica.next_deadline(), self._read_index_queue.next_due(now)
        )

    def _tick_as_leader(self, now: float, wall_ms: int) -> None:
        """Reconciles the membership and proposes due commands and plans."""
        if now >= self._membership_due:
            self._membership_due = now + 0.1
            self._reconcile_members(now)
        if not self._has_ended_unreadable_jobs:
            self._has_ended_unreadable_jobs = True
            self._perform(job_requests.cancel_unreadable_jobs, self.state)
        if not self.state.is_open:
            return
        dispatcher = self.dispatcher
        self._perform(dispatcher.expire, now, self.state)
        self._perform(dispatcher.effects_to_persist, now)
        self._perform(dispatcher.jobs_to_forget, now, self.state)
        self._perform(dispatcher.log_load, now, self.state)
        self._perform(
            job_requests.commands_for_due_occurrences, self.state, wall_ms
        )
        self._perform(dispatcher.move_serving_tasks, now, self.state)
        self._perform(self._plan, now)

    def _plan(self, now: float) -> None:
        planned = self.dispatcher.planner.plan(now, self.state)
        if planned is not None:
            self._run_log.on_planned(now, self._propose(planned))

    def _perform(
        self,
        duty: Callable[..., list[log_commands.AnyCommand] | None],
        *arguments: object,
    ) -> None:
        """Performs a duty of the leader and proposes what it returns.

        One that raises an exception is skipped until it is due again.
        """
        try:
            self._propose_all(duty(*arguments) or [])
        except Exception as error:
            self._log_failure("duty failed", duty.__name__, error)

    def _answer_failed(
        self, client: Client, request: requests.AnyRequest, error: Exception
    ) -> None:
        """Answers a request that has failed; a proposal may be committed."""
        self._log_failure("request failed", type(request).__name__, error)
        self._refuse(client, codes.Code.PROPOSAL_UNKNOWN)

    def _log_failure(self, event: str, of: str, error: Exception) -> None:
        self.decisions.add(event, of=of, **failures.describe(error))

    def _reconcile_members(self, now: float) -> None:
        """Opens the service when it is due and proposes membership changes."""
        if not self.state.is_open:
            voters = len(self.replica.membership.voters)
            is_overdue = now - self._active_since > OPEN_TIMEOUT_S
            if voters >= self._settings.wanted_voters or is_overdue:
                self._propose(log_commands.OpenForService())
        change = membership.next_membership(
            now,
            self.replica,
            self.announcements.live_candidates(now),
            self._settings.wanted_voters,
        )
        if change is None:
            return
        index = self.replica.propose_membership(now, change)
        if index is not None:
            self.decisions.add(
                "membership change",
                voters=[item.keeper for item in change.voters],
                learners=[item.keeper for item in change.learners],
                index=index,
            )

    def _update_role(self, now: float, wall_ms: int) -> None:
        """Follows the replica's role: starts or ends the leader's work.

        A new leader first proposes an entry of its own term. Its work starts
        when that entry is committed and everything committed is applied.
        """
        if self.replica.is_leader and self._elected_term != self.replica.term:
            self._reset_leadership()
            self._elected_term = self.replica.term
            self._propose(
                log_commands.LeaderElected(
                    self.replica.keeper, self.replica.term, wall_ms
                )
            )
        if (
            self.replica.is_leader
            and not self._is_active_leader
            and self.replica.leads_with_committed_entry
            and self.replica.applied_index >= self.replica.commit_index
        ):
            self._is_active_leader = True
            self._active_since = now
            self.dispatcher.start_term(now, self.state, wall_ms)
        if not self.replica.is_leader:
            self._reset_leadership()

    def _reset_leadership(self) -> None:
        """Ends the leader's work and refuses all requests in progress.

        What a request has proposed may still be committed by the next leader.
        """
        self._is_active_leader = False
        self._elected_term = 0
        self._has_ended_unreadable_jobs = False
        for item in self._read_index_queue.take_all():
            if item.proposed_index:
                code = codes.Code.PROPOSAL_UNKNOWN
            else:
                code = codes.Code.NOT_LEADER
            self._refuse(item.client, code, leader=self.leader_address())
        self._result_by_index = {}
        self._run_log.start_term()
        self._proposed_queues = {}

    # Output.

    def apply_committed(
        self, now: float, wall_ms: int, durable_index: int | None
    ) -> list[Answered]:
        """Applies committed entries and returns the replies that are ready.

        Args:
            now: Monotonic time.
            wall_ms: Wall clock.
            durable_index: Log index up to which entries have been synced since
                the last call; None if there were none.
        """
        if durable_index is not None:
            self.replica.mark_durable(durable_index)
        if self._snapshot_index < self.replica.log.snapshot.last_index:
            snapshot = self.replica.log.snapshot
            self._snapshot_index = snapshot.last_index
            self.state = snapshots.decode(snapshot.data)
        entries = self.replica.take_committed()
        # The applied entries may make more tasks ready to be planned.
        self.has_pending_work = bool(entries) and self._is_active_leader
        for entry in entries:
            self._apply(now, entry)
        if entries and self._is_active_leader:
            applied_index = self.replica.applied_index
            self._perform(self.dispatcher.on_applied, self.state, applied_index)
        elif entries:
            self.state.clear_changes()
        self._update_role(now, wall_ms)
        self._answer_confirmed(now)
        answered = self._answered
        self._answered = []
        return answered

    def _apply(self, now: float, entry: messages.Entry) -> None:
        """Applies a committed entry; an active leader also logs its effect."""
        if entry.kind is messages.EntryKind.MEMBERS:
            return
        command = log_commands.decode(entry.data)
        if not self._is_active_leader:
            self.state.apply(entry.index, command)
            return
        if isinstance(command, log_commands.EndRuns):
            self._apply_ends(entry.index, command)
            return
        result = self.state.apply(entry.index, command)
        self._perform(self._on_applied, now, entry.index, command, result)

    def _on_applied(
        self,
        now: float,
        index: int,
        command: log_commands.AnyCommand,
        result: state_lib.Result,
    ) -> None:
        """Follows on the leader what an entry has changed."""
        match command:
            case log_commands.AssignTasks():
                self.dispatcher.planner.on_assigned(command)
                self._run_log.on_assigned(now, self.state, index, command)
            case log_commands.SubmitJob():
                self._proposed_queues.pop(command.job, None)
                self._result_by_index[index] = result
            case log_commands.CancelJob() | log_commands.ReplaceConfiguration():
                self._result_by_index[index] = result
        result_log.log_result(
            self.decisions, self.state, index, command, result
        )

    def _apply_ends(self, index: int, command: log_commands.EndRuns) -> None:
        """Applies ends of runs and logs the jobs that end with them."""
        active: dict[model.JobId, state_lib.Job] = {}
        for end in command.ends:
            found = self.state.find_task(end.task)
            if found is not None and found[0].is_active:
                active[found[0].id] = found[0]
        self._perform(self._run_log.on_ended, self.state, index, command)
        self.state.apply(index, command)
        for job in active.values():
            if not job.is_active:
                self.decisions.add(
                    "job ended", job=job.id, phase=job.phase.name, index=index
                )

    def _answer_confirmed(self, now: float) -> None:
        """Answers confirmed requests and refuses those that timed out."""
        for item in self._read_index_queue.take_confirmed(now):
            try:
                reply = self._build_reply(now, item)
            except Exception as error:
                self._answer_failed(item.client, item.request, error)
                continue
            self._answered.append(Answered(item.client, reply))
        for item in self._read_index_queue.take_expired(now):
            code = codes.Code.KEEPER_UNAVAILABLE
            if item.proposed_index:
                code = codes.Code.PROPOSAL_UNKNOWN
            self._refuse(item.client, code)

    def _build_reply(
        self, now: float, item: read_index.PendingRequest[requests.AnyRequest]
    ) -> requests.AnyReply:
        result = self._result_by_index.pop(item.proposed_index, None)
        match item.request:
            case requests.WorkerReport():
                orders = self.dispatcher.orders(
                    now, self.state, item.request, self.replica.term
                )
                return msgspec.structs.replace(
                    orders,
                    report_address=self._report_address(
                        now, item.request.worker
                    ),
                )
            case requests.ReplaceConfiguration():
                if result is state_lib.Result.CONFLICT:
                    return requests.Refused(
                        codes.Code.NUMBER_TAKEN,
                        "another configuration has this version",
                    )
                return requests.Accepted()
            case requests.ReadConfiguration():
                current = self.state.configuration
                if current is None:
                    return requests.Refused(codes.Code.NO_CONFIGURATION)
                return requests.ConfigurationView(current.document)
            case requests.WorkerLeft():
                return requests.Accepted()
            case requests.SubmitJob() | requests.CancelJob() if (
                result is not None
            ):
                return job_requests.reply_from_result(result)
            case (
                requests.SubmitJob()
                | requests.CancelJob()
                | requests.ShowTarget()
            ):
                digits = self._settings.job_id_hex_digits
                return job_requests.reply_from_state(
                    self.state, self.dispatcher.fleet, item.request, digits
                )
            case _:
                return requests.Refused(codes.Code.INVALID)

    def _report_address(self, now: float, worker: model.WorkerId) -> str:
        """Returns the address that a worker is to send its next reports to."""
        host = report_relays.choose_report_host(
            worker,
            self.leader_host(),
            report_relays.hosts_in_touch(now, self.replica),
            len(self.dispatcher.fleet.view_by_id),
            self._settings.direct_workers,
        )
        return f"{host}:{self._settings.control_port}"

    def take_snapshot(self) -> raft_log.SnapshotData | None:
        """Returns a snapshot to store if enough entries have been applied."""
        applied = self.replica.applied_index
        size = self.replica.log.bytes_between(self._snapshot_index, applied)
        if (
            applied - self._snapshot_index < SNAPSHOT_INTERVAL_ENTRIES
            and size < SNAPSHOT_INTERVAL_BYTES
        ):
            return None
        self._snapshot_index = applied
        return self.replica.compact(snapshots.encode(self.state))
