"""Simulated workers that report to real nodes."""

import http.client
import json
import random
import threading
import time
from typing import Any

from features.support import run_checks

# Share of the leaving workers whose last report arrives late.
LATE_REPORT_SHARE = 0.7
MAX_LATE_S = 0.6
LEAVE_ATTEMPTS = 5
# Share of the leaving workers that aren't answered any more, from how long before the
# leave on, and for how long they go on after it. What they send arrives.
UNANSWERED_SHARE = 0.5
UNANSWERED_BEFORE_S = 0.8
UNANSWERED_LEAVE_S = (1.0, 6.0)
ANSWER_TIMEOUT_S = 1.0
MAX_ANSWER_BYTES = 4 << 20
HEARTBEAT_S = 1.5
AFTER_END_S = 0.05
HOLD_MAX_S = 4.0
STOP_TIMEOUT_S = 0.4
DRAIN_S = 2.0
STARTUP_S = 0.3
PACE_DELAY_S = 0.1
MAX_LISTED_ENDS = 500
SMALL_CAPACITY = {"cpu": 200, "mem_mb": 200, "gpu": 0}
CAPACITY = {"cpu": 16_000, "mem_mb": 32_000, "gpu": 0}
BASE_HEADROOM = 3.5
TARGET_MS = 60
INFINITE = float("inf")


def post(
    address: str, path: str, body: dict[str, Any] | None
) -> tuple[int, bytes]:
    """Posts JSON, or nothing, on a new connection.

    The status is 0 without an answer.
    """
    connection = http.client.HTTPConnection(address, timeout=ANSWER_TIMEOUT_S)
    headers = {"Content-Type": "application/json"} if body is not None else {}
    text = json.dumps(body) if body is not None else None
    try:
        connection.request("POST", path, text, headers)
        response = connection.getresponse()
        return response.status, response.read()
    except (OSError, http.client.HTTPException):
        return 0, b""
    finally:
        connection.close()


def _effect(filling: str, serving: str) -> float:
    """Returns the headroom that a filling image on all processors costs."""
    return random.Random(f"{filling} {serving}").choice([0.5, 1.0, 6.0, 14.0])


