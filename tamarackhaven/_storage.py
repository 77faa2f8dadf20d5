"""What one member of the consensus group keeps on disk, in one data folder.

``identity`` says whose folder it is. ``log-N`` starts with a snapshot, the term and
vote, and the entries after the snapshot; later writes are appended. A new snapshot
makes a new file, so that a snapshot and its log are one and can't be mixed up.
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
    """Whose folder it is.

    Parameters
    ----------
    name : str
        The member's name.
    folder_id : str
        Random; another first start gets another one.
    """

    name: str
    folder_id: str


@attrs.frozen
class Recovered:
    """What was synced before the last stop; no snapshot in a new folder."""

    hard_state: HardState = HardState()
    snapshot: Snapshot | None = None
    entries: tuple[Entry, ...] = ()


@attrs.define
class _State:
    """The state that the writes of a log file add up to."""

    hard_state: HardState = HardState()
    snapshot: Snapshot | None = None
    entries: list[Entry] = attrs.field(factory=list)

    def take(self, writes):
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
        """Keep the entries after the snapshot only if they continue it."""
        terms = {entry.index: entry.term for entry in self.entries}
        continues = terms.get(snapshot.index) == snapshot.term
        after = [entry for entry in self.entries if entry.index > snapshot.index]
        self.entries = after if continues else []
        self.snapshot = snapshot

    def base(self):
        """Return the writes that a new file starts with."""
        writes = [WriteSnapshot(self.snapshot), WriteHardState(self.hard_state)]
        if self.entries:
            writes.append(WriteEntries(tuple(self.entries)))
        return writes


class Storage:
    """One open data folder; use ``Storage.open``.

    After a failed write or sync, every later call fails with the same error: what
    the disk holds is not known any more, and a repeated sync may claim success for
    data that the system has already dropped.
    """

    def __init__(self, folder, files, lock):
        self._folder = folder
        self._files = files
        self._lock = lock
        self._descriptor = None
        self._number = 0
        self._state = _State()
        self._failure = None
        self.log_bytes = 0
        self.sync_count = 0
        self.identity = None

    @classmethod
    def open(cls, folder, files=None):
        """Open, lock and recover a data folder; make it if it isn't there.

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
        """Whether the folder holds no member yet.

        A member that has voted before must not start from a new folder under its old
        name: it has forgotten its promises.
        """
        return self.identity is None

    @property
    def recovered(self):
        """What the folder holds, as ``Recovered``."""
        state = self._state
        return Recovered(state.hard_state, state.snapshot, tuple(state.entries))

    def create(self, identity, snapshot):
        """Make a new folder the one of ``identity``, starting at ``snapshot``."""
        self._refuse_after_failure()
        if not self.is_new:
            raise TamarackhavenError(ErrorKind.ALREADY_EXISTS, str(self._folder))
        self._state = _State(snapshot=snapshot)
        body = _codec.dumps(identity, Identity)
        with self._failing():
            self._sync_parent()
            self._start_file()
            _files.replace(
                self._files,
                self._folder / _IDENTITY,
                _record.HEADER + _record.record(body),
            )
        self.identity = identity

    def write(self, writes):
        """Append and sync ``writes``; durable when this returns.

        Raises
        ------
        TamarackhavenError
            SYNC_FAILED or DISK_FULL, and again at every later call.
        """
        self._refuse_after_failure()
        if self.is_new:
            raise TamarackhavenError(ErrorKind.INTERNAL, "the folder has no member")
        with self._failing():
            self._state.take(writes)
            if any(isinstance(write, WriteSnapshot) for write in writes):
                self._start_file()
            else:
                self._append(_record.record(_record.pack(writes)))

    def close(self):
        """Give the folder free for another process."""
        for descriptor in (self._descriptor, self._lock):
            if descriptor is not None:
                os.close(descriptor)
        self._descriptor = self._lock = None
        self._failure = self._failure or TamarackhavenError(
            ErrorKind.INTERNAL, "the storage is closed"
        )

    # Writing.

    def _refuse_after_failure(self):
        if self._failure:
            raise self._failure

    @contextlib.contextmanager
    def _failing(self):
        """Refuse every later call after an error in this block."""
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
            raise _files.as_error(error, path) from error
        self.log_bytes += len(data)
        self.sync_count += 1

    def _start_file(self):
        """Write the whole state as a new file and drop the old one."""
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
        # Failure: the VM stops and the new folder's name was never synced. Symptom:
        # a member that has voted comes back with an empty folder.
        try:
            _files.sync_folder(self._files, self._folder.parent)
        except OSError as error:
            raise _files.as_error(error, self._folder) from error

    def _open_for_append(self, path):
        try:
            if self._descriptor is not None:
                self._files.close(self._descriptor)
                self._descriptor = None
            self._descriptor = self._files.open(path, os.O_WRONLY | os.O_APPEND)
        except OSError as error:
            raise _files.as_error(error, path) from error

    def _remove(self, path):
        try:
            self._files.remove(path)
        except OSError as error:
            raise _files.as_error(error, path) from error

    def _path(self, number):
        return self._folder / f"{_LOG}{number:08d}"

    # Recovery.

    def _recover(self):
        identity = self._read_identity()
        paths = sorted(self._folder.glob(f"{_LOG}" + "[0-9]" * 8))
        if identity is None:
            self._drop_unfinished(paths)
            return
        if not paths:
            raise _record.damaged(self._folder / f"{_LOG}*", 0)
        self._read_log(paths[-1])
        for path in paths[:-1]:
            self._remove(path)
        self.identity = identity

    def _drop_unfinished(self, paths):
        """Remove what a crash amid ``create`` left; nothing was promised yet."""
        if not paths:
            return
        found = _record.scan(paths[-1].read_bytes(), paths[-1])
        is_unfinished = paths[-1] == self._path(1) and len(found.bodies) == 1
        if not is_unfinished:
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
            self._state.take(_record.unpack(body))
        self._number = int(path.name.removeprefix(_LOG))
        self._open_for_append(path)
        base = len(_record.HEADER) + len(_record.record(found.bodies[0]))
        self.log_bytes = found.end - base
        if found.end < len(data):
            self._cut(path, found.end)

    def _cut(self, path, length):
        """Cut a torn tail, so that later records follow a valid one."""
        try:
            self._files.truncate(self._descriptor, length)
            self._files.sync(self._descriptor)
        except OSError as error:
            raise _files.as_error(error, path) from error


def _lock(folder):
    """Lock a folder for this process; return the descriptor that holds the lock."""
    path = folder / _LOCK
    descriptor = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
    try:
        fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError as error:
        os.close(descriptor)
        raise TamarackhavenError(ErrorKind.FOLDER_LOCKED, str(folder)) from error
    return descriptor
