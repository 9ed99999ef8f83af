"""Steps on pacing and placing tasks beside serving ones."""

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
from fulmarrouter.cluster import state as state_lib

SERVICE = model.ServiceName("s")
QUEUE = model.Queue(model.QueueName("q"), "host", "/q/", SERVICE, 3000)
TARGET_MS = 150
PACE_DELAY_S = 0.1


class Bench:
    """A dispatcher with a state, driven by hand."""

    def __init__(self) -> None:
        self.state = state_lib.State()
        self.decisions = decision_log.DecisionBuffer()
        self.dispatcher = dispatcher.Dispatcher(
            dispatcher.DispatchSettings(), self.decisions
        )
        self.dispatcher.start_term(0.0, self.state)
        self._index = 0
        self._sequence = 0

    def commit(self, command: log_commands.AnyCommand) -> None:
        """Applies a command as the leader does."""
        self._index += 1
        self.state.apply(self._index, command)
        self.dispatcher.on_applied(self.state, self._index)

    def submit(self, job: str, step: model.StepSpec) -> None:
        """Submits a job of one step."""
        spec = model.JobSpec("payload", (step,))
        self.commit(log_commands.SubmitJob(model.JobId(job), QUEUE, spec, 0))

    def plan(self, now: float) -> list[log_commands.Assignment]:
        """Plans and commits; returns the assignments."""
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
    ) -> requests.Orders:
        """Has a worker report; returns the orders that it gets."""
        self._sequence += 1
        report = requests.WorkerReport(
            model.WorkerId(worker),
            incarnation,
            self._sequence,
            SERVICE,
            "",
            "z",
            worker,
            "r",
            (),
            commands.Resources(millicores, 100_000, 0),
            draining,
            0,
            running,
            ended,
        )
        for command in self.dispatcher.on_report(now, self.state, report) or ():
            self.commit(command)
        return self.dispatcher.orders(now, self.state, report, 1)


def ordinary(millicores: int) -> model.StepSpec:
    """Returns a step of one ordinary task."""
    return model.StepSpec(1, commands.Resources(millicores, 10, 0), 1000)


def _filling(millicores: int, image: str = "f") -> model.StepSpec:
    return model.StepSpec(
        1,
        commands.Resources(millicores, 10, 0),
        10_000,
        image=image,
        fills=True,
        supports_checkpoints=True,
    )


def _serving(millicores: int) -> model.StepSpec:
    return model.StepSpec(
        1,
        commands.Resources(millicores, 10, 0),
        long_running=True,
        image="s",
        tail_target_ms=TARGET_MS,
    )


# Paces.


@given(
    "a worker with a serving task at {tail:d} ms of 150 ms and a filling task"
    " beside it"
)
def step_disturbed(context: Any, tail: int) -> None:
    context.bench = Bench()
    context.tail = tail
    context.bench.report(0.0, "w", 64_000)
    context.bench.submit("0a", _serving(13_000))
    context.bench.submit("0b", _filling(8_000))
    assert len(context.bench.plan(0.1)) == 2


@when(
    "it reports each {interval:d} ms for 0.5 s and follows a pace 100 ms after it"
    " was last told"
)
def step_follow(context: Any, interval: int) -> None:
    now = 0.2
    followed = ordered = pacing.FULL_PACE_PERCENT
    followed_from = 0.0
    filling = model.TaskId("0b.0.0.0")
    context.paces = []
    while now < 0.75:
        if now >= followed_from:
            followed = ordered
        running = (
            requests.ActiveRun(
                model.TaskId("0a.0.0.0"), 1, "", 100, context.tail
            ),
            requests.ActiveRun(
                filling, 1, "", int(now * 10), 8_000 * followed // 100
            ),
        )
        orders = context.bench.report(now, "w", 64_000, running)
        for pace in orders.paces:
            ordered = pace.percent
            followed_from = now + PACE_DELAY_S
        context.paces.append(followed)
        now += interval / 1000


@then("the filling task goes at less than {pace:d} percent")
def step_slowed(context: Any, pace: int) -> None:
    assert context.paces[-1] < pace, context.paces


