"""Forwards callers' requests to endpoints, on the web server's threads.

An idempotent request is retried on other endpoints. Any other request is
attempted once: the ledger records the intent before the attempt and the
outcome after it, so that the request runs at most once for its key.
"""

import concurrent.futures
import dataclasses
import hashlib
import http.client
import secrets
import select
import socket
import time

from fulmarrouter import codes
from fulmarrouter import commands
from fulmarrouter import errors
from fulmarrouter import ids
from fulmarrouter import leader_client
from fulmarrouter import metrics
from fulmarrouter import requests
from fulmarrouter import router_task
from fulmarrouter import routing
from fulmarrouter import settings as settings_lib
from fulmarrouter import times

# Not forwarded in either direction: the hop-by-hop headers, and those that are
# set anew on each connection.
HOP_BY_HOP_HEADERS = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "host",
    )
)
KEY_HEADER = "Fulmar-Key"
REQUEST_ID_HEADER = "Fulmar-Request-Id"
CONNECT_TIMEOUT_S = 0.5
# No connection is opened if less time than this is left before the deadline.
MIN_ATTEMPT_S = 0.005
# Longest time that a caller waits for the ledger to record an intent, and again
# for it to record the outcome.
LEDGER_TIMEOUT_S = 2.0
# Refusals by what an entry knows, as just after its start, not by load.
REFUSALS_BY_STATE = (
    codes.Code.NO_ENDPOINT,
    codes.Code.CONFIG_LEASE_EXPIRED,
    codes.Code.UNKNOWN_SERVICE,
)
# How long the leader client resends an outcome; this goes on after the caller
# has been answered.
OUTCOME_TIMEOUT_S = 60.0
MAX_ATTEMPTS = 4


@dataclasses.dataclass(frozen=True)
class CallerRequest:
    """A caller's request as read from its connection.

    Attributes:
        key: Key of a non-idempotent request; empty for an idempotent one.
        key_is_new: Whether this entry generated the key, in which case there
            can't be an earlier attempt with it.
        arrived_at: Monotonic time of arrival.
    """

    service: ids.ServiceName
    method: str
    target: str
    headers: tuple[commands.Header, ...]
    body: bytes
    caller: str
    key: ids.RequestKey
    key_is_new: bool
    deadline_ms: int
    arrived_at: float


@dataclasses.dataclass(frozen=True)
class CallResult:
    """Result of a call, returned to the caller.

    Attributes:
        code: Says whether the request has been run, as far as that is known.
        answer: The endpoint's answer, or the one kept in the ledger.
        endpoint: Endpoint that the attempt was made on, if there was one.
        reason: Name of the code for which the attempt wasn't sent.
    """

    code: codes.Code
    answer: commands.Answer | None = None
    endpoint: str = ""
    reason: str = ""


class _AttemptError(errors.RequestError):
    """An attempt that brought no complete answer.

    Attributes:
        outcome: How the attempt ended, which is reported to the router.
    """

    def __init__(
        self, code: codes.Code, outcome: routing.AttemptOutcome
    ) -> None:
        super().__init__(code)
        self.outcome = outcome


