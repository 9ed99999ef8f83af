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
LENGTH = struct.Struct("<I")

capnp.remove_import_hook()
_SCHEMA = capnp.load(str(pathlib.Path(__file__).with_name("wire.capnp")))


class Ping(msgspec.Struct, frozen=True):
    """Keeps a connection known to be alive."""


class Call(msgspec.Struct, frozen=True):
    """A request on a connection; the payload is an encoded request."""

    id: ids.CallId
    payload: bytes


class CallReply(msgspec.Struct, frozen=True):
    """The reply to the call with the same number on the same connection."""

    id: ids.CallId
    payload: bytes


Body = Ping | Call | CallReply | messages.AnyMessage


class Envelope(msgspec.Struct, frozen=True):
    """A decoded frame."""

    sender: str
    body: Body


Reader = Callable[[Any], Body]
READER_BY_FIELD: dict[str, Reader] = {}


def _reads(field: str) -> Callable[[Reader], Reader]:
    def register(reader: Reader) -> Reader:
        READER_BY_FIELD[field] = reader
        return reader

    return register


def encode(sender: str, body: Body) -> bytes:
    """Encodes a frame, length prefix included."""
    envelope = _SCHEMA.Envelope.new_message(
        version=PROTOCOL_VERSION, sender=sender
    )
    _write_body(envelope.body, body)
    data = cast(bytes, envelope.to_bytes())
    if len(data) > MAX_FRAME_BYTES:
        raise errors.WireError(f"frame of {len(data)} bytes")
    return LENGTH.pack(len(data)) + data


def decode(data: bytes) -> Envelope:
    """Decodes a frame without its length prefix.

    Raises:
        WireError: The frame has another version or holds no known body.
    """
    try:
        with _SCHEMA.Envelope.from_bytes(
            data, traversal_limit_in_words=MAX_FRAME_BYTES
        ) as envelope:
            if envelope.version != PROTOCOL_VERSION:
                raise errors.WireError(f"protocol version {envelope.version}")
            field = str(envelope.body.which())
            reader = READER_BY_FIELD.get(field)
            if reader is None:
                raise errors.WireError(f"unknown body {field}")
            body = reader(getattr(envelope.body, field))
            return Envelope(envelope.sender, body)
    except (capnp.KjException, ValueError) as error:
        raise errors.WireError(f"damaged frame: {error}") from error


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
            item = target.init("appendReply")
            item.term = body.term
            item.success = body.success
            item.matchIndex = body.match_index
            item.round = body.round
            item.blank = body.blank
            item.prevIndex = body.prev_index
        case messages.VoteRequest():
            item = target.init("voteRequest")
            item.term = body.term
            item.lastIndex = body.last_index
            item.lastTerm = body.last_term
            item.pre = body.pre
        case messages.VoteReply():
            item = target.init("voteReply")
            item.term = body.term
            item.granted = body.granted
            item.pre = body.pre
        case messages.SnapshotChunk():
            _write_chunk(target.init("snapshotChunk"), body)
        case messages.SnapshotReply():
            item = target.init("snapshotReply")
            item.term = body.term
            item.lastIndex = body.last_index
            item.offset = body.offset
            item.done = body.done
            item.round = body.round
        case messages.TransferLeadership():
            target.init("transferLeadership").term = body.term


def _write_append(item: Any, body: messages.Append) -> None:
    item.term = body.term
    item.prevIndex = body.prev_index
    item.prevTerm = body.prev_term
    item.commit = body.commit
    item.round = body.round
    entries = item.init("entries", len(body.entries))
    for target, entry in zip(entries, body.entries, strict=True):
        target.index = entry.index
        target.term = entry.term
        target.kind = entry.kind.value
        target.data = entry.data


def _write_chunk(item: Any, body: messages.SnapshotChunk) -> None:
    item.term = body.term
    item.lastIndex = body.last_index
    item.lastTerm = body.last_term
    _write_addresses(item, "voters", body.membership.voters)
    _write_addresses(item, "learners", body.membership.learners)
    item.offset = body.offset
    item.data = body.data
    item.done = body.done
    item.toLearner = body.to_learner
    item.round = body.round


def _write_addresses(
    item: Any, field: str, addresses: tuple[commands.KeeperAddress, ...]
) -> None:
    for target, address in zip(
        item.init(field, len(addresses)), addresses, strict=True
    ):
        target.keeper = address.keeper
        target.host = address.host
        target.port = address.port


def _read_addresses(items: Any) -> tuple[commands.KeeperAddress, ...]:
    return tuple(
        commands.KeeperAddress(item.keeper, item.host, item.port)
        for item in items
    )


@_reads("ping")
def _read_ping(item: Any) -> Body:
    del item
    return Ping()


@_reads("call")
def _read_call(item: Any) -> Body:
    return Call(item.id, bytes(item.payload))


@_reads("reply")
def _read_reply(item: Any) -> Body:
    return CallReply(item.id, bytes(item.payload))


@_reads("append")
def _read_append(item: Any) -> Body:
    entries = tuple(
        messages.Entry(
            entry.index,
            entry.term,
            messages.EntryKind(entry.kind),
            bytes(entry.data),
        )
        for entry in item.entries
    )
    return messages.Append(
        term=item.term,
        prev_index=item.prevIndex,
        prev_term=item.prevTerm,
        commit=item.commit,
        round=item.round,
        entries=entries,
    )


@_reads("appendReply")
def _read_append_reply(item: Any) -> Body:
    return messages.AppendReply(
        term=item.term,
        success=item.success,
        match_index=item.matchIndex,
        prev_index=item.prevIndex,
        round=item.round,
        blank=item.blank,
    )


@_reads("voteRequest")
def _read_vote_request(item: Any) -> Body:
    return messages.VoteRequest(
        term=item.term,
        last_index=item.lastIndex,
        last_term=item.lastTerm,
        pre=item.pre,
    )


@_reads("voteReply")
def _read_vote_reply(item: Any) -> Body:
    return messages.VoteReply(
        term=item.term, granted=item.granted, pre=item.pre
    )


@_reads("snapshotChunk")
def _read_chunk(item: Any) -> Body:
    return messages.SnapshotChunk(
        term=item.term,
        last_index=item.lastIndex,
        last_term=item.lastTerm,
        membership=messages.Membership(
            _read_addresses(item.voters), _read_addresses(item.learners)
        ),
        offset=item.offset,
        data=bytes(item.data),
        done=item.done,
        to_learner=item.toLearner,
        round=item.round,
    )


@_reads("snapshotReply")
def _read_snapshot_reply(item: Any) -> Body:
    return messages.SnapshotReply(
        term=item.term,
        last_index=item.lastIndex,
        offset=item.offset,
        done=item.done,
        round=item.round,
    )


@_reads("transferLeadership")
def _read_transfer(item: Any) -> Body:
    return messages.TransferLeadership(term=item.term)
