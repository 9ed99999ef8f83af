"""Frames between processes: Cap'n Proto envelopes with a length prefix."""

from collections.abc import Callable
import pathlib
import struct
from typing import Any
from typing import cast

import capnp
import msgspec

from fulmarrouter import commands
from fulmarrouter import errors
from fulmarrouter import ids
from fulmarrouter import messages

PROTOCOL_VERSION = 1
MAX_FRAME_BYTES = 16 << 20
LENGTH_PREFIX = struct.Struct("<I")

capnp.remove_import_hook()
_SCHEMA = capnp.load(str(pathlib.Path(__file__).with_name("wire.capnp")))


class Ping(msgspec.Struct, frozen=True):
    """Sent on an otherwise idle connection to show that it still works."""


class Call(msgspec.Struct, frozen=True):
    """A request on a connection; the payload is an encoded request."""

    id: ids.CallId
    payload: bytes


class CallReply(msgspec.Struct, frozen=True):
    """The reply to the call with the same id on the same connection."""

    id: ids.CallId
    payload: bytes


Body = Ping | Call | CallReply | messages.AnyMessage


class Envelope(msgspec.Struct, frozen=True):
    """A decoded frame."""

    sender: str
    body: Body


Reader = Callable[[Any], Body]
READER_BY_FIELD: dict[str, Reader] = {}


def _reader_of(field: str) -> Callable[[Reader], Reader]:
    """Registers a function as the reader of a field of the body union."""

    def register(reader: Reader) -> Reader:
        READER_BY_FIELD[field] = reader
        return reader

    return register


def encode(sender: str, body: Body) -> bytes:
    """Encodes a frame, including its length prefix.

    Raises:
        WireError: The frame is larger than MAX_FRAME_BYTES.
    """
    envelope = _SCHEMA.Envelope.new_message(
        version=PROTOCOL_VERSION, sender=sender
    )
    _write_body(envelope.body, body)
    data = cast(bytes, envelope.to_bytes())
    if len(data) > MAX_FRAME_BYTES:
        raise errors.WireError(f"frame of {len(data)} bytes is too large")
    return LENGTH_PREFIX.pack(len(data)) + data


def decode(data: bytes) -> Envelope:
    """Decodes a frame without its length prefix.

    Raises:
        WireError: The frame is malformed, or its protocol version or the type
            of its body is not supported.
    """
    try:
        with _SCHEMA.Envelope.from_bytes(
            data, traversal_limit_in_words=MAX_FRAME_BYTES
        ) as envelope:
            if envelope.version != PROTOCOL_VERSION:
                raise errors.WireError(
                    f"unsupported protocol version {envelope.version}"
                )
            field = str(envelope.body.which())
            reader = READER_BY_FIELD.get(field)
            if reader is None:
                raise errors.WireError(f"unknown body type {field}")
            body = reader(getattr(envelope.body, field))
            return Envelope(envelope.sender, body)
    except (capnp.KjException, ValueError) as error:
        raise errors.WireError(f"malformed frame: {error}") from error


def _write_body(target: Any, body: Body) -> None:
    match body:
        case Ping():
            target.ping = None
        case Call():
            call = target.init("call")
            call.id = body.id
            call.payload = body.payload
        case CallReply():
            reply = target.init("reply")
            reply.id = body.id
            reply.payload = body.payload
        case messages.Append():
            _write_append(target.init("append"), body)
        case messages.AppendReply():
            message = target.init("appendReply")
            message.term = body.term
            message.success = body.success
            message.matchIndex = body.match_index
            message.round = body.round
            message.blank = body.blank
            message.prevIndex = body.prev_index
        case messages.VoteRequest():
            message = target.init("voteRequest")
            message.term = body.term
            message.lastIndex = body.last_index
            message.lastTerm = body.last_term
            message.pre = body.pre
        case messages.VoteReply():
            message = target.init("voteReply")
            message.term = body.term
            message.granted = body.granted
            message.pre = body.pre
        case messages.SnapshotChunk():
            _write_snapshot_chunk(target.init("snapshotChunk"), body)
        case messages.SnapshotReply():
            message = target.init("snapshotReply")
            message.term = body.term
            message.lastIndex = body.last_index
            message.offset = body.offset
            message.done = body.done
            message.round = body.round
        case messages.TransferLeadership():
            target.init("transferLeadership").term = body.term


