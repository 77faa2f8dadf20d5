"""Durable storage of one consensus member, in one data folder.

``identity`` names the member that owns the folder. ``log-N`` starts with a snapshot,
the term and vote, and the entries after the snapshot; later writes are appended. Each
new snapshot starts a new file, so that a snapshot can't be combined with another log.
"""

import contextlib
import fcntl
import os
import pathlib

import attrs

from tamarackhaven import _codec, _files, _record
from tamarackhaven._raft_messages import (
    Entry,
    HardState,
    Snapshot,
    WriteEntries,
    WriteHardState,
    WriteSnapshot,
)
from tamarackhaven.errors import ErrorKind, TamarackhavenError

_LOCK = "lock"
_IDENTITY = "identity"
_LOG = "log-"


@attrs.frozen
class Identity:
    """Owner of a data folder.

    Parameters
    ----------
    name : str
        The member's name.
    folder_id : str
        Random id; every first start generates a new one.
    """

    name: str
    folder_id: str


@attrs.frozen
class Recovered:
    """State recovered from a folder; ``snapshot`` is None if the folder is new."""

    hard_state: HardState = HardState()
    snapshot: Snapshot | None = None
    entries: tuple[Entry, ...] = ()


@attrs.define
class _LogState:
    """State that results from the writes of a log file."""

    hard_state: HardState = HardState()
    snapshot: Snapshot | None = None
    entries: list[Entry] = attrs.field(factory=list)

    def apply(self, writes):
        for write in writes:
            if isinstance(write, WriteHardState):
                self.hard_state = write.hard_state
            elif isinstance(write, WriteEntries):
                self._append(write.entries)
            else:
                self._replace(write.snapshot)

    def _append(self, entries):
        if self.entries:
            kept = entries[0].index - self.entries[0].index
            del self.entries[max(kept, 0) :]
        self.entries.extend(entries)

    def _replace(self, snapshot):
        """Set the snapshot; keep the entries after it only if they continue it."""
        terms = {entry.index: entry.term for entry in self.entries}
        is_continuation = terms.get(snapshot.index) == snapshot.term
        following = [entry for entry in self.entries if entry.index > snapshot.index]
        self.entries = following if is_continuation else []
        self.snapshot = snapshot

    def base(self):
        """Return the writes at the start of a new file."""
        writes = [WriteSnapshot(self.snapshot), WriteHardState(self.hard_state)]
        if self.entries:
            writes.append(WriteEntries(tuple(self.entries)))
        return writes


