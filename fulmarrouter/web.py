"""HTTP server of entries and keepers: a WSGI application served by waitress.

Each request occupies a thread until it is answered. Cluster nodes use the
selector-based server in `event_http` instead.
"""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import time
from typing import Any
from typing import TypeVar
import urllib.parse

import msgspec
from waitress import wasyncore
import waitress.server

from fulmarrouter import codes
from fulmarrouter import commands
from fulmarrouter import errors
from fulmarrouter import logs
from fulmarrouter import settings as settings_lib
from fulmarrouter import tasks

# Longest time that stopping the server waits for pending responses.
FLUSH_TIMEOUT_S = 2.0
MAX_BODY_BYTES = 1 << 20
# waitress accepts bodies up to this multiple of the limit, so that a body a
# little over the limit is answered with a result code. It rejects larger ones.
BODY_READ_FACTOR = 4
JSON_CONTENT_TYPE = "application/json"
CODE_HEADER = "Fulmar-Code"


@dataclasses.dataclass(frozen=True)
class Request:
    """An HTTP request.

    Attributes:
        path: Decoded path, without the query.
        target: Path and query as the caller sent them.
        headers: Header fields by lower-case name.
    """

    method: str
    path: str
    target: str
    headers: dict[str, str]
    body: bytes
    remote_address: str
    arrived_at: float

    @property
    def query(self) -> dict[str, str]:
        """Values of the query by name; the last one if a name is repeated."""
        parts = urllib.parse.urlsplit(self.target)
        return dict(urllib.parse.parse_qsl(parts.query))


@dataclasses.dataclass(frozen=True)
class Response:
    """An HTTP response."""

    status: int
    body: bytes
    headers: tuple[commands.Header, ...] = ()


Handler = Callable[[Request], Response]
T = TypeVar("T")


class ErrorBody(msgspec.Struct, frozen=True):
    """JSON body of a response that has a result code but no other content.

    Attributes:
        result: Class of the code, in lower case.
    """

    code: int
    name: str
    result: str
    reason: str


def code_response(
    code: codes.Code, reason: str = "", key: str = ""
) -> Response:
    """Returns the response for a result code that has no other content.

    Args:
        code: The result code.
        reason: Explanation for the caller.
        key: Key of a non-idempotent request, sent back as a header.
    """
    headers = [
        commands.Header("Content-Type", JSON_CONTENT_TYPE),
        commands.Header(CODE_HEADER, str(code.value)),
    ]
    if key:
        headers.append(commands.Header("Fulmar-Key", key))
    if code is codes.Code.OVERLOADED:
        headers.append(commands.Header("Retry-After", "1"))
    body = ErrorBody(
        code.value, code.name, code.code_class.name.lower(), reason
    )
    return Response(
        codes.http_status(code), msgspec.json.encode(body), tuple(headers)
    )


def json_response(
    value: object, code: codes.Code = codes.Code.DONE
) -> Response:
    """Returns a response with a value as JSON."""
    headers = (
        commands.Header("Content-Type", JSON_CONTENT_TYPE),
        commands.Header(CODE_HEADER, str(code.value)),
    )
    return Response(
        codes.http_status(code), msgspec.json.encode(value), headers
    )


def text_response(text: str, status: int = 200) -> Response:
    """Returns a response with plain text."""
    header = commands.Header("Content-Type", "text/plain; charset=utf-8")
    return Response(status, text.encode(), (header,))


def decode_json(body: bytes, type_: type[T]) -> T:
    """Decodes a JSON body.

    Raises:
        RequestError: The body is no valid JSON of that type.
    """
    try:
        return msgspec.json.decode(body, type=type_)
    except msgspec.DecodeError as error:
        raise errors.RequestError(codes.Code.BAD_REQUEST, str(error)) from error