def _write_append(message: Any, body: messages.Append) -> None:
    message.term = body.term
    message.prevIndex = body.prev_index
    message.prevTerm = body.prev_term
    message.commit = body.commit
    message.round = body.round
    entries = message.init("entries", len(body.entries))
    for target, entry in zip(entries, body.entries, strict=True):
        target.index = entry.index
        target.term = entry.term
        target.kind = entry.kind.value
        target.data = entry.data


def _write_snapshot_chunk(message: Any, body: messages.SnapshotChunk) -> None:
    message.term = body.term
    message.lastIndex = body.last_index
    message.lastTerm = body.last_term
    _write_addresses(message, "voters", body.membership.voters)
    _write_addresses(message, "learners", body.membership.learners)
    message.offset = body.offset
    message.data = body.data
    message.done = body.done
    message.toLearner = body.to_learner
    message.round = body.round


def _write_addresses(
    message: Any, field: str, addresses: tuple[commands.KeeperAddress, ...]
) -> None:
    for target, address in zip(
        message.init(field, len(addresses)), addresses, strict=True
    ):
        target.keeper = address.keeper
        target.host = address.host
        target.port = address.port


def _read_addresses(addresses: Any) -> tuple[commands.KeeperAddress, ...]:
    return tuple(
        commands.KeeperAddress(address.keeper, address.host, address.port)
        for address in addresses
    )


@_reader_of("ping")
def _read_ping(message: Any) -> Body:
    del message
    return Ping()


@_reader_of("call")
def _read_call(message: Any) -> Body:
    return Call(message.id, bytes(message.payload))


@_reader_of("reply")
def _read_reply(message: Any) -> Body:
    return CallReply(message.id, bytes(message.payload))


@_reader_of("append")
def _read_append(message: Any) -> Body:
    entries = tuple(
        messages.Entry(
            entry.index,
            entry.term,
            messages.EntryKind(entry.kind),
            bytes(entry.data),
        )
        for entry in message.entries
    )
    return messages.Append(
        term=message.term,
        prev_index=message.prevIndex,
        prev_term=message.prevTerm,
        commit=message.commit,
        round=message.round,
        entries=entries,
    )


@_reader_of("appendReply")
def _read_append_reply(message: Any) -> Body:
    return messages.AppendReply(
        term=message.term,
        success=message.success,
        match_index=message.matchIndex,
        prev_index=message.prevIndex,
        round=message.round,
        blank=message.blank,
    )


@_reader_of("voteRequest")
def _read_vote_request(message: Any) -> Body:
    return messages.VoteRequest(
        term=message.term,
        last_index=message.lastIndex,
        last_term=message.lastTerm,
        pre=message.pre,
    )


@_reader_of("voteReply")
def _read_vote_reply(message: Any) -> Body:
    return messages.VoteReply(
        term=message.term, granted=message.granted, pre=message.pre
    )


@_reader_of("snapshotChunk")
def _read_snapshot_chunk(message: Any) -> Body:
    return messages.SnapshotChunk(
        term=message.term,
        last_index=message.lastIndex,
        last_term=message.lastTerm,
        membership=messages.Membership(
            _read_addresses(message.voters), _read_addresses(message.learners)
        ),
        offset=message.offset,
        data=bytes(message.data),
        done=message.done,
        to_learner=message.toLearner,
        round=message.round,
    )


@_reader_of("snapshotReply")
def _read_snapshot_reply(message: Any) -> Body:
    return messages.SnapshotReply(
        term=message.term,
        last_index=message.lastIndex,
        offset=message.offset,
        done=message.done,
        round=message.round,
    )


@_reader_of("transferLeadership")
def _read_transfer_leadership(message: Any) -> Body:
    return messages.TransferLeadership(term=message.term)
