"""Tests of the data folder: recovery, damage and failed writes."""

import pathlib
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor

import pytest
from hypothesis import given, settings, strategies as st

from tamarackhaven import _record
from tamarackhaven._fences import FenceFile
from tamarackhaven._raft_messages import (
    Entry,
    EntryKind,
    HardState,
    Snapshot,
    WriteEntries,
    WriteHardState,
    WriteSnapshot,
)
from tamarackhaven._storage import Identity, Storage
from tamarackhaven.errors import ErrorKind, TamarackhavenError
from tests.broken_files import BrokenFiles
from tests.raft_group import Disk, membership

FIRST = Snapshot(0, 0, membership("a", "b"))
IDENTITY = Identity("a", "f1")


def entries(first, last, term=1):
    return tuple(
        Entry(index, term, EntryKind.CHANGE, b"command %d" % index)
        for index in range(first, last + 1)
    )


def create_storage(folder, files=None):
    storage = Storage.open(folder, files)
    storage.create(IDENTITY, FIRST)
    return storage


def write(storage, *writes):
    storage.write(writes)


def recover(folder):
    storage = Storage.open(folder)
    recovered = storage.recovered
    storage.close()
    return recovered


def raised_error(call, *args):
    with pytest.raises(TamarackhavenError) as caught:
        call(*args)
    return caught.value


def log_path(folder):
    return max(folder.glob("log-" + "[0-9]" * 8))


WRITE_PLANS = st.lists(
    st.tuples(
        st.sampled_from(["append", "vote", "snapshot", "reopen"]),
        st.integers(0, 6),
        st.integers(1, 3),
    ),
    max_size=12,
)


def make_write(disk, action, overlap, term):
    """Return a write that a member could make on top of the content of ``disk``."""
    term_by_index = {entry.index: entry.term for entry in disk.entries}
    base = disk.snapshot.index
    last = max(term_by_index, default=base)
    if action == "vote":
        return WriteHardState(HardState(term, "b" * overlap))
    if action == "append":
        first = max(last + 1 - overlap, base + 1)
        return WriteEntries(entries(first, first + overlap, term))
    index = max(base + 1, last + 2 - overlap)
    same_term = term_by_index.get(index, term) if overlap % 2 else term
    return WriteSnapshot(Snapshot(index, same_term, membership("a"), b"s" * overlap))


@given(WRITE_PLANS)
@settings(
    derandomize=True, deadline=None, print_blob=False, database=None, max_examples=60
)
def test_recovered_state_equals_a_simple_model(plan):
    """Compares recovered state with a simple model, after random writes and restarts.

    Each write reaches the file in several short system calls.
    """
    with tempfile.TemporaryDirectory() as name:
        files, disk = BrokenFiles(), Disk(FIRST.membership)
        files.failure = "slow"
        storage = create_storage(pathlib.Path(name), files)
        for action, overlap, term in [*plan, ("reopen", 0, 1)]:
            if action == "reopen":
                storage.close()
                storage = Storage.open(name, files)
            else:
                writes = [make_write(disk, action, overlap, term)]
                storage.write(writes)
                disk.write(writes)
            recovered = storage.recovered
            assert recovered.hard_state == disk.hard_state
            assert recovered.snapshot == disk.snapshot
            assert recovered.entries == tuple(disk.entries)
        assert len(list(pathlib.Path(name).glob("log-*"))) == 1
        storage.close()


def test_torn_record_of_any_length_is_truncated(tmp_path):
    """Guards against lost records after a crash in the middle of a write.

    For every length of the torn record, all earlier ones must be recovered, the torn
    part truncated, and records written afterwards recovered too.
    """
    storage = create_storage(tmp_path)
    write(storage, WriteEntries(entries(1, 1)))
    path = log_path(tmp_path)
    whole = path.stat().st_size
    write(storage, WriteEntries(entries(2, 3)))
    storage.close()
    data = path.read_bytes()
    for length in range(whole, len(data)):
        path.write_bytes(data[:length])
        storage = Storage.open(tmp_path)
        assert storage.recovered.entries == entries(1, 1)
        write(storage, WriteEntries(entries(2, 2, term=7)))
        storage.close()
        assert recover(tmp_path).entries == entries(1, 1) + entries(2, 2, term=7)


