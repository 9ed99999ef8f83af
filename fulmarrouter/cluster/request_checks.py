"""Validates requests of callers, operators and workers before acceptance.

The checks are pure functions. Every keeper reads the jobs and configurations in
the log, and so does each process that replaces it. One that can't be decoded or
held in memory would therefore crash all of them.
"""

import itertools

import msgspec

from fulmarrouter import addresses
from fulmarrouter import commands
from fulmarrouter.cluster import model
from fulmarrouter.cluster import requests

# Limit on the unfinished tasks of a job, over all steps and occurrences.
MAX_JOB_TASKS = 20_000
# Limits on the strings that are repeated for each task of a job or each run on a
# worker, in log entries and in answers.
MAX_PAYLOAD_BYTES = 64 << 10
MAX_PATH_LENGTH = 512
MAX_WORKER_ID_LENGTH = 128
MAX_CHECKPOINT_LENGTH = 4096


def find_problem(request: requests.AnyRequest) -> str:
    """Returns why a request can't be accepted, or an empty string."""
    match request:
        case requests.SubmitJob():
            return (
                _encoding_problem(request)
                or _path_problem(request.path)
                or _job_problem(request.spec)
            )
        case requests.ReplaceConfiguration():
            return _encoding_problem(request)
        case requests.WorkerReport():
            return _bounds_problem(request.capacity) or _report_problem(request)
    return ""


def _path_problem(path: str) -> str:
    if len(path) > MAX_PATH_LENGTH:
        return f"a path of more than {MAX_PATH_LENGTH} characters"
    return ""


def _report_problem(report: requests.WorkerReport) -> str:
    if len(report.worker) > MAX_WORKER_ID_LENGTH:
        return f"a worker id of more than {MAX_WORKER_ID_LENGTH} characters"
    if not addresses.has_valid_port(report.address):
        return "an address without a valid port"
    checkpoints = itertools.chain(
        (item.checkpoint for item in report.running),
        (item.checkpoint for item in report.ended),
    )
    if any(len(text) > MAX_CHECKPOINT_LENGTH for text in checkpoints):
        return f"a checkpoint of more than {MAX_CHECKPOINT_LENGTH} characters"
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
    if len(spec.payload.encode()) > MAX_PAYLOAD_BYTES:
        return f"a payload of more than {MAX_PAYLOAD_BYTES} bytes"
    if any(step.count < 1 or step.estimated_ms < 0 for step in spec.steps):
        return "a step without tasks or with a negative estimate"
    if sum(step.count for step in spec.steps) > MAX_JOB_TASKS:
        return f"more than {MAX_JOB_TASKS} tasks"
    if spec.repetitions < 0:
        return "a negative number of repetitions"
    if spec.repetitions > 1 and spec.interval_ms < 1:
        return "no time between repetitions"
    return ""
