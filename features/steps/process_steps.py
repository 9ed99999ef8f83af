"""Steps for deployments of real processes, with load and faults."""

import concurrent.futures
import itertools
import json
import pathlib
import re
import socket
import threading
import time
from typing import Any

import behave

from features.steps import core_steps
from features.support import deployment as deployment_lib
from features.support import fakes
from features.support import relay

READY_TIMEOUT_S = 20.0


@behave.given("a deployment of {keepers:d} keepers and {entries:d} entries")
def start_deployment(context: Any, keepers: int, entries: int) -> None:
    folder = pathlib.Path(context.folder) / "deployment"
    context.deployment = deployment_lib.Deployment(folder, keepers, entries)
    context.deployment.start()
    context.endpoints = []
    context.workers = []
    context.killed_process = ""


@behave.given("a fake endpoint")
def add_one_endpoint(context: Any) -> None:
    add_endpoints(context, 1)


@behave.given("{count:d} fake endpoints")
def add_endpoints(context: Any, count: int) -> None:
    for number in range(1, count + 1):
        _add_endpoint(
            context, fakes.FakeEndpoint(f"p{number}", _entry_addresses(context))
        )
    assert deployment_lib.wait_until(lambda: _live_entries_serve(context)), (
        "the entries do not serve requests"
    )


def _add_endpoint(context: Any, endpoint: fakes.FakeEndpoint) -> None:
    context.endpoints.append(endpoint.start())
    context.fakes.append(endpoint)


@behave.given("{count:d} fake workers")
def add_workers(context: Any, count: int) -> None:
    for number in range(1, count + 1):
        worker = fakes.FakeWorker(
            f"w{number}", _entry_addresses(context)
        ).start()
        context.workers.append(worker)
        context.fakes.append(worker)


def _entry_addresses(context: Any) -> list[str]:
    addresses: list[str] = context.deployment.entries
    return addresses


def _call_any_entry(
    context: Any, *arguments: Any, **options: Any
) -> deployment_lib.Answer | None:
    """Returns the answer of the first entry that can be reached, if any."""
    for address in _entry_addresses(context):
        try:
            return deployment_lib.call(address, *arguments, **options)
        except OSError:
            continue
    return None


def _live_entries_serve(context: Any) -> bool:
    answers = []
    for name, address in context.deployment.entry_addresses.items():
        if not context.deployment.process_by_name[name].alive:
            continue
        try:
            answers.append(
                deployment_lib.call(address, "GET", "/call/booking/up")
            )
        except OSError:
            return False
    return bool(answers) and all(answer.status == 200 for answer in answers)


# Bad input.


@behave.then("these requests are answered")
def requests_answered(context: Any) -> None:
    problems = []
    for row in context.table:
        headers = dict([row["headers"].split(": ")]) if row["headers"] else {}
        path = row["path"].replace(" ", "%20")
        body = row["body"].encode() if row["body"] else None
        answer = deployment_lib.call(
            _entry_addresses(context)[0], row["method"], path, body, headers
        )
        if (answer.status, answer.code) != (
            int(row["status"]),
            int(row["code"]),
        ):
            problems.append(
                (list(row), answer.status, answer.code, answer.body)
            )
    assert not problems, problems


@behave.then("a body over the size limit is refused with code {code:d}")
def large_body_refused(context: Any, code: int) -> None:
    answer = deployment_lib.call(
        _entry_addresses(context)[0],
        "POST",
        "/call/booking/x",
        b"x" * (1 << 21),
    )
    assert answer.code == code, answer.status


@behave.then("{count:d} requests one after the other cause no retry")
def no_retry_caused(context: Any, count: int) -> None:
    address = _entry_addresses(context)[0]

    def retries() -> list[str]:
        text = deployment_lib.call(address, "GET", "/metrics").body.decode()
        return re.findall(r"fulmarrouter_retries_total.*", text)

    before = retries()
    for _ in range(count):
        assert (
            deployment_lib.call(address, "GET", "/call/booking/x").status == 200
        )
    assert retries() == before, retries()


@behave.then("a client that sends only half a header does not block others")
def half_open_client(context: Any) -> None:
    host, port = _entry_addresses(context)[0].split(":")
    with socket.create_connection((host, int(port))) as client:
        client.sendall(b"GET /call/booking/yards HTTP/1.1\r\nHost: x")
        assert _live_entries_serve(context)


# Graceful stop and leaving.