@given(
    "serving tasks with headroom {alone:f} and filling tasks that take {effects}"
    " per worker"
)
def step_effects(context: Any, alone: float, effects: str) -> None:
    context.alone = alone
    context.effects = [float(item) for item in effects.split(",")]


@when("the paces are decided")
def step_decide(context: Any) -> None:
    learned = [
        log_commands.InterferenceEffect(f"f{number}", "s", effect, 20)
        for number, effect in enumerate(context.effects)
    ]
    serving = [pacing.ServingTask("s", context.alone, baseline=context.alone)]
    filling = [
        pacing.FillingTask(model.TaskId(str(number)), item.filling, 0.125, 0.0)
        for number, item in enumerate(learned)
    ]
    context.paces = pacing.compute_paces(
        interference_model.InterferenceModel(learned), serving, filling
    )


@then("they are {paces} percent")
def step_paces(context: Any, paces: str) -> None:
    found = ",".join(str(pace) for _, pace in sorted(context.paces.items()))
    assert found == paces, found


# What is kept.


@given("a leader that has learned that an image disturbs another")
def step_learned(context: Any) -> None:
    context.bench = Bench()
    job = model.JobId("0a")
    effects = context.bench.dispatcher.interference.effects
    for step in range(20):
        now = step * 0.2
        quiet, disturbed = model.TaskId("q"), model.TaskId("d")
        effects.add_reading(now, quiet, job, "s", 3.0, {})
        effects.add_reading(now, disturbed, job, "s", 2.0, {"f": 0.1})
    context.learned = effects.effect("f", "s")
    assert context.learned > 2 * interference_model.PRIOR_EFFECT, (
        context.learned
    )


@when(
    "it keeps what it has learned and another keeper takes office from {source}"
)
def step_next_leader(context: Any, source: str) -> None:
    for command in context.bench.dispatcher.effects_to_persist(10.0):
        context.bench.commit(command)
    state = context.bench.state
    if source == "a snapshot":
        state = state_lib.decode(state.encode())
    context.next = dispatcher.Dispatcher(dispatcher.DispatchSettings())
    context.next.start_term(20.0, state)


@then("the new leader knows the effect")
def step_inherited(context: Any) -> None:
    known = context.next.interference.effects.effect("f", "s")
    assert abs(known - context.learned) < 0.01, (known, context.learned)


# Placing.


@given("a worker whose processors are claimed by a filling task that is {pace}")
def step_claimed(context: Any, pace: str) -> None:
    context.bench = Bench()
    context.bench.report(0.0, "w", 16_000)
    context.bench.submit("0a", _serving(4_000))
    context.bench.submit("0b", _filling(13_000))
    assert len(context.bench.plan(0.1)) == 2
    tail = 500 if pace == "paused" else 20
    for step in range(3):
        running = (
            requests.ActiveRun(model.TaskId("0a.0.0.0"), 1, "", 100, tail),
            requests.ActiveRun(model.TaskId("0b.0.0.0"), 1, "", step, 13_000),
        )
        context.bench.report(0.3 + step / 10, "w", 16_000, running)


@when("a filling task that disturbs nobody waits")
def step_harmless(context: Any) -> None:
    effects = context.bench.dispatcher.interference.effects
    harmless = log_commands.InterferenceEffect("harmless", "s", 0.0, 20)
    inherited = [*effects.take_changed_effects(), harmless]
    effects.inherit(inherited)
    context.bench.submit("0c", _filling(6_000, "harmless"))
    context.given = context.bench.plan(0.65)


@then("it is given to {which} worker")
def step_given(context: Any, which: str) -> None:
    assert bool(context.given) == (which == "that"), context.given


