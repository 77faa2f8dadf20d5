"""The clocks. Decision modules never import this: time is passed in to them."""

import time


def boot_s():
    """Return seconds since boot, counting the time a VM was suspended.

    A lease must not outlive a suspension: CLOCK_MONOTONIC stands still while a VM is
    suspended, so a woken daemon would believe in a lease long gone.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def unix_s():
    """Return seconds of wall-clock time, for people and callers only."""
    return time.time()