@behave.when(
    'entry "{name}" is asked to stop while {count:d} requests are in progress'
    " through it"
)
def stop_entry(context: Any, name: str, count: int) -> None:
    address = context.deployment.entry_addresses[name]
    with concurrent.futures.ThreadPoolExecutor(count) as pool:
        answers = [
            pool.submit(
                deployment_lib.call,
                address,
                "GET",
                "/call/booking/sleep/0.8",
                None,
                {"Fulmar-Deadline-Ms": "3000"},
            )
            for _ in range(count)
        ]
        time.sleep(0.4)
        context.exit_code = context.deployment.process_by_name[name].terminate()
        context.answers = [answer.result() for answer in answers]


@behave.then("all {count:d} requests are answered in full")
def answers_complete(context: Any, count: int) -> None:
    bodies = [answer.body for answer in context.answers]
    assert bodies == [b"GET /sleep/0.8 "] * count, bodies


@behave.then('entry "{name}" has exited with code {code:d}')
def entry_exited(context: Any, name: str, code: int) -> None:
    del name
    assert context.exit_code == code, context.exit_code


@behave.when("one endpoint announces that it is leaving under load")
def announce_leaving(context: Any) -> None:
    load = LoadGenerator(context, keyed=False)
    load.start()
    time.sleep(1.0)
    leaving = context.endpoints[0]
    leaving.leaving.set()
    # The scenario allows requests for 2 s after the announcement.
    time.sleep(2.0)
    context.request_count = len(leaving.paths)
    time.sleep(2.0)
    load.stop()
    context.load = load


@behave.then("it gets no request later than {limit:g} seconds after that")
def no_requests_after_leaving(context: Any, limit: float) -> None:
    del limit
    leaving = context.endpoints[0]
    assert 0 < context.request_count == len(leaving.paths), (
        context.request_count,
        len(leaving.paths),
    )
    assert leaving.last_reply["shares_held"] == 0, leaving.last_reply


@behave.then("no request has failed")
def no_request_failed(context: Any) -> None:
    assert context.load.done > 20, context.load.done
    assert not context.load.failures, context.load.failures[:5]


@behave.given("a fake endpoint behind a relay")
def add_relayed_endpoint(context: Any) -> None:
    endpoint = fakes.FakeEndpoint("p1", _entry_addresses(context))
    context.relay = relay.Relay(endpoint.port)
    context.relays.append(context.relay)
    endpoint.port = context.relay.port
    _add_endpoint(context, endpoint)
    assert deployment_lib.wait_until(lambda: _live_entries_serve(context))


@behave.when("the relay stops forwarding on the open connections")
def silence_relay(context: Any) -> None:
    assert _live_entries_serve(context)
    context.relay.silence_open()


@behave.then("the next {count:d} idempotent requests are answered")
def idempotent_answered(context: Any, count: int) -> None:
    for _ in range(count):
        answer = _call_any_entry(context, "GET", "/call/booking/yards")
        assert answer is not None and answer.status == 200, answer


@behave.then("the next non-idempotent request is answered")
def non_idempotent_answered(context: Any) -> None:
    context.relay.silence_open()
    answer = _call_any_entry(
        context, "POST", "/call/booking/run", b"x", {"Fulmar-Key": "k"}
    )
    assert answer is not None and answer.code == 1000, answer


# Load and faults.


class LoadGenerator:
    """Threads that send requests to the entries until they are stopped.

    Keyed requests are POSTs that may run at most once; the others are GETs.
    """

    CALLERS = 4

    def __init__(self, context: Any, keyed: bool) -> None:
        self._context = context
        self._keyed = keyed
        self._stopped = threading.Event()
        self._numbers = itertools.count()
        self._threads = [
            threading.Thread(target=self._run, args=(number,), daemon=True)
            for number in range(self.CALLERS)
        ]
        self.done = 0
        self.failures: list[object] = []
        self.reported_not_run: set[str] = set()

    def start(self) -> None:
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        self._stopped.set()
        for thread in self._threads:
            thread.join()

    def _run(self, caller: int) -> None:
        while not self._stopped.is_set():
            key = f"key-{caller}-{next(self._numbers)}"
            # A keyed request is sent up to three times, each time through
            # the next entry.
            for attempt in range(3 if self._keyed else 1):
                if self._send(key, caller + attempt):
                    break
            time.sleep(0.01)

    def _send(self, key: str, entry_index: int) -> bool:
        addresses = _entry_addresses(self._context)
        address = addresses[entry_index % len(addresses)]
        method, headers = "GET", {}
        if self._keyed:
            method, headers = "POST", {"Fulmar-Key": key}
        try:
            answer = deployment_lib.call(
                address, method, f"/call/booking/{key}", b"", headers
            )
        except OSError as error:
            self.failures.append(error)
            return False
        if answer.code in (1000, 1002):
            self.done += 1
            self.reported_not_run.discard(key)
            return True
        self.failures.append((answer.code, answer.body))
        # The result codes of class NOT_RUN.
        is_not_run = 2000 <= answer.code < 3000
        if is_not_run:
            self.reported_not_run.add(key)
        else:
            self.reported_not_run.discard(key)
        return False


