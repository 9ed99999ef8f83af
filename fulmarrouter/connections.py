"""Connections between processes, served by the selector of one thread.

Each connection carries frames in both directions. Each side sends a ping when
it has sent nothing else for PING_INTERVAL_S, and closes a connection on which
nothing has arrived for RECEIVE_TIMEOUT_S. This detects a connection that no
longer delivers anything, and the next send opens a new one.
"""

from collections.abc import Callable
import dataclasses
import random
import selectors
import socket
import time
from typing import Any

from fulmarrouter import errors
from fulmarrouter import ids
from fulmarrouter import logs
from fulmarrouter import wire

PING_INTERVAL_S = 0.5
RECEIVE_TIMEOUT_S = 2.5
CONNECT_TIMEOUT_S = 1.0
RECONNECT_DELAY_MIN_S = 0.05
RECONNECT_DELAY_MAX_S = 1.0
MAX_SEND_BUFFER_BYTES = 64 << 20
READ_BYTES = 1 << 16
# Longest wait for sockets, and shortest time between two checks for timeouts.
POLL_INTERVAL_S = 0.25


@dataclasses.dataclass(frozen=True)
class FrameReceived:
    """A frame that has arrived."""

    connection: ids.ConnectionId
    envelope: wire.Envelope


@dataclasses.dataclass(frozen=True)
class ConnectionClosed:
    """A connection has been closed, or could not be opened.

    Attributes:
        address: Peer's address as host:port; empty for an accepted connection.
    """

    connection: ids.ConnectionId
    address: str


ConnectionEvent = FrameReceived | ConnectionClosed


@dataclasses.dataclass
class _Connection:
    """An open connection, or one that is being opened.

    Attributes:
        address: Peer's address as host:port; empty for an accepted connection.
        registered_events: Events for which the selector watches the socket.
    """

    connection_id: ids.ConnectionId
    socket: socket.socket
    address: str
    connecting: bool
    opened_at: float
    last_received_at: float
    last_sent_at: float
    receive_buffer: bytearray = dataclasses.field(default_factory=bytearray)
    send_buffer: bytearray = dataclasses.field(default_factory=bytearray)
    registered_events: int = 0


@dataclasses.dataclass
class _Backoff:
    """Delay before the next attempt to connect to an address.

    Attributes:
        delay: Doubled with each failure, before jitter is applied.
    """

    retry_at: float
    delay: float


