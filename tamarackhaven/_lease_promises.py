"""A control VM's side of leases: to whom it promised, and what it fenced.

A promise says: until it ends, this control VM acknowledges no other process for that
target. A fence says: this control VM never again acknowledges that epoch. Promises
are in memory only, so that no renewal waits for a disk; fences are durable.

After a restart the promises are forgotten, so any target may be promised to any
process. For one promise time the control VM then neither fences nor grants anything.
Granting to the asker would not do, even to one that holds its lease: another process
may have this VM's forgotten acknowledgement in hand, add a second voter's, and hold
as well. Granting to the newest epoch in the log would not do either: the forgotten
promise may be to an older one. Refusing everyone costs less than half a second of
one vote, which a majority of others bridges, and needs no record on disk.

A renewal names an epoch only. The epoch is the index of the log entry that admitted
one process to one target, and that entry is committed before the process hears of it,
so no two processes ever have the same. What it stands for is looked up in the state
that this control VM has applied. An epoch beyond that is refused as NOT_READY: the VM
can't know whose promise it would be. One within it that is no target's newest was
replaced or deleted, and is refused for ever. Whether an epoch is known never weakens
a promise: promises and fences are kept by target, so a newer epoch of a target still
waits for the promise to an older one.
"""

import math

import attrs

from tamarackhaven._lease_times import promise_s, to_ms
from tamarackhaven._lease_wire import Ack, Reason

_PRUNE_AT = 4096
# A VM that has not applied an entry yet has it within about a round trip.
_UNKNOWN_EPOCH_RETRY_S = 0.02


@attrs.frozen
class LeaseView:
    """What a control VM knows of an epoch and of itself when a renewal arrives.

    Parameters
    ----------
    membership_version : int
        Version of the newest membership in this member's log, committed or not, as
        consensus itself counts. With the applied one, a majority could go on acking
        by a membership whose successor is committed already.
    state_version : int
        Version of the state that it has applied.
    voter : bool
        Whether it is a voter of that membership.
    target : tuple of (str, str) or None
        Service and target whose newest epoch in the applied state it is.
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
    """Answer to a fence: ``remaining_ms`` is when to ask again if not ``ok``."""

    ok: bool
    remaining_ms: int = 0


@attrs.frozen
class _Promise:
    epoch: int
    until: float


class LeasePromises:
    """The promises and fences of one control VM.

    Parameters
    ----------
    settings : LeaseSettings
        Timings, the same at all daemons.
    boot_now : float
        Time of this process's start, in seconds; promises older than that are
        forgotten and may run until a promise time later.
    epochs_by_target : dict of (str, str) to int
        Newest fenced epoch by service and target, from disk.
    """

    def __init__(self, settings, boot_now, epochs_by_target=None):
        self._promise_s = promise_s(settings)
        self._fenced_by_target = dict(epochs_by_target or {})
        self._promise_by_target = {}
        self._unknown_until = boot_now + self._promise_s
        self._membership_settled_at = boot_now + self._promise_s

    def joined(self, now):
        """Count every target as promised: a new voter knows of no promise."""
        self._unknown_until = max(self._unknown_until, now + self._promise_s)

    def membership_changed(self, now):
        """A change of membership was committed; also call it on becoming leader."""
        settled = now + self._promise_s
        self._membership_settled_at = max(self._membership_settled_at, settled)

    def ready_for_membership_change(self, now):
        """Return whether leases held by an older membership have ended.

        Majorities of neighbouring memberships overlap, those two changes apart need
        not. Without the wait, a daemon one change behind could hold a majority that
        the fencing majority never meets: two owners.
        """
        return now >= self._membership_settled_at

    def renewal(self, renewal, now, view):
        """Grant or refuse one renewal.

        Parameters
        ----------
        renewal : Renewal
            As received.
        now : float
            Read after receipt, in seconds. The daemon counts from before sending, so
            the promise outlasts the hold however long the datagram took.
        view : LeaseView
            What the log says at this moment.

        Returns
        -------
        Ack
        """
        reason, wait_s = self._refusal(renewal, now, view)
        if reason is Reason.GRANTED:
            self._promise(renewal.epoch, view.target, now)
        return Ack(renewal.seq, reason, view.state_version, to_ms(wait_s))

    def _refusal(self, renewal, now, view):
        reason = self._standing_refusal(renewal, view)
        if reason is not Reason.GRANTED:
            return reason, 0.0
        if view.target is None:
            return Reason.NOT_READY, _UNKNOWN_EPOCH_RETRY_S
        if now < self._unknown_until:
            return Reason.NOT_READY, self._unknown_until - now
        promise = self._promise_by_target.get(view.target)
        if promise is None or now >= promise.until:
            return Reason.GRANTED, 0.0
        if promise.epoch == renewal.epoch:
            return Reason.GRANTED, 0.0
        return Reason.NAME_CLAIMED, promise.until - now

    def _standing_refusal(self, renewal, view):
        """Return the reason that no waiting changes, or ``GRANTED``."""
        if not view.voter:
            return Reason.NOT_VOTER
        if view.retired or renewal.epoch <= self._fenced_by_target.get(view.target, 0):
            return Reason.FENCED
        if view.target is None and renewal.epoch <= view.state_version:
            return Reason.STALE_EPOCH
        if renewal.membership_version < view.membership_version:
            # The daemon counts a majority of voters that are no longer the voters.
            return Reason.STALE_MEMBERSHIP
        if view.zone_out and not renewal.draining:
            return Reason.ZONE_OUT
        return Reason.GRANTED

    def _promise(self, epoch, target, now):
        if len(self._promise_by_target) >= _PRUNE_AT:
            self._prune(now)
        # A delayed datagram can be handled after a newer one, and a caller's clock
        # reading can be older: a promise must never get shorter.
        known = self._promise_by_target.get(target)
        until = now + self._promise_s
        if known is not None:
            until = max(until, known.until)
        self._promise_by_target[target] = _Promise(epoch, until)

    def _prune(self, now):
        self._promise_by_target = {
            target: promise
            for target, promise in self._promise_by_target.items()
            if now < promise.until
        }

    def promise_end(self, service, target, epoch):
        """Return when the promise to this epoch ends or ended.

        One to an older epoch says nothing of how long this one has been silent: a
        target that has just joined again would be retired before it can renew.

        Returns
        -------
        float or None
            Seconds; None if this process never promised to it.
        """
        promise = self._promise_by_target.get((service, target))
        if promise is None or promise.epoch != epoch:
            return None
        return promise.until

    def fence(self, service, target, epoch, now):
        """Refuse all epochs up to ``epoch`` for ever, unless a promise still runs.

        The caller must sync the fence to disk before it tells anybody. Told earlier
        and forgotten in a crash, the fenced daemon could win this vote back after its
        shards had gone to another.

        Returns
        -------
        Fenced
        """
        key = (service, target)
        if epoch <= self._fenced_by_target.get(key, 0):
            return Fenced(True)
        promise = self._promise_by_target.get(key)
        is_covered = promise is not None and promise.epoch <= epoch
        end = promise.until if is_covered else -math.inf
        wait_s = max(self._unknown_until, end) - now
        if wait_s > 0:
            return Fenced(False, to_ms(wait_s))
        self._fenced_by_target[key] = epoch
        return Fenced(True)
