"""Ways to switch one mechanism off, to see that its absence is noticed."""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
from typing import Any
from unittest import mock

from features.support import cluster
from fulmarrouter import codes
from fulmarrouter import command_handlers
from fulmarrouter import commands
from fulmarrouter import consensus
from fulmarrouter import jobs
from fulmarrouter import leader
from fulmarrouter import messages
from fulmarrouter import state as state_lib
from fulmarrouter import state_machine

Mutation = Callable[[], contextlib.AbstractContextManager[Any]]
MUTATION_BY_NAME: dict[str, Mutation] = {}


def mutation(name: str) -> Callable[[Mutation], Mutation]:
    """Registers the decorated function under a name."""

    def register(function: Mutation) -> Mutation:
        MUTATION_BY_NAME[name] = function
        return function

    return register


def _patched_handler(
    command_type: type[commands.Command], handler: command_handlers.Handler
) -> contextlib.AbstractContextManager[Any]:
    return mock.patch.dict(
        command_handlers.HANDLER_BY_COMMAND, {command_type: handler}
    )


@mutation("no sync before acknowledgement")
def no_sync() -> contextlib.AbstractContextManager[Any]:
    return mock.patch.object(cluster.Disk, "store", lambda self, output: None)


@mutation("commit on a minority")
def minority() -> contextlib.AbstractContextManager[Any]:
    return mock.patch.object(
        messages.Membership, "quorum", property(lambda self: 1)
    )


@mutation("votes are forgotten")
def forgotten_votes() -> contextlib.AbstractContextManager[Any]:
    original = consensus.Replica._on_vote_request

    def forgetful(self: Any, now: float, sender: str, message: Any) -> None:
        if not message.pre:
            self.voted_for = ""
        original(self, now, sender, message)

    return mock.patch.object(consensus.Replica, "_on_vote_request", forgetful)


@mutation("reads are not confirmed")
def unconfirmed_reads() -> contextlib.AbstractContextManager[Any]:
    return mock.patch.object(
        consensus.Replica, "is_round_confirmed", lambda self, read_round: True
    )


@mutation("a new leader does not wait for old leases")
def no_wait() -> contextlib.AbstractContextManager[Any]:
    original = leader.Leader.start_term

    def hasty(self: Any, now: float, state: state_lib.State) -> None:
        original(self, now - 10.0, state)

    return mock.patch.object(leader.Leader, "start_term", hasty)


@mutation("the worker counts its lease from the reply")
def late_count() -> contextlib.AbstractContextManager[Any]:
    return mock.patch.object(
        cluster.SimWorker,
        "counts_lease_from_reply",
        property(lambda self: True, lambda self, value: None),
        create=True,
    )


@mutation("the keeper ends leases early")
def early_end() -> contextlib.AbstractContextManager[Any]:
    return mock.patch.object(
        leader.LeaseSettings, "with_margin", lambda self, lease: 0.5 * lease
    )


@mutation("a lost lease of a non-idempotent job is granted again")
def rerun_lost() -> contextlib.AbstractContextManager[Any]:
    def careless(
        state: state_lib.State,
        index: int,
        at_ms: int,
        job: state_lib.Job,
        reason: Any,
    ) -> None:
        del reason
        jobs._requeue(state, index, at_ms, job)

    return mock.patch.object(jobs, "end_unconfirmed_lease", careless)


@mutation("the ledger does not look a key up")
def no_ledger() -> contextlib.AbstractContextManager[Any]:
    def accept(state: Any, index: int, command: Any) -> commands.Result:
        del state, command
        return commands.Result(codes.Code.ACCEPTED, index=index)

    return _patched_handler(commands.RecordIntent, accept)


@mutation("an intent may follow its own withdrawal")
def no_withdrawal() -> contextlib.AbstractContextManager[Any]:
    original = command_handlers.HANDLER_BY_COMMAND[commands.RecordOutcome]

    def forgetful(state: state_lib.State, index: int, command: Any) -> Any:
        result = original(state, index, command)
        run = state.run_by_key.get(command.key)
        if run is not None and run.state is commands.RunState.DONE:
            del state.run_by_key[command.key]
        return result

    return _patched_handler(commands.RecordOutcome, forgetful)


@mutation("capacity is not checked")
def no_capacity() -> contextlib.AbstractContextManager[Any]:
    return mock.patch.object(
        jobs,
        "free_capacity",
        lambda worker: commands.Resources(10**6, 10**6, 0),
    )


@mutation("shares of a silent entry are granted at once")
def early_shares() -> contextlib.AbstractContextManager[Any]:
    return mock.patch.object(
        leader.LeaseSettings, "session_timeout", property(lambda self: 0.0)
    )


@mutation("the last ticket with a number wins")
def last_ticket() -> contextlib.AbstractContextManager[Any]:
    original = command_handlers.HANDLER_BY_COMMAND[commands.SubmitTicket]

    def overwrite(state: state_lib.State, index: int, command: Any) -> Any:
        state.ticket_by_number.pop(command.number, None)
        return original(state, index, command)

    return _patched_handler(commands.SubmitTicket, overwrite)


@mutation("evicted work starts again from its beginning")
def lost_checkpoint() -> contextlib.AbstractContextManager[Any]:
    original = state_machine.apply

    def careless(state: state_lib.State, index: int, command: Any) -> Any:
        result = original(state, index, command)
        if isinstance(command, commands.ReportTask):
            job = state.job_by_id.get(command.job)
            if job is not None and job.phase is state_lib.JobPhase.QUEUED:
                job.checkpoint = 0
        return result

    return mock.patch.object(state_machine, "apply", careless)


@mutation("a keeper with a lost disk votes")
def blank_vote() -> contextlib.AbstractContextManager[Any]:
    return mock.patch.object(
        consensus.Replica, "is_blank", property(lambda self: False)
    )


@contextlib.contextmanager
def applied(name: str) -> Iterator[None]:
    """Applies a mutation for the time of a with block."""
    with MUTATION_BY_NAME[name]():
        yield
