"""The task that carries frames between processes for other tasks."""

from collections.abc import Callable
import dataclasses
import selectors
import time

from fulmarrouter import connections
from fulmarrouter import ids
from fulmarrouter import tasks
from fulmarrouter import waker
from fulmarrouter import wire

FrameReceived = connections.FrameReceived
ConnectionClosed = connections.ConnectionClosed
ConnectionEvent = connections.ConnectionEvent


@dataclasses.dataclass(frozen=True)
class SendToPeer:
    """Sends on the outgoing connection to a host:port address."""

    address: str
    body: wire.Body


@dataclasses.dataclass(frozen=True)
class SendOnConnection:
    """Sends on an open connection; dropped if it has been closed."""

    connection: ids.ConnectionId
    body: wire.Body


class Network(tasks.Task[SendToPeer | SendOnConnection]):
    """Owns the connections and waits for them.

    Args:
        sender: Name that this process puts into its frames.
        listen: Host and port to listen on, None for a process that only calls.
        on_event: Called on this task's thread with whatever arrives; it must
            only post to a mailbox.
    """

    name = "network"

    def __init__(
        self,
        sender: str,
        listen: tuple[str, int] | None,
        on_event: Callable[[ConnectionEvent], None],
    ) -> None:
        super().__init__()
        self._selector = selectors.DefaultSelector()
        self._waker = waker.Waker(self._selector, (None, None))
        self._connections = connections.Connections(
            sender, listen, self._selector, on_event
        )

    def post(self, message: SendToPeer | SendOnConnection) -> None:
        """Puts a message into the mailbox and wakes the selector."""
        super().post(message)
        self._waker.wake()

    def stop(self) -> None:
        """Asks the task to end after the messages already posted."""
        super().stop()
        self._waker.wake()

    def shut_down(self) -> None:
        """Closes all sockets."""
        self._connections.close()
        self._waker.close()
        self._selector.close()

    def poll_timeout(self) -> float:
        """Returns 0: this task waits in its selector."""
        return 0.0

    def handle(self, message: SendToPeer | SendOnConnection) -> None:
        """Sends a frame on its connection."""
        match message:
            case SendToPeer():
                self._connections.send_to_peer(message.address, message.body)
            case SendOnConnection():
                self._connections.send_on_connection(
                    message.connection, message.body
                )

    def after_batch(self) -> None:
        """Waits for sockets and serves those that are ready."""
        if self._stopping:
            return
        for key, events in self._selector.select(
            timeout=connections.POLL_INTERVAL_S
        ):
            owner, data = key.data
            if owner is None:
                self._waker.clear()
            else:
                owner.on_ready(data, events)
        self._connections.check_timeouts(time.monotonic())
