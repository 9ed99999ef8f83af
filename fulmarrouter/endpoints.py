"""Endpoints, and the shares of them that entries may use."""

from fulmarrouter import codes
from fulmarrouter import command_handlers
from fulmarrouter import commands
from fulmarrouter import event_record
from fulmarrouter import state as state_lib


@command_handlers.handles(commands.AnnounceEndpoint)
def _announce(
    state: state_lib.State, index: int, command: commands.AnnounceEndpoint
) -> commands.Result:
    """Adds an endpoint, or replaces a lost one or an earlier incarnation."""
    existing = state.endpoint_by_id.get(command.endpoint)
    if existing is not None:
        current_incarnation = existing.announcement.incarnation
        if command.incarnation < current_incarnation:
            return commands.Result(
                codes.Code.STALE_INCARNATION, str(current_incarnation)
            )
        if command.incarnation == current_incarnation and not existing.lost:
            return commands.Result(codes.Code.ACCEPTED, index=index)
    endpoint = state_lib.Endpoint(command)
    if existing is not None:
        # Sessions may still send requests to the same address under the shares
        # that they were granted, so these shares remain allocated.
        endpoint.share_by_session = existing.share_by_session
        endpoint.leaving = (
            existing.leaving
            and command.incarnation == existing.announcement.incarnation
        )
    state.endpoint_by_id[command.endpoint] = endpoint
    state.view_version = index
    event_record.add_event(
        state,
        index,
        command.at_ms,
        state_lib.EventKind.ENDPOINT_ANNOUNCED,
        command.endpoint,
        f"service={command.service} address={command.host}:{command.port}",
    )
    return commands.Result(codes.Code.ACCEPTED, index=index)


def _find_incarnation(
    state: state_lib.State, endpoint: str, incarnation: int
) -> state_lib.Endpoint | None:
    """Returns an endpoint, or None if its current incarnation is another."""
    existing = state.endpoint_by_id.get(endpoint)
    if existing is None or existing.announcement.incarnation != incarnation:
        return None
    return existing


@command_handlers.handles(commands.EndpointLeaving)
def _mark_leaving(
    state: state_lib.State, index: int, command: commands.EndpointLeaving
) -> commands.Result:
    """Marks an endpoint as taking no new requests."""
    endpoint = _find_incarnation(state, command.endpoint, command.incarnation)
    if endpoint is None:
        return commands.Result(codes.Code.NO_SUCH_OBJECT, command.endpoint)
    if not endpoint.leaving:
        endpoint.leaving = True
        state.view_version = index
        event_record.add_event(
            state,
            index,
            command.at_ms,
            state_lib.EventKind.ENDPOINT_LEAVING,
            command.endpoint,
        )
    return commands.Result(codes.Code.ACCEPTED, index=index)


@command_handlers.handles(commands.RemoveEndpoint)
def _remove(
    state: state_lib.State, index: int, command: commands.RemoveEndpoint
) -> commands.Result:
    """Removes an endpoint, or marks it as lost while sessions hold shares."""
    endpoint = _find_incarnation(state, command.endpoint, command.incarnation)
    if endpoint is None:
        return commands.Result(codes.Code.ACCEPTED, index=index)
    was_lost = endpoint.lost
    endpoint.lost = True
    state.view_version = index
    if not endpoint.share_by_session:
        del state.endpoint_by_id[command.endpoint]
    if was_lost:
        return commands.Result(codes.Code.ACCEPTED, index=index)
    kind = state_lib.EventKind.ENDPOINT_REMOVED
    if command.expired:
        kind = state_lib.EventKind.ENDPOINT_LOST
    event_record.add_event(state, index, command.at_ms, kind, command.endpoint)
    return commands.Result(codes.Code.ACCEPTED, index=index)


def free_share(endpoint: state_lib.Endpoint) -> state_lib.Share:
    """Returns the slots and connections that are granted to no session.

    They are negative if a new incarnation offers less than is granted.
    """
    shares = endpoint.share_by_session.values()
    return state_lib.Share(
        endpoint.announcement.slots - sum(share.slots for share in shares),
        endpoint.announcement.connections
        - sum(share.connections for share in shares),
    )


@command_handlers.handles(commands.SetShare)
def _set_share(
    state: state_lib.State, index: int, command: commands.SetShare
) -> commands.Result:
    """Sets a session's share, if there is room and its version is expected.

    A share can always be reduced, even if more is granted than is offered.
    """
    endpoint = state.endpoint_by_id.get(command.endpoint)
    if endpoint is None:
        return commands.Result(codes.Code.NO_SUCH_OBJECT, command.endpoint)
    if command.session not in state.session_by_id:
        return commands.Result(codes.Code.SESSION_ENDED)
    current_share = endpoint.share_by_session.get(
        command.session, state_lib.Share(0, 0)
    )
    if current_share.version != command.expected_version:
        return commands.Result(
            codes.Code.STALE_EPOCH, str(current_share.version)
        )
    free = free_share(endpoint)
    if (
        command.slots - current_share.slots > max(free.slots, 0)
        or command.connections - current_share.connections
        > max(free.connections, 0)
        or min(command.slots, command.connections) < 0
    ):
        return commands.Result(codes.Code.OVER_CAPACITY, command.endpoint)
    share = state_lib.Share(command.slots, command.connections, index)
    endpoint.share_by_session[command.session] = share
    if share.slots == 0:
        del endpoint.share_by_session[command.session]
    state.view_version = index
    return commands.Result(codes.Code.ACCEPTED, index=index)
