"""File operations with injected failures, for tests."""

import errno
import os

from tamarackhaven import _files


class BrokenFiles(_files.Files):
    """Real file operations that fail on request; ``done`` lists the calls in order.

    ``failure`` is empty, "full", "short", "slow", "sync", "rename" or "remove". "slow"
    writes at most 7 bytes per call; "short" writes half of the data, then fails as
    "full"; "sync" fails once.
    """

    def __init__(self):
        self.failure = ""
        self.done = []

    def write(self, descriptor, data):
        self.done.append("write")
        if self.failure == "full":
            raise OSError(errno.ENOSPC, "no space")
        if self.failure == "short":
            self.failure = "full"
            return os.write(descriptor, data[: len(data) // 2])
        if self.failure == "slow":
            return os.write(descriptor, data[:7])
        return os.write(descriptor, data)

    def sync(self, descriptor):
        self.done.append("sync")
        if self.failure == "sync":
            self.failure = ""
            raise OSError(errno.EIO, "input/output error")
        os.fdatasync(descriptor)

    def rename(self, old, new):
        self.done.append("rename")
        if self.failure == "rename":
            raise OSError(errno.EIO, "input/output error")
        os.rename(old, new)

    def remove(self, path):
        if self.failure == "remove":
            raise OSError(errno.EIO, "input/output error")
        os.unlink(path)
