"""Storage of a keeper: a log of checksummed records and one snapshot.

Each sync of the log covers exactly one record, so a crash can damage only the
last record. Such a record is truncated on load. A damaged record that is
followed by a valid one can't be the result of a crash, so the keeper refuses to
start.
"""

from collections.abc import Sequence
import os
import pathlib
import struct
import zlib

import msgspec

from fulmarrouter import consensus
from fulmarrouter import durable_files
from fulmarrouter import errors
from fulmarrouter import messages
from fulmarrouter import raft_log

LOG_FILE_NAME = "log"
SNAPSHOT_FILE_NAME = "snapshot"
_MAGIC = b"FLG1"
_HEADER = struct.Struct("<4sII")
FORMAT_VERSION = 1


class _Record(msgspec.Struct, frozen=True, array_like=True):
    """Payload of one log record."""

    hard_state: consensus.HardState | None
    entries: tuple[messages.Entry, ...]


class _SnapshotFile(msgspec.Struct, frozen=True, array_like=True):
    """Payload of the snapshot file."""

    version: int
    snapshot: raft_log.SnapshotData


_ENCODER = msgspec.msgpack.Encoder()
_RECORD_DECODER = msgspec.msgpack.Decoder(_Record)
_SNAPSHOT_DECODER = msgspec.msgpack.Decoder(_SnapshotFile)


def _encode_record(payload: bytes) -> bytes:
    """Prepends a header of magic number, payload length and CRC-32."""
    return _HEADER.pack(_MAGIC, len(payload), zlib.crc32(payload)) + payload


def _read_record(data: bytes, offset: int) -> bytes | None:
    """Returns the payload of the record at an offset, None if it is invalid."""
    if offset + _HEADER.size > len(data):
        return None
    magic, length, checksum = _HEADER.unpack_from(data, offset)
    payload_start = offset + _HEADER.size
    payload = data[payload_start : payload_start + length]
    if magic != _MAGIC or len(payload) != length:
        return None
    if zlib.crc32(payload) != checksum:
        return None
    return payload


def _has_valid_record_after(data: bytes, offset: int) -> bool:
    """Returns whether a valid record starts anywhere after an offset."""
    position = data.find(_MAGIC, offset + 1)
    while position != -1:
        if _read_record(data, position) is not None:
            return True
        position = data.find(_MAGIC, position + 1)
    return False


def _merge_entries(
    entries: list[messages.Entry], added: tuple[messages.Entry, ...]
) -> list[messages.Entry]:
    """Appends entries to a log, after dropping those that they overwrite.

    All entries from the index of the first added one on are overwritten.

    Raises:
        CorruptStorageError: There is a gap between the two lists.
    """
    if not added:
        return entries
    kept = entries
    if entries and added[0].index <= entries[-1].index:
        kept = entries[: max(0, added[0].index - entries[0].index)]
    if kept and added[0].index != kept[-1].index + 1:
        raise errors.CorruptStorageError(
            f"log entry {added[0].index} follows entry {kept[-1].index}"
        )
    kept.extend(added)
    return kept


def merge_outputs(outputs: Sequence[consensus.Output]) -> consensus.Output:
    """Merges outputs without snapshots into one, to be stored as one record.

    Each sync has to cover a single record. A crash may keep any part of what is
    not synced yet, and loading treats a damaged record as the result of a crash
    only if it is the last one.
    """
    merged = consensus.Output()
    for output in outputs:
        assert output.installed is None
        if output.hard_state is not None:
            merged.hard_state = output.hard_state
        merged.entries = _merge_entries(merged.entries, tuple(output.entries))
    return merged


