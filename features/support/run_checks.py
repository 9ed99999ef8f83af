"""The rules for starts of tasks, checked in the shared view of all workers."""

import dataclasses
import pathlib
import queue
import threading
import time
from typing import Any

SERVICE_BY_QUEUE = {"/a/": "booking", "/b/": "booking", "/d/": "depot"}
# Queues that are removed and added again. Their prefixes begin with that of another.
NESTED_QUEUES = ("/b/v1.0/", "/b/v1.1/")
# A queue that is sent from one service to the other. In the end it is sent to the
# first one, and the workers of the other one are gone.
MOVED_QUEUE = "/m/"
MOVED_QUEUE_SERVICES = ("booking", "annex")
SERVICES_BY_QUEUE = {
    **{queue: (service,) for queue, service in SERVICE_BY_QUEUE.items()},
    **dict.fromkeys(NESTED_QUEUES, (SERVICE_BY_QUEUE["/b/"],)),
    MOVED_QUEUE: MOVED_QUEUE_SERVICES,
}


def step_key(task: str) -> str:
    """Returns the step of a task: its name without the index."""
    return task.rpartition(".")[0]


@dataclasses.dataclass
class Job:
    """A job that clients submit.

    Attributes:
        answers: Statuses of all attempts to submit it; 0 without an answer.
        is_cancelled: Whether a client has asked to cancel it.
    """

    id: str
    queue: str
    payload: str
    steps: list[dict[str, Any]]
    answers: list[int] = dataclasses.field(default_factory=list)
    is_cancelled: bool = False

    @property
    def is_lasting(self) -> bool:
        return bool(self.steps[0].get("long_running"))

    @property
    def is_accepted(self) -> bool:
        return any(200 <= status < 300 for status in self.answers)

    @property
    def is_rejected(self) -> bool:
        """Whether each attempt to submit it was clearly refused."""
        return bool(self.answers) and all(
            status in (404, 429) or status == 503 for status in self.answers
        )

    def tasks_of(self, step: int) -> list[str]:
        """Returns the names of a step's tasks."""
        return [
            f"{self.id}.0.{step}.{index}"
            for index in range(self.steps[step]["count"])
        ]


@dataclasses.dataclass
class Run:
    """A run in progress on a worker; times are monotonic."""

    task: str
    run: int
    step: dict[str, Any]
    started_at: float
    ends_at: float
    stops_at: float = float("inf")
    remaining_s: float = 0.0
    pace: int = 100
    paced_at: float = 0.0


class Record:
    """Events of one seed, in a file."""

    def __init__(self, path: pathlib.Path) -> None:
        self._started_at = time.monotonic()
        self._lock = threading.Lock()
        self._file = path.open("w", encoding="utf-8")

    def add(self, event: str, **fields: Any) -> None:
        """Writes one line with the time of day, as the logs have it."""
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        elapsed = time.monotonic() - self._started_at
        clock = time.strftime("%H:%M:%S", time.gmtime())
        line = f"{elapsed:8.3f} {clock} {event} {text}\n"
        with self._lock:
            if not self._file.closed:
                self._file.write(line)
                self._file.flush()

    def close(self) -> None:
        with self._lock:
            self._file.close()


