"""Tasks and their supervisor, in the manner of the actor model.

Each task owns its state, runs on a thread of its own and has a mailbox. Tasks
communicate only by messages; a result is returned through a future in the
message. A supervisor starts tasks in order, stops them in the reverse order,
and ends the process when one of them fails.
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

MessageT = TypeVar("MessageT")
STOP_TIMEOUT_S = 30.0


class Task(Generic[MessageT]):
    """Base class of all tasks.

    A subclass overrides `handle`, and `after_batch` if it also has work that
    depends on time. Both run on the task's own thread, so they need no locks
    for its state.
    """

    name = "task"

    def __init__(self) -> None:
        self.log = logs.new_logger(task=self.name)
        self._mailbox: queue.SimpleQueue[MessageT | None] = queue.SimpleQueue()
        self._stopping = False

    def post(self, message: MessageT) -> None:
        """Puts a message into the mailbox."""
        self._mailbox.put(message)

    def stop(self) -> None:
        """Asks the task to stop after handling the messages posted so far."""
        self._mailbox.put(None)

    def run(self) -> None:
        """Runs the task until it is stopped."""
        self.start_up()
        try:
            while not self._stopping:
                self._process_batch()
        finally:
            self.shut_down()

    def start_up(self) -> None:
        """Acquires what the task owns. Runs on the task's thread."""

    def shut_down(self) -> None:
        """Releases what the task owns. Runs on the task's thread."""

    def poll_timeout(self) -> float:
        """Returns how long to wait for a message, in seconds."""
        return 1.0

    def handle(self, message: MessageT) -> None:
        """Handles one message."""
        raise NotImplementedError

    def after_batch(self) -> None:
        """Runs after each batch of messages and after each wait without any."""

    def _process_batch(self) -> None:
        """Handles all messages in the mailbox, waiting for the first one."""
        try:
            message = self._mailbox.get(timeout=max(0.0, self.poll_timeout()))
        except queue.Empty:
            self.after_batch()
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
        self.after_batch()


class Supervisor:
    """Runs a list of tasks.

    When one of them ends, with or without a failure, `wait` returns and the
    stop listener is called, so that the owner can stop the others with
    `stop_all`.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.log = logs.new_logger(supervisor=name)
        self._tasks: list[Task[Any]] = []
        self._futures: list[concurrent.futures.Future[None]] = []
        self._executor = concurrent.futures.ThreadPoolExecutor(
            max_workers=32, thread_name_prefix=name
        )
        self._stop_event = threading.Event()
        self._stop_listener: Callable[[], None] | None = None
        self.failed = False

    def start(self, task: Task[Any]) -> None:
        """Starts a task under this supervisor."""
        self._tasks.append(task)
        future = self._executor.submit(task.run)
        self._futures.append(future)
        future.add_done_callback(self._on_task_done)

    def request_stop(self) -> None:
        """Asks for a graceful stop; may be called from a signal handler."""
        self._stop_event.set()

    def set_stop_listener(self, listener: Callable[[], None]) -> None:
        """Sets a function to call when a task ends.

        It is called immediately if a task has already ended or a stop has been
        requested.
        """
        self._stop_listener = listener
        if self._stop_event.is_set():
            listener()

    def wait(self) -> None:
        """Waits until a stop is requested or a task has ended."""
        while not self._stop_event.wait(timeout=0.5):
            continue

    def stop_all(self) -> None:
        """Stops the tasks, the most recently started one first.

        A task that does not end within STOP_TIMEOUT_S is left running.

        Raises:
            FulmarError: A task has failed. If several have, the failure of the
                one that was started first is raised.
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

    def _on_task_done(self, future: concurrent.futures.Future[None]) -> None:
        failure = future.exception()
        if failure is not None:
            self.failed = True
            self.log.error("task failed", error=repr(failure))
        self._stop_event.set()
        if self._stop_listener:
            self._stop_listener()