@behave.given("load of keyed requests and jobs")
def start_load(context: Any) -> None:
    assert deployment_lib.wait_until(lambda: len(_live_workers(context)) == 2)
    for number in range(12):
        job = {
            "job": f"job-{number}",
            "team": "billing",
            "idempotent": number % 2 == 0,
            "checkpoints": number % 3 == 0,
            "needs": {"millicores": 1000, "memory_mb": 10},
            "payload": "2.5",
        }
        answer = _call_any_entry(context, "POST", "/v1/jobs", job)
        assert answer is not None and answer.code == 1001, answer
    context.load = LoadGenerator(context, keyed=True)
    context.load.start()
    time.sleep(0.7)


def _live_workers(context: Any) -> list[Any]:
    answer = _call_any_entry(context, "GET", "/v1/workers")
    workers = (
        answer.json()["workers"] if answer and answer.status == 200 else []
    )
    return [worker for worker in workers if worker["alive"]]


def _kill(context: Any, name: str) -> None:
    context.killed_process = name
    context.deployment.process_by_name[name].kill()


def _live_follower(context: Any) -> str:
    leader = context.deployment.leader()
    return next(
        str(name)
        for name in context.deployment.keeper_addresses
        if name != leader and context.deployment.process_by_name[name].alive
    )


@behave.when("the leader is killed")
def kill_leader(context: Any) -> None:
    _kill(context, context.deployment.leader())


@behave.when("a follower is killed")
def kill_follower(context: Any) -> None:
    _kill(context, _live_follower(context))


@behave.when("another keeper is killed")
def kill_another(context: Any) -> None:
    _kill(context, "k1")


@behave.when("an entry is killed")
def kill_entry(context: Any) -> None:
    _kill(context, "e1")


@behave.when("the leader and an entry are killed together")
def kill_leader_and_entry(context: Any) -> None:
    leader = context.deployment.leader()
    _kill(context, "e1")
    _kill(context, leader)


@behave.when("the leader is frozen for {seconds:d} seconds")
def freeze_leader(context: Any, seconds: int) -> None:
    process = context.deployment.process_by_name[context.deployment.leader()]
    process.freeze()
    time.sleep(seconds)
    process.thaw()


@behave.when("the leader is killed twice with restarts")
def kill_leader_twice(context: Any) -> None:
    for _ in range(2):
        kill_leader(context)
        time.sleep(2.0)
        restart_killed_process(context)
        time.sleep(1.0)


@behave.when("a worker is cut off")
def cut_off_worker(context: Any) -> None:
    context.workers[0].cut_off.set()


@behave.when("an endpoint stops without notice")
def kill_endpoint(context: Any) -> None:
    context.endpoints[0].stop()
    context.fakes.remove(context.endpoints[0])


@behave.when("the load continues for {seconds:d} seconds")
def continue_load(context: Any, seconds: int) -> None:
    time.sleep(seconds)
    context.load.stop()


@behave.then("no key has run twice and no two runs of a job have overlapped")
def ran_at_most_once(context: Any) -> None:
    runs = [key for endpoint in context.endpoints for key in endpoint.runs]
    assert len(set(runs)) == len(runs), [
        key for key in runs if runs.count(key) > 1
    ]
    assert context.load.done > 20, (
        context.load.done,
        context.load.failures[:5],
    )
    misreported_keys = context.load.reported_not_run & set(runs)
    assert not misreported_keys, misreported_keys
    for worker in context.workers:
        worker.cut_off.clear()
        assert worker.most_committed <= worker.capacity["millicores"]

    def all_ended() -> bool:
        answer = _call_any_entry(context, "GET", "/v1/jobs")
        jobs = answer.json()["jobs"] if answer and answer.status == 200 else []
        phases = {job["phase"] for job in jobs}
        return len(jobs) == 12 and not phases & {"queued", "leased", "stopping"}

    assert deployment_lib.wait_until(all_ended, 25.0), "not all jobs have ended"
    spans = [span for worker in context.workers for span in worker.spans]
    for first, second in itertools.combinations(spans, 2):
        if first.job == second.job:
            are_disjoint = (
                first.end <= second.start or second.end <= first.start
            )
            assert are_disjoint, (first, second)


