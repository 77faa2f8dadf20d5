"""File operations that report every failure, for all that must survive."""

import errno
import os

from tamarackhaven.errors import ErrorKind, TamarackhavenError

_DISK_FULL = (errno.ENOSPC, errno.EDQUOT)


class Files:
    """The operating system's file operations; tests put failures in their place."""

    def open(self, path, flags):
        """Open a file for this user only; return its descriptor."""
        return os.open(path, flags | os.O_CLOEXEC, 0o600)

    def write(self, descriptor, data):
        """Write some of ``data``; return how many bytes."""
        return os.write(descriptor, data)

    def sync(self, descriptor):
        """Return once the file's data and length are on the disk."""
        os.fdatasync(descriptor)

    def truncate(self, descriptor, length):
        """Cut the file to ``length`` bytes."""
        os.ftruncate(descriptor, length)

    def rename(self, old, new):
        """Put ``old`` in the place of ``new``, atomically."""
        os.rename(old, new)

    def remove(self, path):
        """Remove a file."""
        os.unlink(path)

    def close(self, descriptor):
        """Close a descriptor."""
        os.close(descriptor)


def as_error(error, path):
    """Return the project's error for an ``OSError`` of a write or a sync."""
    is_full = error.errno in _DISK_FULL
    kind = ErrorKind.DISK_FULL if is_full else ErrorKind.SYNC_FAILED
    return TamarackhavenError(kind, f"{path}: {error.strerror}")


def write_all(files, descriptor, data):
    """Write all of ``data``, in several calls if the system takes less at once.

    Raises
    ------
    OSError
        As the system reports; also if it takes nothing.
    """
    rest = memoryview(data)
    while rest:
        count = files.write(descriptor, rest)
        if count <= 0:
            raise OSError(errno.EIO, "write took no byte")
        rest = rest[count:]


def sync_folder(files, folder):
    """Make the names in a folder durable."""
    descriptor = files.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        files.sync(descriptor)
    finally:
        files.close(descriptor)


def replace(files, path, data):
    """Put a file with ``data`` at ``path``, whole or not at all.

    Raises
    ------
    TamarackhavenError
        SYNC_FAILED or DISK_FULL; ``path`` then holds the old data or the new.
    """
    # Failure: the VM stops amid the replacement. Symptom: half a file under the name.
    # Enough: the new file is synced before it gets the name, and the name before
    # the caller goes on.
    temporary = path.with_name(path.name + ".tmp")
    try:
        flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC
        descriptor = files.open(temporary, flags)
        try:
            write_all(files, descriptor, data)
            files.sync(descriptor)
        finally:
            files.close(descriptor)
        files.rename(temporary, path)
        sync_folder(files, path.parent)
    except OSError as error:
        raise as_error(error, path) from error
