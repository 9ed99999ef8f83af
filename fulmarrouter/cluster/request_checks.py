"""Validates requests of callers, operators and workers before acceptance.

The checks are pure functions. Every keeper reads the jobs and configurations in
the log, and so does each process that replaces it. One that can't be decoded or
held in memory would therefore crash all of them.
"""

import msgspec

from fulmarrouter import commands
from fulmarrouter.cluster import model
from fulmarrouter.cluster import requests

# Limit on the unfinished tasks of a job, over all steps and occurrences.
MAX_JOB_TASKS = 20_000


def find_problem(request: requests.AnyRequest) -> str:
    """Returns why a request can't be accepted, or an empty string."""
    match request:
        case requests.SubmitJob():
            return _encoding_problem(request) or _job_problem(request.spec)
        case requests.ReplaceConfiguration():
            return _encoding_problem(request)
        case requests.WorkerReport():
            return _bounds_problem(request.capacity)
    return ""


def _bounds_problem(amount: commands.Resources) -> str:
    """Returns which bound an amount violates, or an empty string.

    msgspec checks bounds when it decodes or converts, not when an object is
    constructed.
    """
    try:
        msgspec.convert(msgspec.structs.asdict(amount), commands.Resources)
    except msgspec.ValidationError as error:
        return str(error)
    return ""


def _encoding_problem(request: requests.AnyRequest) -> str:
    """Returns why a request can't be sent and read, or an empty string."""
    try:
        requests.decode_request(requests.encode(request))
    except (OverflowError, UnicodeError, msgspec.DecodeError) as error:
        return str(error)
    return ""


def _job_problem(spec: model.JobSpec) -> str:
    if any(step.count < 1 or step.estimated_ms < 0 for step in spec.steps):
        return "a step without tasks or with a negative estimate"
    if sum(step.count for step in spec.steps) > MAX_JOB_TASKS:
        return f"more than {MAX_JOB_TASKS} tasks"
    if spec.repetitions < 0:
        return "a negative number of repetitions"
    if spec.repetitions > 1 and spec.interval_ms < 1:
        return "no time between repetitions"
    return ""
