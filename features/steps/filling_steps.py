"""Steps on pacing filling tasks and on placing tasks beside serving ones."""

from typing import Any

from behave import given
from behave import then
from behave import when

from fulmarrouter import commands
from fulmarrouter.cluster import decision_log
from fulmarrouter.cluster import dispatcher
from fulmarrouter.cluster import interference_model
from fulmarrouter.cluster import log_commands
from fulmarrouter.cluster import model
from fulmarrouter.cluster import pacing
from fulmarrouter.cluster import requests
from fulmarrouter.cluster import run_ends
from fulmarrouter.cluster import snapshots
from fulmarrouter.cluster import state as state_lib

SERVICE = model.ServiceName("s")
QUEUE = model.Queue(model.QueueName("q"), "host", "/q/", SERVICE, 3000)
TAIL_TARGET_MS = 150
PACE_DELAY_S = 0.1


class DispatcherHarness:
    """A dispatcher and its replicated state, without a cluster.

    The caller passes the time, and each command is applied at once.

    Attributes:
        held_commands: If not None, commands are collected here instead, as if
            their commit were pending.
    """

    def __init__(self) -> None:
        self.state = state_lib.State()
        self.decision_buffer = decision_log.DecisionBuffer()
        self.dispatcher = dispatcher.Dispatcher(
            dispatcher.DispatchSettings(), self.decision_buffer
        )
        self.dispatcher.start_term(0.0, self.state)
        self.held_commands: list[log_commands.AnyCommand] | None = None
        self._index = 0
        self._sequence = 0

    def commit(self, command: log_commands.AnyCommand) -> None:
        """Applies a command to the state and notifies the dispatcher."""
        if self.held_commands is not None:
            self.held_commands.append(command)
            return
        self._index += 1
        self.state.apply(self._index, command)
        self.dispatcher.on_applied(self.state, self._index)

    def lose_worker(self, worker: str) -> None:
        """Ends a worker's runs as lost, and forgets the worker."""
        view = self.dispatcher.fleet.view_by_id[model.WorkerId(worker)]
        for command in log_commands.end_runs(
            run_ends.lost_runs(self.state, self.dispatcher.fleet, view.key)
        ):
            self.commit(command)
        self.dispatcher.interference.forget_worker(view.key)
        self.dispatcher.fleet.remove(view.key.worker)

    def submit(self, job: str, step: model.StepSpec) -> None:
        """Submits a job of one step."""
        spec = model.JobSpec("payload", (step,))
        self.commit(log_commands.SubmitJob(model.JobId(job), QUEUE, spec, 0))

    def plan(self, now: float) -> list[log_commands.Assignment]:
        """Plans a round and commits it; returns the assignments."""
        planned = self.dispatcher.planner.plan(now, self.state)
        if planned is None:
            return []
        self.commit(planned)
        self.dispatcher.planner.on_assigned(planned)
        return list(planned.assignments)

    def report(
        self,
        now: float,
        worker: str,
        millicores: int,
        running: tuple[requests.ActiveRun, ...] = (),
        ended: tuple[requests.EndedRun, ...] = (),
        draining: bool = False,
        incarnation: int = 1,
        service: model.ServiceName = SERVICE,
        rack: str = "r",
        labels: tuple[str, ...] = (),
        clock_ms: int = 0,
        drain_time_left_ms: int = 0,
    ) -> requests.Orders:
        """Handles a worker's report; returns the orders that answer it."""
        self._sequence += 1
        report = requests.WorkerReport(
            model.WorkerId(worker),
            incarnation,
            self._sequence,
            service,
            "",
            "z",
            worker,
            rack,
            labels,
            commands.Resources(millicores, 100_000, 0),
            draining,
            drain_time_left_ms,
            running,
            ended,
            clock_ms,
        )
        proposed = self.dispatcher.on_report(now, self.state, report)
        if proposed:
            self.dispatcher.on_proposed(report, self._index + len(proposed))
        for command in proposed or ():
            self.commit(command)
        return self.dispatcher.orders(now, self.state, report, 1)


