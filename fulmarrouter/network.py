"""The task that carries frames between processes for other tasks."""

from collections.abc import Callable
import dataclasses
import selectors
import socket
import time

from fulmarrouter import connections
from fulmarrouter import ids
from fulmarrouter import tasks
from fulmarrouter import wire

Received = connections.Received
Closed = connections.Closed
Incoming = connections.Incoming


@dataclasses.dataclass(frozen=True)
class SendToPeer:
    """Sends on the outgoing connection to a host:port address."""

    address: str
    body: wire.Body


@dataclasses.dataclass(frozen=True)
class SendOn:
    """Sends on an open connection; dropped if it has been closed."""

    connection: ids.ConnectionId
    body: wire.Body


class Network(tasks.Task[SendToPeer | SendOn]):
    """Owns the connections and waits for them.

    Args:
        sender: Name that this process puts into its frames.
        listen: Host and port to listen on, None for a process that only calls.
        deliver: Called on this task's thread with whatever arrives; it must
            only post to a mailbox.
    """

    name = "network"

    def __init__(
        self,
        sender: str,
        listen: tuple[str, int] | None,
        deliver: Callable[[Incoming], None],
    ) -> None:
        super().__init__()
        self._selector = selectors.DefaultSelector()
        self._wake_reader, self._wake_writer = socket.socketpair()
        self._wake_reader.setblocking(False)
        self._wake_writer.setblocking(False)
        self._connections = connections.Connections(
            sender, listen, self._selector, deliver
        )

    def post(self, message: SendToPeer | SendOn) -> None:
        """Puts a message into the mailbox and wakes the selector."""
        super().post(message)
        self._wake()

    def stop(self) -> None:
        """Asks the task to end after the messages already posted."""
        super().stop()
        self._wake()

    def start_up(self) -> None:
        """Registers the socket that wakes the selector."""
        self._selector.register(self._wake_reader, selectors.EVENT_READ, None)

    def shut_down(self) -> None:
        """Closes all sockets."""
        self._connections.close()
        self._wake_reader.close()
        self._wake_writer.close()
        self._selector.close()

    def idle_seconds(self) -> float:
        """Returns 0: this task waits in its selector."""
        return 0.0

    def handle(self, message: SendToPeer | SendOn) -> None:
        """Sends a frame on its connection."""
        match message:
            case SendToPeer():
                self._connections.send_to_peer(message.address, message.body)
            case SendOn():
                self._connections.send_on(message.connection, message.body)

    def run_idle(self) -> None:
        """Waits for sockets and serves those that are ready."""
        if self._stopping:
            return
        for key, events in self._selector.select(timeout=connections.POLL_S):
            if key.fileobj is self._wake_reader:
                self._drain_wake()
            else:
                owner, data = key.data
                owner.on_ready(data, events)
        self._connections.check_clocks(time.monotonic())

    def _wake(self) -> None:
        try:
            self._wake_writer.send(b"\0")
        except (BlockingIOError, OSError):
            return

    def _drain_wake(self) -> None:
        try:
            while self._wake_reader.recv(4096):
                continue
        except BlockingIOError:
            return