def test_damaged_record_is_reported_with_file_and_offset(tmp_path):
    """Guards against lost entries after damage to a synced record.

    Synced records follow the damaged one. If it were truncated like a torn tail, those
    acknowledged entries would be lost, so the member refuses to start and reports the
    file and the offset of the record. The same applies to the header, the first record
    and the identity.
    """
    storage = create_storage(tmp_path)
    path = log_path(tmp_path)
    offset = path.stat().st_size
    write(storage, WriteEntries(entries(1, 1)))
    write(storage, WriteEntries(entries(2, 2)))
    storage.close()
    data = path.read_bytes()
    identity = tmp_path / "identity"
    offset_by_position = {(path, 1): 0, (path, 20): 8, (path, offset): offset}
    for at in range(offset, offset + 12):
        offset_by_position[path, at] = offset
    offset_by_position[identity, identity.stat().st_size - 1] = 8
    for (damaged_path, at), expected_offset in offset_by_position.items():
        original = damaged_path.read_bytes()
        damaged_data = bytearray(original)
        damaged_data[at] ^= 0xFF
        damaged_path.write_bytes(damaged_data)
        error = raised_error(Storage.open, tmp_path)
        assert error.kind is ErrorKind.LOG_DAMAGED
        assert error.detail == f"{damaged_path} at offset {expected_offset}"
        damaged_path.write_bytes(original)
    assert path.read_bytes() == data
    assert recover(tmp_path).entries == entries(1, 2)


@pytest.mark.parametrize(
    ("failure", "kind"),
    [
        ("sync", ErrorKind.SYNC_FAILED),
        ("full", ErrorKind.DISK_FULL),
        ("short", ErrorKind.DISK_FULL),
    ],
)
def test_calls_after_a_failed_write_fail_with_the_same_error(tmp_path, failure, kind):
    """Guards against a retried sync that reports success for lost data.

    A write or its sync fails once, and later calls would succeed. The operating system
    may have dropped the data, so every later call must fail with the same error. A
    restart recovers what was synced before.
    """
    files = BrokenFiles()
    storage = create_storage(tmp_path, files)
    write(storage, WriteEntries(entries(1, 1)))
    files.failure = failure
    assert raised_error(write, storage, WriteEntries(entries(2, 2))).kind is kind
    files.failure = ""
    assert raised_error(write, storage, WriteEntries(entries(3, 3))).kind is kind
    storage.close()
    assert recover(tmp_path).entries[:1] == entries(1, 1)


@pytest.mark.parametrize("failure", ["sync", "full", "short", "rename", "remove"])
def test_failed_snapshot_leaves_the_old_or_the_new_log(tmp_path, failure):
    """Guards against a partial log after a failed replacement by a snapshot.

    Whichever step fails, the storage refuses further calls, and the next start must
    recover either the complete old log or the complete new one.
    """
    files = BrokenFiles()
    storage = create_storage(tmp_path, files)
    write(storage, WriteEntries(entries(1, 5)))
    before = storage.recovered
    files.failure = failure
    snapshot = Snapshot(3, 1, membership("a"), b"state" * 100)
    raised_error(write, storage, WriteSnapshot(snapshot))
    after = storage.recovered
    storage.close()
    assert recover(tmp_path) == (after if failure == "remove" else before)


def test_new_file_is_synced_before_its_rename(tmp_path):
    files = BrokenFiles()
    storage = create_storage(tmp_path, files)
    files.done.clear()
    write(storage, WriteSnapshot(Snapshot(1, 1, membership("a"), b"x")))
    assert files.done == ["write", "sync", "rename", "sync"]
    files.done.clear()
    write(storage, WriteEntries(entries(2, 2)))
    assert files.done == ["write", "sync"]


