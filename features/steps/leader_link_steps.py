"""Steps of leader_link.feature: a gateway, slow links, changes of leader."""

import collections
import dataclasses
from typing import Any

from behave import given
from behave import then
from behave import when

from features.support import recording_transport
from fulmarrouter import addresses
from fulmarrouter import codes
from fulmarrouter import ids
from fulmarrouter import settings as settings_lib
from fulmarrouter.cluster import gateway as gateway_lib
from fulmarrouter.cluster import model
from fulmarrouter.cluster import node as node_lib
from fulmarrouter.cluster import requests

OWN_ADDRESS = "127.0.0.1:17720"
LEADER_ADDRESS = "127.0.0.1:17721"
CONTROL_PORT = 17722
TURN_S = 0.01
CALLER_TIMEOUT_S = 2.5
# From a request's last byte to the reply at its sender.
LEADER_LATENCY_S = 0.02


def _configuration() -> model.Configuration:
    return model.Configuration(1, "digest", b"{}", (), ())


REQUEST_BY_NAME: dict[str, requests.AnyRequest] = {
    "a new configuration": requests.ReplaceConfiguration(_configuration()),
    "the configuration": requests.ReadConfiguration(),
    "a job's state": requests.ShowTarget("host", "/q/1"),
}


# A process that learns the leader after a request.


def _stop_node(node: node_lib.Node) -> None:
    """Frees the addresses of a node that a failed scenario has left running."""
    if node._selector.get_map() is not None:
        node.stop()
        node.run()


@given("a process {kind} that knows no leader")
def step_process_without_leader(context: Any, kind: str) -> None:
    folder = context.folder / "data"
    settings = settings_lib.NodeSettings(
        role=settings_lib.Role.NODE,
        name="n",
        domain="z",
        host=addresses.host_of(OWN_ADDRESS),
        peer_port=addresses.port_of(OWN_ADDRESS),
        control=f"{addresses.host_of(OWN_ADDRESS)}:{CONTROL_PORT}",
        data_folder=str(folder) if kind == "with a disk" else "",
    )
    node = node_lib.Node(settings, [])
    context.add_cleanup(_stop_node, node)
    context.sent = []

    def send_request(address: str, call: ids.CallId, request: Any) -> bool:
        del call
        context.sent.append((address, request))
        return True

    node.send_request = send_request  # type: ignore[method-assign]
    context.node = node


@when("{name} is requested there and the process learns the leader")
def step_request_before_leader_is_known(context: Any, name: str) -> None:
    context.replies = []
    request = REQUEST_BY_NAME[name]
    context.node.forward_to_leader(
        request, CALLER_TIMEOUT_S, context.replies.append
    )
    assert not context.sent and not context.replies
    context.node.gateway.learn_leader(0.0, LEADER_ADDRESS)
    # run() returns at once after stop(); it closes the node's sockets.
    context.node.stop()
    context.node.run()


@then("{name} is redirected to the leader")
def step_redirected(context: Any, name: str) -> None:
    assert not context.sent, f"{name} was forwarded"
    (reply,) = context.replies
    host = addresses.host_of(LEADER_ADDRESS)
    assert reply == requests.Elsewhere(f"{host}:{CONTROL_PORT}"), reply


@then("{name} is forwarded by the process")
def step_forwarded(context: Any, name: str) -> None:
    assert context.sent == [(LEADER_ADDRESS, REQUEST_BY_NAME[name])]
    assert not context.replies


# A slow link.


@dataclasses.dataclass
class _InFlight:
    call: ids.CallId
    arrives_at: float


class _SlowLink(recording_transport.RecordingTransport):
    """Carries requests to the leader one after the other, at a given rate."""

    def __init__(self, bytes_per_s: float) -> None:
        super().__init__()
        self.now = 0.0
        self.bytes_per_s = bytes_per_s
        self.leader_is_silent = False
        self.drop_count = 0
        self._idle_at = 0.0
        self._in_flight: list[_InFlight] = []

    def send_request(
        self, address: str, call: ids.CallId, request: requests.AnyRequest
    ) -> bool:
        if address != LEADER_ADDRESS:
            return True
        super().send_request(address, call, request)
        size = len(requests.encode(request))
        self._idle_at = max(self._idle_at, self.now) + size / self.bytes_per_s
        arrives_at = self._idle_at + LEADER_LATENCY_S
        self._in_flight.append(_InFlight(call, arrives_at))
        return True

    def seconds_to_send(self) -> float:
        return max(0.0, self._idle_at - self.now)

    def drop_peer(self, address: str, reason: str) -> None:
        del address, reason
        self.drop_count += 1
        self._in_flight = []
        self._idle_at = self.now

    def take_answered(self) -> list[ids.CallId]:
        """Removes and returns the calls whose replies have arrived."""
        if self.leader_is_silent:
            return []
        answered_requests = [
            item for item in self._in_flight if item.arrives_at <= self.now
        ]
        self._in_flight = [
            item for item in self._in_flight if item not in answered_requests
        ]
        return [item.call for item in answered_requests]