class Proxy:
    """Serves callers' requests; its methods run on the web server's threads."""

    def __init__(
        self,
        settings: settings_lib.EntrySettings,
        router: router_task.RouterTask,
        client: leader_client.LeaderClient,
        registry: metrics.Registry,
    ) -> None:
        self._settings = settings
        self._router = router
        self._client = client
        self._metrics = registry

    def serve(self, request: CallerRequest) -> CallResult:
        """Serves a request by one attempt or several.

        Returns:
            A complete answer, or a code that says whether the request has been
            run, as far as that is known.
        """
        policy = self._router.policy_of(request.service)
        limit_ms = min(
            policy.deadline_ms, self._settings.leases.request_limit_ms
        )
        if request.deadline_ms:
            limit_ms = min(limit_ms, request.deadline_ms)
        deadline = request.arrived_at + limit_ms / 1000
        if request.key:
            result = self._serve_once(request, deadline)
        else:
            result = self._serve_with_retries(
                request, deadline, policy.attempt_timeout_ms / 1000
            )
        self._record_metrics(request, result)
        return result

    def _record_metrics(
        self, request: CallerRequest, result: CallResult
    ) -> None:
        elapsed = time.monotonic() - request.arrived_at
        match result.code.code_class:
            case codes.CodeClass.DONE:
                self._metrics.count("answers", code=result.code.name)
                self._metrics.observe("answer_seconds", elapsed)
            case codes.CodeClass.UNKNOWN:
                self._metrics.count("unknown", reason=result.code.name)
            case _:
                self._metrics.count("refusals", reason=result.code.name)
                self._metrics.observe("refusal_seconds", elapsed)

    # Idempotent requests.

    def _serve_with_retries(
        self, request: CallerRequest, deadline: float, attempt_timeout: float
    ) -> CallResult:
        avoid: frozenset[str] = frozenset()
        last_failure: CallResult | None = None
        for attempt in range(MAX_ATTEMPTS):
            slot = self._get_slot(
                request, deadline, avoid, attempt > 0, attempt > 0
            )
            if isinstance(slot, routing.Refusal):
                # A refusal means that the request has not been run, which may
                # be wrong after a failed attempt: the code of that attempt is
                # returned instead.
                return last_failure or CallResult(slot.code)
            endpoint = slot.assignment.endpoint
            if last_failure is not None:
                self._metrics.count("retries", reason=last_failure.code.name)
            try:
                answer = self._attempt(request, slot, deadline, attempt_timeout)
                return CallResult(codes.Code.DONE, answer, endpoint)
            except _AttemptError as failure:
                # An attempt that ran nothing doesn't hide the code of one that
                # may have.
                if (
                    last_failure is None
                    or failure.code.code_class is not codes.CodeClass.NOT_RUN
                ):
                    last_failure = CallResult(failure.code, endpoint=endpoint)
                avoid = avoid | {endpoint}
        assert last_failure is not None
        return last_failure

    # Non-idempotent requests.

    def _serve_once(
        self, request: CallerRequest, deadline: float
    ) -> CallResult:
        slot = self._get_slot(request, deadline, frozenset(), False, True)
        if isinstance(slot, routing.Refusal):
            known = self._find_result(request, slot.code, deadline)
            return known or self._not_attempted_result(request, slot.code)
        nonce = secrets.token_hex(16)
        intent = self._record_intent(request, slot, nonce, deadline)
        if intent is not None:
            self._router.post(
                router_task.ReleaseSlot(
                    slot.assignment, routing.AttemptOutcome.UNUSED, None
                )
            )
            return intent
        return self._attempt_and_record(request, slot, nonce, deadline)

    def _find_result(
        self, request: CallerRequest, refusal: codes.Code, deadline: float
    ) -> CallResult | None:
        """Returns what the ledger has on a repeat of a request.

        None if it has nothing, or isn't asked: a refusal for load must not cause
        more of it.
        """
        if request.key_is_new or refusal not in REFUSALS_BY_STATE:
            return None
        find = requests.FindRun(request.key, _request_digest(request))
        timeout = min(LEDGER_TIMEOUT_S, deadline - time.monotonic())
        reply = self._client.send_request(find, timeout).result()
        if not isinstance(reply, requests.FoundRun) or reply.result is None:
            return None
        return CallResult(reply.result.code, reply.result.answer)

    def _not_attempted_result(
        self, request: CallerRequest, code: codes.Code
    ) -> CallResult:
        """Returns the result of a request that this call doesn't attempt.

        With a key from the caller, an earlier attempt may have been run. The
        result then says only that this attempt wasn't sent.
        """
        if request.key_is_new:
            return CallResult(code)
        return CallResult(codes.Code.ATTEMPT_NOT_SENT, reason=code.name)

    def _record_intent(
        self,
        request: CallerRequest,
        slot: router_task.GrantedSlot,
        nonce: str,
        deadline: float,
    ) -> CallResult | None:
        """Records the intent in the ledger.

        Returns:
            None if the request may be sent now, else the result of the call.
        """
        command = commands.RecordIntent(
            key=request.key,
            digest=_request_digest(request),
            session=self._router.session,
            nonce=nonce,
            endpoint=slot.assignment.endpoint,
            at_ms=times.wall_ms(),
        )
        timeout = min(LEDGER_TIMEOUT_S, deadline - time.monotonic())
        reply = self._client.send_request(
            requests.Propose(command), timeout
        ).result()
        if not isinstance(reply, requests.Proposed):
            # The intent may still be committed. Recording that nothing was run
            # keeps the key from staying in progress.
            self._record_outcome(
                request.key, nonce, commands.RunState.NOT_RUN, None
            )
            return self._not_attempted_result(
                request, codes.Code.LEDGER_UNAVAILABLE
            )
        result = reply.result
        match result.code:
            case codes.Code.ACCEPTED:
                return None
            case codes.Code.REPEATED:
                return CallResult(codes.Code.REPEATED, result.answer)
            case codes.Code.SESSION_ENDED:
                return self._not_attempted_result(
                    request, codes.Code.LEDGER_UNAVAILABLE
                )
            case _:
                return CallResult(result.code)

    def _attempt_and_record(
        self,
        request: CallerRequest,
        slot: router_task.GrantedSlot,
        nonce: str,
        deadline: float,
    ) -> CallResult:
        """Makes the only attempt and records its outcome in the ledger."""
        endpoint = slot.assignment.endpoint
        try:
            remaining = deadline - time.monotonic()
            answer = self._attempt(request, slot, deadline, remaining)
        except _AttemptError as failure:
            state = commands.RunState.UNKNOWN
            if failure.code.code_class is codes.CodeClass.NOT_RUN:
                state = commands.RunState.NOT_RUN
            recorded = self._record_outcome(request.key, nonce, state, None)
            concurrent.futures.wait([recorded], timeout=LEDGER_TIMEOUT_S)
            return CallResult(failure.code, endpoint=endpoint)
        kept: commands.Answer | None = answer
        if len(answer.body) > self._settings.limits.max_kept_answer_bytes:
            kept = None
        recorded = self._record_outcome(
            request.key, nonce, commands.RunState.DONE, kept
        )
        concurrent.futures.wait([recorded], timeout=LEDGER_TIMEOUT_S)
        return CallResult(codes.Code.DONE, answer, endpoint)

    def _record_outcome(
        self,
        key: ids.RequestKey,
        nonce: str,
        state: commands.RunState,
        answer: commands.Answer | None,
    ) -> leader_client.ReplyFuture:
        """Sends the outcome to the ledger without waiting for the reply."""
        outcome = commands.RecordOutcome(
            key, nonce, state, answer, times.wall_ms()
        )
        return self._client.send_request(
            requests.Propose(outcome), OUTCOME_TIMEOUT_S
        )

    # One attempt.

    def _get_slot(
        self,
        request: CallerRequest,
        deadline: float,
        avoid: frozenset[str],
        is_retry: bool,
        needs_new_connection: bool,
    ) -> router_task.GrantedSlot | routing.Refusal:
        """Waits for the router to grant a slot at an endpoint or refuse one.

        Args:
            request: The caller's request.
            deadline: Monotonic time at which the request's time limit ends.
            avoid: Endpoints on which this request has failed.
            is_retry: Whether an attempt has been made before.
            needs_new_connection: Whether idle connections may not be reused,
                since they may have failed without being closed.
        """
        slot: router_task.SlotFuture = concurrent.futures.Future()
        self._router.post(
            router_task.AcquireSlot(
                service=request.service,
                caller=request.caller,
                deadline=deadline,
                avoid=avoid,
                is_retry=is_retry,
                needs_new_connection=needs_new_connection,
                slot=slot,
            )
        )
        return slot.result()

    def _attempt(
        self,
        request: CallerRequest,
        slot: router_task.GrantedSlot,
        deadline: float,
        attempt_timeout: float,
    ) -> commands.Answer:
        """Makes one attempt; releases the slot also if it fails."""
        outcome = routing.AttemptOutcome.LOST
        connection: http.client.HTTPConnection | None = None
        try:
            connection = _check_idle_connection(slot.connection)
            if connection is None:
                connection = _connect(slot.assignment, deadline)
            header_deadline = min(deadline, time.monotonic() + attempt_timeout)
            answer, reusable = _exchange(
                request,
                connection,
                header_deadline,
                deadline,
                self._settings.limits.max_answer_bytes,
            )
            outcome = routing.AttemptOutcome.ANSWERED
            if not reusable:
                connection.close()
                connection = None
            return answer
        except _AttemptError as failure:
            outcome = failure.outcome
            if connection is not None:
                connection.close()
                connection = None
            raise
        finally:
            self._router.post(
                router_task.ReleaseSlot(slot.assignment, outcome, connection)
            )


