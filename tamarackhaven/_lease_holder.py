"""A daemon's side of one target's lease: whether it holds, and until when.

The lease holds while a majority of voters acknowledged a renewal, counted from the
moment before that renewal was sent. Times are seconds of a clock that also counts
suspension.

An answer says neither who gave it nor for which epoch, only the number of the
datagram that it answers; the holder remembers to whom and when it sent each number.
That is enough: only a control VM that received that very datagram can name its
number, and a duplicate or a late answer names the same one again. Numbers are
forgotten when the epoch or the membership changes, so an answer counts only for the
epoch and the membership that it was asked for. Another member that has come to the
address of an earlier one refuses by itself: until the log makes it a voter it answers
NOT_VOTER, and afterwards its membership is newer than the renewal's.
"""

import enum
import math

import attrs

from tamarackhaven._lease_times import hold_s
from tamarackhaven._lease_wire import Reason, Renewal, next_seq

_REJOIN = frozenset({Reason.FENCED, Reason.STALE_EPOCH})
_SAYS_NOTHING_OF_STATE = frozenset({Reason.NOT_VOTER, Reason.STALE_MEMBERSHIP})
_MAX_SENT = 1024


class LeaseLoss(enum.Enum):
    """Why a daemon does not hold its lease."""

    NO_GRANT = "no-grant"  # has no epoch, or none that a majority acknowledged yet
    RELEASED = "released"
    REFUSED = "refused"  # its epoch is fenced or superseded
    EXPIRED = "expired"  # no majority acknowledged in time


@attrs.frozen
class _Sent:
    voter: str
    at: float


class LeaseHolder:
    """The lease of one target, as its daemon knows it.

    Parameters
    ----------
    settings : LeaseSettings
        Timings, the same at all control VMs.
    membership : Membership
        Who votes, by the map that the daemon has applied. A newer one must be set
        only together with all state up to its version.
    seq : int
        Number before the first datagram's; a random one tells processes apart.
    """

    def __init__(self, settings, membership, seq=0):
        self._hold_s = hold_s(settings)
        self._membership = membership
        self._voters = membership.voters
        self._seq = seq
        self._state_version = 0
        self._confirmed_by_voter = {}
        self._unconfirmed_by_voter = {}
        self.draining = False
        self.seen_state_version = 0
        self.confirmed_at = -math.inf
        self._start(0)

    def _start(self, epoch):
        self.epoch = epoch
        self._sent_by_seq = {}
        self._acked_by_voter = {}
        self._released = False
        self.held_until = -math.inf
        self.must_rejoin = None
        self.refusal_by_voter = {}

    @property
    def released(self):
        """Whether the lease of the present epoch was given up."""
        return self._released

    @property
    def membership(self):
        """The membership that majorities are counted by."""
        return self._membership

    def set_grant(self, epoch):
        """Take the epoch that the log gave this process; older ones are ignored."""
        if epoch > self.epoch:
            self._start(epoch)

    def set_membership(self, membership):
        """Count majorities by a newer membership from now on.

        Acknowledgements under the older one stop counting, but what is already held
        stays held: the next change but one waits until that has ended.
        """
        if membership.version <= self._membership.version:
            return
        self._membership = membership
        self._voters = membership.voters
        self._sent_by_seq = {}
        self._acked_by_voter = {}
        self._confirmed_by_voter = {}
        self._unconfirmed_by_voter = {}

    def set_state_version(self, version):
        """The daemon has applied the map up to ``version``."""
        self._state_version = max(self._state_version, version)
        for voter, (sent, seen) in list(self._unconfirmed_by_voter.items()):
            if seen <= self._state_version:
                del self._unconfirmed_by_voter[voter]
                self._confirm(voter, sent)

    def renew(self, now):
        """Return a ``Renewal`` for each voter by name; none if there is no epoch.

        Call it before sending: ``now`` is what the hold is counted from. Counted from
        the acknowledgement instead, a slow datagram would add its own delay to the
        hold, and the daemon would outlive the promise.
        """
        if not self.epoch or self._released or self.must_rejoin:
            return {}
        return {voter: self._renewal(voter, now) for voter in self._voters}

    def _renewal(self, voter, now):
        self._seq = next_seq(self._seq)
        self._sent_by_seq[self._seq] = _Sent(voter, now)
        if len(self._sent_by_seq) > _MAX_SENT:
            del self._sent_by_seq[next(iter(self._sent_by_seq))]
        version = self._membership.version
        return Renewal(self.epoch, version, self._seq, self.draining)

    def acked(self, ack, now):
        """Count one answer; duplicates, late ones and foreign ones do no harm."""
        sent = self._sent_by_seq.get(ack.seq)
        if sent is None or sent.at > now:
            return
        self._note_state(ack, sent)
        if ack.granted:
            self.refusal_by_voter.pop(sent.voter, None)
            self._count(sent.voter, sent.at)
            return
        self.refusal_by_voter[sent.voter] = ack.reason
        if ack.reason in _REJOIN:
            self.must_rejoin = ack.reason

    def _count(self, voter, sent):
        self._acked_by_voter[voter] = max(sent, self._acked_by_voter.get(voter, sent))
        majority_sent = self._majority(self._acked_by_voter)
        if majority_sent is not None and not self._released:
            self.held_until = max(self.held_until, majority_sent + self._hold_s)

    def _majority(self, time_by_voter):
        """Return the newest time that a majority of voters reached, or None."""
        times = sorted(time_by_voter.values(), reverse=True)
        quorum = len(self._voters) // 2 + 1
        return times[quorum - 1] if len(times) >= quorum else None

    def _note_state(self, ack, sent):
        self.seen_state_version = max(self.seen_state_version, ack.state_version)
        if ack.reason in _SAYS_NOTHING_OF_STATE:
            return
        if ack.state_version <= self._state_version:
            self._confirm(sent.voter, sent.at)
        else:
            # Keep the oldest: under steady change the newest is always ahead of the
            # map, and the state would never count as confirmed.
            seen = (sent.at, ack.state_version)
            self._unconfirmed_by_voter.setdefault(sent.voter, seen)

    def _confirm(self, voter, sent):
        known = self._confirmed_by_voter.get(voter, sent)
        self._confirmed_by_voter[voter] = max(sent, known)
        confirmed = self._majority(self._confirmed_by_voter)
        if confirmed is not None:
            self.confirmed_at = max(self.confirmed_at, confirmed)

    def holds(self, now):
        """Return whether the lease holds at ``now``."""
        return now < self.held_until

    def lost(self, now):
        """Return why the lease does not hold, or None if it does."""
        if self.holds(now):
            return None
        if self._released:
            return LeaseLoss.RELEASED
        if self.must_rejoin:
            return LeaseLoss.REFUSED
        never = self.held_until == -math.inf
        return LeaseLoss.NO_GRANT if never else LeaseLoss.EXPIRED

    def release(self):
        """Give the lease up at once; only a newer epoch can be held again."""
        self._released = True
        self.held_until = -math.inf