class Storage:
    """An open data folder; call ``Storage.open`` to get one.

    After a failed write or sync, every later call fails with the same error: the
    content of the disk is unknown, and a repeated sync may report success for data
    that the operating system has already dropped.
    """

    def __init__(self, folder, files, lock):
        self._folder = folder
        self._files = files
        self._lock = lock
        self._descriptor = None
        self._number = 0
        self._state = _LogState()
        self._failure = None
        self.log_bytes = 0
        self.sync_count = 0
        self.identity = None

    @classmethod
    def open(cls, folder, files=None):
        """Open, lock and recover a data folder; create it if it doesn't exist.

        Raises
        ------
        TamarackhavenError
            FOLDER_LOCKED, LOG_DAMAGED, FORMAT_UNKNOWN, SYNC_FAILED or DISK_FULL.
        """
        folder = pathlib.Path(folder)
        files = files or _files.Files()
        folder.mkdir(parents=True, exist_ok=True)
        storage = cls(folder, files, _lock(folder))
        try:
            storage._recover()
        except BaseException:
            storage.close()
            raise
        return storage

    @property
    def is_new(self):
        """Whether the folder has no member yet.

        A member that has voted must not restart with a new folder under its old name,
        because its term, its vote and the entries that it acknowledged are lost: it
        could vote twice, and committed entries could be lost.
        """
        return self.identity is None

    @property
    def recovered(self):
        """Present content of the folder, as ``Recovered``."""
        state = self._state
        return Recovered(state.hard_state, state.snapshot, tuple(state.entries))

    def create(self, identity, snapshot):
        """Initialize a new folder for ``identity``, with ``snapshot``.

        Raises
        ------
        TamarackhavenError
            ALREADY_EXISTS if the folder has a member; SYNC_FAILED or DISK_FULL.
        """
        self._raise_kept_failure()
        if not self.is_new:
            raise TamarackhavenError(ErrorKind.ALREADY_EXISTS, str(self._folder))
        self._state = _LogState(snapshot=snapshot)
        body = _codec.dumps(identity, Identity)
        with self._keep_failure():
            self._sync_parent()
            self._start_file()
            _files.replace(
                self._files,
                self._folder / _IDENTITY,
                _record.HEADER + _record.record(body),
            )
        self.identity = identity

    def write(self, writes):
        """Append and sync ``writes``, which are durable when this returns.

        Raises
        ------
        TamarackhavenError
            SYNC_FAILED or DISK_FULL, now and at every later call.
        """
        self._raise_kept_failure()
        if self.is_new:
            raise TamarackhavenError(
                ErrorKind.INTERNAL, "the data folder has no member yet"
            )
        with self._keep_failure():
            self._state.apply(writes)
            if any(isinstance(write, WriteSnapshot) for write in writes):
                self._start_file()
            else:
                self._append(_record.record(_record.pack(writes)))

    def close(self):
        """Close the files and release the lock of the folder."""
        for descriptor in (self._descriptor, self._lock):
            if descriptor is not None:
                os.close(descriptor)
        self._descriptor = self._lock = None
        self._failure = self._failure or TamarackhavenError(
            ErrorKind.INTERNAL, "the storage is closed"
        )

    # Writes.

    def _raise_kept_failure(self):
        if self._failure:
            raise self._failure

    @contextlib.contextmanager
    def _keep_failure(self):
        """Keep an error raised in this block, so that every later call raises it."""
        try:
            yield
        except BaseException as error:
            self._failure = error
            raise

    def _append(self, data):
        path = self._path(self._number)
        try:
            _files.write_all(self._files, self._descriptor, data)
            self._files.sync(self._descriptor)
        except OSError as error:
            raise _files.error_of(error, path) from error
        self.log_bytes += len(data)
        self.sync_count += 1

    def _start_file(self):
        """Write the whole state to a new file and remove the old one."""
        base = _record.record(_record.pack(self._state.base()))
        old = self._number
        path = self._path(old + 1)
        _files.replace(self._files, path, _record.HEADER + base)
        self.sync_count += 1
        self._number = old + 1
        self._open_for_append(path)
        self.log_bytes = 0
        if old:
            self._remove(self._path(old))

    def _sync_parent(self):
        # Without this sync the name of the new folder may be lost in a crash of the
        # VM, and a member that has voted would restart with an empty folder.
        try:
            _files.sync_folder(self._files, self._folder.parent)
        except OSError as error:
            raise _files.error_of(error, self._folder) from error

    def _open_for_append(self, path):
        try:
            if self._descriptor is not None:
                self._files.close(self._descriptor)
                self._descriptor = None
            self._descriptor = self._files.open(path, os.O_WRONLY | os.O_APPEND)
        except OSError as error:
            raise _files.error_of(error, path) from error

    def _remove(self, path):
        try:
            self._files.remove(path)
        except OSError as error:
            raise _files.error_of(error, path) from error

    def _path(self, number):
        return self._folder / f"{_LOG}{number:08d}"

    # Recovery.

    def _recover(self):
        identity = self._read_identity()
        paths = sorted(self._folder.glob(f"{_LOG}" + "[0-9]" * 8))
        if identity is None:
            self._remove_interrupted_create(paths)
            return
        if not paths:
            raise _record.damaged(self._folder / f"{_LOG}*", 0)
        self._read_log(paths[-1])
        for path in paths[:-1]:
            self._remove(path)
        self.identity = identity

    def _remove_interrupted_create(self, paths):
        """Remove the log of an interrupted ``create``; the member hasn't voted yet."""
        if not paths:
            return
        found = _record.scan(paths[-1].read_bytes(), paths[-1])
        is_interrupted = paths[-1] == self._path(1) and len(found.bodies) == 1
        if not is_interrupted:
            raise _record.damaged(self._folder / _IDENTITY, 0)
        self._remove(paths[-1])

    def _read_identity(self):
        path = self._folder / _IDENTITY
        if not path.exists():
            return None
        found = _record.scan(path.read_bytes(), path)
        if not found.bodies:
            raise _record.damaged(path, len(_record.HEADER))
        return _codec.loads(found.bodies[0], Identity)

    def _read_log(self, path):
        data = path.read_bytes()
        found = _record.scan(data, path)
        if not found.bodies:
            raise _record.damaged(path, len(_record.HEADER))
        for body in found.bodies:
            self._state.apply(_record.unpack(body))
        self._number = int(path.name.removeprefix(_LOG))
        self._open_for_append(path)
        base = len(_record.HEADER) + len(_record.record(found.bodies[0]))
        self.log_bytes = found.end - base
        if found.end < len(data):
            self._truncate_tail(path, found.end)

    def _truncate_tail(self, path, length):
        """Truncate a torn tail, so that later records follow a valid one."""
        try:
            self._files.truncate(self._descriptor, length)
            self._files.sync(self._descriptor)
        except OSError as error:
            raise _files.error_of(error, path) from error


def _lock(folder):
    """Lock a folder for this process; return the descriptor that holds the lock.

    Raises
    ------
    TamarackhavenError
        FOLDER_LOCKED if another process holds the lock.
    """
    path = folder / _LOCK
    descriptor = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
    try:
        fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError as error:
        os.close(descriptor)
        raise TamarackhavenError(ErrorKind.FOLDER_LOCKED, str(folder)) from error
    return descriptor
