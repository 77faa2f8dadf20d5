"""How long a lease holds at the daemon, and how long a control VM's promise runs.

A daemon counts ``hold_s`` from before it sent a renewal, on its own clock. A control
VM counts ``promise_s`` from after it received that renewal, on its own clock. The
promise must outlast the hold although neither knows the other's clock. With each
clock's rate between ``1 - drift`` and ``1 + drift``, the hold takes at most
``lease / (1 - drift)`` of true time and the promise at least
``promise / (1 + drift)``. Their equality gives ``promise_s``. The margin stands on
one side only: a second one at the daemon would shorten each lease for no gain. It
also covers the weaker reading, that two clocks differ by ``drift``.
"""

MS_PER_S = 1000.0


def hold_s(settings):
    """Return how long a renewal holds from its sending, in seconds."""
    return settings.lease_ms / MS_PER_S


def promise_s(settings):
    """Return how long a promise runs from the renewal's receipt, in seconds."""
    return hold_s(settings) * (1 + settings.drift) / (1 - settings.drift)


def renew_s(settings):
    """Return the time between renewals, in seconds."""
    return settings.renew_ms / MS_PER_S


def to_ms(seconds):
    """Return seconds as whole milliseconds, rounded up, 0 for a past time.

    Rounded down, who comes back at the stated time would come a moment too early.
    """
    return max(0, -int(-seconds * MS_PER_S // 1))
