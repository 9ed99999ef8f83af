"""HTTP server of a cluster node, which runs on the selector of one thread.

Entries and keepers use the threaded server in `web` instead.

A handler may return before its request is answered: the response can be sent at
any later time, and no thread waits for it. Each connection has at most one
request in progress. Requests are parsed with waitress's parser.
"""

from collections.abc import Callable
import dataclasses
import selectors
import socket
import time
from typing import Any

from waitress import adjustments
from waitress import parser as waitress_parser

from fulmarrouter import errors
from fulmarrouter import logs

RECV_BYTES = 1 << 16
LISTEN_BACKLOG = 128
IDLE_CHECK_INTERVAL_S = 0.5
REASON_PHRASE_BY_STATUS = {
    200: "OK",
    307: "Temporary Redirect",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    409: "Conflict",
    410: "Gone",
    413: "Payload Too Large",
    429: "Too Many Requests",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


@dataclasses.dataclass(frozen=True)
class HttpRequest:
    """A request that has been read in full.

    Attributes:
        headers: Header fields by upper-case name with underscores.
    """

    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    arrived_at: float

    @property
    def host(self) -> str:
        """Host that the caller addressed, without a port."""
        return self.headers.get("HOST", "").partition(":")[0]


@dataclasses.dataclass(frozen=True)
class HttpLimits:
    """Limits of a server."""

    max_connections: int = 1500
    max_header_bytes: int = 1 << 16
    max_body_bytes: int = 1 << 23
    idle_timeout_s: float = 60.0


class Exchange:
    """A request in progress, to which one response can be sent."""

    def __init__(
        self, server: "HttpServer", connection: "_HttpConnection"
    ) -> None:
        self._server = server
        self._connection = connection
        self._has_responded = False

    def respond(
        self,
        status: int,
        body: bytes = b"",
        content_type: str = "application/json",
        headers: tuple[tuple[str, str], ...] = (),
    ) -> None:
        """Sends the response.

        Does nothing if one has been sent already or the connection is closed.
        """
        if self._has_responded:
            return
        self._has_responded = True
        self._server.send_response(
            self._connection, status, body, content_type, headers
        )


Handler = Callable[[HttpRequest, Exchange], None]


@dataclasses.dataclass
class _HttpConnection:
    """State of one connection.

    Attributes:
        is_busy: Whether a request has been received in full and has no
            response yet.
        is_closing: Whether the connection is closed after the next response.
        registered_events: Events for which the selector watches the socket.
    """

    socket: socket.socket
    last_received_at: float
    parser: waitress_parser.HTTPRequestParser | None = None
    receive_buffer: bytearray = dataclasses.field(default_factory=bytearray)
    send_buffer: bytearray = dataclasses.field(default_factory=bytearray)
    is_busy: bool = False
    is_closing: bool = False
    is_closed: bool = False
    registered_events: int = selectors.EVENT_READ


class HttpServer:
    """Owns a listening socket and its connections. Used by one thread.

    Args:
        selector: Selector that the owning thread waits in.
        address: Host and port to listen on.
        handler: Called with each request; it responds through the exchange.
    """

    def __init__(
        self,
        selector: selectors.BaseSelector,
        address: tuple[str, int],
        handler: Handler,
        limits: HttpLimits | None = None,
    ) -> None:
        self.log = logs.new_logger(task="http")
        self.is_draining = False
        self._selector = selector
        self._handler = handler
        self._limits = limits or HttpLimits()
        self._adjustments = adjustments.Adjustments(
            max_request_header_size=self._limits.max_header_bytes,
            max_request_body_size=self._limits.max_body_bytes,
        )
        self._connections: dict[int, _HttpConnection] = {}
        self._next_idle_check = 0.0
        self._listener = self._listen(address)
        selector.register(self._listener, selectors.EVENT_READ, (self, None))

    @property
    def connection_count(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    @property
    def in_progress_count(self) -> int:
        """Number of requests whose response has not been sent completely."""
        return sum(
            1
            for connection in self._connections.values()
            if connection.is_busy or connection.send_buffer
        )

    def on_ready(self, data: Any, events: int) -> None:
        """Serves a socket that the selector reported as ready."""
        if data is None:
            self._accept()
            return
        connection: _HttpConnection = data
        if connection.is_closed:
            return
        if events & selectors.EVENT_READ:
            self._read(connection)
        if events & selectors.EVENT_WRITE and not connection.is_closed:
            self._write(connection)

    def close_idle_connections(self, now: float) -> None:
        """Closes connections that have exceeded the idle timeout."""
        if now < self._next_idle_check:
            return
        self._next_idle_check = now + IDLE_CHECK_INTERVAL_S
        for connection in list(self._connections.values()):
            idle = now - connection.last_received_at
            if not connection.is_busy and idle > self._limits.idle_timeout_s:
                self._close(connection)

    def close(self) -> None:
        """Closes the listening socket and all connections."""
        self._selector.unregister(self._listener)
        self._listener.close()
        for connection in list(self._connections.values()):
            self._close(connection)

    def send_response(
        self,
        connection: _HttpConnection,
        status: int,
        body: bytes,
        content_type: str,
        headers: tuple[tuple[str, str], ...],
    ) -> None:
        """Sends a response, then parses the next request that has been received."""
        if connection.is_closed:
            return
        lines = [
            f"HTTP/1.1 {status} {REASON_PHRASE_BY_STATUS.get(status, 'Status')}",
            f"Content-Length: {len(body)}",
        ]
        if body:
            lines.append(f"Content-Type: {content_type}")
        lines += [f"{name}: {value}" for name, value in headers]
        if self.is_draining or connection.is_closing:
            connection.is_closing = True
            lines.append("Connection: close")
        head = "\r\n".join(lines) + "\r\n\r\n"
        connection.send_buffer += head.encode("latin-1") + body
        connection.is_busy = False
        self._write(connection)
        if not connection.is_closed and connection.receive_buffer:
            self._parse(connection)

    def _listen(self, address: tuple[str, int]) -> socket.socket:
        host, port = address
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            listener.bind(address)
        except OSError as error:
            listener.close()
            raise errors.AddressError(f"{host}:{port}: {error}") from error
        listener.listen(LISTEN_BACKLOG)
        listener.setblocking(False)
        return listener

    def _accept(self) -> None:
        while True:
            try:
                accepted, _ = self._listener.accept()
            except BlockingIOError:
                return
            except OSError as error:
                self.log.warning("accept failed", error=str(error))
                return
            if len(self._connections) >= self._limits.max_connections:
                self.log.warning(
                    "connection limit reached; closing the new connection",
                    open=len(self._connections),
                )
                accepted.close()
                return
            accepted.setblocking(False)
            accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            connection = _HttpConnection(accepted, time.monotonic())
            self._connections[accepted.fileno()] = connection
            self._selector.register(
                accepted, selectors.EVENT_READ, (self, connection)
            )

    def _read(self, connection: _HttpConnection) -> None:
        try:
            data = connection.socket.recv(RECV_BYTES)
        except BlockingIOError:
            return
        except OSError:
            self._close(connection)
            return
        if not data:
            self._close(connection)
            return
        connection.last_received_at = time.monotonic()
        connection.receive_buffer += data
        if not connection.is_busy:
            self._parse(connection)

    def _parse(self, connection: _HttpConnection) -> None:
        while (
            connection.receive_buffer
            and not connection.is_busy
            and not connection.is_closing
            and not connection.is_closed
        ):
            if connection.parser is None:
                connection.parser = waitress_parser.HTTPRequestParser(
                    self._adjustments
                )
            parser = connection.parser
            try:
                consumed = parser.received(bytes(connection.receive_buffer))
            except Exception as error:
                # The parser raises for some malformed requests, such as the
                # target "http://[". They must not end the process.
                self._reject_unreadable(connection, error)
                return
            del connection.receive_buffer[:consumed]
            if parser.expect_continue and not parser.completed:
                parser.expect_continue = False
                connection.send_buffer += b"HTTP/1.1 100 Continue\r\n\r\n"
                self._write(connection)
            if not parser.completed:
                if consumed == 0:
                    return
                continue
            connection.parser = None
            if parser.empty:
                continue
            self._dispatch(connection, parser)

    def _reject_unreadable(
        self, connection: _HttpConnection, error: Exception
    ) -> None:
        """Answers a request that can't be parsed, and closes the connection."""
        self.log.warning("request not readable", error=repr(error))
        connection.parser = None
        connection.receive_buffer.clear()
        connection.is_busy = True
        connection.is_closing = True
        Exchange(self, connection).respond(400)

    def _dispatch(
        self,
        connection: _HttpConnection,
        parser: waitress_parser.HTTPRequestParser,
    ) -> None:
        exchange = Exchange(self, connection)
        connection.is_busy = True
        if parser.error is not None:
            connection.is_closing = True
            exchange.respond(parser.error.code)
            return
        connection.is_closing = bool(parser.connection_close)
        body = b""
        if parser.body_rcv is not None:
            body = parser.get_body_stream().read()
        request = HttpRequest(
            parser.command, parser.path, parser.headers, body, time.monotonic()
        )
        parser.close()
        try:
            self._handler(request, exchange)
        except Exception as error:
            # An unexpected error in one request must not end the process.
            self.log.error(
                "request failed", path=request.path, error=repr(error)
            )
            exchange.respond(500)

    def _write(self, connection: _HttpConnection) -> None:
        try:
            while connection.send_buffer:
                sent = connection.socket.send(connection.send_buffer)
                del connection.send_buffer[:sent]
        except BlockingIOError:
            pass
        except OSError:
            self._close(connection)
            return
        if (
            connection.is_closing
            and not connection.send_buffer
            and not connection.is_busy
        ):
            self._close(connection)
            return
        wanted_events = selectors.EVENT_READ
        if connection.send_buffer:
            wanted_events |= selectors.EVENT_WRITE
        if wanted_events != connection.registered_events:
            connection.registered_events = wanted_events
            self._selector.modify(
                connection.socket, wanted_events, (self, connection)
            )

    def _close(self, connection: _HttpConnection) -> None:
        if connection.is_closed:
            return
        connection.is_closed = True
        self._connections.pop(connection.socket.fileno(), None)
        self._selector.unregister(connection.socket)
        connection.socket.close()
