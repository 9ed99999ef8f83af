"""Tasks: each owns its state, has a mailbox, and runs on an executor.

Tasks talk only by messages; an answer comes as a future. A supervisor starts
tasks in order, stops them in the reverse order, and ends the process when one
of them fails.
"""

from collections.abc import Callable
import concurrent.futures
import queue
import threading
from typing import Any
from typing import Generic
from typing import TypeVar

from fulmarrouter import errors
from fulmarrouter import logs

M = TypeVar("M")
STOP_TIMEOUT_S = 30.0


class Task(Generic[M]):
    """Base of all tasks.

    A subclass overrides `handle`, and `run_idle` if it has work to do by the
    clock. Both run on the task's own thread, so they may use its state freely.
    """

    name = "task"

    def __init__(self) -> None:
        self.log = logs.new_logger(task=self.name)
        self._mailbox: queue.SimpleQueue[M | None] = queue.SimpleQueue()
        self._stopping = False

    def post(self, message: M) -> None:
        """Puts a message into the mailbox."""
        self._mailbox.put(message)

    def stop(self) -> None:
        """Asks the task to end after the messages already posted."""
        self._mailbox.put(None)

    def run(self) -> None:
        """Runs the task until it is stopped."""
        self.start_up()
        try:
            while not self._stopping:
                self._turn()
        finally:
            self.shut_down()

    def start_up(self) -> None:
        """Acquires what the task owns. Runs on the task's thread."""

    def shut_down(self) -> None:
        """Releases what the task owns. Runs on the task's thread."""

    def idle_seconds(self) -> float:
        """Returns how long to wait for a message before `run_idle`."""
        return 1.0

    def handle(self, message: M) -> None:
        """Handles one message."""
        raise NotImplementedError

    def run_idle(self) -> None:
        """Runs after each batch of messages and after each wait."""

    def _turn(self) -> None:
        try:
            message = self._mailbox.get(timeout=max(0.0, self.idle_seconds()))
        except queue.Empty:
            self.run_idle()
            return
        while True:
            if message is None:
                self._stopping = True
                break
            self.handle(message)
            try:
                message = self._mailbox.get_nowait()
            except queue.Empty:
                break
        self.run_idle()


class Supervisor:
    """Runs a list of tasks; the first failure stops them all."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.log = logs.new_logger(supervisor=name)
        self._tasks: list[Task[Any]] = []
        self._futures: list[concurrent.futures.Future[None]] = []
        self._executor = concurrent.futures.ThreadPoolExecutor(
            max_workers=32, thread_name_prefix=name
        )
        self._ended = threading.Event()
        self._end_listener: Callable[[], None] | None = None
        self.failed = False

    def start(self, task: Task[Any]) -> None:
        """Starts a task under this supervisor."""
        self._tasks.append(task)
        future = self._executor.submit(task.run)
        self._futures.append(future)
        future.add_done_callback(self._on_done)

    def request_stop(self) -> None:
        """Asks for an orderly end; may be called from a signal handler."""
        self._ended.set()

    def on_end(self, listener: Callable[[], None]) -> None:
        """Has a function called when a task ends, or at once if one has."""
        self._end_listener = listener
        if self._ended.is_set():
            listener()

    def wait(self) -> None:
        """Waits until a stop is requested or a task has failed."""
        while not self._ended.wait(timeout=0.5):
            continue

    def stop_all(self) -> None:
        """Stops the tasks, the newest first.

        Raises:
            FulmarError: A task has failed; the first failure is raised.
        """
        for task, future in reversed(
            list(zip(self._tasks, self._futures, strict=True))
        ):
            task.stop()
            concurrent.futures.wait([future], timeout=STOP_TIMEOUT_S)
        self._executor.shutdown(wait=False)
        for future in self._futures:
            failure = future.exception() if future.done() else None
            if isinstance(failure, errors.FulmarError):
                raise failure
            if failure is not None:
                raise errors.FulmarError(repr(failure)) from failure

    def _on_done(self, future: concurrent.futures.Future[None]) -> None:
        failure = future.exception()
        if failure is not None:
            self.failed = True
            self.log.error("task failed", error=repr(failure))
        self._ended.set()
        if self._end_listener:
            self._end_listener()
