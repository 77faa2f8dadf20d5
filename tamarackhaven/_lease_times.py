"""Durations of a daemon's lease and of a control VM's promise.

A daemon counts ``hold_s`` from before it sent a renewal, on its own clock. A control
VM counts ``promise_s`` from after it received that renewal, on its own clock. The
promise must outlast the lease although neither side knows the other's clock. With each
clock's rate between ``1 - drift`` and ``1 + drift``, the lease takes at most
``lease / (1 - drift)`` of true time and the promise at least
``promise / (1 + drift)``. Equating the two gives ``promise_s``. Only the promise
includes a margin: a second margin at the daemon would shorten each lease for no gain.
The margin also covers the weaker assumption that two clocks differ by ``drift``.
"""

MS_PER_S = 1000.0


def hold_s(settings):
    """Return how long a lease holds after its renewal was sent, in seconds."""
    return settings.lease_ms / MS_PER_S


def promise_s(settings):
    """Return how long a promise runs after its renewal was received, in seconds."""
    return hold_s(settings) * (1 + settings.drift) / (1 - settings.drift)


def renew_s(settings):
    """Return the interval between renewals, in seconds."""
    return settings.renew_ms / MS_PER_S


def to_ms(seconds):
    """Return seconds as whole milliseconds, rounded up; 0 for a negative duration.

    Rounding down would make a retry after the stated time slightly too early.
    """
    return max(0, -int(-seconds * MS_PER_S // 1))
