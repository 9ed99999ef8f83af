"""HTTP routes of entries and keepers.

An entry serves callers, workers, endpoints and operators; a keeper serves only
its metrics and health check.
"""

from collections.abc import Callable
import secrets
import threading

import msgspec

from fulmarrouter import codes
from fulmarrouter import commands
from fulmarrouter import errors
from fulmarrouter import ids
from fulmarrouter import leader_client
from fulmarrouter import metrics
from fulmarrouter import proxy as proxy_lib
from fulmarrouter import requests
from fulmarrouter import router_task
from fulmarrouter import settings as settings_lib
from fulmarrouter import times
from fulmarrouter import web

# Longest time that workers, endpoints and operators wait for the leader's reply.
CONTROL_TIMEOUT_S = 4.0
IDEMPOTENT_METHODS = frozenset(("GET", "HEAD", "PUT", "DELETE", "OPTIONS"))
CALL_PREFIX = "/call/"
FULMAR_HEADER_PREFIX = "fulmar-"
MAX_LIST_LIMIT = 1000
MAX_TIME_MS = 2**53


class CancelBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of a cancellation."""

    jobs: tuple[commands.Name, ...]


class TicketBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of a change ticket."""

    number: int
    items: tuple[commands.TicketItem, ...]
    operator: str = ""


