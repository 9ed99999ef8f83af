"""Steps for invariants under faults, the data folder, settings and frames."""

import errno
import json
import os
import pathlib
import random
import re
import threading
from typing import Any
from unittest import mock

import behave
import hypothesis
from hypothesis import strategies
import yaml

from features.support import histories
from features.support import mutations
from fulmarrouter import codes
from fulmarrouter import commands
from fulmarrouter import consensus
from fulmarrouter import errors
from fulmarrouter import keeper
from fulmarrouter import messages
from fulmarrouter import raft_log
from fulmarrouter import settings as settings_lib
from fulmarrouter import storage
from fulmarrouter import wire

EXAMPLES_FOLDER = pathlib.Path(__file__).parents[2] / "examples"
DOCS_FOLDER = pathlib.Path(__file__).parents[2] / "docs"
INITIAL_MEMBERSHIP = messages.Membership(
    (commands.KeeperAddress("k1", "127.0.0.1", 1),)
)


def derandomized(examples: int) -> Any:
    """Returns Hypothesis settings that generate the same examples each run."""
    return hypothesis.settings(
        max_examples=examples, derandomize=True, deadline=None, database=None
    )


# Fault histories.


@behave.when("{examples:d} histories of {faults:d} faults are run")
def run_histories(context: Any, examples: int, faults: int) -> None:
    context.violation = None
    histories.run_machine(examples, faults)


def _run_seeds(kind: str, first: int, last: int) -> str | None:
    for seed in range(first, last + 1):
        try:
            histories.RUN_BY_KIND[kind](seed)
        except AssertionError as error:
            return f"seed {seed}: {error}"
    return None


@behave.when(
    'the "{kind}" histories with seeds from {first:d} to {last:d} are run'
)
def run_seeds(context: Any, kind: str, first: int, last: int) -> None:
    context.violation = _run_seeds(kind, first, last)


@behave.when(
    'the mutation "{mutation}" is applied and the "{kind}" histories with seeds from {first:d} to'
    " {last:d} are run"
)
def run_mutated(
    context: Any, mutation: str, kind: str, first: int, last: int
) -> None:
    with mutations.applied(mutation):
        context.violation = _run_seeds(kind, first, last)


@behave.when(
    'the starts of terms in "{kind}" histories with seeds from {first:d} to'
    " {last:d} are recorded"
)
def record_term_starts(context: Any, kind: str, first: int, last: int) -> None:
    context.indexes_at_start = []
    original = keeper.Keeper._update_role

    def update_role(self: keeper.Keeper, now: float, wall_ms: int) -> None:
        was_active = self._is_active_leader
        original(self, now, wall_ms)
        if self._is_active_leader and not was_active:
            context.indexes_at_start.append(
                (self.replica.applied_index, self.replica.commit_index)
            )

    with mock.patch.object(keeper.Keeper, "_update_role", update_role):
        context.violation = _run_seeds(kind, first, last)


@behave.then("none has preceded a committed entry")
def no_early_start(context: Any) -> None:
    early = [
        (applied, committed)
        for applied, committed in context.indexes_at_start
        if applied < committed
    ]
    assert context.indexes_at_start
    assert not early, early
    assert context.violation is None, context.violation


@behave.then("no invariant is broken")
def no_invariant_broken(context: Any) -> None:
    assert context.violation is None, context.violation


@behave.then("an invariant is broken")
def invariant_broken(context: Any) -> None:
    assert context.violation is not None


@behave.given("a leader that has been rejected by a follower")
def elect_leader(context: Any) -> None:
    names = ("k1", "k2", "k3")
    membership = messages.Membership(
        tuple(commands.KeeperAddress(name, "127.0.0.1", 1) for name in names)
    )
    snapshot = raft_log.SnapshotData(1, 1, membership, b"")
    saved = consensus.PersistentState(consensus.HardState(), snapshot, ())
    replica = consensus.Replica(
        "k1", saved, consensus.Timing(), random.Random(1), 0.0
    )
    replica.tick(10.0)
    replica.step(10.0, "k2", messages.VoteReply(term=1, granted=True, pre=True))
    replica.step(
        10.0, "k2", messages.VoteReply(term=1, granted=True, pre=False)
    )
    assert replica.is_leader
    for number in range(5):
        replica.propose(b"%d" % number)
    replica.flush(10.0)
    replica.take_output()
    context.replica = replica


@behave.when("the same rejection arrives {count:d} times")
def receive_rejection(context: Any, count: int) -> None:
    rejection = messages.AppendReply(
        term=1, success=False, match_index=0, prev_index=1, round=0, blank=False
    )
    for _ in range(count):
        context.replica.step(10.0, "k2", rejection)


@behave.then("at most {limit:d} messages are sent to the follower")
def few_messages_sent(context: Any, limit: int) -> None:
    output = context.replica.take_output()
    sent = [item for item in output.before_sync if item.to == "k2"]
    assert len(sent) <= limit, len(sent)


