"""Steps on input that can't be read: HTTP requests, JSON bodies and frames."""

import json
import random
import selectors
import socket
import time
from typing import Any
from unittest import mock

from behave import given
from behave import then
from behave import when
from fleet_adapter import http_handlers
import hypothesis
from hypothesis import strategies

from fulmarrouter import commands
from fulmarrouter import event_http
from fulmarrouter import ids
from fulmarrouter import messages
from fulmarrouter import wire
from fulmarrouter.cluster import requests

TARGET_CHARACTERS = "/a:@[]%?#&=. \t\\\u00e9"
HEADER_NAMES = (
    "Host",
    "Content-Length",
    "Transfer-Encoding",
    "Connection",
    "Expect",
    "X",
    "",
)
HEADER_VALUES = (
    "",
    "0",
    "5",
    "-1",
    "+3",
    "1e3",
    "99999999999999999999",
    "chunked",
    "gzip, chunked",
    "close",
    "100-continue",
    "\u00e9",
    "a:b:c",
)
BODIES = (
    b"",
    b"abcde",
    b"5\r\nabcde\r\n0\r\n\r\n",
    b"zz\r\n",
    b"-1\r\nx",
    b"\xff",
)


NESTING = 100_000


@given("an HTTP server")
def step_http_server(context: Any) -> None:
    def answer(
        request: event_http.HttpRequest, exchange: event_http.Exchange
    ) -> None:
        del request
        exchange.respond(200)

    context.selector = selectors.DefaultSelector()
    context.server = event_http.HttpServer(
        context.selector, ("127.0.0.1", 0), answer
    )
    context.add_cleanup(context.server.close)


def _exchange(context: Any, data: bytes) -> bytes:
    """Sends bytes on a new connection; returns what comes back by its end."""
    address = context.server._listener.getsockname()
    received = b""
    with socket.create_connection(address) as client:
        client.sendall(data)
        client.shutdown(socket.SHUT_WR)
        client.setblocking(False)
        deadline = time.monotonic() + 2.0
        while time.monotonic() < deadline:
            for key, events in context.selector.select(0.001):
                owner, connection = key.data
                owner.on_ready(connection, events)
            try:
                part = client.recv(65536)
            except BlockingIOError:
                continue
            if not part:
                return received
            received += part
    raise AssertionError(f"the connection is still open after {received!r}")


@when("a request with the target {target} is received")
def step_request_target(context: Any, target: str) -> None:
    request = f"GET {target} HTTP/1.1\r\nHost: h\r\n\r\n"
    context.answer = _exchange(context, request.encode())


@then("it is answered {status:d} and the connection is closed")
def step_answered(context: Any, status: int) -> None:
    assert context.answer.startswith(f"HTTP/1.1 {status} ".encode())
    assert b"Connection: close" in context.answer, context.answer