class RunChecks:
    """What all workers run, and the rules that each start must keep.

    Callers hold `lock` during all calls.

    Attributes:
        lives: The live workers.
        violations: One text for each rule that was broken.
        stopped_tasks: Tasks that last, each time one is told to stop.
    """

    def __init__(self, record: Record) -> None:
        self.lock = threading.RLock()
        self.record = record
        self.job_by_id: dict[str, Job] = {}
        self.lives: list[Any] = []
        self.violations: list[str] = []
        self.starts = 0
        self.ended_done: set[str] = set()
        self.stopped_tasks: queue.SimpleQueue[str] = queue.SimpleQueue()
        self._started_by_task: dict[str, list[float]] = {}
        self._noted_tasks: set[str] = set()

    def add_violation(self, rule: str, **fields: Any) -> None:
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.violations.append(f"{rule}: {text}")
        self.record.add("VIOLATION", rule=rule, **fields)

    def advance(self, now: float) -> None:
        """Ends what has ended on any worker by now."""
        for life in self.lives:
            life.advance(now)

    def find_step(self, task: str) -> dict[str, Any] | None:
        """Returns a task's step, or None if nobody submitted the task."""
        job_id, occurrence, step, index = task.split(".")
        job = self.job_by_id.get(job_id)
        if job is None or occurrence != "0" or int(step) >= len(job.steps):
            return None
        found = job.steps[int(step)]
        return found if int(index) < found["count"] else None

    def lives_beside(self, task: str) -> list[Any]:
        """Returns the workers that run other tasks of a task's step."""
        return [
            life
            for life in self.lives
            if any(
                step_key(other) == step_key(task) and other != task
                for other in life.run_by_task
            )
        ]

    def check_start(
        self, life: Any, now: float, task: str, run: int, payload: str
    ) -> dict[str, Any] | None:
        """Checks the rules for a start that a worker carries out.

        Returns:
            The task's step, or None if the task can't be started.
        """
        step = self.find_step(task)
        fields = {"worker": life.name, "task": task, "run": run}
        if step is None:
            self.add_violation("UNASKED", **fields)
            return None
        job = self.job_by_id[task.partition(".")[0]]
        self.starts += 1
        if payload != job.payload:
            self.add_violation("UNASKED payload", **fields)
        if life.service not in SERVICES_BY_QUEUE[job.queue]:
            self.add_violation("ROUTE service", **fields)
        if step.get("requirements", "") not in ("", *life.labels):
            self.add_violation("ROUTE label", labels=life.labels, **fields)
        for other in self.lives:
            known = other.run_by_task.get(task)
            if known is not None:
                self.add_violation(
                    "TWICE", other=other.name, other_run=known.run, **fields
                )
        if task in self._noted_tasks:
            self.add_violation("TWICE after done", **fields)
        self._started_by_task.setdefault(task, []).append(now)
        self._check_limit(life, step, task, run)
        for earlier in step.get("after", ()):
            if not self.ended_done.issuperset(job.tasks_of(earlier)):
                self.add_violation("ORDER", **fields)
        if not life.is_guarded and not life.fits(step):
            self.add_violation(
                "LIMIT",
                running=[
                    (item.task, item.stops_at < float("inf"))
                    for item in life.run_by_task.values()
                ],
                **fields,
            )
        return step

    def _check_limit(
        self, life: Any, step: dict[str, Any], task: str, run: int
    ) -> None:
        limit = step.get("anti_affinity", 0)
        if not limit:
            return
        beside = [
            item
            for item in life.run_by_task.values()
            if step_key(item.task) == step_key(task) and item.task != task
        ]
        if limit <= len(beside):
            self.add_violation(
                "ROUTE anti_affinity",
                worker=life.name,
                task=task,
                run=run,
                limit=limit,
                beside=[
                    (item.task, item.run, item.stops_at < float("inf"))
                    for item in beside
                ],
            )

    def note_done(self, life: Any, task: str, ended_at: float) -> None:
        """Checks that nothing was started after a done end now noted."""
        self._noted_tasks.add(task)
        step = self.find_step(task)
        assert step is not None
        if any(at > ended_at for at in self._started_by_task[task]):
            self.add_violation("TWICE before note", worker=life.name, task=task)

    def check_shown_state(self, job: Job, state: str) -> None:
        """Checks a job's state as shown to a client."""
        self.advance(time.monotonic())
        tasks = [
            task
            for number in range(len(job.steps))
            for task in job.tasks_of(number)
        ]
        if state == "done" and not self.ended_done.issuperset(tasks):
            self.add_violation("MIXED", job=job.id)
        if state == "failed" or (state == "cancelled" and not job.is_cancelled):
            self.add_violation("LOST", job=job.id, state=state)

    def check_rejected_jobs(self) -> None:
        """Checks that no task of a job started that was always rejected."""
        for task in self._started_by_task:
            job = self.job_by_id[task.partition(".")[0]]
            if job.is_rejected:
                self.add_violation("REFUSED", task=task, answers=job.answers)
