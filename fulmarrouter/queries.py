"""Handlers of read-only requests by operators and callers."""

from collections.abc import Callable
import itertools
from typing import Any
from typing import TypeVar

import msgspec

from fulmarrouter import event_record
from fulmarrouter import jobs
from fulmarrouter import leader as leader_lib
from fulmarrouter import ledger
from fulmarrouter import requests
from fulmarrouter import state as state_lib


class Context(msgspec.Struct):
    """What a query handler may read.

    Attributes:
        status: Returns the state of the quorum.
    """

    now: float
    state: state_lib.State
    leader: leader_lib.Leader
    status: Callable[[], requests.Status]


QueryHandler = Callable[[Context, Any], requests.AnyReply]
HANDLER_BY_REQUEST: dict[type[requests.Request], QueryHandler] = {}

_H = TypeVar("_H", bound=QueryHandler)


def handles(request_type: type[requests.Request]) -> Callable[[_H], _H]:
    """Registers the decorated function for one request type."""

    def register(handler: _H) -> _H:
        HANDLER_BY_REQUEST[request_type] = handler
        return handler

    return register


def _job_view(context: Context, job: state_lib.Job) -> requests.JobView:
    reason = context.leader.scheduler.wait_reason(job.spec.job)
    return requests.JobView(
        spec=job.spec,
        phase=job.phase,
        epoch=job.epoch,
        worker=job.worker,
        started=job.started,
        checkpoint=job.checkpoint,
        exit_code=job.exit_code,
        evictions=job.evictions,
        submitted_ms=job.submitted_ms,
        waiting_for=reason.value if reason else "",
    )


@handles(requests.ListJobs)
def _list_jobs(
    context: Context, request: requests.ListJobs
) -> requests.AnyReply:
    """Returns one job, or the newest jobs with the newest first."""
    if request.job:
        job = context.state.job_by_id.get(request.job)
        chosen = [job] if job is not None else []
    else:
        newest = reversed(context.state.job_by_id.values())
        chosen = list(itertools.islice(newest, request.limit))
    return requests.JobList(tuple(_job_view(context, job) for job in chosen))


@handles(requests.ListWorkers)
def _list_workers(
    context: Context, request: requests.ListWorkers
) -> requests.AnyReply:
    del request
    return requests.WorkerList(
        tuple(
            requests.WorkerView(
                worker=worker_id,
                incarnation=worker.announcement.incarnation,
                capacity=worker.announcement.capacity,
                committed=worker.committed,
                rack=worker.announcement.rack,
                domain=worker.announcement.domain,
                jobs=len(worker.jobs),
                alive=context.leader.is_alive(context.now, worker_id),
                on_probation=worker.on_probation,
                draining=jobs.is_draining(context.state, worker_id),
            )
            for worker_id, worker in sorted(context.state.worker_by_id.items())
        )
    )


@handles(requests.ListEndpoints)
def _list_endpoints(
    context: Context, request: requests.ListEndpoints
) -> requests.AnyReply:
    del request
    return requests.EndpointList(
        tuple(
            _endpoint_status(context.state, endpoint)
            for _, endpoint in sorted(context.state.endpoint_by_id.items())
        )
    )


def _endpoint_status(
    state: state_lib.State, endpoint: state_lib.Endpoint
) -> requests.EndpointStatus:
    """Describes an endpoint and the slots that each entry may use."""
    announcement = endpoint.announcement
    slots_by_entry: dict[str, int] = {}
    for session_id, share in sorted(endpoint.share_by_session.items()):
        session = state.session_by_id.get(session_id)
        name = session.entry if session else str(session_id)
        slots_by_entry[name] = slots_by_entry.get(name, 0) + share.slots
    return requests.EndpointStatus(
        endpoint=announcement.endpoint,
        service=announcement.service,
        host=announcement.host,
        port=announcement.port,
        slots=announcement.slots,
        connections=announcement.connections,
        slots_by_entry=slots_by_entry,
        leaving=endpoint.leaving,
        lost=endpoint.lost,
        draining=jobs.is_draining(state, announcement.endpoint),
    )


@handles(requests.ListTickets)
def _list_tickets(
    context: Context, request: requests.ListTickets
) -> requests.AnyReply:
    """Returns one ticket, or the newest tickets with the newest first."""
    by_number = context.state.ticket_by_number
    if request.number:
        ticket = by_number.get(request.number)
        chosen = [ticket] if ticket is not None else []
    else:
        chosen = list(
            itertools.islice(reversed(by_number.values()), request.limit)
        )
    sessions = context.leader.session_views(context.now, context.state)
    return requests.TicketList(
        tuple(_ticket_view(ticket, sessions) for ticket in chosen)
    )


def _ticket_view(
    ticket: state_lib.Ticket, sessions: tuple[requests.SessionView, ...]
) -> requests.TicketView:
    """Describes a ticket and which entries have confirmed it.

    An entry whose configuration lease has expired isn't waited for, since it
    takes no new work.
    """
    confirmed = tuple(
        session.entry
        for session in sessions
        if session.config_version >= ticket.version
    )
    waiting = tuple(
        session.entry
        for session in sessions
        if session.config_version < ticket.version and session.lease_left_ms > 0
    )
    return requests.TicketView(
        number=ticket.number,
        digest=ticket.digest,
        operator=ticket.operator,
        at_ms=ticket.at_ms,
        objects=ticket.objects,
        in_force=not waiting,
        confirmed=confirmed,
        waiting=waiting,
    )


@handles(requests.FindRun)
def _find_run(context: Context, request: requests.FindRun) -> requests.AnyReply:
    """Returns what a repeat of a request is answered."""
    return requests.FoundRun(
        ledger.find_result(context.state, request.key, request.digest)
    )


@handles(requests.GetStatus)
def _get_status(
    context: Context, request: requests.GetStatus
) -> requests.AnyReply:
    del request
    return context.status()


@handles(requests.GetRecord)
def _get_record(
    context: Context, request: requests.GetRecord
) -> requests.AnyReply:
    return requests.RecordReply(
        event_record.events_in_interval(
            context.state, request.from_ms, request.to_ms
        )
    )
