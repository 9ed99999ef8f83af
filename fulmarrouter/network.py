"""Task that exchanges frames with other processes on behalf of other tasks."""

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
    """Sends on an open connection; dropped if the connection has closed."""

    connection: ids.ConnectionId
    body: wire.Body


class Network(tasks.Task[SendToPeer | SendOnConnection]):
    """Owns the connections and the selector that waits for their sockets.

    Args:
        sender: Name of this process, sent in each frame.
        listen: Host and port to listen on, None for a process that only opens
            connections itself.
        on_event: Called on this task's thread for each received frame and each
            closed connection; it must only post to a mailbox.
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
        """Asks the task to stop and wakes the selector."""
        super().stop()
        self._waker.wake()

    def shut_down(self) -> None:
        """Closes all sockets."""
        self._connections.close()
        self._waker.close()
        self._selector.close()

    def poll_timeout(self) -> float:
        """Returns 0, as this task waits in its selector instead."""
        return 0.0

    def handle(self, message: SendToPeer | SendOnConnection) -> None:
        """Sends one frame."""
        match message:
            case SendToPeer():
                self._connections.send_to_peer(message.address, message.body)
            case SendOnConnection():
                self._connections.send_on_connection(
                    message.connection, message.body
                )

    def after_batch(self) -> None:
        """Waits for sockets, serves those that are ready, checks timeouts."""
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
