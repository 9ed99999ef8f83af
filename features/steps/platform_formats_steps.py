"""Steps for the formats of the platform adapter."""

import json
from typing import Any

from behave import then
from behave import when
from fleet_adapter import configuration_format
from fleet_adapter import job_format
from fleet_adapter import worker_format

from features.steps import platform_steps
from fulmarrouter import errors
from fulmarrouter.cluster import model
from fulmarrouter.cluster import requests


def _record_verdict(context: Any, decode: Any, *arguments: Any) -> None:
    try:
        decode(*arguments)
    except errors.RequestError:
        context.verdict = "refused"
        return
    context.verdict = "accepted"


@when("a configuration with {fault} is decoded")
def step_decode_configuration(context: Any, fault: str) -> None:
    given_configuration = platform_steps.configuration()
    route = given_configuration["routes"][0]
    match fault:
        case "an unknown service":
            route["service"] = "nobody"
        case "two routes for the same host and path":
            given_configuration["routes"].append({**route, "name": "r2"})
        case "a timeout of 0":
            route["timeout_ms"] = 0
        case "a missing version":
            del given_configuration["version"]
        case "a version that is text":
            given_configuration["version"] = "7"
        case "a version of 70 bits":
            given_configuration["version"] = 2**70
        case "unknown fields":
            route["colour"] = {"hue": 3}
    body = json.dumps(given_configuration).encode()
    if fault == "a truncated body":
        body = body[:-20]
    _record_verdict(context, configuration_format.decode_configuration, body)


FIELD_BY_FAULT = {
    "no service": "service",
    "no address": "address",
    "no zone": "zone",
    "no version": "version",
    "no slots": "slots",
    "no state": "state",
    "no cold_remaining_ms": "cold_remaining_ms",
    "no sequence": "sequence",
    "no born time": "born",
    "no capacity": "capacity",
    "no labels": "labels",
    "no runs": "running",
    "no ends": "ended",
}


def heartbeat() -> dict[str, Any]:
    """Returns a heartbeat, as a worker sends it."""
    return {
        "service": "s1",
        "address": "10.0.0.9:8080",
        "zone": "z",
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "cold_remaining_ms": 0,
        "sequence": 1,
        "born": 1700000000000,
        "capacity": {"cpu": 1000, "mem_mb": 100, "gpu": 0},
        "labels": ["a", "r1"],
        "clock_ms": 482113,
        "running": [["0a.0.0.1", 1, "", 10, 900]],
        "ended": [[1, "0a.0.0.2", 1, "done", ""]],
    }


@when("a heartbeat with {fault} is decoded")
def step_decode_heartbeat(context: Any, fault: str) -> None:
    given_heartbeat = heartbeat()
    match fault:
        case "an unknown state":
            given_heartbeat["state"] = "dancing"
        case "no gpu in its capacity":
            del given_heartbeat["capacity"]["gpu"]
        case "a capacity that is a number":
            given_heartbeat["capacity"] = 1000
        case "no clock, runs and ends":
            for name in ("clock_ms", "running", "ended"):
                del given_heartbeat[name]
        case "empty runs and ends":
            given_heartbeat.update(running=[], ended=[])
        case _ if fault in FIELD_BY_FAULT:
            del given_heartbeat[FIELD_BY_FAULT[fault]]
        case "a born time that is text":
            given_heartbeat["born"] = "1700000000000"
        case "a born time of 70 bits":
            given_heartbeat["born"] = 2**70
        case "a usage of 70 bits":
            given_heartbeat["running"][0][4] = float(2**70)
        case "an unknown ending":
            given_heartbeat["ended"][0][3] = "vanished"
    body = json.dumps(given_heartbeat).encode()
    if fault == "bytes that are not JSON":
        body = b"\xff\xfe{"
    _record_verdict(context, worker_format.decode_heartbeat, "i-1", body)


@when("a job with {fault} is decoded")
def step_decode_job(context: Any, fault: str) -> None:
    steps: list[dict[str, Any]] = [
        {"count": 2, "cpu": 500, "mem_mb": 10},
        {"count": 1, "cpu": 500, "mem_mb": 10, "after": [0]},
    ]
    match fault:
        case "no steps":
            steps = []
        case "a step that depends on itself":
            steps[1]["after"] = [1]
        case "a step without tasks":
            steps[0]["count"] = 0
        case "a need of 70 bits":
            steps[0]["cpu"] = 2**70
    body = json.dumps({"spec": "text", "steps": steps}).encode()
    _record_verdict(context, job_format.decode_job, body)


@then("the input is {verdict}")
def step_verdict(context: Any, verdict: str) -> None:
    assert context.verdict == verdict


@when("orders with a start, a stop and a pace are encoded")
def step_encode_orders(context: Any) -> None:
    task = model.TaskId("0a.0.0.1")
    orders = requests.Orders(
        lease_ms=4000,
        acknowledged_end_number=3,
        leader_term=2,
        starts=(requests.StartOrder(task, 1, "text", ""),),
        stops=(requests.StopOrder(task, 1),),
        paces=(requests.PaceOrder(task, 1, 0),),
    )
    context.answer = json.loads(worker_format.encode_orders(orders))


@then("the answer holds exactly those")
def step_orders_match(context: Any) -> None:
    assert context.answer == {
        "hold_ms": 4000,
        "fencing_token": 2,
        "ack_seq": 3,
        "start": [["0a.0.0.1", 1, "text", ""]],
        "stop": [["0a.0.0.1", 1]],
        "pace": [["0a.0.0.1", 1, 0]],
    }
    assert json.loads(worker_format.encode_orders(requests.Orders())) == {}
