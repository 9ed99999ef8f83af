"""Steps that run histories of a simulated cluster, with and without mutations."""

import collections
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
import contextlib
from typing import Any
from unittest import mock

from behave import then
from behave import when

from features.support import cluster_scenarios
from features.support import cluster_simulation
from features.support import departure_scenarios
from features.support import limit_scenarios
from features.support import list_scenarios
from features.support import queue_scenarios
from features.support import restart_scenarios
from fulmarrouter import codes
from fulmarrouter import consensus
from fulmarrouter import messages
from fulmarrouter.cluster import admission
from fulmarrouter.cluster import assignment_limits
from fulmarrouter.cluster import controller
from fulmarrouter.cluster import departures
from fulmarrouter.cluster import fleet as fleet_lib
from fulmarrouter.cluster import job_requests
from fulmarrouter.cluster import membership
from fulmarrouter.cluster import model
from fulmarrouter.cluster import queue_changes
from fulmarrouter.cluster import requests
from fulmarrouter.cluster import reservations as reservations_lib
from fulmarrouter.cluster import restarts
from fulmarrouter.cluster import run_ends
from fulmarrouter.cluster import state as state_lib
from fulmarrouter.cluster import worker_leases

# Histories with a mutation are run until one violates an invariant, at most
# with this many seeds.
MUTATION_SEEDS = 120
# For this many first seeds, a history with an isolated leader is run too.
ISOLATED_LEADER_SEEDS = 3
# For this many first seeds, histories with overlapping losses and with changes
# of a queue are run too.
SPECIAL_HISTORIES_SEEDS = 10
HISTORY_BY_KIND = {
    "with a power loss": cluster_scenarios.run_power_loss,
    "with a disk lost while another keeper is away": (
        cluster_scenarios.run_overlapping_losses
    ),
    "with changes of a queue": cluster_scenarios.run_queue_changes,
    "of jobs that need a label": cluster_scenarios.run_labelled_jobs,
    "of jobs that are cancelled before they arrive": (
        cluster_scenarios.run_early_cancellings
    ),
    "of tasks that may not run on every worker": (
        limit_scenarios.run_limited_steps
    ),
    "of gangs that may not run on every worker": (
        limit_scenarios.run_limited_gangs
    ),
    "of runs that succeed while they are started elsewhere": (
        limit_scenarios.run_late_successes
    ),
    "of workers that are gone when their last reports arrive": (
        departure_scenarios.run_departures
    ),
    "of workers that leave, are cut off and go on": (
        departure_scenarios.run_unheard_leaves
    ),
    "of workers that start again and are cut off": (
        restart_scenarios.run_restarts
    ),
    "of reports that list few ends": list_scenarios.run_short_lists,
    "of queues that change": queue_scenarios.run_queue_definitions,
}


def _collect_failing_seeds(
    run_history: Callable[[int], cluster_simulation.ClusterSimulation],
    seeds: Iterable[int],
) -> list[str]:
    failing_seeds = []
    for seed in seeds:
        try:
            run_history(seed)
        except cluster_simulation.InvariantViolationError as error:
            failing_seeds.append(f"seed {seed}: {error}")
    return failing_seeds


@when("cluster histories {first:d} to {last:d} are run")
def step_run_histories(context: Any, first: int, last: int) -> None:
    context.failing_seeds = _collect_failing_seeds(
        cluster_scenarios.run_random_faults, range(first, last + 1)
    )


@when("{count:d} cluster histories with an isolated leader are run")
def step_run_isolated_leader(context: Any, count: int) -> None:
    context.failing_seeds = _collect_failing_seeds(
        cluster_scenarios.run_isolated_leader, range(count)
    )


@when("cluster histories {first:d} to {last:d} {kind} are run")
def step_run_histories_of_kind(
    context: Any, first: int, last: int, kind: str
) -> None:
    context.failing_seeds = _collect_failing_seeds(
        HISTORY_BY_KIND[kind], range(first, last + 1)
    )


@then("no history violates an invariant")
def step_no_violation(context: Any) -> None:
    assert not context.failing_seeds, context.failing_seeds


def _early_lease_end(self: worker_leases.WorkerLeases, now: float) -> float:
    del self
    return now + 0.2


def _has_ended(
    self: worker_leases.WorkerLeases, worker: model.WorkerId, view: Any
) -> float:
    del self, worker, view
    return 0.0


def _always_confirmed(self: consensus.Replica, read_round: int) -> bool:
    del self, read_round
    return True