class Connections:
    """Owns the listening socket and all connections. Used by one thread.

    Args:
        sender: Name of this process, sent in each frame.
        listen: Host and port to listen on, None for a process that only opens
            connections itself.
        selector: Selector that the owning thread waits in. Each socket is
            registered with a pair of this object and the data that `on_ready`
            expects for the socket.
        on_event: Called for each received frame and each closed connection.
    """

    def __init__(
        self,
        sender: str,
        listen: tuple[str, int] | None,
        selector: selectors.BaseSelector,
        on_event: Callable[[ConnectionEvent], None],
    ) -> None:
        self.log = logs.new_logger(task="network")
        self._sender = sender
        self._on_event = on_event
        self._selector = selector
        self._connection_by_id: dict[ids.ConnectionId, _Connection] = {}
        self._connection_id_by_address: dict[str, ids.ConnectionId] = {}
        self._backoff_by_address: dict[str, _Backoff] = {}
        self._next_connection_id = 1
        self._next_check_at = 0.0
        self._ping = wire.encode(sender, wire.Ping())
        self._listener = _listen(listen) if listen else None
        if self._listener:
            selector.register(
                self._listener, selectors.EVENT_READ, (self, None)
            )

    def close(self) -> None:
        """Sends what it can without blocking and closes all sockets."""
        for connection in list(self._connection_by_id.values()):
            self._write(connection)
            connection.socket.close()
        if self._listener:
            self._listener.close()

    def send_to_peer(self, address: str, body: wire.Body) -> bool:
        """Sends on the outgoing connection to a host:port address.

        Returns:
            False if nothing was sent, because the delay before the next
            attempt to connect to this address is not over or the message is
            too large.
        """
        connection = self._peer_connection(address)
        return connection is not None and self._send(connection, body)

    def send_on_connection(
        self, connection_id: ids.ConnectionId, body: wire.Body
    ) -> bool:
        """Sends on an open connection; dropped if the connection has closed.

        Returns:
            False if the message is too large.
        """
        connection = self._connection_by_id.get(connection_id)
        return connection is None or self._send(connection, body)

    def drop_peer(self, address: str, reason: str) -> None:
        """Closes the outgoing connection to an address, if there is one."""
        connection_id = self._connection_id_by_address.get(address)
        if connection_id is not None:
            self._close(self._connection_by_id[connection_id], reason)

    def on_ready(self, data: Any, events: int) -> None:
        """Serves a socket that the selector reported as ready."""
        if data is None:
            self._accept()
        else:
            self._handle_ready(data, events)

    def check_timeouts(self, now: float) -> None:
        """Sends pings and closes connections that have timed out.

        Does nothing until POLL_INTERVAL_S after the last check.
        """
        if now < self._next_check_at:
            return
        self._next_check_at = now + POLL_INTERVAL_S
        self._check_connections(now)

    def _send(self, connection: _Connection, body: wire.Body) -> bool:
        """Sends a message; returns False if it is too large."""
        try:
            connection.send_buffer += wire.encode(self._sender, body)
        except errors.WireError as error:
            # Ending the process would not help: the next leader would send the
            # same message.
            self.log.error(
                "message not sent",
                address=connection.address,
                kind=type(body).__name__,
                reason=str(error),
            )
            return False
        if len(connection.send_buffer) > MAX_SEND_BUFFER_BYTES:
            self._close(connection, "send buffer is full")
        elif not connection.connecting:
            self._write(connection)
        return True

    def _accept(self) -> None:
        assert self._listener is not None
        try:
            accepted, _ = self._listener.accept()
        except OSError:
            return
        self._register(accepted, "", connecting=False)

    def _peer_connection(self, address: str) -> _Connection | None:
        """Returns the outgoing connection to an address, opened if necessary.

        Returns None until the delay before the next attempt is over.
        """
        connection_id = self._connection_id_by_address.get(address)
        if connection_id is not None:
            return self._connection_by_id[connection_id]
        backoff = self._backoff_by_address.get(address)
        if backoff and time.monotonic() < backoff.retry_at:
            return None
        host, _, port = address.rpartition(":")
        outgoing = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        outgoing.setblocking(False)
        try:
            outgoing.connect_ex((host, int(port)))
        except (OSError, OverflowError, ValueError) as error:
            # The address may come from another process.
            outgoing.close()
            self.log.error(
                "address not usable", address=address, reason=repr(error)
            )
            self._back_off(address)
            return None
        connection = self._register(outgoing, address, connecting=True)
        self._connection_id_by_address[address] = connection.connection_id
        return connection

    def _register(
        self, new_socket: socket.socket, address: str, connecting: bool
    ) -> _Connection:
        new_socket.setblocking(False)
        new_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        now = time.monotonic()
        connection = _Connection(
            ids.ConnectionId(self._next_connection_id),
            new_socket,
            address,
            connecting,
            now,
            now,
            now,
        )
        self._next_connection_id += 1
        self._connection_by_id[connection.connection_id] = connection
        events = selectors.EVENT_READ
        if connecting:
            events |= selectors.EVENT_WRITE
        connection.registered_events = events
        self._selector.register(new_socket, events, (self, connection))
        return connection

    def _handle_ready(self, connection: _Connection, events: int) -> None:
        # Closed while an earlier event of the same `select` call was handled.
        if connection.connection_id not in self._connection_by_id:
            return
        if connection.connecting:
            error = connection.socket.getsockopt(
                socket.SOL_SOCKET, socket.SO_ERROR
            )
            if error:
                self._close(connection, f"connect failed, errno {error}")
                return
            connection.connecting = False
            self._backoff_by_address.pop(connection.address, None)
        if events & selectors.EVENT_READ and not self._read(connection):
            return
        if events & selectors.EVENT_WRITE:
            self._write(connection)

    def _read(self, connection: _Connection) -> bool:
        """Reads what has arrived; returns whether the connection stays open."""
        try:
            data = connection.socket.recv(READ_BYTES)
        except BlockingIOError:
            return True
        except OSError as error:
            self._close(connection, str(error))
            return False
        if not data:
            self._close(connection, "closed by peer")
            return False
        connection.last_received_at = time.monotonic()
        connection.receive_buffer += data
        try:
            self._deliver_frames(connection)
        except errors.WireError as error:
            self._close(connection, str(error))
            return False
        return True

    def _deliver_frames(self, connection: _Connection) -> None:
        """Takes all complete frames from the buffer and delivers them."""
        offset = 0
        receive_buffer = connection.receive_buffer
        prefix_bytes = wire.LENGTH_PREFIX.size
        while len(receive_buffer) - offset >= prefix_bytes:
            (length,) = wire.LENGTH_PREFIX.unpack_from(receive_buffer, offset)
            if length > wire.MAX_FRAME_BYTES:
                raise errors.WireError(f"frame of {length} bytes is too large")
            if len(receive_buffer) - offset - prefix_bytes < length:
                break
            start = offset + prefix_bytes
            envelope = wire.decode(
                bytes(receive_buffer[start : start + length])
            )
            offset = start + length
            if not isinstance(envelope.body, wire.Ping):
                self._on_event(
                    FrameReceived(connection.connection_id, envelope)
                )
        del receive_buffer[:offset]

    def _write(self, connection: _Connection) -> None:
        if connection.connecting:
            return
        try:
            while connection.send_buffer:
                sent = connection.socket.send(connection.send_buffer)
                del connection.send_buffer[:sent]
                connection.last_sent_at = time.monotonic()
        except BlockingIOError:
            pass
        except OSError as error:
            self._close(connection, str(error))
            return
        events = selectors.EVENT_READ
        if connection.send_buffer:
            events |= selectors.EVENT_WRITE
        if events != connection.registered_events:
            connection.registered_events = events
            self._selector.modify(connection.socket, events, (self, connection))

    def _close(self, connection: _Connection, reason: str) -> None:
        self._connection_by_id.pop(connection.connection_id, None)
        self._selector.unregister(connection.socket)
        connection.socket.close()
        if connection.address:
            self._connection_id_by_address.pop(connection.address, None)
            self._back_off(connection.address)
        if not connection.connecting:
            self.log.info(
                "connection closed", address=connection.address, reason=reason
            )
        self._on_event(
            ConnectionClosed(connection.connection_id, connection.address)
        )

    def _back_off(self, address: str) -> None:
        previous = self._backoff_by_address.get(address)
        delay = (
            min(RECONNECT_DELAY_MAX_S, previous.delay * 2)
            if previous
            else RECONNECT_DELAY_MIN_S
        )
        # Jitter keeps processes from all reconnecting at the same time.
        retry_at = time.monotonic() + delay * random.uniform(0.5, 1.0)
        self._backoff_by_address[address] = _Backoff(retry_at, delay)

    def _check_connections(self, now: float) -> None:
        for connection in list(self._connection_by_id.values()):
            if connection.connecting:
                if now - connection.opened_at > CONNECT_TIMEOUT_S:
                    self._close(connection, "connect timeout")
                continue
            if now - connection.last_received_at > RECEIVE_TIMEOUT_S:
                self._close(connection, "receive timeout")
                continue
            if now - connection.last_sent_at >= PING_INTERVAL_S:
                connection.send_buffer += self._ping
                self._write(connection)


def _listen(address: tuple[str, int]) -> socket.socket:
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        listener.bind(address)
    except OSError as error:
        host, port = address
        raise errors.AddressError(f"{host}:{port}: {error}") from error
    listener.listen(128)
    listener.setblocking(False)
    return listener