@behave.then("the deployment serves requests again")
def requests_served(context: Any) -> None:
    assert deployment_lib.wait_until(lambda: _live_entries_serve(context)), (
        "the deployment does not serve requests"
    )


@behave.then("the event record contains {event}")
def record_contains(context: Any, event: str) -> None:
    def is_recorded() -> bool:
        answer = _call_any_entry(context, "GET", "/v1/record")
        if answer is None or answer.status != 200:
            return False
        kinds = {item[3] for item in answer.json()["account"]["events"]}
        return event in kinds

    assert deployment_lib.wait_until(is_recorded), event


# Keepers.


@behave.when('keeper "{name}" is killed and its data folder is lost')
def lose_data_folder(context: Any, name: str) -> None:
    _kill(context, name)
    context.deployment.wipe(name)


@behave.when("it is started again")
def restart_killed_process(context: Any) -> None:
    context.deployment.process_by_name[context.killed_process].start()


@behave.then("the status shows a keeper with a lost disk")
def lost_disk_reported(context: Any) -> None:
    def is_reported() -> bool:
        status = context.deployment.status()
        keepers = status["keepers"] if status else []
        return any(item["lost_disk"] for item in keepers)

    assert deployment_lib.wait_until(is_reported), context.deployment.status()


@behave.when('a ticket replaces "{old}" by "{new}"')
def replace_keeper(context: Any, old: str, new: str) -> None:
    deployment = context.deployment
    _kill(context, old)
    deployment.keeper_addresses[new] = ("127.0.0.1", deployment_lib.free_port())
    deployment.add_keeper(new)
    deployment.process_by_name[new].start()
    keepers = [
        {"keeper": name, "host": host, "port": port}
        for name, (host, port) in deployment.keeper_addresses.items()
        if name != old
    ]
    item = {"type": "keeper_set", "name": "keepers", "keepers": keepers}
    answer = _call_any_entry(
        context, "POST", "/v1/tickets", {"number": 9, "items": [item]}
    )
    assert answer is not None and answer.code == 1001, answer


@behave.then('"{new}" becomes a voter and "{old}" is gone')
def keeper_replaced(context: Any, new: str, old: str) -> None:
    def is_replaced() -> bool:
        status = context.deployment.status()
        voters = [item["keeper"] for item in status["keepers"] if item["voter"]]
        return new in voters and old not in voters

    assert deployment_lib.wait_until(is_replaced), context.deployment.status()


@behave.then("an accepted ticket is still in force")
def ticket_still_in_force(context: Any) -> None:
    answer = _call_any_entry(context, "GET", "/v1/tickets/9")
    assert answer is not None and answer.json()["tickets"][0]["in_force"], (
        answer
    )


# Tickets.


def _deadline_ticket(number: int, deadline_ms: int) -> dict[str, Any]:
    item = {
        "type": "service_policy",
        "name": "booking",
        "deadline_ms": deadline_ms,
    }
    return {"number": number, "items": [item]}


@behave.when(
    "{count:d} operators submit ticket {number:d} with different content at the same"
    " time"
)
def submit_concurrently(context: Any, count: int, number: int) -> None:
    answers: dict[int, deployment_lib.Answer] = {}

    def submit(operator: int) -> None:
        address = _entry_addresses(context)[operator % 2]
        answers[operator] = deployment_lib.call(
            address,
            "POST",
            "/v1/tickets",
            _deadline_ticket(number, 1000 + operator),
        )

    core_steps.run_in_threads(
        [lambda operator=item: submit(operator) for item in range(count)]
    )
    context.answers = answers
    context.ticket_number = number


@behave.then("exactly one is accepted and the others are told its digest")
def one_ticket_accepted(context: Any) -> None:
    operators_by_code: dict[int, list[int]] = {}
    for operator, answer in context.answers.items():
        operators_by_code.setdefault(answer.code, []).append(operator)
    assert len(operators_by_code[1001]) == 1, operators_by_code
    assert len(operators_by_code[4001]) == len(context.answers) - 1, (
        operators_by_code
    )
    context.accepted_operator = operators_by_code[1001][0]
    digest = context.answers[context.accepted_operator].json()["reason"]
    for operator in operators_by_code[4001]:
        assert digest in context.answers[operator].json()["reason"]


