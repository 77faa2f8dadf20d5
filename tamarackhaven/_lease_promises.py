"""A control VM's side of leases: the promises it made and the epochs it fenced.

Until a promise ends, this control VM acknowledges no other process for that target.
Once an epoch is fenced, this control VM never acknowledges it again. Promises are in
memory only, so that no renewal waits for a disk; fences are durable.

A restart loses the promises, so any target may be promised to any process. For one
promise time after it the control VM neither fences nor grants anything. Granting to
whichever process asks would be unsafe, even to one that holds its lease: another
process may have received an acknowledgement from before the restart, add a second
voter's, and hold the lease as well. Granting to the newest epoch in the log would be
unsafe too: the lost promise may be to an older one. Refusing every renewal costs less
than half a second of one vote, which a majority of the others makes up for, and needs
no record on disk.

A renewal names an epoch only. The epoch is the index of the log entry that admitted
one process to one target, and that entry is committed before the process receives the
epoch, so no two processes ever have the same one. Its target is looked up in the state
that this control VM has applied. An epoch beyond that state is refused as NOT_READY,
because the VM can't know which target the promise would be for. An epoch within it
that is no target's newest was replaced or deleted, and is refused permanently. Whether
an epoch is known never weakens a promise: promises and fences are kept by target, so a
newer epoch of a target still waits for the promise to an older one.
"""

import math

import attrs

from tamarackhaven._lease_times import promise_s, to_ms
from tamarackhaven._lease_wire import Ack, Reason

_MIN_PROMISES_TO_PRUNE = 4096
# A VM that hasn't applied an entry yet usually applies it within a round trip.
_UNKNOWN_EPOCH_RETRY_S = 0.02


@attrs.frozen
class LeaseView:
    """What a control VM knows about an epoch and itself when a renewal arrives.

    Parameters
    ----------
    membership_version : int
        Version of the newest membership in this member's log, committed or not, as in
        consensus. With the applied membership's version instead, a majority could
        keep acknowledging under a membership whose successor is already committed.
    state_version : int
        Version of the state that the control VM has applied.
    voter : bool
        Whether the control VM is a voter of that membership.
    target : tuple of (str, str) or None
        Service and target whose newest epoch in the applied state the renewal names.
    retired : bool
        Whether that epoch is retired.
    zone_out : bool
        Whether the target's availability zone is taken out.
    """

    membership_version: int
    state_version: int
    voter: bool = True
    target: tuple[str, str] | None = None
    retired: bool = False
    zone_out: bool = False


@attrs.frozen
class Fenced:
    """Answer to a fence: if not ``ok``, retry after ``remaining_ms`` milliseconds."""

    ok: bool
    remaining_ms: int = 0


@attrs.frozen
class _Promise:
    epoch: int
    until_s: float


