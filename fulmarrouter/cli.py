"""Operators' commands.

All but `settings check` send an HTTP request to an entry.
"""

import http.client
import os
import pathlib
import sys
from typing import Any
import urllib.parse

import defopt
import msgspec
import yaml

from fulmarrouter import codes
from fulmarrouter import errors
from fulmarrouter import settings as settings_lib
from fulmarrouter import times
from fulmarrouter import web

ENTRY_ENV_VAR = "FULMARROUTER_ENTRY"
DEFAULT_ENTRY = "127.0.0.1:8080"
REQUEST_TIMEOUT_S = 10.0
# Number of leading fields of an event that `record` prints.
EVENT_FIELD_COUNT = 6


def _exchange(method: str, path: str, body: object = None) -> bytes:
    """Sends one request to the entry and returns the answer's body.

    Raises:
        UnreachableError: The entry did not answer.
        RequestError: The entry answered with a code of another class than DONE.
    """
    address = os.environ.get(ENTRY_ENV_VAR, DEFAULT_ENTRY)
    connection = http.client.HTTPConnection(address, timeout=REQUEST_TIMEOUT_S)
    data = None if body is None else msgspec.json.encode(body)
    try:
        connection.request(
            method, path, data, {"Content-Type": web.JSON_CONTENT_TYPE}
        )
        response = connection.getresponse()
        answer = response.read()
    except (OSError, http.client.HTTPException) as error:
        raise errors.UnreachableError(f"{address}: {error}") from error
    finally:
        connection.close()
    code = codes.Code(int(response.getheader(web.CODE_HEADER, codes.Code.DONE)))
    if code.code_class is not codes.CodeClass.DONE:
        error_body = web.decode_json(answer, web.ErrorBody)
        raise errors.RequestError(
            code, f"{code.value} {code.name} {error_body.reason}"
        )
    return answer


def _print_yaml(answer: bytes) -> None:
    value = msgspec.json.decode(answer)
    print(yaml.safe_dump(value, sort_keys=False, allow_unicode=True).rstrip())


def _read_yaml(path: pathlib.Path) -> Any:
    try:
        return yaml.safe_load(path.read_text(encoding="utf-8"))
    except (OSError, yaml.YAMLError) as error:
        raise errors.SettingsError([f"{path}: {error}"]) from error


def ticket_submit(file: pathlib.Path) -> None:
    """Submit a change ticket; sending it again is safe.

    Args:
        file: YAML file with number, operator and items.
    """
    _print_yaml(_exchange("POST", "/v1/tickets", _read_yaml(file)))


def ticket_show(number: int) -> None:
    """Show a ticket and the entries that have confirmed it.

    Args:
        number: The ticket's number.
    """
    _print_yaml(_exchange("GET", f"/v1/tickets/{number}"))


def ticket_list(*, limit: int = 20) -> None:
    """List the newest tickets.

    Args:
        limit: How many at most.
    """
    _print_yaml(_exchange("GET", f"/v1/tickets?limit={limit}"))


def job_submit(file: pathlib.Path) -> None:
    """Submit a job; sending it again is safe.

    Args:
        file: YAML file with the job.
    """
    _print_yaml(_exchange("POST", "/v1/jobs", _read_yaml(file)))


def job_show(job: str) -> None:
    """Show a job, and what it waits for if it is queued.

    Args:
        job: The job's key.
    """
    _print_yaml(_exchange("GET", f"/v1/jobs/{urllib.parse.quote(job)}"))


def job_list(*, limit: int = 20) -> None:
    """List the newest jobs.

    Args:
        limit: How many at most.
    """
    _print_yaml(_exchange("GET", f"/v1/jobs?limit={limit}"))


def job_cancel(*jobs: str) -> None:
    """Cancel jobs.

    Args:
        jobs: Their keys.
    """
    _print_yaml(_exchange("POST", "/v1/jobs/cancel", {"jobs": jobs}))


def _submit_drain_ticket(
    name: str, number: int, draining: bool, operator: str
) -> None:
    item = {"type": "drain_state", "name": name, "draining": draining}
    body = {"number": number, "operator": operator, "items": [item]}
    _print_yaml(_exchange("POST", "/v1/tickets", body))


def drain(
    name: str, number: int, *, undo: bool = False, operator: str = ""
) -> None:
    """Submit a ticket that keeps new work from a worker or an endpoint.

    Args:
        name: The worker or endpoint.
        number: Number of the ticket.
        undo: Let it take new work again.
        operator: Name of the operator who submits the ticket.
    """
    _submit_drain_ticket(name, number, not undo, operator)


def worker_list() -> None:
    """List the workers and what is committed on them."""
    _print_yaml(_exchange("GET", "/v1/workers"))


def endpoint_list() -> None:
    """List the endpoints and how entries share them."""
    _print_yaml(_exchange("GET", "/v1/endpoints"))


def status() -> None:
    """Show the leader, the keepers and the entries."""
    _print_yaml(_exchange("GET", "/v1/status"))


def counters() -> None:
    """Show the entry's counters and latencies."""
    print(_exchange("GET", "/metrics").decode(), end="")


def record(start: str, end: str) -> None:
    """Print the events of an interval, and the gaps in their record.

    Args:
        start: ISO 8601 time, UTC unless it names a zone.
        end: ISO 8601 time, UTC unless it names a zone.
    """
    try:
        from_ms, to_ms = times.from_iso(start), times.from_iso(end)
    except ValueError as error:
        raise errors.RequestError(codes.Code.BAD_REQUEST, str(error)) from error
    answer = _exchange("GET", f"/v1/record?from_ms={from_ms}&to_ms={to_ms}")
    account = msgspec.json.decode(answer)["account"]
    if not account["complete"]:
        print("The oldest events of this interval are no longer kept.")
    lines = [
        (
            gap["from_ms"],
            f"nothing could be recorded until {times.to_iso(gap['to_ms'])}",
        )
        for gap in account["gaps"]
    ]
    for event in account["events"]:
        _, at_ms, observer, kind, subject, detail = event[:EVENT_FIELD_COUNT]
        lines.append((at_ms, f"{kind} {subject} {detail} observer={observer}"))
    for at_ms, line in sorted(lines, key=lambda item: item[0]):
        print(f"{times.to_iso(at_ms)} {line}")


def settings_check(file: pathlib.Path) -> None:
    """Check a settings file and print every problem in it.

    Args:
        file: The settings file.
    """
    settings = settings_lib.load(file)
    print(f"{file}: valid settings of role {settings.role.value}")


COMMANDS: dict[str, Any] = {
    "ticket": {
        "submit": ticket_submit,
        "show": ticket_show,
        "list": ticket_list,
    },
    "job": {
        "submit": job_submit,
        "show": job_show,
        "list": job_list,
        "cancel": job_cancel,
    },
    "worker": {"list": worker_list},
    "endpoint": {"list": endpoint_list},
    "settings": {"check": settings_check},
    "drain": drain,
    "status": status,
    "counters": counters,
    "record": record,
}


def run(arguments: list[str]) -> int:
    """Runs one operator's command."""
    try:
        defopt.run(COMMANDS, argv=arguments, no_negated_flags=True)
    except SystemExit as system_exit:
        if isinstance(system_exit.code, int):
            return system_exit.code
        print(system_exit.code, file=sys.stderr)
        return codes.ExitCode.USAGE
    return codes.ExitCode.OK