def _remove_before_promoting(
    now: float, replica: consensus.Replica, *args: Any
) -> messages.Membership | None:
    """Replaces a silent voter in the order that shrinks the quorum first."""
    candidates, wanted_voters = args
    current = replica.membership
    silent = [
        item.keeper
        for item in current.voters
        if membership._silence_s(now, replica, item)
        > membership.SILENT_VOTER_TIMEOUT_S
    ]
    is_replaceable = any(
        replica.is_caught_up(item.keeper)
        and membership._has_just_answered(now, replica, item)
        for item in current.learners
    )
    if silent and is_replaceable and len(current.voters) == wanted_voters:
        return membership._remove_keeper(current, silent[0])
    return _ORIGINAL_VOTER_CHANGE(now, replica, candidates, wanted_voters)


_ORIGINAL_VOTER_CHANGE = membership._next_voter_change


def _remove_no_keeper(
    current: messages.Membership, keeper: str
) -> messages.Membership:
    del keeper
    return current


_ORIGINAL_END_RUN = state_lib._end_run


def _end_current_runs_only(state: state_lib.State, end: Any) -> None:
    found = state.find_task(end.task)
    if found is not None and found[3].run != end.run:
        return
    _ORIGINAL_END_RUN(state, end)


def _reply_from_newest_configuration(
    self: controller.Controller, now: float, item: Any
) -> requests.AnyReply:
    """Resolves a submission's path again after it has been applied."""
    reply = _ORIGINAL_BUILD_REPLY(self, now, item)
    if not isinstance(item.request, requests.SubmitJob):
        return reply
    target = job_requests.resolve_path(
        self.state.configuration, item.request.host, item.request.path
    )
    if isinstance(target, job_requests.Unresolved):
        return requests.Refused(codes.Code.NO_SUCH_QUEUE)
    return reply


_ORIGINAL_BUILD_REPLY = controller.Controller._build_reply


def _always_ready(job: state_lib.Job, key: state_lib.StepKey) -> bool:
    del job, key
    return True


def _count_applied(
    state: state_lib.State,
    fleet: fleet_lib.Fleet,
    reserved_by_index: Mapping[int, reservations_lib.Reservation],
    key: state_lib.StepKey,
) -> dict[model.WorkerId, int]:
    """Counts the applied assignments of a step only."""
    del fleet, reserved_by_index
    step = state.find_step(key)
    assert step is not None
    return dict(
        collections.Counter(
            model.WorkerId(task.worker)
            for task in step.tasks
            if task.phase is model.TaskPhase.ASSIGNED
        )
    )


def _ignore_unwanted_runs(
    self: fleet_lib.Fleet, state: state_lib.State, view: fleet_lib.WorkerView
) -> None:
    _ORIGINAL_REFRESH_USAGE(self, state, view)
    view.unwanted_runs = {}


_ORIGINAL_REFRESH_USAGE = fleet_lib.Fleet.refresh_usage


def _acknowledge_all(state: state_lib.State, view: fleet_lib.WorkerView) -> int:
    del state
    return view.acknowledged_end_number


def _is_always_false(*args: Any) -> bool:
    del args
    return False


def _no_runs(view: fleet_lib.WorkerView) -> dict[model.TaskId, int]:
    del view
    return {}


def _is_always_true(*args: Any) -> bool:
    del args
    return True


def _newest_incarnation(
    request: requests.WorkerLeft, view: fleet_lib.WorkerView | None
) -> int:
    """Takes a leave that names none for one of the present incarnation."""
    present = view.key.incarnation if view is not None else 0
    return request.incarnation or present


def _find_by_name(
    self: queue_changes.Definitions, queue: model.Queue
) -> model.Queue:
    """Finds a queue by its name only."""
    return self._by_name.get(queue.name, queue)


def _refuse_nothing(*args: Any) -> None:
    del args