def ordinary_step(millicores: int) -> model.StepSpec:
    """Returns a step of one ordinary task."""
    return model.StepSpec(1, commands.Resources(millicores, 10, 0), 1000)


def _filling_step(millicores: int, image: str = "f") -> model.StepSpec:
    return model.StepSpec(
        1,
        commands.Resources(millicores, 10, 0),
        10_000,
        image=image,
        fills=True,
        supports_checkpoints=True,
    )


def _serving_step(millicores: int) -> model.StepSpec:
    return model.StepSpec(
        1,
        commands.Resources(millicores, 10, 0),
        runs_until_cancelled=True,
        image="s",
        tail_target_ms=TAIL_TARGET_MS,
    )


# Paces.


@given(
    "a worker with a filling task and a serving task whose tail latency is"
    " {tail:d} ms with a target of 150 ms"
)
def step_serving_and_filling_task(context: Any, tail: int) -> None:
    context.harness = DispatcherHarness()
    context.tail_ms = tail
    context.harness.report(0.0, "w", 64_000)
    context.harness.submit("0a", _serving_step(13_000))
    context.harness.submit("0b", _filling_step(8_000))
    assert len(context.harness.plan(0.1)) == 2


@when(
    "it reports every {interval:d} ms for 0.5 s and applies a pace 100 ms after"
    " the last order"
)
def step_report_and_follow_pace(context: Any, interval: int) -> None:
    now = 0.2
    applied_pace = ordered_pace = pacing.FULL_PACE_PERCENT
    ordered_pace_applies_at = 0.0
    filling = model.TaskId("0b.0.0.0")
    context.applied_paces = []
    while now < 0.75:
        if now >= ordered_pace_applies_at:
            applied_pace = ordered_pace
        running = (
            requests.ActiveRun(
                model.TaskId("0a.0.0.0"), 1, "", 100, context.tail_ms
            ),
            requests.ActiveRun(
                filling, 1, "", int(now * 10), 8_000 * applied_pace // 100
            ),
        )
        orders = context.harness.report(now, "w", 64_000, running)
        for pace in orders.paces:
            ordered_pace = pace.percent
            ordered_pace_applies_at = now + PACE_DELAY_S
        context.applied_paces.append(applied_pace)
        now += interval / 1000


@then("the filling task runs at less than {pace:d} percent")
def step_pace_below(context: Any, pace: int) -> None:
    assert context.applied_paces[-1] < pace, context.applied_paces


@given(
    "a serving task with baseline headroom {baseline:f} and filling tasks with"
    " effect {effects}"
)
def step_headroom_and_effects(
    context: Any, baseline: float, effects: str
) -> None:
    context.baseline_headroom = baseline
    context.effects = [float(item) for item in effects.split(",")]


@when("the paces are computed")
def step_compute_paces(context: Any) -> None:
    estimates = [
        log_commands.InterferenceEffect(f"f{number}", "s", effect, 20)
        for number, effect in enumerate(context.effects)
    ]
    serving = [
        pacing.ServingTask(
            "s", context.baseline_headroom, baseline=context.baseline_headroom
        )
    ]
    filling = [
        pacing.FillingTask(model.TaskId(str(number)), item.filling, 0.125, 0.0)
        for number, item in enumerate(estimates)
    ]
    context.pace_by_task = pacing.compute_paces(
        interference_model.InterferenceModel(estimates), serving, filling
    )


@then("they are {paces} percent")
def step_paces(context: Any, paces: str) -> None:
    found = ",".join(
        str(pace) for _, pace in sorted(context.pace_by_task.items())
    )
    assert found == paces, found


# Effects that the next leader inherits.


@given(
    "a leader that has learned the effect of a filling image on a serving image"
)
def step_leader_with_learned_effect(context: Any) -> None:
    context.harness = DispatcherHarness()
    job = model.JobId("0a")
    effects = context.harness.dispatcher.interference.effects
    for reading in range(20):
        now = reading * 0.2
        undisturbed_task, disturbed_task = model.TaskId("q"), model.TaskId("d")
        effects.add_reading(now, undisturbed_task, job, "s", 3.0, {})
        effects.add_reading(now, disturbed_task, job, "s", 2.0, {"f": 0.1})
    context.learned_effect = effects.effect("f", "s")
    assert context.learned_effect > 2 * interference_model.PRIOR_EFFECT, (
        context.learned_effect
    )