# Data folder.


def _write_log(folder: pathlib.Path, records: int) -> storage.Storage:
    storage.initialize(folder, INITIAL_MEMBERSHIP, b"state")
    store = storage.Storage(folder)
    store.load()
    for index in range(2, 2 + records):
        _append(store, index)
    return store


def _append(store: storage.Storage, index: int) -> None:
    entry = messages.Entry(index, 1, messages.EntryKind.COMMAND, b"x" * 20)
    store.write(consensus.Output(entries=[entry]), [])


@behave.given("a log of {records:d} synced records")
def write_log(context: Any, records: int) -> None:
    context.store = _write_log(context.folder / "data", records)
    context.log_path = context.folder / "data" / storage.LOG_FILE_NAME


@behave.when("nothing happens")
def leave_log_undamaged(context: Any) -> None:
    del context


@behave.when("the last {count:d} bytes are cut off")
def truncate_log(context: Any, count: int) -> None:
    data = context.log_path.read_bytes()
    context.log_path.write_bytes(data[:-count])


def _flip_bit(path: pathlib.Path, position: int) -> None:
    data = bytearray(path.read_bytes())
    data[position] ^= 0x40
    path.write_bytes(bytes(data))


@behave.when("a bit of the last record is flipped")
def flip_bit_of_last_record(context: Any) -> None:
    _flip_bit(context.log_path, context.log_path.stat().st_size - 5)


@behave.when("a bit of record {number:d} is flipped")
def flip_bit_of_record(context: Any, number: int) -> None:
    data = context.log_path.read_bytes()
    starts = [match.start() for match in re.finditer(b"FLG1", data)]
    # A record starts with a header of 12 bytes; this byte is in its payload.
    _flip_bit(context.log_path, starts[number] + 14)


@behave.when("the snapshot is damaged")
def damage_snapshot(context: Any) -> None:
    _flip_bit(context.folder / "data" / storage.SNAPSHOT_FILE_NAME, 20)


@behave.when("garbage follows the last record")
def append_garbage(context: Any) -> None:
    with context.log_path.open("ab") as file:
        file.write(b"FLG1garbage")


@behave.then("loading the data folder gives {count:d} entries")
def load_gives_entries(context: Any, count: int) -> None:
    context.store.close()
    saved = storage.Storage(context.folder / "data").load()
    assert len(saved.entries) == count, len(saved.entries)


@behave.then("loading the data folder is refused")
def load_is_refused(context: Any) -> None:
    try:
        storage.Storage(context.folder / "data").load()
    except errors.CorruptStorageError:
        return
    raise AssertionError("a damaged log was loaded")


@behave.when("a write fails with {name}")
def fail_write(context: Any, name: str) -> None:
    failure = OSError(getattr(errno, name), name)
    context.is_failure_reported = False
    with mock.patch.object(os, "write", side_effect=failure):
        try:
            _append(context.store, 5)
        except errors.StorageError:
            context.is_failure_reported = True


@behave.then("the write is reported as failed")
def write_failure_reported(context: Any) -> None:
    assert context.is_failure_reported


@behave.when("a sync fails with {name} and the record is written again")
def fail_sync(context: Any, name: str) -> None:
    failure = OSError(getattr(errno, name), name)
    context.record_count = _count_records(context.log_path)
    is_failure_reported = False
    with mock.patch.object(os, "fdatasync", side_effect=failure):
        try:
            _append(context.store, 5)
        except errors.StorageError:
            is_failure_reported = True
    assert is_failure_reported
    _append(context.store, 5)


def _count_records(path: pathlib.Path) -> int:
    return len(re.findall(b"FLG1", path.read_bytes()))


@behave.then("the log holds one more record than before")
def one_more_record(context: Any) -> None:
    found = _count_records(context.log_path)
    assert found == context.record_count + 1, found


@behave.when("the data folder is loaded by another process")
def load_again(context: Any) -> None:
    context.synced_inodes = []

    def record_sync(descriptor: int) -> None:
        context.synced_inodes.append(os.fstat(descriptor).st_ino)

    with mock.patch.object(os, "fdatasync", side_effect=record_sync):
        storage.Storage(context.folder / "data").load()


@behave.then("the log is synced before it is used")
def log_is_synced(context: Any) -> None:
    inode = context.log_path.stat().st_ino
    assert inode in context.synced_inodes, context.synced_inodes


@behave.when("{examples:d} random logs are truncated at random places")
def truncate_random_logs(context: Any, examples: int) -> None:
    folder_numbers = iter(range(10_000))

    @derandomized(examples)
    @hypothesis.given(
        records=strategies.integers(0, 8), fraction=strategies.floats(0.0, 1.0)
    )
    def check(records: int, fraction: float) -> None:
        folder = context.folder / str(next(folder_numbers))
        _write_log(folder, records).close()
        path = folder / storage.LOG_FILE_NAME
        size = path.stat().st_size
        os.truncate(path, int(size * fraction))
        saved = storage.Storage(folder).load()
        indexes = [entry.index for entry in saved.entries]
        assert indexes == list(range(2, 2 + len(indexes)))
        assert fraction < 1.0 or len(indexes) == records

    context.check = check