# Each mutation's target, the attribute that it replaces, and the replacement.
MUTATION_BY_NAME: dict[str, tuple[Any, str, Any]] = {
    "leases are ended early": (
        worker_leases.WorkerLeases,
        "granted_end",
        _early_lease_end,
    ),
    "leadership is not confirmed": (
        consensus.Replica,
        "is_round_confirmed",
        _always_confirmed,
    ),
    "voters are never replaced": (
        membership,
        "_remove_keeper",
        _remove_no_keeper,
    ),
    "silent voters are removed before another one votes": (
        membership,
        "_next_voter_change",
        _remove_before_promoting,
    ),
    "the end of an earlier run is ignored": (
        state_lib,
        "_end_run",
        _end_current_runs_only,
    ),
    "submissions are answered from the newest configuration": (
        controller.Controller,
        "_build_reply",
        _reply_from_newest_configuration,
    ),
    "steps do not wait for earlier ones": (
        state_lib,
        "is_ready",
        _always_ready,
    ),
    "only applied assignments count for the limit per worker": (
        assignment_limits,
        "count_by_worker",
        _count_applied,
    ),
    "the limits are not checked when a task is assigned": (
        assignment_limits,
        "refusal",
        _refuse_nothing,
    ),
    "runs that are no longer wanted do not count": (
        fleet_lib.Fleet,
        "refresh_usage",
        _ignore_unwanted_runs,
    ),
    "a worker that leaves and is silent is gone while its lease runs": (
        worker_leases.WorkerLeases,
        "end_of",
        _has_ended,
    ),
    "orders to an earlier incarnation are taken for void": (
        fleet_lib.WorkerView,
        "ordered_runs",
        _no_runs,
    ),
    "a report that was held back is taken for new": (
        restarts,
        "_follows_all_answers",
        _is_always_true,
    ),
    "a worker that has started again is told to start tasks at once": (
        fleet_lib.WorkerView,
        "may_start",
        _is_always_true,
    ),
    "jobs keep the queue of their acceptance": (
        state_lib.Job,
        "newest_queue",
        property(lambda job: job.queue),
    ),
    "a queue that is renamed is taken for removed": (
        queue_changes.Definitions,
        "newest",
        _find_by_name,
    ),
    "any name is taken for a job's ID": (model, "is_job_id", _is_always_true),
    "jobs are found in each queue": (
        admission,
        "belongs_to_other_queue",
        _is_always_false,
    ),
    "stored jobs of any name are placed": (
        model,
        "has_readable_task_ids",
        _is_always_true,
    ),
    "each list of ends is taken for whole": (
        fleet_lib.WorkerView,
        "lists_all_ends",
        True,
    ),
}
# Mechanisms that are disabled together, since each of them covers for the others.
JOINT_MUTATIONS_BY_NAME: dict[str, tuple[tuple[Any, str, Any], ...]] = {
    "a worker that says that it leaves is gone at once": (
        (departures, "SILENCE_S", 0.0),
        (worker_leases.WorkerLeases, "end_of", _has_ended),
    ),
    "a leave that names no incarnation is taken for one of the newest": (
        (departures, "leaving_incarnation", _newest_incarnation),
        (worker_leases.WorkerLeases, "end_of", _has_ended),
    ),
    "late reports of workers that are gone are acknowledged": (
        (worker_leases.WorkerLeases, "end_of", _has_ended),
        (departures, "SILENCE_S", 0.0),
        (departures.Departures, "is_gone", _is_always_false),
        (run_ends, "acknowledgeable_number", _acknowledge_all),
    ),
}


@contextlib.contextmanager
def _mutated(mechanism: str) -> Iterator[None]:
    """Disables a mechanism of the product."""
    if mechanism in MUTATION_BY_NAME:
        mutations: tuple[tuple[Any, str, Any], ...]
        mutations = (MUTATION_BY_NAME[mechanism],)
    else:
        mutations = JOINT_MUTATIONS_BY_NAME[mechanism]
    with contextlib.ExitStack() as stack:
        for target, name, replacement in mutations:
            stack.enter_context(mock.patch.object(target, name, replacement))
        yield


@when("cluster histories are run while {mechanism}")
def step_run_mutated(context: Any, mechanism: str) -> None:
    context.failing_seeds = []
    with _mutated(mechanism):
        for seed in range(MUTATION_SEEDS):
            with contextlib.suppress(AssertionError):
                cluster_scenarios.run_random_faults(seed)
                if seed < ISOLATED_LEADER_SEEDS:
                    cluster_scenarios.run_isolated_leader(seed)
                if seed < SPECIAL_HISTORIES_SEEDS:
                    cluster_scenarios.run_overlapping_losses(seed)
                    cluster_scenarios.run_queue_changes(seed)
                continue
            context.failing_seeds.append(seed)
            return


@when(
    "cluster histories {kind} are run from seed {first:d} on while {mechanism}"
)
def step_run_mutated_kind(
    context: Any, kind: str, first: int, mechanism: str
) -> None:
    context.failing_seeds = []
    with _mutated(mechanism):
        for seed in range(first, first + MUTATION_SEEDS):
            context.failing_seeds = _collect_failing_seeds(
                HISTORY_BY_KIND[kind], (seed,)
            )
            if context.failing_seeds:
                return


@then("at least one history violates an invariant")
def step_some_violation(context: Any) -> None:
    assert context.failing_seeds
