"""Fuzzing of a leader with random jobs and worker reports.

Bodies are random but well-formed JSON. They pass the production decoders and
request checks first; what those refuse does not reach the leader.
"""

from collections.abc import Callable
from collections.abc import Iterable
import json
import random
from typing import Any

from fleet_adapter import configuration_format
from fleet_adapter import job_format
from fleet_adapter import worker_format

from features.steps import filling_steps
from features.steps import reporting_steps
from fulmarrouter import errors
from fulmarrouter.cluster import log_commands
from fulmarrouter.cluster import model
from fulmarrouter.cluster import request_checks
from fulmarrouter.cluster import requests
from fulmarrouter.cluster import snapshots

# Requests per seed, and the leader's turns after each accepted one.
CALL_COUNT = 60
TURNS_AFTER_CALL = 6
# Bounds of an answer to a report and of a log entry. A worker reads an answer of
# up to 4 MiB, of which JSON escapes may be a part, and a frame holds 16 MiB.
MAX_ANSWER_BYTES = 1 << 20
MAX_ENTRY_BYTES = 4 << 20
LARGE_TASK_COUNTS = (1000, 4300, 20_000)
LONG_TEXTS = ("", "x" * 100, "x" * 4000, "é" * 2000, "x" * 70_000)
# Valid, unusual and invalid values for fields of each type.
INTEGER_VALUES = (
    0,
    1,
    2,
    5,
    7,
    100,
    1000,
    10**6,
    2**31,
    2**62,
    -1,
    -5,
    -(2**62),
)
TASK_COUNTS = (1, 2, 3, 20)
TEXT_VALUES = (
    "",
    "s1",
    "r1",
    "..",
    "a.b.c.d",
    "x" * 50,
    "é☃",
    "0a",
    "0a.0.0.0",
    "0a.0.1.0",
    "0a.0.0.99",
    "0a.-1.0.0",
    "0a.0.-1.0",
    "0a.0.0.-1",
)
STEP_INTEGER_FIELDS = (
    "cpu",
    "mem_mb",
    "gpu",
    "estimated_ms",
    "anti_affinity",
    "target_ms",
    "may_miss",
)
STEP_BOOLEAN_FIELDS = (
    "checkpointing",
    "gang",
    "colocate",
    "allow_duplicates",
    "long_running",
    "fills",
)
STEP_TEXT_FIELDS = ("requirements", "affinity", "image")
REPETITION_FIELDS = ("repetitions", "initial_delay_ms", "interval_ms")
USAGE_VALUES = (0, -1, 900, 1e9, 0.5, -3.2)
STRETCH_VALUES = (0, -1, 1e308, -1e308, 5e-324, 1.5)
JOB_BODY = json.dumps(
    {"spec": "", "steps": [{"count": 2, "cpu": 500, "estimated_ms": 10**15}]}
).encode()
NOW_MS = 1_790_000_000_000  # Wall-clock time, in 2026.
# Probability that an optional field is given.
FIELD_PROBABILITY = 0.25


