"""Runs a program whose syncs can stall.

Usage: ``python -m standin.slow_disk FILE PROGRAM ...``. While FILE exists, fsync and
fdatasync block, as on a disk that doesn't respond; the rest of the program continues.
"""

import functools
import os
import runpy
import sys
import time
from pathlib import Path

POLL_INTERVAL_S = 0.01


def blocked_by_file(sync, stall_file):
    """Wrap ``sync`` so that it blocks while the file ``stall_file`` exists."""

    @functools.wraps(sync)
    def blocking_sync(descriptor):
        while stall_file.exists():
            time.sleep(POLL_INTERVAL_S)
        return sync(descriptor)

    return blocking_sync


def main():
    """Run the program with blocking versions of fsync and fdatasync."""
    stall_file = Path(sys.argv[1])
    for name in ("fsync", "fdatasync"):
        setattr(os, name, blocked_by_file(getattr(os, name), stall_file))
    sys.argv = sys.argv[2:]
    runpy.run_path(sys.argv[0], run_name="__main__")


if __name__ == "__main__":
    main()