@behave.then("sending the accepted ticket again gives the same answer")
def resend_accepted_ticket(context: Any) -> None:
    body = _deadline_ticket(
        context.ticket_number, 1000 + context.accepted_operator
    )
    again = _call_any_entry(context, "POST", "/v1/tickets", body)
    first = context.answers[context.accepted_operator]
    assert again is not None and again.body == first.body, again


@behave.then("the ticket is in force on every entry within {seconds:g} seconds")
def ticket_in_force(context: Any, seconds: float) -> None:
    def is_confirmed() -> bool:
        answer = _call_any_entry(
            context, "GET", f"/v1/tickets/{context.ticket_number}"
        )
        if answer is None or answer.status != 200:
            return False
        ticket = answer.json()["tickets"][0]
        return len(ticket["confirmed"]) == 2 and bool(ticket["in_force"])

    assert deployment_lib.wait_until(is_confirmed, seconds)


@behave.when("{count:d} tickets are accepted")
def accept_tickets(context: Any, count: int) -> None:
    with concurrent.futures.ThreadPoolExecutor(8) as pool:
        address = _entry_addresses(context)[0]

        def submit(number: int) -> int:
            path = "/v1/tickets"
            body = {
                "number": number,
                "items": [
                    {
                        "type": "drain_state",
                        "name": f"w{number}",
                        "draining": True,
                    }
                ],
            }
            return deployment_lib.call(address, "POST", path, body).code

        results = list(pool.map(submit, range(1, count + 1)))
    assert results == [1001] * count, results


@behave.then("its log is at most 5 entries behind within {seconds:g} seconds")
def keeper_caught_up(context: Any, seconds: float) -> None:
    def is_caught_up() -> bool:
        status = context.deployment.status()
        if not status:
            return False
        index_by_keeper = {
            item["keeper"]: item["match_index"] for item in status["keepers"]
        }
        return bool(
            index_by_keeper[context.killed_process]
            >= status["commit_index"] - 5
        )

    assert deployment_lib.wait_until(is_caught_up, seconds), (
        context.deployment.status()
    )


# Entries without keepers.


@behave.when("all keepers are frozen")
def freeze_keepers(context: Any) -> None:
    for name in context.deployment.keeper_addresses:
        context.deployment.process_by_name[name].freeze()


@behave.when("all keepers are thawed")
def thaw_keepers(context: Any) -> None:
    for name in context.deployment.keeper_addresses:
        context.deployment.process_by_name[name].thaw()


@behave.then("each entry refuses requests within {seconds:g} seconds")
def entries_refuse(context: Any, seconds: float) -> None:
    for address in _entry_addresses(context):

        def is_refused(address: str = address) -> bool:
            answer = deployment_lib.call(address, "GET", "/call/booking/x")
            return answer.code == 2005

        assert deployment_lib.wait_until(is_refused, seconds), address


# Jobs.


@behave.when("{count:d} jobs are submitted and cancelled at once")
def cancel_jobs(context: Any, count: int) -> None:
    assert deployment_lib.wait_until(lambda: len(_live_workers(context)) == 2)
    address = _entry_addresses(context)[0]
    names = [f"job-{number}" for number in range(count)]

    def submit(name: str) -> int:
        body = {
            "job": name,
            "team": "t",
            "needs": {"millicores": 500},
            "payload": "9",
        }
        return deployment_lib.call(address, "POST", "/v1/jobs", body).code

    with concurrent.futures.ThreadPoolExecutor(8) as pool:
        assert list(pool.map(submit, names)) == [1001] * count
    answer = _call_any_entry(
        context, "POST", "/v1/jobs/cancel", {"jobs": names}
    )
    assert answer is not None and answer.code == 1001, answer


@behave.then("all {count:d} jobs are cancelled or done")
def jobs_cancelled_or_done(context: Any, count: int) -> None:
    def are_cancelled() -> bool:
        answer = _call_any_entry(context, "GET", "/v1/jobs?limit=1000")
        jobs = answer.json()["jobs"] if answer else []
        phases = [job["phase"] for job in jobs]
        return len(phases) == count and set(phases) <= {"cancelled", "done"}

    assert deployment_lib.wait_until(are_cancelled), (
        "some jobs are neither cancelled nor done"
    )


@behave.then("no capacity is committed on any worker")
def nothing_committed(context: Any) -> None:
    answer = _call_any_entry(context, "GET", "/v1/workers")
    assert answer is not None
    for worker in json.loads(answer.body)["workers"]:
        assert worker["committed"]["millicores"] == 0, worker
        assert re.match(r"w\d", worker["worker"])
