"""Endpoints, and how their slots and connections are shared by entries."""

from fulmarrouter import codes
from fulmarrouter import command_handlers
from fulmarrouter import commands
from fulmarrouter import record
from fulmarrouter import state as state_lib


@command_handlers.handles(commands.AnnounceEndpoint)
def _announce(
    state: state_lib.State, index: int, command: commands.AnnounceEndpoint
) -> commands.Result:
    known = state.endpoint_by_id.get(command.endpoint)
    if known is not None:
        known_incarnation = known.announcement.incarnation
        if command.incarnation < known_incarnation:
            return commands.Result(
                codes.Code.STALE_INCARNATION, str(known_incarnation)
            )
        if command.incarnation == known_incarnation and not known.lost:
            return commands.Result(codes.Code.ACCEPTED, index=index)
    endpoint = state_lib.Endpoint(command)
    if known is not None:
        # Sessions may still send on shares granted for the same address.
        endpoint.share_by_session = known.share_by_session
        endpoint.leaving = (
            known.leaving
            and command.incarnation == known.announcement.incarnation
        )
    state.endpoint_by_id[command.endpoint] = endpoint
    state.view_version = index
    record.add_event(
        state,
        index,
        command.at_ms,
        state_lib.EventKind.ENDPOINT_ANNOUNCED,
        command.endpoint,
        f"service={command.service} address={command.host}:{command.port}",
    )
    return commands.Result(codes.Code.ACCEPTED, index=index)


def _current(
    state: state_lib.State, endpoint: str, incarnation: int
) -> state_lib.Endpoint | None:
    known = state.endpoint_by_id.get(endpoint)
    if known is None or known.announcement.incarnation != incarnation:
        return None
    return known


@command_handlers.handles(commands.EndpointLeaving)
def _leaving(
    state: state_lib.State, index: int, command: commands.EndpointLeaving
) -> commands.Result:
    endpoint = _current(state, command.endpoint, command.incarnation)
    if endpoint is None:
        return commands.Result(codes.Code.NO_SUCH_OBJECT, command.endpoint)
    if not endpoint.leaving:
        endpoint.leaving = True
        state.view_version = index
        record.add_event(
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
    endpoint = _current(state, command.endpoint, command.incarnation)
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
    record.add_event(state, index, command.at_ms, kind, command.endpoint)
    return commands.Result(codes.Code.ACCEPTED, index=index)


def free_share(endpoint: state_lib.Endpoint) -> state_lib.Share:
    """Returns what of an endpoint is granted to no session."""
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
    endpoint = state.endpoint_by_id.get(command.endpoint)
    if endpoint is None:
        return commands.Result(codes.Code.NO_SUCH_OBJECT, command.endpoint)
    if command.session not in state.session_by_id:
        return commands.Result(codes.Code.SESSION_ENDED)
    held = endpoint.share_by_session.get(command.session, state_lib.Share(0, 0))
    if held.version != command.expected_version:
        return commands.Result(codes.Code.STALE_EPOCH, str(held.version))
    free = free_share(endpoint)
    if (
        command.slots - held.slots > max(free.slots, 0)
        or command.connections - held.connections > max(free.connections, 0)
        or min(command.slots, command.connections) < 0
    ):
        return commands.Result(codes.Code.OVER_CAPACITY, command.endpoint)
    share = state_lib.Share(command.slots, command.connections, index)
    endpoint.share_by_session[command.session] = share
    if share.slots == 0:
        del endpoint.share_by_session[command.session]
    state.view_version = index
    return commands.Result(codes.Code.ACCEPTED, index=index)
