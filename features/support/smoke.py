"""A smoke test of a deployment of real processes.

Sends a request, a job and a ticket through it and prints the result of each
check.
"""

import pathlib
import sys
import tempfile

from features.support import deployment as deployment_lib

KEY_HEADER = {"Fulmar-Key": "invoice-2026-11"}


class Smoke:
    """Prints the result of each check and counts the failures."""

    def __init__(self) -> None:
        self.failures = 0

    def check(self, name: str, passed: bool, observed: object) -> None:
        """Prints whether a check passed, with the value that was observed."""
        self.failures += not passed
        print(
            f"{'ok    ' if passed else 'FAILED'} {name}: {observed}", flush=True
        )


def _run_checks(smoke: Smoke, deployment: deployment_lib.Deployment) -> None:
    first, second = deployment.entries

    def ready_call() -> deployment_lib.HttpResponse | None:
        response = deployment_lib.call(
            first, "GET", "/call/booking/yards?day=3"
        )
        return response if response.status == 200 else None

    response = deployment_lib.wait_until(ready_call)
    observed = response.body if response else "no answer"
    smoke.check(
        "latency-critical request", observed == b"GET /yards?day=3 ", observed
    )

    first_response = deployment_lib.call(
        first, "POST", "/call/booking/invoice", b"run", KEY_HEADER
    )
    smoke.check(
        "non-idempotent request",
        first_response.code == 1000,
        first_response.code,
    )
    second_response = deployment_lib.call(
        second, "POST", "/call/booking/invoice", b"run", KEY_HEADER
    )
    is_repeated = (
        second_response.code == 1002
        and second_response.body == first_response.body
    )
    smoke.check(
        "the same request sent again", is_repeated, second_response.code
    )

    job = {"job": "settlement-1", "team": "settlements", "payload": "0.3"}
    job["needs"] = {"millicores": 500, "memory_mb": 100}  # type: ignore[assignment]
    submitted = deployment_lib.call(first, "POST", "/v1/jobs", job)
    smoke.check("batch job submitted", submitted.code == 1001, submitted.code)

    def job_phase() -> str:
        shown = deployment_lib.call(
            second, "GET", "/v1/jobs/settlement-1"
        ).json()
        return str(shown["jobs"][0]["phase"])

    deployment_lib.wait_until(lambda: job_phase() == "done")
    smoke.check("batch job at its end", job_phase() == "done", job_phase())

    item = {"type": "service_policy", "name": "booking", "deadline_ms": 1500}
    ticket = {"number": 1, "operator": "smoke", "items": [item]}
    accepted = deployment_lib.call(second, "POST", "/v1/tickets", ticket)
    smoke.check("ticket accepted", accepted.code == 1001, accepted.code)

    def shown_ticket() -> dict[str, object]:
        shown = deployment_lib.call(first, "GET", "/v1/tickets/1").json()
        found: dict[str, object] = shown["tickets"][0]
        return found

    deployment_lib.wait_until(lambda: len(shown_ticket()["confirmed"]) == 2)  # type: ignore[arg-type]
    shown = shown_ticket()
    smoke.check("ticket in force", bool(shown["in_force"]), shown["confirmed"])


def main() -> int:
    """Returns 0 only if every check passed."""
    smoke = Smoke()
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        deployment = deployment_lib.Deployment(folder, fast=False)
        fakes = [
            deployment_lib.Process(
                ["features.support.fakes", kind, fake, *deployment.entries],
                folder / f"{fake}.log",
            )
            for kind, fake in (("endpoint", "p1"), ("worker", "w1"))
        ]
        try:
            deployment.start()
            print(f"ok     started: {', '.join(deployment.process_by_name)}")
            for fake in fakes:
                fake.start()
            _run_checks(smoke, deployment)
            exit_codes = deployment.stop()
            stopped = len(exit_codes) == 5 and not any(exit_codes.values())
            smoke.check("graceful stop", stopped, exit_codes)
            if smoke.failures:
                print(deployment.logs())
        finally:
            deployment.kill_all()
            for fake in fakes:
                fake.kill()
    return 1 if smoke.failures else 0


if __name__ == "__main__":
    sys.exit(main())