class Storage:
    """The data folder of one keeper. Not thread-safe."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.folder = folder
        self.bytes_written = 0
        self.syncs = 0
        self._log_descriptor: int = -1
        self._synced_size = 0
        self._hard_state = consensus.HardState()
        try:
            folder.mkdir(parents=True, exist_ok=True)
        except OSError as error:
            raise errors.StorageError(f"{folder}: {error}") from error

    def load(self) -> consensus.PersistentState:
        """Loads the stored state and opens the log for writing.

        Truncates a damaged record at the end of the log.

        Raises:
            CorruptStorageError: The snapshot or a record before the last one is
                damaged, or entries are missing.
            StorageError: The folder can't be read or written.
        """
        try:
            snapshot = self._load_snapshot()
            entries = self._load_log()
            self._open_log()
        except OSError as error:
            raise errors.StorageError(f"{self.folder}: {error}") from error
        entries_after_snapshot = [
            entry for entry in entries if entry.index > snapshot.last_index
        ]
        if (
            entries_after_snapshot
            and entries_after_snapshot[0].index != snapshot.last_index + 1
        ):
            raise errors.CorruptStorageError(
                f"log starts at {entries_after_snapshot[0].index}, snapshot"
                f" ends at {snapshot.last_index}"
            )
        return consensus.PersistentState(
            self._hard_state, snapshot, tuple(entries_after_snapshot)
        )

    def write(
        self,
        output: consensus.Output,
        retained: list[messages.Entry],
    ) -> None:
        """Stores and syncs a replica's output.

        Args:
            output: What the replica wants stored.
            retained: If the output installs a snapshot, the entries that follow
                it and become the new log; otherwise ignored.

        Raises:
            StorageError: The write failed. Nothing in this output may be
                acknowledged.
        """
        try:
            if output.hard_state is not None:
                self._hard_state = output.hard_state
            if output.installed is not None:
                self._write_snapshot(output.installed)
                self._rewrite_log(retained)
                return
            payload = _ENCODER.encode(
                _Record(output.hard_state, tuple(output.entries))
            )
            self._append_record(payload)
        except OSError as error:
            raise errors.StorageError(f"{self.folder}: {error}") from error

    def store_snapshot(
        self, snapshot: raft_log.SnapshotData, entries: list[messages.Entry]
    ) -> None:
        """Replaces the snapshot, and the log by the entries that follow it."""
        try:
            self._write_snapshot(snapshot)
            self._rewrite_log(entries)
        except OSError as error:
            raise errors.StorageError(f"{self.folder}: {error}") from error

    def close(self) -> None:
        """Closes the log."""
        if self._log_descriptor >= 0:
            os.close(self._log_descriptor)
            self._log_descriptor = -1

    def _load_snapshot(self) -> raft_log.SnapshotData:
        path = self.folder / SNAPSHOT_FILE_NAME
        if not path.exists():
            return raft_log.SnapshotData()
        payload = _read_record(path.read_bytes(), 0)
        if payload is None:
            raise errors.CorruptStorageError(f"{path}: damaged snapshot")
        stored = _SNAPSHOT_DECODER.decode(payload)
        if stored.version != FORMAT_VERSION:
            raise errors.CorruptStorageError(
                f"{path}: format version {stored.version}, expected"
                f" {FORMAT_VERSION}"
            )
        return stored.snapshot

    def _load_log(self) -> list[messages.Entry]:
        path = self.folder / LOG_FILE_NAME
        if not path.exists():
            return []
        data = path.read_bytes()
        entries: list[messages.Entry] = []
        offset = 0
        while offset < len(data):
            payload = _read_record(data, offset)
            if payload is None:
                self._truncate_damaged_tail(path, data, offset)
                break
            record = _RECORD_DECODER.decode(payload)
            if record.hard_state is not None:
                self._hard_state = record.hard_state
            entries = _merge_entries(entries, record.entries)
            offset += _HEADER.size + len(payload)
        return entries

    def _truncate_damaged_tail(
        self, path: pathlib.Path, data: bytes, offset: int
    ) -> None:
        if _has_valid_record_after(data, offset):
            raise errors.CorruptStorageError(
                f"{path}: damaged record at byte {offset} is followed by valid"
                " records"
            )
        with path.open("r+b") as file:
            file.truncate(offset)
            os.fsync(file.fileno())

    def _open_log(self) -> None:
        flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
        self._log_descriptor = os.open(
            self.folder / LOG_FILE_NAME, flags, 0o600
        )
        # A process that was killed may have written records without a sync.
        os.fdatasync(self._log_descriptor)
        durable_files.sync_folder(self.folder)
        self._synced_size = os.fstat(self._log_descriptor).st_size

    def _append_record(self, payload: bytes) -> None:
        data = _encode_record(payload)
        if os.fstat(self._log_descriptor).st_size > self._synced_size:
            # Removes what a failed write has left. Its pages may never reach the
            # disk, even if a later sync succeeds, and no valid record may follow
            # a damaged one.
            os.ftruncate(self._log_descriptor, self._synced_size)
        written = 0
        while written < len(data):
            written += os.write(self._log_descriptor, data[written:])
        self.bytes_written += len(data)
        os.fdatasync(self._log_descriptor)
        self._synced_size += len(data)
        self.syncs += 1

    def _write_snapshot(self, snapshot: raft_log.SnapshotData) -> None:
        payload = _ENCODER.encode(_SnapshotFile(FORMAT_VERSION, snapshot))
        self._replace_file(SNAPSHOT_FILE_NAME, _encode_record(payload))

    def _rewrite_log(self, entries: list[messages.Entry]) -> None:
        payload = _ENCODER.encode(_Record(self._hard_state, tuple(entries)))
        self.close()
        self._replace_file(LOG_FILE_NAME, _encode_record(payload))
        self._open_log()

    def _replace_file(self, name: str, data: bytes) -> None:
        """Replaces a file atomically and durably."""
        durable_files.replace(self.folder / name, data)
        self.bytes_written += len(data)
        self.syncs += 1


def initialize(
    folder: pathlib.Path, membership: messages.Membership, state: bytes
) -> bool:
    """Stores the initial snapshot of a new quorum in an empty data folder.

    Returns:
        False if the folder already holds log entries or a snapshot; they are
        kept.
    """
    storage = Storage(folder)
    saved = storage.load()
    is_empty = saved.snapshot.last_index == 0 and not saved.entries
    if is_empty:
        snapshot = raft_log.SnapshotData(1, 1, membership, state)
        storage.store_snapshot(snapshot, [])
    storage.close()
    return is_empty