def test_folder_locked_by_another_process_is_refused(tmp_path):
    storage = create_storage(tmp_path)
    code = (
        "import sys; from tamarackhaven._storage import Storage; "
        "from tamarackhaven.errors import TamarackhavenError\n"
        "try: Storage.open(sys.argv[1])\n"
        "except TamarackhavenError as error: print(error.kind.name)"
    )
    command = [sys.executable, "-c", code, str(tmp_path)]
    done = subprocess.run(command, capture_output=True, text=True, timeout=60)
    assert done.stdout.strip() == "FOLDER_LOCKED"
    storage.close()
    assert Storage.open(tmp_path).recovered.snapshot == FIRST


def test_unknown_format_is_refused(tmp_path):
    create_storage(tmp_path).close()
    path = log_path(tmp_path)
    path.write_bytes(path.read_bytes()[:6] + b"\x00\x63" + path.read_bytes()[8:])
    assert raised_error(Storage.open, tmp_path).kind is ErrorKind.FORMAT_UNKNOWN


def test_missing_identity_is_damage_unless_the_first_start_was_interrupted(tmp_path):
    """Guards against the removal of a log with votes or entries.

    The identity file is missing, because of a crash during the first start or because
    it was lost. Only a log without any vote or entry may be removed.
    """
    storage = create_storage(tmp_path)
    (tmp_path / "identity").unlink()
    storage.close()
    storage = Storage.open(tmp_path)
    assert storage.is_new
    storage.create(IDENTITY, FIRST)
    write(storage, WriteHardState(HardState(1, "b")))
    storage.close()
    (tmp_path / "identity").unlink()
    assert raised_error(Storage.open, tmp_path).kind is ErrorKind.LOG_DAMAGED
    log_path(tmp_path).unlink()
    assert Storage.open(tmp_path).is_new


def test_checksum_covers_the_length_of_a_record():
    body = b"\0" * 8
    framed = _record.record(body)
    shorter = framed[:4] + b"\0\0\0\7" + framed[8:]
    assert _record.scan(_record.HEADER + shorter, "f").bodies == ()


def test_fences_only_increase_and_are_durable_on_return(tmp_path):
    files = BrokenFiles()
    error = raised_error(FenceFile.open, tmp_path, files, True)
    assert error.kind is ErrorKind.LOG_DAMAGED
    fences = FenceFile.open(tmp_path, files)
    files.done.clear()
    fences.fence("booking", "t1", 7)
    assert files.done == ["write", "sync", "rename", "sync"]
    fences.fence("booking", "t1", 5)
    fences.fence("booking", "t2", 3)
    reloaded = FenceFile.open(tmp_path, must_exist=True).epochs_by_target
    assert reloaded == {("booking", "t1"): 7, ("booking", "t2"): 3}
    files.failure = "sync"
    error = raised_error(fences.fence, "booking", "t1", 9)
    assert error.kind is ErrorKind.SYNC_FAILED
    assert raised_error(fences.fence, "rota", "t1", 1).kind is ErrorKind.SYNC_FAILED
    assert fences.epochs_by_target == reloaded


def test_concurrent_fences_are_all_durable(tmp_path):
    """Guards against lost fences when several targets are lost at the same time.

    When two threads wrote the fence file concurrently, one temporary file replaced the
    other or was missing at its rename. A fence reported as durable was lost, or every
    later one failed.
    """
    fences = FenceFile.open(tmp_path)
    with ThreadPoolExecutor(8) as executor:
        done = [
            executor.submit(fences.fence, "booking", f"t{n}", n + 1) for n in range(64)
        ]
        for future in done:
            future.result()
    reloaded = FenceFile.open(tmp_path, must_exist=True).epochs_by_target
    assert reloaded == {("booking", f"t{n}"): n + 1 for n in range(64)}
