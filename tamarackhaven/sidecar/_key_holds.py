"""Tracks the keys that one life of a target was told to hold and may still hold. Pure.

A target is told its keys in one of two ways, as its service's configuration says: in
the replies to its heartbeats (``HeartbeatHolds``) or by calls to it
(``_called_holds.CalledHolds``). Both have the same interface for the rest of the
daemon.
"""

import abc

import attrs

from tamarackhaven.fleet._model import GrantId

# A target's clock may be slow, so that a hold lasts longer than it was told. The
# platform allows 2%; the rest covers the transfer of the reply.
SLOW_CLOCK_FACTOR = 1.025
# A shorter hold expires before the target has read the message that gives it.
MIN_HOLD_S = 0.1
# How long releases are reported to the leader, which needs them within a heartbeat.
RELEASE_TTL_S = 15.0


@attrs.frozen
class HeartbeatReply:
    """The reply to a heartbeat: keys to hold, None to say nothing about keys."""

    ranges: tuple | None = None
    hold_s: float = 0.0


class KeyHolds(abc.ABC):
    """The keys of one life of the target.

    Parameters
    ----------
    lease : FleetLeaseSettings
        Of the daemon.
    life : str
        Grants for other lives are ignored.

    Attributes
    ----------
    may_have_ended : bool
        Whether another life may run by now, which must be told nothing that this one
        was granted.
    """

    def __init__(self, lease, life):
        self._lease = lease
        self._life = life
        self._grant = None
        self._lease_until_s = float("-inf")
        self._releases = []
        self.may_have_ended = False

    def apply_grant(self, grant, requested_s):
        """Apply a grant; its lease counts from when it was requested."""
        if grant.life != self._life:
            return
        if self._grant is not None and grant.grant < self._grant.grant:
            return
        self._grant = grant
        self._lease_until_s = requested_s + grant.lease_s

    def is_granted(self, key, now):
        """Whether ``key`` is granted: the target holds it or is about to be told to."""
        if self._grant is None or now >= self._lease_until_s:
            return False
        return _covers(self._grant.ranges, key)

    @property
    def keys_index(self):
        """Log index of the key owners behind the newest grant, -1 without one."""
        return self._grant.keys_index if self._grant else -1

    def _max_hold_s(self, now, delay_s=0.0):
        """Return for how long the target may be told to hold, below 0 if not at all.

        The hold may begin ``delay_s`` seconds after ``now``.
        """
        hold_s = (self._lease_until_s - now - delay_s) / SLOW_CLOCK_FACTOR
        return min(hold_s, self._lease.longest_hold_s)

    def _record_releases(self, releases, now):
        self._releases = [
            (at, each) for at, each in self._releases if now - at < RELEASE_TTL_S
        ]
        self._releases += [(now, each) for each in releases]

    @property
    def releases(self):
        """Releases of the last ``RELEASE_TTL_S``, as a tuple of ``Release``."""
        return tuple(each for _, each in self._releases)

    @abc.abstractmethod
    def record_heartbeat(self, heartbeat, now):
        """Record a heartbeat of this life; return the ``HeartbeatReply``."""

    @abc.abstractmethod
    def holds(self, key, now):
        """Whether the target holds ``key``, as far as this daemon knows."""

    @abc.abstractmethod
    def held(self, now):
        """Return what the target may hold, as a tuple of ``Hold``."""

    def is_known(self, now):
        """Whether ``held`` is all that the target may hold."""
        return True

    @property
    @abc.abstractmethod
    def settled(self):
        """The newest grant that ``held`` reflects."""

    @property
    def refused(self):
        """What the target refuses under its present token, as a tuple of ``Hold``."""
        return ()


class HeartbeatHolds(KeyHolds):
    """Keys told in the replies to heartbeats, which list what the target holds."""

    def __init__(self, lease, life):
        super().__init__(lease, life)
        self._sent_grant = GrantId()
        self._settled = GrantId()
        self._sent_ranges = ()
        self._sent_until_s = float("-inf")
        self._heartbeat = None
        self._heartbeat_received_s = float("-inf")

    def record_heartbeat(self, heartbeat, now):
        """Record a heartbeat of this life; return the ``HeartbeatReply``."""
        self._settled = self._sent_grant
        self._heartbeat = heartbeat
        self._heartbeat_received_s = now
        self._record_releases(heartbeat.releases, now)
        hold_s = self._max_hold_s(now)
        if self._grant is None or hold_s < MIN_HOLD_S:
            return HeartbeatReply()
        self._sent_grant = self._grant.grant
        self._sent_ranges = self._grant.ranges
        self._sent_until_s = now + hold_s
        return HeartbeatReply(self._grant.ranges, hold_s)

    def holds(self, key, now):
        """Whether the target holds ``key``, as far as this daemon knows.

        If the daemon restarts while its target runs on, the target's keys would be
        unserved until the next heartbeat, when it is told again to hold them. Until
        then, the holds that its heartbeat lists count; a target that no longer holds a
        key refuses the request itself.
        """
        held = self._sent_ranges
        if now >= self._sent_until_s:
            is_fresh = now - self._heartbeat_received_s < self._lease.heartbeat_s
            is_restarted = self._sent_grant == GrantId()
            if not (is_fresh and is_restarted):
                return False
            held = self._heartbeat.holds
        return _covers(held, key)

    def held(self, now):
        """Return what the newest heartbeat lists, as a tuple of ``Hold``."""
        return self._heartbeat.holds if self._heartbeat else ()

    @property
    def settled(self):
        """The grant sent to the target before its newest heartbeat."""
        return self._settled


def _covers(ranges, key):
    return any(each.first <= key <= each.last for each in ranges)