class LeasePromises:
    """The promises and fences of one control VM.

    Parameters
    ----------
    settings : LeaseSettings
        Timings, the same at all daemons.
    boot_now : float
        Time of this process's start, in seconds. Promises made before it are lost, and
        may run until a promise time after it.
    epochs_by_target : dict of (str, str) to int
        Newest fenced epoch by service and target, from disk.
    """

    def __init__(self, settings, boot_now, epochs_by_target=None):
        self._promise_s = promise_s(settings)
        self._fenced_by_target = dict(epochs_by_target or {})
        self._promise_by_target = {}
        self._unknown_until_s = boot_now + self._promise_s
        self._membership_settled_at_s = boot_now + self._promise_s

    def joined(self, now):
        """Treat every target as promised, as a new voter has no record of promises.

        This lasts for a promise time.
        """
        self._unknown_until_s = max(self._unknown_until_s, now + self._promise_s)

    def membership_changed(self, now):
        """Record that a membership change was committed or this VM became leader."""
        settled = now + self._promise_s
        self._membership_settled_at_s = max(self._membership_settled_at_s, settled)

    def ready_for_membership_change(self, now):
        """Return whether leases held under an older membership have ended.

        Majorities of consecutive memberships overlap; those of memberships two changes
        apart need not. Without the wait, a daemon one change behind could hold a
        majority that shares no voter with the fencing majority, so that there would be
        two owners.
        """
        return now >= self._membership_settled_at_s

    def answer_renewal(self, renewal, now, view):
        """Grant or refuse one renewal.

        Parameters
        ----------
        renewal : Renewal
            As received.
        now : float
            Time read after receipt, in seconds. The daemon counts its lease from before
            it sent the renewal, so the promise outlasts the lease however long the
            datagram took.
        view : LeaseView
            What the log and the applied state say at this moment.

        Returns
        -------
        Ack
        """
        reason, wait_s = self._refusal(renewal, now, view)
        if reason is Reason.GRANTED:
            self._record_promise(renewal.epoch, view.target, now)
        return Ack(renewal.seq, reason, view.state_version, to_ms(wait_s))

    def _refusal(self, renewal, now, view):
        reason = self._time_independent_refusal(renewal, view)
        if reason is not Reason.GRANTED:
            return reason, 0.0
        if view.target is None:
            return Reason.NOT_READY, _UNKNOWN_EPOCH_RETRY_S
        if now < self._unknown_until_s:
            return Reason.NOT_READY, self._unknown_until_s - now
        promise = self._promise_by_target.get(view.target)
        if promise is None or now >= promise.until_s:
            return Reason.GRANTED, 0.0
        if promise.epoch == renewal.epoch:
            return Reason.GRANTED, 0.0
        return Reason.NAME_CLAIMED, promise.until_s - now

    def _time_independent_refusal(self, renewal, view):
        """Return the refusal that waiting does not change, or ``GRANTED``."""
        if not view.voter:
            return Reason.NOT_VOTER
        if view.retired or renewal.epoch <= self._fenced_by_target.get(view.target, 0):
            return Reason.FENCED
        if view.target is None and renewal.epoch <= view.state_version:
            return Reason.STALE_EPOCH
        if renewal.membership_version < view.membership_version:
            # The daemon counts a majority of a set of voters that is out of date.
            return Reason.STALE_MEMBERSHIP
        if view.zone_out and not renewal.draining:
            return Reason.ZONE_OUT
        return Reason.GRANTED

    def _record_promise(self, epoch, target, now):
        if len(self._promise_by_target) >= _MIN_PROMISES_TO_PRUNE:
            self._prune(now)
        # A promise must never get shorter, although a delayed datagram can be handled
        # after a newer one and a caller can pass an older clock reading.
        known = self._promise_by_target.get(target)
        until_s = now + self._promise_s
        if known is not None:
            until_s = max(until_s, known.until_s)
        self._promise_by_target[target] = _Promise(epoch, until_s)

    def _prune(self, now):
        self._promise_by_target = {
            target: promise
            for target, promise in self._promise_by_target.items()
            if now < promise.until_s
        }

    def promise_end(self, service, target, epoch):
        """Return when the promise to this epoch ends or ended.

        A promise to an older epoch doesn't count: it doesn't show how long this epoch
        has been silent, and a target that has just rejoined would be retired before it
        can renew.

        Returns
        -------
        float or None
            Seconds; None if this process never promised to it.
        """
        promise = self._promise_by_target.get((service, target))
        if promise is None or promise.epoch != epoch:
            return None
        return promise.until_s

    def fence(self, service, target, epoch, now):
        """Refuse all epochs up to ``epoch`` permanently, unless a promise still runs.

        The caller must sync the fence to disk before it reports the fence. If a fence
        were reported first and then lost in a crash, the fenced daemon could get this
        vote again after its shards had been granted to another target.

        Returns
        -------
        Fenced
        """
        key = (service, target)
        if epoch <= self._fenced_by_target.get(key, 0):
            return Fenced(True)
        promise = self._promise_by_target.get(key)
        is_blocked = promise is not None and promise.epoch <= epoch
        end = promise.until_s if is_blocked else -math.inf
        wait_s = max(self._unknown_until_s, end) - now
        if wait_s > 0:
            return Fenced(False, to_ms(wait_s))
        self._fenced_by_target[key] = epoch
        return Fenced(True)