class _BodyGenerator:
    """Generates the bodies of random submissions and heartbeats."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def job(self) -> bytes:
        """Returns the body of a job submission."""
        steps = [self._step() for _ in range(self._rng.choice((1, 1, 2, 3)))]
        for number, step in enumerate(steps):
            if number and self._rng.random() < 0.5:
                step["after"] = [self._rng.randrange(number)]
        body: dict[str, Any] = {"spec": self._text(), "steps": steps}
        if self._rng.random() < FIELD_PROBABILITY:
            body |= {field: self._number() for field in REPETITION_FIELDS}
        return json.dumps(body).encode()

    def heartbeat(self, sequence: int) -> bytes:
        """Returns the body of a worker's heartbeat."""
        rng = self._rng
        capacity = {
            "cpu": rng.choice((0, 8_000, 64_000, self._number())),
            "mem_mb": rng.choice((1000, self._number())),
            "gpu": 0,
        }
        body = {
            "service": rng.choice((filling_steps.SERVICE, "x")),
            "address": "127.0.0.1:1",
            "zone": self._text(),
            "version": self._text(),
            "slots": 8,
            "cold_remaining_ms": 0,
            "state": rng.choice(worker_format.WORKER_STATES),
            "sequence": rng.choice((sequence, sequence, self._number())),
            "born": rng.choice((1, 2, self._number())),
            "capacity": capacity,
            "labels": [self._text() for _ in range(rng.randrange(3))],
            "machine": self._text(),
            "drain_remaining_ms": self._number(),
            "running": [self._run() for _ in range(rng.choice((0, 1, 3)))],
            "ended": [self._end() for _ in range(rng.choice((0, 0, 1, 3)))],
        }
        return json.dumps(body).encode()

    def configuration(self, version: int) -> bytes:
        """Returns the body of a configuration with one queue."""
        rng = self._rng
        route: dict[str, Any] = {
            "name": self._text(),
            "host": "h",
            "path_prefix": "/q/",
            "service": filling_steps.SERVICE,
            "timeout_ms": rng.choice((1, 3000, self._number())),
        }
        for field in ("priority", "max_attempts", "target_duration_ms"):
            if rng.random() < 0.5:
                route[field] = self._number()
        if rng.random() < 0.5:
            route["stretch"] = rng.choice(STRETCH_VALUES)
        services = [{"name": filling_steps.SERVICE}]
        body = {"version": version, "routes": [route], "services": services}
        return json.dumps(body).encode()

    def _number(self) -> int:
        return self._rng.choice(INTEGER_VALUES)

    def _text(self) -> str:
        return self._rng.choice(TEXT_VALUES)

    def _step(self) -> dict[str, Any]:
        step: dict[str, Any] = {"count": self._rng.choice(TASK_COUNTS)}
        draw_by_fields = (
            (STEP_INTEGER_FIELDS, self._number),
            (STEP_BOOLEAN_FIELDS, lambda: True),
            (STEP_TEXT_FIELDS, self._text),
        )
        for fields, draw in draw_by_fields:
            for field in fields:
                if self._rng.random() < FIELD_PROBABILITY:
                    step[field] = draw()
        return step

    def _run(self) -> list[Any]:
        return [
            self._text(),
            self._number(),
            self._text(),
            self._number(),
            self._rng.choice(USAGE_VALUES),
        ]

    def _end(self) -> list[Any]:
        outcome = self._rng.choice(tuple(worker_format.OUTCOME_BY_NAME))
        return [
            self._number(),
            self._text(),
            self._number(),
            outcome,
            self._text(),
        ]


class _LargeBodyGenerator(_BodyGenerator):
    """Generates jobs of many tasks, and long strings in all bodies."""

    def job(self) -> bytes:
        step = {"count": self._rng.choice(LARGE_TASK_COUNTS), "cpu": 1}
        step["estimated_ms"] = 10**6
        return json.dumps({"spec": self._text(), "steps": [step]}).encode()

    def heartbeat(self, sequence: int) -> bytes:
        body = json.loads(super().heartbeat(sequence))
        body |= {
            "sequence": sequence,
            "born": 1,
            "state": "ready",
            "service": filling_steps.SERVICE,
            "capacity": {"cpu": 64_000, "mem_mb": 1000, "gpu": 0},
        }
        return json.dumps(body).encode()

    def _text(self) -> str:
        return self._rng.choice(LONG_TEXTS)


