"""File operations for durable data, which report every failure."""

import errno
import os

from tamarackhaven.errors import ErrorKind, TamarackhavenError

_DISK_FULL_ERRNOS = (errno.ENOSPC, errno.EDQUOT)


class Files:
    """File operations of the operating system; tests override them to fail."""

    def open(self, path, flags):
        """Open a file, accessible to this user only, and return its descriptor."""
        return os.open(path, flags | os.O_CLOEXEC, 0o600)

    def write(self, descriptor, data):
        """Write a part of ``data`` and return the number of bytes written."""
        return os.write(descriptor, data)

    def sync(self, descriptor):
        """Flush the file's data and length to the disk."""
        os.fdatasync(descriptor)

    def truncate(self, descriptor, length):
        """Truncate the file to ``length`` bytes."""
        os.ftruncate(descriptor, length)

    def rename(self, old, new):
        """Atomically rename ``old`` to ``new``, which is replaced if it exists."""
        os.rename(old, new)

    def remove(self, path):
        """Remove a file."""
        os.unlink(path)

    def close(self, descriptor):
        """Close a descriptor."""
        os.close(descriptor)


def error_of(error, path):
    """Return DISK_FULL or SYNC_FAILED for an ``OSError`` of a file operation."""
    is_full = error.errno in _DISK_FULL_ERRNOS
    kind = ErrorKind.DISK_FULL if is_full else ErrorKind.SYNC_FAILED
    return TamarackhavenError(kind, f"{path}: {error.strerror}")


def write_all(files, descriptor, data):
    """Write all of ``data``, in several calls if the system writes only a part.

    Raises
    ------
    OSError
        As the operating system reports it; EIO if a call writes nothing.
    """
    remaining = memoryview(data)
    while remaining:
        count = files.write(descriptor, remaining)
        if count <= 0:
            raise OSError(errno.EIO, "write wrote 0 bytes")
        remaining = remaining[count:]


def sync_folder(files, folder):
    """Sync a folder, which makes the names of its files durable.

    Raises
    ------
    OSError
        As the operating system reports it.
    """
    descriptor = files.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        files.sync(descriptor)
    finally:
        files.close(descriptor)


def replace(files, path, data):
    """Atomically replace the file at ``path`` by one with ``data``.

    Raises
    ------
    TamarackhavenError
        SYNC_FAILED or DISK_FULL; ``path`` then holds either the old or the new data.
    """
    # A crash during the replacement must not leave a partial file under the name. The
    # new file is synced before it is renamed, and the folder before this returns.
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
        raise error_of(error, path) from error