@then("the next request of another connection is answered 200")
def step_next_request(context: Any) -> None:
    answer = _exchange(context, b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
    assert answer.startswith(b"HTTP/1.1 200 "), answer


@when("{count:d} random requests are received")
def step_random_requests(context: Any, count: int) -> None:
    headers = strategies.lists(
        strategies.tuples(
            strategies.sampled_from(HEADER_NAMES),
            strategies.sampled_from(HEADER_VALUES),
        ),
        max_size=4,
    )

    @hypothesis.settings(max_examples=count, deadline=None, derandomize=True)
    @hypothesis.given(
        strategies.sampled_from(("GET", "POST", "get", "", "G\x00")),
        strategies.one_of(
            strategies.text(TARGET_CHARACTERS, max_size=12),
            strategies.text(TARGET_CHARACTERS, max_size=6).map(
                lambda rest: f"http://{rest}"
            ),
        ),
        headers,
        strategies.sampled_from(BODIES),
    )
    def receive(
        method: str, target: str, fields: list[tuple[str, str]], body: bytes
    ) -> None:
        lines = [f"{method} {target} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in fields]
        head = "\r\n".join(lines) + "\r\n\r\n"
        _exchange(context, head.encode("latin-1") + body)

    receive()


# JSON bodies.

HEARTBEAT = {
    "service": "s",
    "address": "127.0.0.1:1",
    "zone": "z",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "cold_remaining_ms": 0,
    "capacity": {"cpu": 1000, "mem_mb": 100, "gpu": 0},
    "labels": ["a", "r1"],
    "sequence": 1,
    "born": 1,
    "running": [],
    "ended": [],
}
CALL_BY_NAME: dict[str, tuple[Any, str, dict[str, Any], str]] = {
    # Handler, path, body, and a number in the body.
    "a heartbeat": (
        http_handlers.serve_control,
        "/api/instances/w/heartbeat",
        HEARTBEAT,
        "sequence",
    ),
    "a leave": (
        http_handlers.serve_control,
        "/api/instances/w/leave",
        {"born": 1},
        "born",
    ),
    "a configuration": (
        http_handlers.serve_control,
        "/api/config/replace",
        {"version": 1, "routes": [], "services": []},
        "version",
    ),
    "a job": (
        http_handlers.serve_caller,
        "/q/0a",
        {"spec": "", "steps": [{"count": 1}], "repetitions": 0},
        "repetitions",
    ),
}


def _odd_body(fields: dict[str, Any], number: str, content: str) -> bytes:
    """Returns a valid body with one odd entry."""
    match content:
        case "a deeply nested field":
            body = json.dumps({**fields, "x": "NESTED"}).encode()
            return body.replace(b'"NESTED"', b"[" * NESTING + b"]" * NESTING)
        case "a number of 5000 digits":
            odd = "9" * 5000
        case "an exponent of 999":
            odd = "1e999"
        case "a negative number":
            odd = "-1"
        case "an address without a port":
            return json.dumps({**fields, "address": "127.0.0.1"}).encode()
        case "a port of 5000 digits":
            port = "9" * 5000
            return json.dumps({**fields, "address": f"h:{port}"}).encode()
        case _ if content.startswith("an address with port "):
            port = content.rpartition(" ")[2]
            return json.dumps({**fields, "address": f"h:{port}"}).encode()
        case "a capacity above the limit":
            odd = '1, "capacity": {"cpu": 9223372036854775807, "mem_mb": 1, "gpu": 0}'
        case _:
            return json.dumps(fields).encode() + b"\xff"
    text = json.dumps({**fields, number: "ODD"})
    return text.replace('"ODD"', odd).encode()


@when("it receives {call} with {content}")
def step_odd_body(context: Any, call: str, content: str) -> None:
    handler, path, fields, number = CALL_BY_NAME[call]
    exchange = mock.Mock()
    request = event_http.HttpRequest(
        "POST", path, {"HOST": "h"}, _odd_body(fields, number, content), 0.0
    )
    handler(context.node, request, exchange)
    context.statuses = [item.args[0] for item in exchange.respond.mock_calls]


@then("the answer is {status:d} and nothing is forwarded")
def step_odd_body_refused(context: Any, status: int) -> None:
    context.node.stop()
    context.node.run()
    assert context.statuses == [status], context.statuses
    assert not context.sent


@then("it is not refused as malformed")
def step_body_taken(context: Any) -> None:
    context.node.stop()
    context.node.run()
    assert 400 not in context.statuses, context.statuses


# Frames and addresses of other processes.


@when("another process names {address} as a leader and as a member")
def step_odd_address(context: Any, address: str) -> None:
    node = context.node
    del node.send_request  # Sends on real connections.
    located = requests.Located(address, (address, "127.0.0.1:9"))
    node.gateway.forward_to_leader(
        0.0, requests.ReadConfiguration(), 5.0, lambda reply: None
    )
    node.gateway._on_located(0.0, located)
    for _ in range(20):
        node._run_iteration()


@then("it goes on running and looks for the leader elsewhere")
def step_still_looks(context: Any) -> None:
    assert "127.0.0.1:9" in context.node.gateway.members
    step_still_runs(context)


@when("another writer sends {content} to its peer port")
def step_odd_frames(context: Any, content: str) -> None:
    for data in _odd_frames(content):
        with socket.create_connection(
            (context.node._host, context.node.settings.peer_port)
        ) as other:
            other.sendall(data)
            for _ in range(4):
                context.node._run_iteration()


def _odd_frames(content: str) -> list[bytes]:
    """Returns what another writer sends, one item a connection."""
    rng = random.Random(1)
    join = requests.Join(
        commands.KeeperAddress("k", "127.0.0.1", 1), "z", True, False
    )
    call = wire.encode("other", wire.Call(ids.CallId(1), requests.encode(join)))
    vote = wire.encode("other", messages.VoteRequest(1, 1, 1, True))
    match content:
        case "random bytes":
            return [rng.randbytes(200) for _ in range(20)]
        case "frames with random changes":
            return [_change(rng, frame) for frame in (call, vote) * 100]
        case "a deeply nested request":
            # An unknown field at the end of a known request.
            payload = b"\x95" + requests.encode(join)[1:] + b"\x91" * NESTING
            return [
                wire.encode(
                    "other", wire.Call(ids.CallId(1), payload + b"\x00")
                )
            ]
        case _:
            port = int(content.rpartition(" ")[2])
            member = commands.KeeperAddress("k", "127.0.0.1", port)
            payload = requests.encode(requests.Join(member, "z", True, False))
            return [wire.encode("other", wire.Call(ids.CallId(1), payload))]


def _change(rng: random.Random, frame: bytes) -> bytes:
    """Returns a frame with a few changed bytes after its length."""
    changed = bytearray(frame)
    for _ in range(rng.randrange(1, 4)):
        changed[rng.randrange(4, len(changed))] = rng.randrange(256)
    return bytes(changed)


@then("it goes on running")
def step_still_runs(context: Any) -> None:
    for _ in range(5):
        context.node._run_iteration()
    context.node.stop()
    context.node.run()
