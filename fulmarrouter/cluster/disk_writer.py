"""Writes a keeper's output on a separate thread.

A slow disk thus delays neither callers nor messages from other keepers.
"""

from collections.abc import Callable
import concurrent.futures
import dataclasses
import time

from fulmarrouter import consensus
from fulmarrouter import errors
from fulmarrouter import logs
from fulmarrouter import messages
from fulmarrouter import raft_log
from fulmarrouter import storage as storage_lib

# Delay before a failed write is retried, for instance on a full disk.
RETRY_INTERVAL_S = 0.5


@dataclasses.dataclass(frozen=True)
class Batch:
    """Output that was taken from the replica at one time.

    Attributes:
        output: What is to be stored, and the messages that depend on it.
        term: The replica's term at that time.
        last_index: Last index of the log at that time.
        retained: Entries above an installed snapshot.
    """

    output: consensus.Output
    term: int
    last_index: int
    retained: list[messages.Entry]


@dataclasses.dataclass(frozen=True)
class SnapshotBatch:
    """A snapshot of the applied state and the entries that follow it."""

    snapshot: raft_log.SnapshotData
    entries: list[messages.Entry]


class DiskWriter:
    """Stores batches in order, one write at a time.

    Args:
        storage: The data folder; used only by the writer's thread.
        wake: Called on the writer's thread when a write has ended.
    """

    def __init__(
        self, storage: storage_lib.Storage, wake: Callable[[], None]
    ) -> None:
        self.log = logs.new_logger(task="disk")
        self._storage = storage
        self._wake = wake
        self._executor = concurrent.futures.ThreadPoolExecutor(
            max_workers=1, thread_name_prefix="disk"
        )
        self._queued: list[Batch | SnapshotBatch] = []
        self._in_flight: list[Batch | SnapshotBatch] = []
        self._future: concurrent.futures.Future[float] | None = None
        self._retry_at = 0.0
        self.slowest_sync_s = 0.0

    @property
    def is_idle(self) -> bool:
        """Whether all batches have been synced."""
        return self._future is None and not self._queued

    def put(self, batch: Batch | SnapshotBatch) -> None:
        """Queues a batch."""
        self._queued.append(batch)

    def poll(self, now: float) -> list[Batch]:
        """Returns the batches that have been synced and starts the next write."""
        synced: list[Batch] = []
        if self._future is not None and self._future.done():
            failure = self._future.exception()
            if failure is None:
                self.slowest_sync_s = max(
                    self.slowest_sync_s, self._future.result()
                )
                synced = [
                    item for item in self._in_flight if isinstance(item, Batch)
                ]
            elif isinstance(failure, errors.CorruptStorageError) or not (
                isinstance(failure, errors.StorageError)
            ):
                raise failure
            else:
                # Nothing of the failed write has been acknowledged, so the same
                # batches are written again.
                self.log.warning(
                    "could not write to the data folder; will retry",
                    error=str(failure),
                )
                self._queued = self._in_flight + self._queued
                self._retry_at = now + RETRY_INTERVAL_S
            self._in_flight = []
            self._future = None
        if self._future is None and self._queued and now >= self._retry_at:
            self._in_flight = self._queued
            self._queued = []
            self._future = self._executor.submit(self._write, self._in_flight)
            self._future.add_done_callback(lambda _: self._wake())
        return synced

    def close(self) -> None:
        """Waits for the write in progress and closes the data folder."""
        self._executor.shutdown(wait=True, cancel_futures=True)
        self._storage.close()

    def _write(self, batches: list[Batch | SnapshotBatch]) -> float:
        """Stores batches; returns the seconds that this took.

        Consecutive outputs without snapshots are merged into one write.
        """
        started = time.monotonic()
        mergeable: list[consensus.Output] = []
        for batch in batches:
            if isinstance(batch, Batch) and batch.output.installed is None:
                mergeable.append(batch.output)
                continue
            self._write_merged(mergeable)
            mergeable = []
            if isinstance(batch, SnapshotBatch):
                self._storage.store_snapshot(batch.snapshot, batch.entries)
            else:
                self._storage.write(batch.output, batch.retained)
        self._write_merged(mergeable)
        return time.monotonic() - started

    def _write_merged(self, outputs: list[consensus.Output]) -> None:
        if outputs:
            self._storage.write(storage_lib.merge_outputs(outputs), [])
