"""The epochs that this control VM refuses from now on, kept on disk."""

import pathlib
import threading

import attrs

from tamarackhaven import _codec, _files, _record
from tamarackhaven.errors import TamarackhavenError

_NAME = "fences"


@attrs.frozen
class Fence:
    """Epochs of a target up to ``epoch`` are refused."""

    service: str
    target: str
    epoch: int


class FenceFile:
    """The fences of one control VM; use ``FenceFile.open``.

    Parameters
    ----------
    path : pathlib.Path
        The file.
    files : Files
        File operations.
    epochs_by_target : dict of (str, str) to int
        Highest refused epoch by service and target.
    """

    def __init__(self, path, files, epochs_by_target):
        self._path = path
        self._files = files
        self._failure = None
        self._lock = threading.Lock()
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
            True for a folder that was in use before. A missing file is then a loss
            of promises; else an empty one is made, so that a loss can be told.

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
        """Refuse ``epoch`` and all before it; durable when this returns.

        Raises
        ------
        TamarackhavenError
            SYNC_FAILED or DISK_FULL, and again at every later call.
        """
        # Failure: two targets are lost at once, and two threads replace the file at the
        # same time. Symptom: one takes the other's new file away, or its fence gets
        # lost though it was told as durable. One at a time, and each in the file
        # before the next begins, is enough.
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
    found = _record.scan(path.read_bytes(), path)
    if not found.bodies:
        raise _record.damaged(path, len(_record.HEADER))
    fences = _codec.loads(found.bodies[0], list[Fence])
    return {(each.service, each.target): each.epoch for each in fences}