@when(
    "it persists the effect and another keeper becomes leader with the state"
    " from {source}"
)
def step_next_leader(context: Any, source: str) -> None:
    for command in context.harness.dispatcher.effects_to_persist(10.0):
        context.harness.commit(command)
    state = context.harness.state
    if source == "a snapshot":
        state = snapshots.decode(snapshots.encode(state))
    context.next_dispatcher = dispatcher.Dispatcher(
        dispatcher.DispatchSettings()
    )
    context.next_dispatcher.start_term(20.0, state)


@then("the new leader knows the effect")
def step_effect_is_inherited(context: Any) -> None:
    inherited_effect = context.next_dispatcher.interference.effects.effect(
        "f", "s"
    )
    assert abs(inherited_effect - context.learned_effect) < 0.01, (
        inherited_effect,
        context.learned_effect,
    )


# Placement.


@given("a worker whose processors are claimed by a filling task that is {pace}")
def step_claimed_processors(context: Any, pace: str) -> None:
    context.harness = DispatcherHarness()
    context.harness.report(0.0, "w", 16_000)
    context.harness.submit("0a", _serving_step(4_000))
    context.harness.submit("0b", _filling_step(13_000))
    assert len(context.harness.plan(0.1)) == 2
    tail = 500 if pace == "paused" else 20
    for report_number in range(3):
        running = (
            requests.ActiveRun(model.TaskId("0a.0.0.0"), 1, "", 100, tail),
            requests.ActiveRun(
                model.TaskId("0b.0.0.0"), 1, "", report_number, 13_000
            ),
        )
        context.harness.report(0.3 + report_number / 10, "w", 16_000, running)


@when("a filling task that does not interfere waits")
def step_non_interfering_task_waits(context: Any) -> None:
    effects = context.harness.dispatcher.interference.effects
    non_interfering = log_commands.InterferenceEffect("harmless", "s", 0.0, 20)
    estimates = [*effects.take_changed_effects(), non_interfering]
    effects.inherit(estimates)
    context.harness.submit("0c", _filling_step(6_000, "harmless"))
    context.assignments = context.harness.plan(0.65)


@then("it is assigned to {which} worker")
def step_assigned_to(context: Any, which: str) -> None:
    assert bool(context.assignments) == (which == "that"), context.assignments


@given(
    "a worker of {cores:d} cores with a serving task of 13 cores, an image that"
    " interferes strongly with it and one that does not"
)
def step_serving_task_and_two_images(context: Any, cores: int) -> None:
    context.harness = DispatcherHarness()
    context.worker_cores = cores
    context.harness.report(0.0, "w", cores * 1000)
    context.harness.dispatcher.interference.effects.inherit(
        [
            log_commands.InterferenceEffect("heavy", "s", 30.0, 20),
            log_commands.InterferenceEffect("harmless", "s", 0.0, 20),
        ]
    )
    context.harness.submit("0a", _serving_step(13_000))
    assert len(context.harness.plan(0.1)) == 1
    running = (requests.ActiveRun(model.TaskId("0a.0.0.0"), 1, "", 100, 60),)
    context.harness.report(0.3, "w", cores * 1000, running)


@when("a filling task of each image waits, the interfering one first")
def step_both_images_wait(context: Any) -> None:
    context.harness.submit("0b", _filling_step(8_000, "heavy"))
    context.harness.submit("0c", _filling_step(8_000, "harmless"))
    context.assignments = context.harness.plan(0.4)


@when("a filling task of the interfering image has waited for {age:d} s")
def step_interfering_task_has_waited(context: Any, age: int) -> None:
    harness = context.harness
    harness.submit("0b", _filling_step(8_000, "heavy"))
    assert not harness.plan(0.4)
    running = (requests.ActiveRun(model.TaskId("0a.0.0.0"), 1, "", 100, 60),)
    harness.report(0.4 + age, "w", context.worker_cores * 1000, running)
    context.assignments = harness.plan(0.4 + age)