def run(seed: int, is_large: bool = False) -> int:
    """Sends random requests to a leader; returns how many were accepted.

    Args:
        seed: Seed of the requests.
        is_large: Whether jobs have thousands of tasks and strings are long.

    Raises:
        Exception: An exception that would have ended the leader's process, or
            an answer or log entry is too large.
    """
    rng = random.Random(seed)
    generator_type = _LargeBodyGenerator if is_large else _BodyGenerator
    generator = generator_type(rng)
    leader = reporting_steps.SingleVoterLeader()
    accepted_count = 0
    for number in range(CALL_COUNT):
        try:
            request: requests.AnyRequest
            if rng.random() < 0.3:
                spec = job_format.decode_job(generator.job())
                path = f"/q/{rng.randrange(40):02x}"
                request = requests.SubmitJob("host", path, spec)
            else:
                worker = f"w{rng.randrange(4)}"
                if is_large:
                    worker += rng.choice(LONG_TEXTS)
                body = generator.heartbeat(number)
                request = worker_format.decode_heartbeat(worker, body)
        except errors.RequestError:
            continue
        if request_checks.find_problem(request):
            continue
        accepted_count += 1
        _deliver(leader, request)
        for _ in range(TURNS_AFTER_CALL):
            _take_turn(leader)
    # The next leader must be able to start its term from this state, and the
    # state must fit into a snapshot.
    leader.controller.dispatcher.start_term(
        leader.now, leader.controller.state, 0
    )
    snapshots.encode(leader.controller.state)
    return accepted_count


def run_configurations(seed: int) -> int:
    """Sends random configurations and jobs; returns how many were accepted.

    Raises:
        Exception: An exception that would have ended the leader's process.
    """
    rng = random.Random(seed)
    generator = _BodyGenerator(rng)
    leader = reporting_steps.SingleVoterLeader()
    accepted_count = 0
    for version in range(1, CALL_COUNT // 2):
        try:
            configuration = configuration_format.decode_configuration(
                generator.configuration(version)
            )
        except errors.RequestError:
            continue
        replacement = requests.ReplaceConfiguration(configuration)
        if request_checks.find_problem(replacement):
            continue
        accepted_count += 1
        leader.controller.on_request(
            leader.now, 0, reporting_steps.CLIENT, replacement
        )
        leader.report()
        for number in range(3):
            spec = job_format.decode_job(JOB_BODY)
            submission = requests.SubmitJob(
                "h", f"/q/{version:04x}{number}", spec
            )
            leader.controller.on_request(
                leader.now, NOW_MS, reporting_steps.CLIENT, submission
            )
            for _ in range(TURNS_AFTER_CALL):
                _take_turn(leader)
    snapshots.encode(leader.controller.state)
    return accepted_count


def _take_turn(leader: reporting_steps.SingleVoterLeader) -> None:
    """Runs a turn of the leader and checks the sizes of what it produced."""
    log = leader.controller.replica.log
    last_index = log.last_index
    for answered in leader.turn():
        size = len(requests.encode(answered.reply))
        assert size <= MAX_ANSWER_BYTES, f"an answer of {size} bytes"
    for entry in log.range(last_index + 1, log.last_index):
        assert len(entry.data) <= MAX_ENTRY_BYTES, (
            f"a log entry of {len(entry.data)} bytes"
        )


def _deliver(
    leader: reporting_steps.SingleVoterLeader, request: requests.AnyRequest
) -> None:
    controller = leader.controller
    if not isinstance(request, requests.SubmitJob):
        controller.on_request(leader.now, 0, reporting_steps.CLIENT, request)
        return
    job = model.JobId(request.path.rpartition("/")[2])
    command = log_commands.SubmitJob(job, filling_steps.QUEUE, request.spec, 0)
    controller.replica.propose(log_commands.encode(command))


def run_seeds(
    fuzz: Callable[[int], int], seeds: Iterable[int]
) -> tuple[int, list[str]]:
    """Fuzzes with each seed.

    Returns:
        How many requests were accepted in all, and the seeds that failed with
        their exceptions.
    """
    accepted_count = 0
    failing_seeds = []
    for seed in seeds:
        try:
            accepted_count += fuzz(seed)
        except Exception as error:
            failing_seeds.append(f"seed {seed}: {error!r}")
    return accepted_count, failing_seeds
