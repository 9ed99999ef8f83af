"""Whether this process may found the deployment, and whom it has chosen to do so.

A deployment is founded once: two quorums would accept jobs and configurations that
don't know of each other. One process decides who founds it, the first seed of the first
start, and decides once. The settings name that start only to a process's first life,
which may end before the deployment has been founded. So what they say, and the
decision, are stored on the disk before anything follows from them. A process without a
disk has them for one life only.
"""

import pathlib

import msgspec

from fulmarrouter import durable_files
from fulmarrouter import errors
from fulmarrouter import logs
from fulmarrouter.cluster import membership

FILE_NAME = "founding.json"


class _Record(msgspec.Struct, frozen=True):
    """What is stored.

    Attributes:
        may_found: Whether the deployment may still have to be founded.
        decides: Whether this process chooses the founder.
        founder: The keeper that it has chosen, or an empty string.
    """

    may_found: bool = False
    decides: bool = False
    founder: str = ""


class Founding:
    """The part that a process has in the founding of its deployment.

    Args:
        folder: The data folder, None for a process without a disk.
        found_deployment: Whether the settings say that this is the first start of
            the deployment.
        is_first_seed: Whether the settings name this process as the first seed.

    Raises:
        StorageError: The folder can't be read or written.
    """

    def __init__(
        self,
        folder: pathlib.Path | None,
        found_deployment: bool,
        is_first_seed: bool,
    ) -> None:
        self._path = folder / FILE_NAME if folder is not None else None
        self._record = self._load()
        if found_deployment:
            decides = is_first_seed or self._record.decides
            self._store(_Record(True, decides, self._record.founder))

    @property
    def may_found(self) -> bool:
        """Whether this process may found the deployment."""
        return self._record.may_found

    def choose_founder(
        self,
        now: float,
        announcements: membership.Announcements,
        wanted_voters: int,
    ) -> str:
        """Returns the keeper that must found the quorum, or an empty string.

        To be called while no leader is known. The choice is kept.

        Args:
            now: Monotonic time.
            announcements: The keepers that have announced themselves.
            wanted_voters: Number of keepers that are to vote.
        """
        record = self._record
        if not (record.may_found and record.decides):
            return ""
        if not record.founder:
            chosen = announcements.choose_founder(now, wanted_voters)
            if not chosen or not self._try_store(
                msgspec.structs.replace(record, founder=chosen)
            ):
                return ""
        return self._record.founder

    def settle(self) -> None:
        """Notes that the deployment has a leader, and so has been founded.

        Nothing depends on whether that can be stored: a decision stays the same.
        """
        if self._record.may_found:
            self._try_store(_Record())
            self._record = _Record()

    def _load(self) -> _Record:
        if self._path is None or not self._path.exists():
            return _Record()
        try:
            return msgspec.json.decode(self._path.read_bytes(), type=_Record)
        except (OSError, msgspec.DecodeError) as error:
            raise errors.StorageError(f"{self._path}: {error}") from error

    def _try_store(self, record: _Record) -> bool:
        """Stores a record; returns whether the disk has taken it."""
        try:
            self._store(record)
        except errors.StorageError as error:
            logs.new_logger().warning("founding not stored", error=str(error))
            return False
        return True

    def _store(self, record: _Record) -> None:
        if self._path is not None:
            try:
                self._path.parent.mkdir(parents=True, exist_ok=True)
                durable_files.replace(self._path, msgspec.json.encode(record))
            except OSError as error:
                raise errors.StorageError(f"{self._path}: {error}") from error
        self._record = record