def _request_digest(request: CallerRequest) -> str:
    text = f"{request.service} {request.method} {request.target}\n".encode()
    return hashlib.sha256(text + request.body).hexdigest()


def _check_idle_connection(
    connection: http.client.HTTPConnection | None,
) -> http.client.HTTPConnection | None:
    """Returns an idle connection, or None if it can't be used any more.

    An idle connection is readable if the endpoint has closed it, or has sent
    data that belongs to no request.
    """
    if connection is None or connection.sock is None:
        return None
    readable, _, _ = select.select([connection.sock], [], [], 0)
    if not readable:
        return connection
    connection.close()
    return None


def _connect(
    assignment: routing.Assignment, deadline: float
) -> http.client.HTTPConnection:
    remaining = deadline - time.monotonic()
    if remaining < MIN_ATTEMPT_S:
        raise _AttemptError(
            codes.Code.DEADLINE_PASSED, routing.AttemptOutcome.UNUSED
        )
    connection = http.client.HTTPConnection(
        assignment.host,
        assignment.port,
        timeout=min(CONNECT_TIMEOUT_S, remaining),
    )
    try:
        connection.connect()
        connection.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    except OSError as error:
        connection.close()
        raise _AttemptError(
            codes.Code.CONNECT_FAILED, routing.AttemptOutcome.CONNECT_FAILED
        ) from error
    return connection


