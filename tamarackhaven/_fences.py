"""Durable record of the epochs that this control VM has fenced.

The file holds one record with all fences and is replaced as a whole.
"""

import pathlib
import threading

import attrs

from tamarackhaven import _codec, _files, _record
from tamarackhaven.errors import TamarackhavenError

_NAME = "fences"


@attrs.frozen
class Fence:
    """Refusal of a target's epochs up to and including ``epoch``."""

    service: str
    target: str
    epoch: int


class FenceFile:
    """Stores the fences of one control VM; create it with ``FenceFile.open``.

    Parameters
    ----------
    path : pathlib.Path
        Path of the file.
    files : Files
        File operations, replaceable in tests.
    epochs_by_target : dict of (str, str) to int
        Highest refused epoch by service and target.
    """

    def __init__(self, path, files, epochs_by_target):
        self._path = path
        self._files = files
        self._failure = None
        self._lock = threading.Lock()
        # Replaced by a new dict at each fence and never changed in place, so it may be
        # read without the lock.
        self.epochs_by_target = epochs_by_target

    @classmethod
    def open(cls, folder, files=None, must_exist=False):
        """Read the fences of a data folder; the caller holds the folder's lock.

        Parameters
        ----------
        folder : path
            The data folder.
        files : Files or None
            File operations, the system's if None.
        must_exist : bool
            True for a folder that was in use before: a missing file then means that
            fences were lost, and raises LOG_DAMAGED. Otherwise a missing file is
            created empty, so that a later loss can be detected.

        Raises
        ------
        TamarackhavenError
            LOG_DAMAGED, FORMAT_UNKNOWN, SYNC_FAILED or DISK_FULL.
        """
        path = pathlib.Path(folder) / _NAME
        files = files or _files.Files()
        if not path.exists():
            if must_exist:
                raise _record.damaged(path, 0)
            _files.replace(files, path, _to_bytes({}))
        return cls(path, files, _read(path))

    def fence(self, service, target, epoch):
        """Refuse ``epoch`` and all earlier ones; durable when this returns.

        Raises
        ------
        TamarackhavenError
            SYNC_FAILED or DISK_FULL. A failed replacement leaves either the old or
            the new content in the file; every later call raises the failure again.
        """
        # When two targets are lost at the same time, two threads replace the file.
        # Without the lock, one could remove the other's new file, or overwrite a fence
        # that was already reported as durable. The lock ensures that each fence is in
        # the file before the next replacement begins.
        with self._lock:
            self._fence((service, target), epoch)

    def _fence(self, key, epoch):
        if self._failure:
            raise self._failure
        if epoch <= self.epochs_by_target.get(key, 0):
            return
        epochs = self.epochs_by_target | {key: epoch}
        try:
            _files.replace(self._files, self._path, _to_bytes(epochs))
        except TamarackhavenError as error:
            self._failure = error
            raise
        self.epochs_by_target = epochs


def _to_bytes(epochs_by_target):
    fences = [Fence(*key, epoch) for key, epoch in sorted(epochs_by_target.items())]
    return _record.HEADER + _record.record(_codec.dumps(fences, list[Fence]))


def _read(path):
    scan_result = _record.scan(path.read_bytes(), path)
    if not scan_result.bodies:
        raise _record.damaged(path, len(_record.HEADER))
    fences = _codec.loads(scan_result.bodies[0], list[Fence])
    return {(each.service, each.target): each.epoch for each in fences}