class EntryRoutes:
    """The routes of one entry.

    Attributes:
        is_stopping: Whether the entry is shutting down; the health check then
            fails.
    """

    def __init__(
        self,
        settings: settings_lib.EntrySettings,
        proxy: proxy_lib.Proxy,
        router: router_task.RouterTask,
        client: leader_client.LeaderClient,
        registry: metrics.Registry,
    ) -> None:
        self._settings = settings
        self._proxy = proxy
        self._router = router
        self._client = client
        self._metrics = registry
        self._in_progress_permits = threading.BoundedSemaphore(
            settings.limits.max_in_progress
        )
        self.is_stopping = False

    def build(self) -> web.App:
        """Returns the application."""
        app = web.App(self._settings.limits.max_body_bytes)
        app.route(("*",), CALL_PREFIX + "*")(self._call)
        app.route(("POST",), "/v1/workers/heartbeat")(self._worker_heartbeat)
        app.route(("POST",), "/v1/endpoints/heartbeat")(
            self._endpoint_heartbeat
        )
        app.route(("POST",), "/v1/jobs")(self._submit_job)
        app.route(("GET",), "/v1/jobs")(self._list_jobs)
        app.route(("POST",), "/v1/jobs/cancel")(self._cancel_jobs)
        app.route(("GET",), "/v1/jobs/*")(self._show_job)
        app.route(("POST",), "/v1/tickets")(self._submit_ticket)
        app.route(("GET",), "/v1/tickets")(self._list_tickets)
        app.route(("GET",), "/v1/tickets/*")(self._show_ticket)
        app.route(("GET",), "/v1/workers")(
            self._leader_handler(requests.ListWorkers())
        )
        app.route(("GET",), "/v1/endpoints")(
            self._leader_handler(requests.ListEndpoints())
        )
        app.route(("GET",), "/v1/status")(
            self._leader_handler(requests.GetStatus())
        )
        app.route(("GET",), "/v1/record")(self._show_record)
        app.route(("GET",), "/metrics")(self._show_metrics)
        app.route(("GET",), "/healthz")(self._health)
        return app

    # Callers.

    def _call(self, request: web.Request) -> web.Response:
        if not self._in_progress_permits.acquire(blocking=False):
            return self._refuse_call(request)
        try:
            return self._serve_call(request)
        finally:
            self._in_progress_permits.release()

    def _refuse_call(self, request: web.Request) -> web.Response:
        """Refuses a call because too many are in progress.

        With a key from the caller, an earlier attempt may have been run, so the
        result says only that this one wasn't sent.
        """
        self._metrics.count("refusals", reason="MAX_IN_PROGRESS")
        if _is_idempotent(request) or LOWER_KEY_HEADER not in request.headers:
            return web.code_response(codes.Code.OVERLOADED)
        return web.code_response(
            codes.Code.ATTEMPT_NOT_SENT, codes.Code.OVERLOADED.name
        )

    def _serve_call(self, request: web.Request) -> web.Response:
        caller_request = self._read_call(request)
        result = self._proxy.serve(caller_request)
        if result.answer is None:
            return web.code_response(
                result.code, result.reason, caller_request.key
            )
        headers = [
            *result.answer.headers,
            commands.Header(web.CODE_HEADER, str(result.code.value)),
        ]
        if result.endpoint:
            headers.append(commands.Header("Fulmar-Endpoint", result.endpoint))
        if caller_request.key:
            headers.append(
                commands.Header(proxy_lib.KEY_HEADER, caller_request.key)
            )
        return web.Response(
            result.answer.status, result.answer.body, tuple(headers)
        )

    def _read_call(self, request: web.Request) -> proxy_lib.CallerRequest:
        remainder = request.target[len(CALL_PREFIX) :]
        service, _, rest = remainder.partition("/")
        service, separator, query = service.partition("?")
        target = "/" + rest + (separator + query)
        key = request.headers.get(LOWER_KEY_HEADER, "")
        is_idempotent = _is_idempotent(request)
        key_is_new = not key
        if is_idempotent:
            key = ""
        elif not key:
            key = "minted-" + secrets.token_hex(16)
        _check_name("service", service)
        if key:
            _check_name("key", key)
        return proxy_lib.CallerRequest(
            service=ids.ServiceName(service),
            method=request.method,
            target=target,
            headers=tuple(
                commands.Header(name, value)
                for name, value in request.headers.items()
                if name not in proxy_lib.HOP_BY_HOP_HEADERS
                and not name.startswith(FULMAR_HEADER_PREFIX)
            ),
            body=request.body,
            caller=request.headers.get("fulmar-caller", request.remote_address),
            key=ids.RequestKey(key),
            key_is_new=key_is_new,
            deadline_ms=_read_int(
                request.headers, "fulmar-deadline-ms", 0, 600_000
            ),
            arrived_at=request.arrived_at,
        )

    # Workers and endpoints.

    def _worker_heartbeat(self, request: web.Request) -> web.Response:
        heartbeat = web.decode_json(request.body, requests.WorkerHeartbeat)
        return self._forward_to_leader(heartbeat)

    def _endpoint_heartbeat(self, request: web.Request) -> web.Response:
        heartbeat = web.decode_json(request.body, requests.EndpointHeartbeat)
        return self._forward_to_leader(heartbeat)

    # Jobs, tickets and listings.

    def _submit_job(self, request: web.Request) -> web.Response:
        spec = web.decode_json(request.body, commands.JobSpec)
        return self._propose(commands.SubmitJob(spec, times.wall_ms()))

    def _cancel_jobs(self, request: web.Request) -> web.Response:
        body = web.decode_json(request.body, CancelBody)
        return self._propose(commands.CancelJobs(body.jobs, times.wall_ms()))

    def _show_job(self, request: web.Request) -> web.Response:
        job = request.path.removeprefix("/v1/jobs/")
        reply = self._request_from_leader(requests.ListJobs(job))
        if isinstance(reply, requests.JobList) and not reply.jobs:
            raise errors.RequestError(codes.Code.NO_SUCH_OBJECT, job)
        return _response_from_reply(reply)

    def _list_jobs(self, request: web.Request) -> web.Response:
        limit = _read_int(request.query, "limit", 100, MAX_LIST_LIMIT)
        return self._forward_to_leader(requests.ListJobs(limit=limit))

    def _submit_ticket(self, request: web.Request) -> web.Response:
        body = web.decode_json(request.body, TicketBody)
        # The constructor doesn't check constraints of fields; convert does.
        unvalidated = commands.SubmitTicket(
            body.number, body.items, body.operator, times.wall_ms()
        )
        try:
            ticket = msgspec.convert(
                msgspec.to_builtins(unvalidated), commands.SubmitTicket
            )
        except msgspec.ValidationError as error:
            raise errors.RequestError(
                codes.Code.BAD_REQUEST, str(error)
            ) from error
        return self._propose(ticket)

    def _show_ticket(self, request: web.Request) -> web.Response:
        text = request.path.removeprefix("/v1/tickets/")
        if not text.isdigit() or int(text) == 0:
            raise errors.RequestError(
                codes.Code.BAD_REQUEST, f"number {text!r}"
            )
        reply = self._request_from_leader(requests.ListTickets(int(text)))
        if isinstance(reply, requests.TicketList) and not reply.tickets:
            raise errors.RequestError(codes.Code.NO_SUCH_OBJECT, text)
        return _response_from_reply(reply)

    def _list_tickets(self, request: web.Request) -> web.Response:
        limit = _read_int(request.query, "limit", 100, MAX_LIST_LIMIT)
        return self._forward_to_leader(requests.ListTickets(limit=limit))

    def _show_record(self, request: web.Request) -> web.Response:
        from_ms = _read_int(request.query, "from_ms", 0, MAX_TIME_MS)
        to_ms = _read_int(request.query, "to_ms", MAX_TIME_MS, MAX_TIME_MS)
        return self._forward_to_leader(requests.GetRecord(from_ms, to_ms))

    def _leader_handler(
        self, leader_request: requests.AnyRequest
    ) -> web.Handler:
        def handler(request: web.Request) -> web.Response:
            del request
            return self._forward_to_leader(leader_request)

        return handler

    def _show_metrics(self, request: web.Request) -> web.Response:
        del request
        return web.text_response(self._metrics.render())

    def _health(self, request: web.Request) -> web.Response:
        del request
        if self.is_stopping:
            return web.text_response("stopping\n", 503)
        if not self._router.ready:
            return web.text_response("no configuration lease\n", 503)
        return web.text_response("ready\n")

    # Requests to the leader.

    def _request_from_leader(
        self, request: requests.AnyRequest
    ) -> requests.AnyReply:
        return self._client.send_request(request, CONTROL_TIMEOUT_S).result()

    def _forward_to_leader(self, request: requests.AnyRequest) -> web.Response:
        return _response_from_reply(self._request_from_leader(request))

    def _propose(self, command: commands.AnyCommand) -> web.Response:
        return self._forward_to_leader(requests.Propose(command))