@given("a process whose link to the leader carries {rate:d} KB/s")
def step_link(context: Any, rate: int) -> None:
    context.link = _SlowLink(rate * 1000)
    context.gateway = gateway_lib.Gateway(context.link, OWN_ADDRESS, ())
    context.gateway.learn_leader(0.0, LEADER_ADDRESS)
    context.replies = []
    context.submitted = []


@when("a caller submits a job of {size:d} KB there")
def step_submit(context: Any, size: int) -> None:
    number = len(context.submitted)
    spec = model.JobSpec("x" * (size * 1000), ())
    request = requests.SubmitJob("host", f"/q/{number}", spec)
    context.submitted.append(request)
    context.gateway.forward_to_leader(
        context.link.now, request, CALLER_TIMEOUT_S, context.replies.append
    )


def _run_gateway(context: Any, seconds: float) -> None:
    link, gateway = context.link, context.gateway
    end = link.now + seconds
    while link.now < end:
        link.now += TURN_S
        for call in link.take_answered():
            gateway.on_reply(link.now, call, requests.Accepted())
        gateway.tick(link.now)
        gateway.learn_leader(link.now, LEADER_ADDRESS)


@then("the caller is answered in time that the job is accepted")
@then("both callers are answered in time that the job is accepted")
def step_accepted(context: Any) -> None:
    _run_gateway(context, CALLER_TIMEOUT_S)
    accepted = [requests.Accepted()] * len(context.submitted)
    assert context.replies == accepted, context.replies


@then("the job was sent once")
@then("each job was sent once")
def step_sent_once(context: Any) -> None:
    sent = [request for _, _, request in context.link.sent]
    assert sent == context.submitted, len(sent)


@when(
    "the leader stops replying and a caller submits a job of {size:d} KB there"
)
def step_silent_leader_and_submission(context: Any, size: int) -> None:
    context.link.leader_is_silent = True
    step_submit(context, size)


@then("the process looks for another leader within 1 second")
def step_looks_for_leader(context: Any) -> None:
    _run_gateway(context, 1.0)
    assert context.link.drop_count == 1, context.link.drop_count


# A deposed leader.


@given("a keeper that doesn't know yet that its leader is deposed")
def step_keeper_of_deposed_leader(context: Any) -> None:
    context.link = recording_transport.RecordingTransport()
    context.gateway = gateway_lib.Gateway(context.link, OWN_ADDRESS, ())
    context.gateway.learn_leader(0.0, LEADER_ADDRESS)


@when(
    "{count:d} requests wait there for {seconds:f} s and the deposed leader"
    " answers each with {code}"
)
def step_deposed_leader_refuses(
    context: Any, count: int, seconds: float, code: str
) -> None:
    link, gateway = context.link, context.gateway
    context.seconds = seconds
    context.sent_by_request = collections.Counter()
    for number in range(count):
        request = requests.ShowTarget("host", f"/q/{number}")
        gateway.forward_to_leader(
            0.0, request, CALLER_TIMEOUT_S, lambda reply: None
        )
    refused = requests.Refused(codes.Code[code])
    now = 0.0
    while now < seconds:
        now += TURN_S
        sent, link.sent = link.sent, []
        for address, call, request in sent:
            if address == LEADER_ADDRESS:
                context.sent_by_request[request] += 1
                gateway.on_reply(now, call, refused)
        gateway.tick(now)
        # A keeper tells its gateway each turn which leader it knows, until it
        # learns of a new one.
        gateway.learn_leader(now, LEADER_ADDRESS)


@then("each was sent to the deposed leader at most once every {interval:f} s")
def step_max_send_rate(context: Any, interval: float) -> None:
    max_sends = max(context.sent_by_request.values())
    max_allowed = 1 + int(context.seconds / interval)
    assert max_sends <= max_allowed, f"{max_sends} times, allowed {max_allowed}"
