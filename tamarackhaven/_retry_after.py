"""How fast a queue empties, and when a refused caller may come back."""

# Weight of a new holding time in the mean: about the last 20 requests count.
_NEW_WEIGHT = 0.1
# Silence for this many mean holding times is a stall: less is one long request, most of
# all at a cold target that runs one or two at once.
STALL_HOLDS = 4.0
# A caller that comes back sooner finds the same queue.
RETRY_MIN_S = 0.05
# Longer than this no measure of now holds: a straggler is quick again, a burst is over.
# A refused try costs the daemon little, one a second from each caller.
RETRY_MAX_S = 1.0
# Part of the time by which a come-back is spread: callers refused in the same
# instant would otherwise be back in the same instant.
SPREAD = 0.5


class EmptyingRate:
    """The pace at which a gate's queue empties, from what its requests took.

    Holding time divided by the limit, not finishes counted by the second: a target
    with little to do finishes little, and would seem slow.
    """

    def __init__(self):
        self._hold_s = 0.0  # 0 until the first end
        self._alive_at = 0.0

    @property
    def hold_s(self):
        """Mean time that a request holds its slot, in seconds."""
        return self._hold_s

    def ended(self, latency_s, now):
        """Take in the end of a request that held a slot for ``latency_s``."""
        weight = _NEW_WEIGHT if self._hold_s else 1.0
        self._hold_s += weight * (latency_s - self._hold_s)
        self._alive_at = now

    def began(self, now):
        """A request starts while none runs: silence counts from now.

        Failure: a burst after a quiet hour. Symptom: the hour counts as a stall and
        all that can't start at once are refused.
        """
        self._alive_at = now

    def interval_s(self, limit):
        """Return the time between two starts from a queue, in seconds."""
        return self._hold_s / max(1, limit)

    def stalled_s(self, limit, now):
        """Return for how long the target has been silent beyond its pace."""
        if not self._hold_s:
            return 0.0
        return max(0.0, now - self._silent_from_s())

    def _silent_from_s(self):
        return self._alive_at + STALL_HOLDS * self._hold_s

    def known_at(self, start_by_s):
        """Return when silence would show that a start by ``start_by_s`` fails.

        Load: a queue behind a target that stalls. Harm prevented: callers hear only
        near their deadlines what was known long before. Limit: a silence is expected
        to last as long again.
        """
        if not self._hold_s:
            return start_by_s
        return (start_by_s + min(start_by_s, self._silent_from_s())) / 2

    def wait_s(self, place, limit, now):
        """Return the expected wait behind ``place`` others, in seconds.

        A silence so far is expected to last as long again.
        """
        return (place + 1) * self.interval_s(limit) + self.stalled_s(limit, now)


class ComeBackTimes:
    """Hands out the times at which refused callers may come back.

    Load: demand above capacity for seconds, with callers that repeat. Harm prevented:
    all that were refused return together and are refused again. Each refusal is given
    the next free place in a line that moves at the emptying rate.
    """

    def __init__(self):
        self._line_ends_at = 0.0

    def next_s(self, backlog_s, interval_s, now, deadline_s, random_part):
        """Return a Retry-After in seconds.

        A caller whose deadline comes first won't come back, so it takes no place:
        otherwise the line grows by callers that are gone, and those who could still
        be answered are sent away past their deadlines while slots stay free.

        Parameters
        ----------
        backlog_s : float
            Time until the queue of now is empty.
        interval_s : float
            Time between two starts.
        now : float
            Seconds of the gate's clock.
        deadline_s : float
            The caller's deadline, on the same clock.
        random_part : float
            A random number from 0 to 1.
        """
        line_ends_at = max(self._line_ends_at, now + backlog_s) + interval_s
        if line_ends_at < deadline_s:
            self._line_ends_at = line_ends_at
        wait_s = min(line_ends_at - now, RETRY_MAX_S)
        spread = 1.0 - SPREAD / 2 + SPREAD * random_part
        return max(RETRY_MIN_S * (0.5 + random_part), wait_s * spread)
