"""A daemon's side of one target's lease: whether it holds, and until when.

The lease holds for a lease time once a majority of voters has acknowledged a renewal,
counted from just before that renewal was sent. Times are seconds of a clock that also
counts suspension.

An answer carries neither the control VM's name nor the epoch, only the sequence number
of the datagram that it answers; the holder records the voter and the sending time of
each sequence number. This is safe because only a control VM that received that
datagram can return its number, and a duplicate or late answer returns the same one.
Sequence numbers are discarded when the epoch or the membership changes, so an answer
counts only for the epoch and the membership of its renewal. A new member at the address
of a former one refuses on its own: until the log makes it a voter it answers NOT_VOTER,
and afterwards its membership is newer than the renewal's.
"""

import enum
import math

import attrs

from tamarackhaven._lease_times import hold_s
from tamarackhaven._lease_wire import Reason, Renewal, next_seq

_REJOIN_REASONS = frozenset({Reason.FENCED, Reason.STALE_EPOCH})
_REASONS_WITHOUT_STATE = frozenset({Reason.NOT_VOTER, Reason.STALE_MEMBERSHIP})
_MAX_SENT_RENEWALS = 1024


class LeaseLoss(enum.Enum):
    """Why a daemon does not hold its lease."""

    NO_GRANT = "no-grant"  # no epoch yet, or no majority has acknowledged it
    RELEASED = "released"
    REFUSED = "refused"  # its epoch is fenced or superseded
    EXPIRED = "expired"  # no majority acknowledged in time


@attrs.frozen
class _Sent:
    voter: str
    at: float


class LeaseHolder:
    """Tracks the lease of one target on the side of its daemon.

    Parameters
    ----------
    settings : LeaseSettings
        Timings, the same at all control VMs.
    membership : Membership
        The voters, from the map that the daemon has applied. Set a newer one only
        together with all state up to its version.
    seq : int
        Sequence number before the first datagram's; a random one avoids confusion with
        an earlier process.
    """

    def __init__(self, settings, membership, seq=0):
        self._hold_s = hold_s(settings)
        self._membership = membership
        self._voters = membership.voters
        self._seq = seq
        self._state_version = 0
        self._confirmed_at_by_voter = {}
        self._unconfirmed_by_voter = {}
        self.draining = False
        self.seen_state_version = 0
        self.confirmed_at = -math.inf
        self._start_epoch(0)

    def _start_epoch(self, epoch):
        self.epoch = epoch
        self._sent_by_seq = {}
        self._acked_at_by_voter = {}
        self._released = False
        self.held_until = -math.inf
        self.must_rejoin = None
        self.refusal_by_voter = {}

    @property
    def released(self):
        """Whether the lease of the current epoch was released."""
        return self._released

    @property
    def membership(self):
        """The membership whose voters count towards a majority."""
        return self._membership

    def set_grant(self, epoch):
        """Set the epoch that the log assigned to this process; ignore older ones."""
        if epoch > self.epoch:
            self._start_epoch(epoch)

    def set_membership(self, membership):
        """Count majorities by a newer membership from now on.

        Acknowledgements under the older membership no longer count, but a lease that
        is held stays held: the leader makes no second membership change before that
        lease has ended.
        """
        if membership.version <= self._membership.version:
            return
        self._membership = membership
        self._voters = membership.voters
        self._sent_by_seq = {}
        self._acked_at_by_voter = {}
        self._confirmed_at_by_voter = {}
        self._unconfirmed_by_voter = {}

    def set_state_version(self, version):
        """Record that the daemon has applied the map up to ``version``."""
        self._state_version = max(self._state_version, version)
        for voter, (sent, seen) in list(self._unconfirmed_by_voter.items()):
            if seen <= self._state_version:
                del self._unconfirmed_by_voter[voter]
                self._confirm(voter, sent)

    def renew(self, now):
        """Return a ``Renewal`` for each voter by name; empty if there is no epoch.

        Call it before sending: the lease is counted from ``now``, in seconds. If it
        were counted from the acknowledgement, the delay of a slow datagram would
        lengthen the lease, and the lease would outlast the promise.
        """
        if not self.epoch or self._released or self.must_rejoin:
            return {}
        return {voter: self._renewal(voter, now) for voter in self._voters}

    def _renewal(self, voter, now):
        self._seq = next_seq(self._seq)
        self._sent_by_seq[self._seq] = _Sent(voter, now)
        if len(self._sent_by_seq) > _MAX_SENT_RENEWALS:
            del self._sent_by_seq[next(iter(self._sent_by_seq))]
        version = self._membership.version
        return Renewal(self.epoch, version, self._seq, self.draining)

    def process_ack(self, ack, now):
        """Process one answer; duplicate, late and unrelated ones have no effect."""
        sent = self._sent_by_seq.get(ack.seq)
        if sent is None or sent.at > now:
            return
        self._record_state_version(ack, sent)
        if ack.is_granted:
            self.refusal_by_voter.pop(sent.voter, None)
            self._count_grant(sent.voter, sent.at)
            return
        self.refusal_by_voter[sent.voter] = ack.reason
        if ack.reason in _REJOIN_REASONS:
            self.must_rejoin = ack.reason

    def _count_grant(self, voter, sent):
        self._acked_at_by_voter[voter] = max(
            sent, self._acked_at_by_voter.get(voter, sent)
        )
        majority_sent_at = self._majority(self._acked_at_by_voter)
        if majority_sent_at is not None and not self._released:
            self.held_until = max(self.held_until, majority_sent_at + self._hold_s)

    def _majority(self, time_by_voter):
        """Return the latest time that a majority of voters has reached, or None."""
        times = sorted(time_by_voter.values(), reverse=True)
        quorum = len(self._voters) // 2 + 1
        return times[quorum - 1] if len(times) >= quorum else None

    def _record_state_version(self, ack, sent):
        self.seen_state_version = max(self.seen_state_version, ack.state_version)
        if ack.reason in _REASONS_WITHOUT_STATE:
            return
        if ack.state_version <= self._state_version:
            self._confirm(sent.voter, sent.at)
        else:
            # Keep the oldest: while the state changes steadily, the newest version is
            # always ahead of the map, and the state would never count as confirmed.
            seen = (sent.at, ack.state_version)
            self._unconfirmed_by_voter.setdefault(sent.voter, seen)

    def _confirm(self, voter, sent):
        known = self._confirmed_at_by_voter.get(voter, sent)
        self._confirmed_at_by_voter[voter] = max(sent, known)
        confirmed = self._majority(self._confirmed_at_by_voter)
        if confirmed is not None:
            self.confirmed_at = max(self.confirmed_at, confirmed)

    def holds(self, now):
        """Return whether the lease holds at ``now``, in seconds."""
        return now < self.held_until

    def lost(self, now):
        """Return a ``LeaseLoss`` if the lease doesn't hold at ``now``, else None."""
        if self.holds(now):
            return None
        if self._released:
            return LeaseLoss.RELEASED
        if self.must_rejoin:
            return LeaseLoss.REFUSED
        never = self.held_until == -math.inf
        return LeaseLoss.NO_GRANT if never else LeaseLoss.EXPIRED

    def release(self):
        """Release the lease immediately; only a newer epoch can be held again."""
        self._released = True
        self.held_until = -math.inf
