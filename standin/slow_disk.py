"""Runs a program whose syncs stall: ``python -m standin.slow_disk FILE PROGRAM ...``.

As long as FILE exists, no sync returns, as on a disk that answers nothing. All else of
the program goes on.
"""

import functools
import os
import runpy
import sys
import time
from pathlib import Path

LOOK_S = 0.01


def stalling(sync, stalls):
    """Return ``sync`` such that it waits while ``stalls`` exists."""

    @functools.wraps(sync)
    def synced(descriptor):
        while stalls.exists():
            time.sleep(LOOK_S)
        return sync(descriptor)

    return synced


def main():
    """Run the program."""
    stalls = Path(sys.argv[1])
    for name in ("fsync", "fdatasync"):
        setattr(os, name, stalling(getattr(os, name), stalls))
    sys.argv = sys.argv[2:]
    runpy.run_path(sys.argv[0], run_name="__main__")


if __name__ == "__main__":
    main()