def _exchange(
    request: CallerRequest,
    connection: http.client.HTTPConnection,
    header_deadline: float,
    deadline: float,
    max_bytes: int,
) -> tuple[commands.Answer, bool]:
    """Sends the request and reads the complete answer.

    Args:
        request: What to send.
        connection: A connection that nothing else uses meanwhile.
        header_deadline: Monotonic time by which the answer's header must arrive.
        deadline: Monotonic time by which the answer must be complete.
        max_bytes: Size of the largest body that is accepted.

    Returns:
        The answer, and whether the connection can be used again.
    """
    request_id = secrets.token_hex(8)
    try:
        _set_timeout(connection, header_deadline)
        _send(request, connection, request_id)
        response = connection.getresponse()
        _set_timeout(connection, deadline)
        body = _read_body(response, connection, deadline, max_bytes)
    except TimeoutError as error:
        raise _AttemptError(
            codes.Code.ENDPOINT_TIMEOUT, routing.AttemptOutcome.TIMED_OUT
        ) from error
    except http.client.IncompleteRead as error:
        raise _AttemptError(
            codes.Code.PARTIAL_ANSWER, routing.AttemptOutcome.LOST
        ) from error
    except (OSError, http.client.HTTPException) as error:
        raise _AttemptError(
            codes.Code.CONNECTION_LOST, routing.AttemptOutcome.LOST
        ) from error
    echoed_id = response.getheader(REQUEST_ID_HEADER)
    if echoed_id is not None and echoed_id != request_id:
        raise _AttemptError(
            codes.Code.ANSWER_MISMATCH, routing.AttemptOutcome.LOST
        )
    headers = tuple(
        commands.Header(name, value)
        for name, value in response.getheaders()
        if name.lower() not in HOP_BY_HOP_HEADERS and name != REQUEST_ID_HEADER
    )
    answer = commands.Answer(response.status, headers, body)
    return answer, not response.will_close


def _set_timeout(
    connection: http.client.HTTPConnection, deadline: float
) -> None:
    """Lets the next socket operation wait until the deadline at most."""
    remaining = deadline - time.monotonic()
    if remaining <= 0:
        raise TimeoutError
    if connection.sock is not None:
        connection.sock.settimeout(remaining)


def _send(
    request: CallerRequest,
    connection: http.client.HTTPConnection,
    request_id: str,
) -> None:
    connection.putrequest(
        request.method, request.target, skip_accept_encoding=True
    )
    for header in request.headers:
        connection.putheader(header.name, header.value)
    connection.putheader(REQUEST_ID_HEADER, request_id)
    if request.key:
        connection.putheader(KEY_HEADER, request.key)
    if request.body or request.method in ("POST", "PUT", "PATCH"):
        connection.putheader("Content-Length", str(len(request.body)))
    connection.endheaders(request.body or None)


def _read_body(
    response: http.client.HTTPResponse,
    connection: http.client.HTTPConnection,
    deadline: float,
    max_bytes: int,
) -> bytes:
    """Reads a body that has a length or is chunked.

    Raises:
        IncompleteRead: The body was cut off or is larger than `max_bytes`, or
            only the end of the connection would show where it ends, so that a
            body that was cut off could pass for a complete one.
    """
    is_delimited = response.length is not None or bool(response.chunked)
    if not is_delimited:
        raise http.client.IncompleteRead(b"")
    parts: list[bytes] = []
    size = 0
    while True:
        _set_timeout(connection, deadline)
        part = response.read1(1 << 16)
        if not part:
            break
        size += len(part)
        if size > max_bytes:
            raise http.client.IncompleteRead(b"")
        parts.append(part)
    if response.length:
        raise http.client.IncompleteRead(b"", response.length)
    # http.client reuses a connection only once its response has been read to the
    # end.
    response.read()
    return b"".join(parts)