@then("only the one that does not interfere is assigned to the worker")
def step_only_non_interfering_assigned(context: Any) -> None:
    assert [item.task for item in context.assignments] == ["0c.0.0.0"], (
        context.assignments
    )


@given("workers with 4, 9 and 20 free cores")
def step_workers_with_free_cores(context: Any) -> None:
    context.harness = DispatcherHarness()
    # Largest first, so that choosing the first worker that fits is noticed.
    for cores in (20, 9, 4):
        context.harness.report(0.0, f"w{cores}", cores * 1000)


@when("an ordinary task of {cores:d} cores waits")
def step_ordinary_task_waits(context: Any, cores: int) -> None:
    context.harness.submit("0a", ordinary_step(cores * 1000))
    context.assignments = context.harness.plan(0.1)


@then("it is assigned to the worker with {cores:d} free cores")
def step_assigned_to_tightest_fit(context: Any, cores: int) -> None:
    assert [item.worker for item in context.assignments] == [f"w{cores}"]


@then(
    "the load line shows {free:d} free cores, a largest gap of {gap:d} and"
    " {waiting:d} ordinary task waiting"
)
def step_load_line(context: Any, free: int, gap: int, waiting: int) -> None:
    context.harness.dispatcher.log_load(0.2, context.harness.state)
    (fields,) = [
        decision.fields
        for decision in context.harness.decision_buffer.take()
        if decision.event == "load"
    ]
    assert fields["free_cores"] == free, fields
    assert fields["largest_gap_cores"] == gap, fields
    assert fields["waiting_ordinary"] == waiting, fields


# Suspect workers.


@given("a free worker on which a task has failed and {count:d} full ones")
def step_suspect_worker(context: Any, count: int) -> None:
    context.harness = DispatcherHarness()
    context.now = 0.0
    context.millicores_by_worker = {
        **{f"full{number}": 500 for number in range(count)},
        "suspect": 16_000,
    }
    _report_all(context)
    view = context.harness.dispatcher.fleet.view_by_id[
        model.WorkerId("suspect")
    ]
    view.worker_health.record_failure(0.0, model.JobId("0f"))


def _report_all(context: Any) -> None:
    """Sends a report of each worker."""
    for worker, millicores in context.millicores_by_worker.items():
        context.harness.report(context.now, worker, millicores)


@when("all workers go on reporting for {seconds:d} s")
def step_keep_reporting(context: Any, seconds: int) -> None:
    for _ in range(seconds):
        context.now += 1.0
        _report_all(context)
        context.assignments = context.harness.plan(context.now)


@when("a free worker without failures reports")
def step_sound_worker(context: Any) -> None:
    context.millicores_by_worker["sound"] = 64_000
    _report_all(context)


@when("a task waits that has failed in {failures:d} of {allowed:d} attempts")
def step_failed_before(context: Any, failures: int, allowed: int) -> None:
    queue = model.Queue(
        model.QueueName("q"), "h", "/q/", SERVICE, 3000, 0, allowed
    )
    spec = model.JobSpec("payload", (ordinary_step(1000),))
    harness = context.harness
    harness.commit(log_commands.SubmitJob(model.JobId("0a"), queue, spec, 0))
    found = harness.state.find_task(model.TaskId("0a.0.0.0"))
    assert found is not None
    found[3].failures = failures
    context.assignments = harness.plan(context.now + 0.1)


@then("it goes to the suspect worker")
def step_assigned_to_suspect_worker(context: Any) -> None:
    assert [item.worker for item in context.assignments] == ["suspect"]


@then("it goes to the worker without failures")
def step_assigned_to_sound_worker(context: Any) -> None:
    assert [item.worker for item in context.assignments] == ["sound"]


@then("it waits")
def step_task_waits(context: Any) -> None:
    assert not context.assignments


# A worker on trial.


@given("a free worker that is on trial after a probation")
def step_worker_on_trial(context: Any) -> None:
    context.harness = DispatcherHarness()
    context.harness.report(0.0, "trial", 16_000)
    view = context.harness.dispatcher.fleet.view_by_id[model.WorkerId("trial")]
    view.worker_health.on_trial = True