class App:
    """A WSGI application that passes each request to the handler of its route.

    A route whose path ends in `/*` matches every path with that prefix.
    """

    def __init__(self, max_body_bytes: int = MAX_BODY_BYTES) -> None:
        self._max_body_bytes = max_body_bytes
        self._log = logs.new_logger(task="web")
        self._handlers_by_path: dict[str, dict[str, Handler]] = {}
        self._handlers_by_prefix: dict[str, dict[str, Handler]] = {}

    def route(
        self, methods: tuple[str, ...], path: str
    ) -> Callable[[Handler], Handler]:
        """Registers the decorated function for methods and a path."""

        def register(handler: Handler) -> Handler:
            table = self._handlers_by_path
            registered_path = path
            if path.endswith("/*"):
                table = self._handlers_by_prefix
                registered_path = path[:-1]
            by_method = table.setdefault(registered_path, {})
            for method in methods:
                by_method[method] = handler
            return handler

        return register

    def __call__(
        self, environ: dict[str, Any], start_response: Callable[..., object]
    ) -> Iterable[bytes]:
        """Serves one request."""
        response = self._respond(_request_from_environ(environ))
        reason = (
            f"{response.status} {'OK' if response.status < 400 else 'Error'}"
        )
        headers = [(item.name, item.value) for item in response.headers]
        headers.append(("Content-Length", str(len(response.body))))
        start_response(reason, headers)
        return [response.body]

    def _respond(self, request: Request) -> Response:
        try:
            if len(request.body) > self._max_body_bytes:
                raise errors.RequestError(
                    codes.Code.BODY_TOO_LARGE, f"at most {self._max_body_bytes}"
                )
            return self._find_handler(request)(request)
        except errors.RequestError as error:
            return code_response(error.code, error.reason)
        except Exception as error:
            # An unexpected error in one request must not end the web thread.
            self._log.error(
                "request failed", path=request.path, error=repr(error)
            )
            failure = code_response(
                codes.Code.OUTCOME_UNKNOWN, "internal error"
            )
            return dataclasses.replace(failure, status=500)

    def _find_handler(self, request: Request) -> Handler:
        by_method = self._handlers_by_path.get(request.path)
        if by_method is None:
            for prefix, prefix_handlers in self._handlers_by_prefix.items():
                if request.path.startswith(prefix):
                    by_method = prefix_handlers
                    break
        if by_method is None:
            raise errors.RequestError(codes.Code.NOT_FOUND, request.path)
        handler = by_method.get(request.method) or by_method.get("*")
        if handler is None:
            allowed = ", ".join(sorted(by_method))
            raise errors.RequestError(
                codes.Code.METHOD_NOT_ALLOWED, f"allowed are {allowed}"
            )
        return handler


def _request_from_environ(environ: dict[str, Any]) -> Request:
    headers = {
        name[5:].replace("_", "-").lower(): str(value)
        for name, value in environ.items()
        if name.startswith("HTTP_")
    }
    if environ.get("CONTENT_TYPE"):
        headers["content-type"] = environ["CONTENT_TYPE"]
    path = str(environ.get("PATH_INFO", "/"))
    target = urllib.parse.quote(path, safe="/:@!$&'()*+,;=~-._")
    if environ.get("QUERY_STRING"):
        target += "?" + environ["QUERY_STRING"]
    return Request(
        method=str(environ["REQUEST_METHOD"]),
        path=path,
        target=target,
        headers=headers,
        body=environ["wsgi.input"].read(),
        remote_address=str(environ.get("REMOTE_ADDR", "")),
        arrived_at=time.monotonic(),
    )


class WebTask(tasks.Task[None]):
    """Owns the HTTP listening socket and the web threads."""

    name = "web"

    def __init__(
        self,
        app: App,
        listen: settings_lib.ListenAddress,
        threads: int,
        limits: settings_lib.Limits,
    ) -> None:
        super().__init__()
        try:
            self._server = waitress.server.create_server(
                app,
                host=listen.host,
                port=listen.port,
                threads=threads,
                connection_limit=limits.max_connections,
                channel_timeout=limits.idle_timeout_ms // 1000 or 1,
                cleanup_interval=5,
                max_request_body_size=BODY_READ_FACTOR * limits.max_body_bytes,
                max_request_header_size=limits.max_header_bytes,
                asyncore_use_poll=True,
                ident="fulmarrouter",
                clear_untrusted_proxy_headers=True,
            )
        except OSError as error:
            raise errors.AddressError(
                f"{listen.host}:{listen.port}: {error}"
            ) from error

    def run(self) -> None:
        """Serves until stopped."""
        self._server.run()
        self._server.task_dispatcher.shutdown()

    def stop(self) -> None:
        """Closes the server once all responses are sent or a timeout passes."""
        deadline = time.monotonic() + FLUSH_TIMEOUT_S
        while self._has_pending_responses() and time.monotonic() < deadline:
            time.sleep(0.02)
        self._server.trigger.pull_trigger(self._close)

    def _has_pending_responses(self) -> bool:
        return any(
            channel.requests or channel.total_outbufs_len
            for channel in list(self._server.active_channels.values())
        )

    def _close(self) -> None:
        wasyncore.close_all(map=self._server._map, ignore_all=True)