@given(
    "a worker of {cores:d} cores with a serving task of 13 that one image"
    " disturbs much and one not at all"
)
def step_two_images(context: Any, cores: int) -> None:
    context.bench = Bench()
    context.cores = cores
    context.bench.report(0.0, "w", cores * 1000)
    context.bench.dispatcher.interference.effects.inherit(
        [
            log_commands.InterferenceEffect("heavy", "s", 30.0, 20),
            log_commands.InterferenceEffect("harmless", "s", 0.0, 20),
        ]
    )
    context.bench.submit("0a", _serving(13_000))
    assert len(context.bench.plan(0.1)) == 1
    running = (requests.ActiveRun(model.TaskId("0a.0.0.0"), 1, "", 100, 60),)
    context.bench.report(0.3, "w", cores * 1000, running)


@when("a filling task of each image waits, the disturbing one first")
def step_both_wait(context: Any) -> None:
    context.bench.submit("0b", _filling(8_000, "heavy"))
    context.bench.submit("0c", _filling(8_000, "harmless"))
    context.given = context.bench.plan(0.4)


@when("a filling task of the disturbing image has waited for {age:d} s")
def step_starving(context: Any, age: int) -> None:
    bench = context.bench
    bench.submit("0b", _filling(8_000, "heavy"))
    assert not bench.plan(0.4)
    running = (requests.ActiveRun(model.TaskId("0a.0.0.0"), 1, "", 100, 60),)
    bench.report(0.4 + age, "w", context.cores * 1000, running)
    context.given = bench.plan(0.4 + age)


@then("only the one that disturbs nobody is given to the worker")
def step_harmless_only(context: Any) -> None:
    assert [item.task for item in context.given] == ["0c.0.0.0"], context.given


@given("workers with 4, 9 and 20 cores free")
def step_gaps(context: Any) -> None:
    context.bench = Bench()
    # The largest first, so that the order of reports doesn't decide.
    for cores in (20, 9, 4):
        context.bench.report(0.0, f"w{cores}", cores * 1000)


@when("an ordinary task of {cores:d} cores waits")
def step_ordinary(context: Any, cores: int) -> None:
    context.bench.submit("0a", ordinary(cores * 1000))
    context.given = context.bench.plan(0.1)


@then("it is given to the worker with {cores:d} cores free")
def step_fitted(context: Any, cores: int) -> None:
    assert [item.worker for item in context.given] == [f"w{cores}"]


@then(
    "the load line shows {free:d} free cores, a largest gap of {gap:d} and"
    " {waiting:d} ordinary task waiting"
)
def step_load_line(context: Any, free: int, gap: int, waiting: int) -> None:
    context.bench.dispatcher.log_load(0.2, context.bench.state)
    (fields,) = [
        decision.fields
        for decision in context.bench.decisions.take()
        if decision.event == "load"
    ]
    assert fields["free_cores"] == free, fields
    assert fields["largest_gap_cores"] == gap, fields
    assert fields["waiting_ordinary"] == waiting, fields


# Suspect workers.


@given("a free worker on which a task has failed and {count:d} full ones")
def step_suspect_worker(context: Any, count: int) -> None:
    context.bench = Bench()
    for number in range(count):
        context.bench.report(0.0, f"full{number}", 500)
    context.bench.report(0.0, "suspect", 16_000)
    view = context.bench.dispatcher.fleet.view_by_id[model.WorkerId("suspect")]
    view.worker_health.record_failure(0.0, model.JobId("0f"))


@when("a task waits that has failed {failures:d} times of {allowed:d}")
def step_failed_before(context: Any, failures: int, allowed: int) -> None:
    queue = model.Queue(
        model.QueueName("q"), "h", "/q/", SERVICE, 3000, 0, allowed
    )
    spec = model.JobSpec("payload", (ordinary(1000),))
    bench = context.bench
    bench.commit(log_commands.SubmitJob(model.JobId("0a"), queue, spec, 0))
    found = bench.state.find_task(model.TaskId("0a.0.0.0"))
    assert found is not None
    found[3].failures = failures
    context.given = bench.plan(0.1)


@then("it goes to the suspect worker")
def step_goes(context: Any) -> None:
    assert [item.worker for item in context.given] == ["suspect"]


@then("it waits")
def step_waits(context: Any) -> None:
    assert not context.given