class Worker:
    """One life of a worker, on a thread of its own.

    The ends of its runs are computed from the clock whenever the shared view is
    advanced, so that checks don't depend on when its thread runs.

    Args:
        name: The worker's id.
        service: The service that it belongs to.
        labels: Its kind and its rack.
        is_guarded: Whether it rejects what doesn't fit.
        addresses: Control addresses of the nodes.
        checks: The shared view.
        seed: Seed of its stop times, its clock and its first address.
        capacity: Its capacity.
    """

    def __init__(
        self,
        name: str,
        service: str,
        labels: tuple[str, str],
        is_guarded: bool,
        addresses: list[str],
        checks: run_checks.RunChecks,
        seed: str,
        capacity: dict[str, int] = CAPACITY,
    ) -> None:
        self.name = name
        self.service = service
        self.labels = labels
        self.is_guarded = is_guarded
        self.capacity = capacity
        self.run_by_task: dict[str, run_checks.Run] = {}
        self.silent_until = 0.0
        self.report_address = ""
        self._addresses = addresses
        self._checks = checks
        self._random = random.Random(seed)
        # Seconds of the steady clock for each second of the worker's.
        self._clock_rate = self._random.uniform(1.0, 1.02)
        self._address_index = self._random.randrange(len(addresses))
        self._born = int(time.time() * 1000)
        self._sequence = 0
        self._token = 0
        self._lease_until = 0.0
        self._has_lapsed = True
        self._lapses = 0
        self._closed_run_by_task: dict[str, int] = {}
        self._ends: list[list[Any]] = []
        self._end_times: dict[int, tuple[float, int]] = {}
        self._last_end = 0
        self._successor: Worker | None = None
        self._drained_at = INFINITE
        # From when on answers to it are lost.
        self._unanswered_at = INFINITE
        self._is_draining = False
        self._end_seen = threading.Event()
        self._halted = threading.Event()
        self._thread = threading.Thread(target=self._report, daemon=True)

    def start(self) -> None:
        with self._checks.lock:
            self._checks.lives.append(self)
            self._add("worker starts", labels=self.labels, born=self._born)
        self._thread.start()

    def crash(self) -> dict[str, Any]:
        """Ends at once; returns the heartbeat that it would have sent next."""
        with self._checks.lock:
            self._checks.advance(time.monotonic())
            heartbeat = self._heartbeat(time.monotonic())
            self._add("worker crashes")
            self._halt()
        return heartbeat

    def drain(self) -> None:
        """Has it report that it is draining; it leaves some time later."""
        with self._checks.lock:
            self._is_draining = True
            self._add("worker drains")
        self._end_seen.set()

    def hand_over(self, successor: "Worker") -> None:
        """Lets the next life take the answer that this one was waiting for."""
        with self._checks.lock:
            self._successor = successor

    def join(self) -> None:
        self._thread.join()

    @property
    def has_ended(self) -> bool:
        return self._halted.is_set()

    @property
    def is_draining(self) -> bool:
        return self._is_draining

    def _halt(self) -> None:
        self._halted.set()
        self._end_seen.set()
        self.run_by_task.clear()
        if self in self._checks.lives:
            self._checks.lives.remove(self)

    def _add(self, event: str, **fields: Any) -> None:
        self._checks.record.add(event, worker=self.name, **fields)

    # Runs. The lock of the shared view is held.

    def fits(self, step: dict[str, Any]) -> bool:
        """Whether a task of a step fits beside all runs."""
        steps = [step, *(run.step for run in self.run_by_task.values())]
        cpu = sum(item["cpu"] for item in steps if not item.get("fills"))
        memory = sum(item["mem_mb"] for item in steps)
        return bool(
            cpu <= self.capacity["cpu"] and memory <= self.capacity["mem_mb"]
        )

    def advance(self, now: float) -> None:
        """Ends what has ended by now."""
        for run in sorted(
            self.run_by_task.values(),
            key=lambda item: min(item.ends_at, item.stops_at),
        ):
            ends_at = min(run.ends_at, run.stops_at, self._lease_until)
            if ends_at > now:
                continue
            how = "lapsed"
            if ends_at == run.stops_at:
                how = "stopped"
            if ends_at == run.ends_at:
                how = "done"
            self._end(run.task, run.run, how, ends_at)
        if now >= self._lease_until and not self._has_lapsed:
            self._has_lapsed = True
            self._lapses += 1
            self._add("lease expired")

    def _end(self, task: str, run: int, how: str, ended_at: float) -> None:
        self.run_by_task.pop(task, None)
        self._close(task, run)
        self._last_end += 1
        self._ends.append([self._last_end, task, run, how, ""])
        self._end_times[self._last_end] = (ended_at, self._lapses)
        if how == "done":
            self._checks.ended_done.add(task)
        self._add("ended", task=task, run=run, how=how, n=self._last_end)
        self._end_seen.set()

    def _close(self, task: str, run: int) -> None:
        known = self._closed_run_by_task.get(task, 0)
        self._closed_run_by_task[task] = max(known, run)

    def _start_run(self, now: float, order: list[Any]) -> None:
        task, run, payload = order[0], order[1], order[2]
        if run <= self._closed_run_by_task.get(task, 0):
            return
        known = self.run_by_task.get(task)
        if known is not None and known.run >= run:
            return
        step = self._checks.find_step(task)
        if step is not None and self.is_guarded and not self.fits(step):
            self._end(task, run, "refused", now)
            return
        step = self._checks.check_start(self, now, task, run, payload)
        self._add("started", task=task, run=run)
        if step is None or known is not None:
            return
        duration_s = step["estimated_ms"] / 1000
        is_lasting = step.get("long_running", False)
        self.run_by_task[task] = run_checks.Run(
            task,
            run,
            step,
            now,
            INFINITE if is_lasting else now + duration_s,
            remaining_s=duration_s,
            paced_at=now,
        )

    def _stop_run(self, now: float, task: str, run: int) -> None:
        known = self.run_by_task.get(task)
        if known is None or known.run > run:
            self._close(task, run)
        elif known.run == run and known.stops_at == INFINITE:
            delay = self._random.uniform(0, STOP_TIMEOUT_S)
            known.stops_at = now + delay
            if known.step.get("long_running"):
                self._checks.stopped_tasks.put(task)
            self._add("stopping", task=task, run=run)

    def _pace_run(self, now: float, task: str, run: int, percent: int) -> None:
        known = self.run_by_task.get(task)
        if known is None or known.run != run or known.pace == percent:
            return
        known.remaining_s -= (now - known.paced_at) * known.pace / 100
        known.pace = percent
        known.paced_at = now
        if known.ends_at == INFINITE and known.step.get("long_running"):
            return
        known.ends_at = (
            now + 100 * max(0.0, known.remaining_s) / percent
            if percent
            else INFINITE
        )

    # Reports.

    def _usage(self, run: run_checks.Run) -> int:
        step = run.step
        if not step.get("target_ms"):
            return int(step["cpu"] * run.pace / 100)
        loss = sum(
            _effect(other.step["image"], step["image"])
            * other.step["cpu"]
            * other.pace
            / 100
            / self.capacity["cpu"]
            for other in self.run_by_task.values()
            if other.step.get("fills")
        )
        return int(TARGET_MS / max(0.2, BASE_HEADROOM - loss))

    def _heartbeat(self, now: float) -> dict[str, Any]:
        self._sequence += 1
        running = []
        for run in self.run_by_task.values():
            ran = now - run.started_at
            duration = run.step["estimated_ms"] / 1000
            if run.step.get("long_running"):
                duration = STARTUP_S
                percent = min(100, int(100 * ran / duration))
            else:
                percent = min(99, int(100 * ran / duration))
            running.append([run.task, run.run, "", percent, self._usage(run)])
        heartbeat = {
            "service": self.service,
            "address": "127.0.0.1:9",
            "zone": "zone-0",
            "version": "v1",
            "slots": 8,
            "state": "draining" if self._is_draining else "ready",
            "cold_remaining_ms": 0,
            "machine": f"m-{self.name}",
            "capacity": self.capacity,
            "labels": list(self.labels),
            "clock_ms": int(now * 1000),
            "sequence": self._sequence,
            "born": self._born,
            "running": running,
            "ended": [list(item) for item in self._ends[:MAX_LISTED_ENDS]],
        }
        if self._is_draining:
            left_s = DRAIN_S
            if self._drained_at < INFINITE:
                # The time beyond the promised one isn't announced.
                left_s = min(left_s, max(0.0, self._drained_at - 1.0 - now))
            heartbeat["drain_remaining_ms"] = int(left_s * 1000)
        return heartbeat

    def _report(self) -> None:
        while not self._halted.is_set():
            deadline = time.monotonic() + self._report_once()
            self._wait(deadline)
            if time.monotonic() >= self._drained_at:
                self._leave()

    def _wait(self, deadline: float) -> None:
        """Waits until the next heartbeat is due."""
        while not self._halted.is_set():
            now = time.monotonic()
            with self._checks.lock:
                self.advance(now)
                times = [
                    min(run.ends_at, run.stops_at)
                    for run in self.run_by_task.values()
                ]
            if self._end_seen.is_set():
                self._end_seen.clear()
                deadline = min(deadline, now + AFTER_END_S)
            deadline = max(deadline, self.silent_until)
            if now >= deadline:
                return
            wake_at = min([deadline, *times, now + 0.1])
            self._end_seen.wait(max(0.001, wake_at - now))

    def _report_once(self) -> float:
        """Sends a heartbeat; returns the seconds until the next one."""
        address = self.report_address
        if not address:
            self._address_index += 1
            address = self._addresses[
                self._address_index % len(self._addresses)
            ]
        sent_at = time.monotonic()
        with self._checks.lock:
            self.advance(sent_at)
            heartbeat = self._heartbeat(sent_at)
        path = f"/api/instances/{self.name}/heartbeat"
        status, answer = post(address, path, heartbeat)
        with self._checks.lock:
            now = time.monotonic()
            is_acknowledged = (
                200 <= status < 300
                and now - sent_at <= ANSWER_TIMEOUT_S
                and len(answer) <= MAX_ANSWER_BYTES
                and now < self._unanswered_at
            )
            if self._halted.is_set():
                if is_acknowledged:
                    self._pass_on(answer, sent_at)
                return 0.0
            if not is_acknowledged:
                self.report_address = ""
                return AFTER_END_S
            if heartbeat["state"] == "draining" and (
                self._drained_at == INFINITE
            ):
                self._drained_at = now + DRAIN_S + self._random.uniform(0, 1)
                if self._random.random() < UNANSWERED_SHARE:
                    self._unanswered_at = self._drained_at - (
                        self._random.uniform(0.0, UNANSWERED_BEFORE_S)
                    )
            self._checks.advance(now)
            return self.obey(json.loads(answer or b"{}"), sent_at, now)

    def _pass_on(self, answer: bytes, sent_at: float) -> None:
        """Gives the next life an answer, at some time while it is valid."""
        arrives_at = sent_at + self._random.uniform(0.0, ANSWER_TIMEOUT_S)

        def arrive() -> None:
            with self._checks.lock:
                now = time.monotonic()
                successor = self._successor
                is_valid = now - sent_at <= ANSWER_TIMEOUT_S
                if successor is None or successor.has_ended or not is_valid:
                    return
                self._checks.advance(now)
                successor._add("answer to an earlier life", answer=answer)
                successor.obey(json.loads(answer or b"{}"), sent_at, now)

        delay_s = max(0.0, arrives_at - time.monotonic())
        timer = threading.Timer(delay_s, arrive)
        timer.daemon = True
        timer.start()

    def obey(self, orders: dict[str, Any], sent_at: float, now: float) -> float:
        """Carries out the orders in an answer; the shared view is advanced.

        Args:
            orders: The answer.
            sent_at: When the heartbeat was sent.
            now: The present time.

        Returns:
            The seconds until the next heartbeat.
        """
        self.report_address = orders.get(
            "heartbeat_address", self.report_address
        )
        token = orders.get("fencing_token", 0)
        if token >= self._token:
            self._token = token
            self._acknowledge(orders.get("ack_seq", 0))
            for task, run in orders.get("stop", []):
                self._stop_run(now, task, run)
            for task, run, percent in orders.get("pace", []):
                self._pace_run(now, task, run, percent)
            if "hold_ms" in orders:
                hold_s = min(HOLD_MAX_S, orders["hold_ms"] / 1000)
                until = sent_at + hold_s * self._clock_rate
                self._lease_until = max(self._lease_until, until)
                self._has_lapsed = now >= self._lease_until
                for order in orders.get("start", []):
                    if now < self._lease_until:
                        self._start_run(now, order)
        return float(orders.get("retry_after_ms", HEARTBEAT_S * 1000)) / 1000

    def _acknowledge(self, number: int) -> None:
        for item in self._ends:
            if item[0] > number or item[3] != "done":
                continue
            ended_at, lapses = self._end_times[item[0]]
            if lapses == self._lapses:
                self._checks.note_done(self, item[1], ended_at)
        self._ends = [item for item in self._ends if item[0] > number]

    def _leave(self) -> None:
        """Says that it leaves, without a body, and ends once that is answered.

        A last report is often still on its way.
        """
        with self._checks.lock:
            now = time.monotonic()
            self._checks.advance(now)
            self._add("worker leaves")
            heartbeat = self._heartbeat(now)
        if self._unanswered_at < INFINITE:
            self._leave_unanswered()
            return
        if self._random.random() < LATE_REPORT_SHARE:
            delay_s = self._random.uniform(0.0, MAX_LATE_S)
            timer = threading.Timer(delay_s, self._report_late, (heartbeat,))
            timer.daemon = True
            timer.start()
        for index in range(LEAVE_ATTEMPTS):
            address = self._addresses[index % len(self._addresses)]
            path = f"/api/instances/{self.name}/leave"
            if post(address, path, None)[0] == 200:
                break
            self._report_once()
        with self._checks.lock:
            self._checks.advance(time.monotonic())
            self._halt()

    def _leave_unanswered(self) -> None:
        """Says that it leaves, isn't answered, and goes on before it ends."""
        address = self._addresses[self._address_index % len(self._addresses)]
        post(address, f"/api/instances/{self.name}/leave", None)
        goes_on_s = self._random.uniform(*UNANSWERED_LEAVE_S)
        with self._checks.lock:
            self._add("leave unanswered", goes_on_s=round(goes_on_s, 1))
        # New connections can't be opened, so that it isn't heard either.
        self._halted.wait(goes_on_s)
        with self._checks.lock:
            self._checks.advance(time.monotonic())
            self._halt()

    def _report_late(self, heartbeat: dict[str, Any]) -> None:
        """Delivers a report that has been delayed; notes what it leads to."""
        address = self._addresses[self._address_index % len(self._addresses)]
        path = f"/api/instances/{self.name}/heartbeat"
        status, answer = post(address, path, heartbeat)
        if 200 <= status < 300:
            with self._checks.lock:
                orders = json.loads(answer or b"{}")
                self._acknowledge(orders.get("ack_seq", 0))