@when("a gang of {tasks:d} tasks waits")
def step_gang_waits(context: Any, tasks: int) -> None:
    needs = commands.Resources(1000, 10, 0)
    context.harness.submit("0a", model.StepSpec(tasks, needs, 1000, gang=True))
    context.assignments = context.harness.plan(0.1)


@then("both tasks are assigned to the worker on trial")
def step_gang_on_trial(context: Any) -> None:
    workers = [item.worker for item in context.assignments]
    assert workers == ["trial", "trial"], workers


@given(
    "{trials:d} workers on trial with 16 cores, and one without failures with"
    " {free:d} of {cores:d} cores free"
)
def step_workers_on_trial(
    context: Any, trials: int, free: int, cores: int
) -> None:
    context.harness = DispatcherHarness()
    context.now = 0.0
    context.millicores_by_worker = {
        f"trial{number}": 16_000 for number in range(trials)
    }
    if cores:
        context.millicores_by_worker["sound"] = cores * 1000
    _report_all(context)
    if free < cores:
        context.harness.submit("0b", ordinary_step((cores - free) * 1000))
        planned = context.harness.plan(0.0)
        assert [item.worker for item in planned] == ["sound"], planned
    for worker, view in context.harness.dispatcher.fleet.view_by_id.items():
        view.worker_health.on_trial = worker.startswith("trial")


@given("the worker on trial runs a task")
def step_trial_runs_task(context: Any) -> None:
    context.harness.submit("0b", ordinary_step(1000))
    assert context.harness.plan(0.0)


@given("the worker on trial is on probation, as is each worker of its service")
def step_trial_on_probation(context: Any) -> None:
    views = context.harness.dispatcher.fleet.view_by_id
    views[model.WorkerId("trial0")].worker_health.probation_until = 30.0


@when("a gang of {tasks:d} tasks waits for {seconds:d} s")
def step_gang_waits_for(context: Any, tasks: int, seconds: int) -> None:
    needs = commands.Resources(1000, 10, 0)
    context.harness.submit("0a", model.StepSpec(tasks, needs, 1000, gang=True))
    _play_waiting(context, seconds)


@when("a gang of {tasks:d} tasks goes on waiting for {seconds:d} s")
def step_gang_goes_on_waiting(context: Any, tasks: int, seconds: int) -> None:
    _play_waiting(context, seconds)
    assert len(context.assignments) == tasks, context.assignments


@when("a colocated step of {tasks:d} tasks waits for {seconds:d} s")
def step_colocated_waits_for(context: Any, tasks: int, seconds: int) -> None:
    needs = commands.Resources(1000, 10, 0)
    context.harness.submit(
        "0a", model.StepSpec(tasks, needs, 1000, colocate=True)
    )
    _play_waiting(context, seconds)


@when("the task on the worker without failures ends")
def step_sound_task_ends(context: Any) -> None:
    ended = (
        requests.EndedRun(
            1, model.TaskId("0b.0.0.0"), 1, model.Outcome.DONE, ""
        ),
    )
    cores = context.millicores_by_worker["sound"]
    context.harness.report(context.now, "sound", cores, ended=ended)


def _play_waiting(context: Any, seconds: int) -> None:
    """Plans and reports until tasks are assigned or the time is over."""
    context.assignments = []
    end = context.now + seconds
    began_at = context.now
    while context.now < end and not context.assignments:
        context.now += 0.05
        _report_all(context)
        context.assignments = context.harness.plan(context.now)
    context.waited_s = context.now - began_at


@then("it does not start")
def step_gang_does_not_start(context: Any) -> None:
    assert not context.assignments, context.assignments


@then(
    "it starts after {least:f} to {most:f} s with {at_risk:d} tasks on workers"
    " on trial"
)
def step_gang_starts(
    context: Any, least: float, most: float, at_risk: int
) -> None:
    assert context.assignments
    assert least <= context.waited_s <= most, context.waited_s
    workers = [item.worker for item in context.assignments]
    found = sum(worker.startswith("trial") for worker in workers)
    assert found == at_risk, workers
