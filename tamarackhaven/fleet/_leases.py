"""Until when the lives of targets may still hold what they were granted. Pure."""

# Two VMs' clocks may run at slightly different rates, and a grant is noted a moment
# after the daemon asked for it. A hundredth of any lease that may be configured.
CLOCK_MARGIN_S = 0.15


class LeaseBook:
    """The leases that one leader gave, and those it must assume.

    A lease counts from when its daemon sent the report; the book counts from when the
    grant left, which is later. So the book's end is never before the daemon's.

    Parameters
    ----------
    lease_s : float
        How long a grant holds; the same on all control VMs.
    elected_s : float
        When this leader's term was confirmed, in seconds of the boot clock.
    """

    def __init__(self, lease_s, elected_s):
        self.lease_s = lease_s
        # Failure: a new leader doesn't know what the former one granted. Symptom: it
        # gives keys on that another target still holds. Enough: every grant of the
        # former leader was confirmed before this one was elected, and has run out
        # one lease later.
        self._inherited_until_s = elected_s + lease_s + CLOCK_MARGIN_S
        self._expiry_s_by_life = {}
        self._ended_lives = set()

    def granted(self, life, now):
        """Note that a grant for ``life`` leaves now."""
        self._expiry_s_by_life[life] = now + self.lease_s + CLOCK_MARGIN_S

    def ended(self, life):
        """Note that a life has certainly ended; it holds nothing any more."""
        self._ended_lives.add(life)

    def has_ended(self, life):
        """Whether the end of a life was seen."""
        return life in self._ended_lives

    def until_s(self, life):
        """Return when everything that ``life`` may hold has run out."""
        if life in self._ended_lives:
            return float("-inf")
        return self._expiry_s_by_life.get(life, self._inherited_until_s)

    def has_expired(self, life, now):
        """Whether ``life`` certainly holds nothing any more."""
        return now >= self.until_s(life)
