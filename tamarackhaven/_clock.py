"""The system clocks. Decision modules don't import it; they get times as arguments."""

import time


def boot_s():
    """Return seconds since boot, counting the time a VM was suspended.

    CLOCK_MONOTONIC doesn't advance while a VM is suspended. A daemon that uses it would
    consider its lease valid after the VM resumes, although it expired long ago.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def unix_s():
    """Return Unix time in seconds, only for display and for times given by callers."""
    return time.time()
