"""Tracks until when targets may still hold what a leader granted them. Pure."""

# Two VMs' clocks may run at slightly different rates, and a grant is recorded a moment
# after the daemon asked for it. Covers a difference in clock rates of 1 % for leases of
# up to 15 s. The settings allow longer leases, for which it covers less.
CLOCK_MARGIN_S = 0.15


class LeaseTable:
    """The leases that one leader granted, and those it must assume for earlier leaders.

    A daemon counts its lease from when it sent the report. The leader counts from when
    it sent the grant, which is later, so a lease never expires here before it expires
    at the daemon.

    Parameters
    ----------
    lease_s : float
        How long a grant is valid, in seconds; the same on all control VMs.
    elected_s : float
        When this leader's term was confirmed, in seconds of the boot clock.
    """

    def __init__(self, lease_s, elected_s):
        self.lease_s = lease_s
        # A new leader doesn't know what the former one granted, and might reassign keys
        # that another target still holds. Every grant of the former leader was
        # confirmed before this one was elected, so it has expired one lease later.
        self._former_leader_expiry_s = elected_s + lease_s + CLOCK_MARGIN_S
        self._expiry_s_by_life = {}
        self._ended_lives = set()

    def record_grant(self, life, now):
        """Record that a grant for ``life`` is sent at ``now``."""
        self._expiry_s_by_life[life] = now + self.lease_s + CLOCK_MARGIN_S

    def record_end(self, life):
        """Record that a life has certainly ended, so it no longer holds any keys."""
        self._ended_lives.add(life)

    def has_ended(self, life):
        """Whether the end of a life was recorded."""
        return life in self._ended_lives

    def expiry_s(self, life):
        """Return when every grant of ``life`` has expired, in boot clock seconds.

        Minus infinity if the life has ended.
        """
        if life in self._ended_lives:
            return float("-inf")
        return self._expiry_s_by_life.get(life, self._former_leader_expiry_s)

    def has_expired(self, life, now):
        """Whether every grant of ``life`` has expired at ``now``."""
        return now >= self.expiry_s(life)