LOWER_KEY_HEADER = proxy_lib.KEY_HEADER.lower()


def _response_from_reply(reply: requests.AnyReply) -> web.Response:
    match reply:
        case requests.Refused():
            return web.code_response(reply.code, reply.reason)
        case requests.Proposed(result):
            return web.code_response(result.code, result.reason)
        case _:
            return web.json_response(reply)


def _is_idempotent(request: web.Request) -> bool:
    """Returns whether a request is idempotent.

    The Fulmar-Idempotent header decides; without it, the method does.
    """
    declared = request.headers.get("fulmar-idempotent", "").lower()
    if declared in ("true", "false"):
        return declared == "true"
    if declared:
        raise errors.RequestError(
            codes.Code.BAD_REQUEST, "Fulmar-Idempotent: allowed are true, false"
        )
    return request.method in IDEMPOTENT_METHODS


def _check_name(label: str, value: str) -> None:
    try:
        msgspec.convert(value, commands.Name)
    except msgspec.ValidationError as error:
        raise errors.RequestError(
            codes.Code.BAD_REQUEST, f"{label} {value!r}: {error}"
        ) from error


def _read_int(
    values: dict[str, str], name: str, default: int, maximum: int
) -> int:
    text = values.get(name)
    if text is None:
        return default
    if not text.isdigit() or int(text) > maximum:
        raise errors.RequestError(
            codes.Code.BAD_REQUEST,
            f"{name}: given {text!r}, allowed: 0 to {maximum}",
        )
    return int(text)


def keeper_app(
    registry: metrics.Registry, is_ready: Callable[[], bool]
) -> web.App:
    """Returns the web application of a keeper: metrics and health check."""
    app = web.App()

    def show_metrics(request: web.Request) -> web.Response:
        del request
        return web.text_response(registry.render())

    def health(request: web.Request) -> web.Response:
        del request
        if is_ready():
            return web.text_response("ready\n")
        return web.text_response("no leader known\n", 503)

    app.route(("GET",), "/metrics")(show_metrics)
    app.route(("GET",), "/healthz")(health)
    return app
