"""Connections between the processes, served by the selector of one thread.

Each connection carries frames in both directions; each side sends a ping when
it has sent nothing else for a while, and closes a connection on which nothing
arrives for too long, so that a connection that has gone silent is replaced by
a new one.
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
SILENCE_LIMIT_S = 2.5
CONNECT_TIMEOUT_S = 1.0
RECONNECT_MIN_S = 0.05
RECONNECT_MAX_S = 1.0
MAX_BUFFERED_BYTES = 64 << 20
READ_BYTES = 1 << 16
POLL_S = 0.25


@dataclasses.dataclass(frozen=True)
class Received:
    """A frame that has arrived."""

    connection: ids.ConnectionId
    envelope: wire.Envelope


@dataclasses.dataclass(frozen=True)
class Closed:
    """A connection has ended."""

    connection: ids.ConnectionId
    address: str


Incoming = Received | Closed


@dataclasses.dataclass
class _Connection:
    number: ids.ConnectionId
    socket: socket.socket
    address: str
    connecting: bool
    opened_at: float
    heard_at: float
    sent_at: float
    inbox: bytearray = dataclasses.field(default_factory=bytearray)
    outbox: bytearray = dataclasses.field(default_factory=bytearray)
    watched: int = 0


@dataclasses.dataclass
class _Backoff:
    due: float
    delay: float


class Connections:
    """Owns the listening socket and all connections. Used by one thread.

    Args:
        sender: Name that this process puts into its frames.
        listen: Host and port to listen on, None for a process that only calls.
        selector: Selector that the owning thread waits in; each socket is
            registered with this object as the first part of its data.
        deliver: Called with whatever arrives.
    """

    def __init__(
        self,
        sender: str,
        listen: tuple[str, int] | None,
        selector: selectors.BaseSelector,
        deliver: Callable[[Incoming], None],
    ) -> None:
        self.log = logs.new_logger(task="network")
        self._sender = sender
        self._deliver = deliver
        self._selector = selector
        self._connection_by_number: dict[ids.ConnectionId, _Connection] = {}
        self._number_by_address: dict[str, ids.ConnectionId] = {}
        self._backoff_by_address: dict[str, _Backoff] = {}
        self._next_number = 1
        self._clock_due = 0.0
        self._ping = wire.encode(sender, wire.Ping())
        self._listener = _listen(listen) if listen else None
        if self._listener:
            selector.register(
                self._listener, selectors.EVENT_READ, (self, None)
            )

    def close(self) -> None:
        """Flushes what can be written at once and closes all sockets."""
        for connection in list(self._connection_by_number.values()):
            self._write(connection)
            connection.socket.close()
        if self._listener:
            self._listener.close()

    def send_to_peer(self, address: str, body: wire.Body) -> bool:
        """Sends on the outgoing connection to a host:port address.

        Returns:
            False where the address is unreachable for now.
        """
        connection = self._peer(address)
        if connection is None:
            return False
        self._send(connection, body)
        return True

    def send_on(self, number: ids.ConnectionId, body: wire.Body) -> None:
        """Sends on an open connection; dropped if it has been closed."""
        connection = self._connection_by_number.get(number)
        if connection is not None:
            self._send(connection, body)

    def drop_peer(self, address: str, reason: str) -> None:
        """Closes the outgoing connection to an address, if there is one."""
        number = self._number_by_address.get(address)
        if number is not None:
            self._close(self._connection_by_number[number], reason)

    def on_ready(self, data: Any, events: int) -> None:
        """Serves a socket that the selector reported as ready."""
        if data is None:
            self._accept()
        else:
            self._serve(data, events)

    def check_clocks(self, now: float) -> None:
        """Sends pings and closes silent connections, a few times a second."""
        if now < self._clock_due:
            return
        self._clock_due = now + POLL_S
        self._check_clocks(now)

    def _send(self, connection: _Connection, body: wire.Body) -> None:
        connection.outbox += wire.encode(self._sender, body)
        if len(connection.outbox) > MAX_BUFFERED_BYTES:
            self._close(connection, "too much is waiting to be sent")
        elif not connection.connecting:
            self._write(connection)

    def _accept(self) -> None:
        assert self._listener is not None
        try:
            accepted, _ = self._listener.accept()
        except OSError:
            return
        self._add(accepted, "", connecting=False)

    def _peer(self, address: str) -> _Connection | None:
        number = self._number_by_address.get(address)
        if number is not None:
            return self._connection_by_number[number]
        backoff = self._backoff_by_address.get(address)
        if backoff and time.monotonic() < backoff.due:
            return None
        host, _, port = address.rpartition(":")
        outgoing = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        outgoing.setblocking(False)
        outgoing.connect_ex((host, int(port)))
        connection = self._add(outgoing, address, connecting=True)
        self._number_by_address[address] = connection.number
        return connection

    def _add(
        self, new_socket: socket.socket, address: str, connecting: bool
    ) -> _Connection:
        new_socket.setblocking(False)
        new_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        now = time.monotonic()
        connection = _Connection(
            ids.ConnectionId(self._next_number),
            new_socket,
            address,
            connecting,
            now,
            now,
            now,
        )
        self._next_number += 1
        self._connection_by_number[connection.number] = connection
        events = selectors.EVENT_READ
        if connecting:
            events |= selectors.EVENT_WRITE
        connection.watched = events
        self._selector.register(new_socket, events, (self, connection))
        return connection

    def _serve(self, connection: _Connection, events: int) -> None:
        if connection.number not in self._connection_by_number:
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
        try:
            data = connection.socket.recv(READ_BYTES)
        except BlockingIOError:
            return True
        except OSError as error:
            self._close(connection, str(error))
            return False
        if not data:
            self._close(connection, "closed by the other side")
            return False
        connection.heard_at = time.monotonic()
        connection.inbox += data
        try:
            self._take_frames(connection)
        except errors.WireError as error:
            self._close(connection, str(error))
            return False
        return True

    def _take_frames(self, connection: _Connection) -> None:
        offset = 0
        inbox = connection.inbox
        prefix = wire.LENGTH.size
        while len(inbox) - offset >= prefix:
            (length,) = wire.LENGTH.unpack_from(inbox, offset)
            if length > wire.MAX_FRAME_BYTES:
                raise errors.WireError(f"frame of {length} bytes")
            if len(inbox) - offset - prefix < length:
                break
            start = offset + prefix
            envelope = wire.decode(bytes(inbox[start : start + length]))
            offset = start + length
            if not isinstance(envelope.body, wire.Ping):
                self._deliver(Received(connection.number, envelope))
        del inbox[:offset]

    def _write(self, connection: _Connection) -> None:
        if connection.connecting:
            return
        try:
            while connection.outbox:
                sent = connection.socket.send(connection.outbox)
                del connection.outbox[:sent]
                connection.sent_at = time.monotonic()
        except BlockingIOError:
            pass
        except OSError as error:
            self._close(connection, str(error))
            return
        events = selectors.EVENT_READ
        if connection.outbox:
            events |= selectors.EVENT_WRITE
        if events != connection.watched:
            connection.watched = events
            self._selector.modify(connection.socket, events, (self, connection))

    def _close(self, connection: _Connection, reason: str) -> None:
        self._connection_by_number.pop(connection.number, None)
        self._selector.unregister(connection.socket)
        connection.socket.close()
        if connection.address:
            self._number_by_address.pop(connection.address, None)
            self._back_off(connection.address)
        if not connection.connecting:
            self.log.info(
                "connection closed", address=connection.address, reason=reason
            )
        self._deliver(Closed(connection.number, connection.address))

    def _back_off(self, address: str) -> None:
        known = self._backoff_by_address.get(address)
        delay = (
            min(RECONNECT_MAX_S, known.delay * 2) if known else RECONNECT_MIN_S
        )
        # Jitter keeps processes from reconnecting in step.
        due = time.monotonic() + delay * random.uniform(0.5, 1.0)
        self._backoff_by_address[address] = _Backoff(due, delay)

    def _check_clocks(self, now: float) -> None:
        for connection in list(self._connection_by_number.values()):
            if connection.connecting:
                if now - connection.opened_at > CONNECT_TIMEOUT_S:
                    self._close(connection, "connect timeout")
                continue
            if now - connection.heard_at > SILENCE_LIMIT_S:
                self._close(connection, "silent")
                continue
            if now - connection.sent_at >= PING_INTERVAL_S:
                connection.outbox += self._ping
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