@behave.then("each loads as a prefix of what was written")
def prefixes_loaded(context: Any) -> None:
    context.check()


# Settings, codes and frames.


@behave.given('the example "{file}" with {key} set to {value}')
def change_example(context: Any, file: str, key: str, value: str) -> None:
    settings = yaml.safe_load((EXAMPLES_FOLDER / file).read_text())
    section = settings
    *parents, last = key.split(".")
    for parent in parents:
        section = section.setdefault(parent, {})
    section[last] = json.loads(value)
    context.path = context.folder / "settings.yaml"
    context.path.write_text(yaml.safe_dump(settings))


@behave.when("the settings are checked")
def check_settings(context: Any) -> None:
    context.problems = []
    try:
        settings_lib.load(context.path)
    except errors.SettingsError as error:
        context.problems = error.problems


@behave.then("the problems name {names}")
def problems_match(context: Any, names: str) -> None:
    expected = [] if names == "nothing" else names.split(", ")
    assert len(context.problems) == len(expected), context.problems
    for name, problem in zip(expected, context.problems, strict=True):
        assert problem.startswith(f"{context.path}: {name}:"), problem


@behave.then("all settings in examples are valid")
def examples_valid(context: Any) -> None:
    del context
    paths = sorted(EXAMPLES_FOLDER.rglob("*.yaml"))
    loaded = [
        settings_lib.load(path)
        for path in paths
        if path.parent.name != "requests"
    ]
    assert len(loaded) >= 25, len(loaded)


@behave.then("docs/CODES.md lists every result code and exit code")
def codes_documented(context: Any) -> None:
    del context
    text = (DOCS_FOLDER / "CODES.md").read_text()
    listed = set(re.findall(r"^\| (\d+) \| ([A-Z_]+) \|", text, re.MULTILINE))
    expected = {(str(code.value), code.name) for code in codes.Code}
    expected |= {(str(code.value), code.name) for code in codes.ExitCode}
    assert listed == expected, listed ^ expected


_INTEGERS = strategies.integers(0, 2**40)
_BODIES = strategies.one_of(
    strategies.builds(
        messages.VoteRequest,
        term=_INTEGERS,
        last_index=_INTEGERS,
        last_term=_INTEGERS,
        pre=strategies.booleans(),
    ),
    strategies.builds(
        messages.AppendReply,
        term=_INTEGERS,
        success=strategies.booleans(),
        match_index=_INTEGERS,
        prev_index=_INTEGERS,
        round=_INTEGERS,
        blank=strategies.booleans(),
    ),
    strategies.builds(
        messages.Append,
        term=_INTEGERS,
        prev_index=_INTEGERS,
        prev_term=_INTEGERS,
        commit=_INTEGERS,
        round=_INTEGERS,
        entries=strategies.lists(
            strategies.builds(
                messages.Entry,
                index=_INTEGERS,
                term=_INTEGERS,
                kind=strategies.sampled_from(messages.EntryKind),
                data=strategies.binary(max_size=40),
            ),
            max_size=4,
        ).map(tuple),
    ),
    strategies.builds(
        messages.SnapshotChunk,
        term=_INTEGERS,
        last_index=_INTEGERS,
        last_term=_INTEGERS,
        membership=strategies.just(INITIAL_MEMBERSHIP),
        offset=_INTEGERS,
        data=strategies.binary(max_size=40),
        done=strategies.booleans(),
        to_learner=strategies.booleans(),
        round=_INTEGERS,
    ),
    strategies.builds(
        wire.Call, id=_INTEGERS, payload=strategies.binary(max_size=40)
    ),
)


@behave.when("{examples:d} random messages are encoded and decoded")
def set_message_count(context: Any, examples: int) -> None:
    context.examples = examples


@behave.then("decoding returns each message unchanged")
def frames_round_trip(context: Any) -> None:
    @derandomized(context.examples)
    @hypothesis.given(body=_BODIES)
    def check(body: wire.Body) -> None:
        frame = wire.encode("k1", body)
        assert wire.decode(frame[wire.LENGTH_PREFIX.size :]) == wire.Envelope(
            "k1", body
        )

    check()


@behave.then("random bytes are decoded or refused as malformed")
def malformed_frames_handled(context: Any) -> None:
    @derandomized(context.examples)
    @hypothesis.given(data=strategies.binary(max_size=64))
    def check(data: bytes) -> None:
        try:
            wire.decode(data)
        except errors.WireError:
            return

    check()


def run_in_threads(actions: list[Any]) -> None:
    """Runs each function in a thread of its own and waits for all."""
    threads = [threading.Thread(target=action) for action in actions]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
