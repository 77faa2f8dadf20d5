"""A daemon's state of the target beside it, and the keys it tells the target to hold.

Pure: heartbeats, grants and the time are passed in.
"""

import attrs

from tamarackhaven.fleet._model import (
    GrantId,
    Hold,
    Release,
    Target,
    TargetPhase,
    life_of,
)
from tamarackhaven.routing import HoldOrders
from tamarackhaven.sidecar._called_holds import CalledHolds
from tamarackhaven.sidecar._draining import accepts_new
from tamarackhaven.sidecar._heartbeat_order import HeartbeatOrder, Order
from tamarackhaven.sidecar._key_holds import HeartbeatHolds, HeartbeatReply
from tamarackhaven.sidecar._named_limit import NamedLimit

# A target without a heartbeat for this many intervals and one second gets no requests
# that another target can run. A heartbeat may be late by seconds; after a crash there
# are none at all.
MAX_MISSED_HEARTBEATS = 3

_HOLDS_BY_ORDERS = {
    HoldOrders.HEARTBEATS: HeartbeatHolds,
    HoldOrders.CALLS: CalledHolds,
}


@attrs.frozen
class Heartbeat:
    """State that a target reports of itself.

    Parameters
    ----------
    name, born_ms
        Its name, and when it was started, in milliseconds of Unix time.
    sequence : int
        Increases with each heartbeat of a life.
    slots : int
        How many requests it runs at once.
    cold_s : float
        How much longer it's slow after its start, in seconds.
    holds, releases : tuple of Hold, tuple of Release
        Keys that it holds, and keys that it has released.
    address : str
        Host and port at which it accepts requests.
    """

    name: str
    born_ms: int
    service: str
    zone: str
    slots: int
    phase: TargetPhase
    sequence: int
    cold_s: float = 0.0
    holds: tuple[Hold, ...] = ()
    releases: tuple[Release, ...] = ()
    address: str = ""


class TargetState:
    """State of the target's current life.

    Parameters
    ----------
    settings : DaemonSettings
        Settings of the daemon.
    host, port : str, int
        Address at which other daemons reach this one.
    """

    def __init__(self, settings, host, port):
        self._settings = settings
        self._host = host
        self._port = port
        self.heartbeat = None
        self.heartbeat_received_s = float("-inf")
        self._cold_until_s = float("-inf")
        # By its own word in a health check, which a late heartbeat doesn't take back.
        self._checked_cold_until_s = float("-inf")
        self.leaving_since_s = None
        self.limit = NamedLimit()
        self._early_leave = None
        self._order = HeartbeatOrder(settings.lease.heartbeat_s)
        self.ended_lives = []
        self._keys = None
        self._hold_orders = HoldOrders.HEARTBEATS

    @property
    def life(self):
        """Name of the current life, empty before the first heartbeat."""
        beat = self.heartbeat
        if beat is None:
            return ""
        return life_of(beat.name, beat.born_ms, f"{self._host}:{self._port}")

    @property
    def leaving_life(self):
        """Name of the current life if it leaves, else empty."""
        return self.life if self.leaving_since_s is not None else ""

    def life_named(self, name, born_ms):
        """Return the name of a life of a target on this VM.

        None if its start isn't given (None) and no such target is known to run.
        """
        if born_ms is not None:
            return life_of(name, born_ms, f"{self._host}:{self._port}")
        beat = self.heartbeat
        return self.life if beat is not None and beat.name == name else None

    # Heartbeats.

    def needs_proof(self, beat):
        """Whether a heartbeat names another target than the known one, if any."""
        return self.heartbeat is None or beat.name != self.heartbeat.name

    def apply_heartbeat(self, beat, now, named=None):
        """Apply a heartbeat; return its ``HeartbeatReply``.

        ``named`` is the name that the target gave when it was asked after this
        heartbeat was received, None if it gave none.
        """
        order = self._order.compare(beat, now)
        if not self._accept(beat, now, named):
            if order is Order.LATER_LIFE and named in (None, beat.name):
                self._expect_later_life(beat, now)
            return HeartbeatReply()
        self.heartbeat = beat
        self.heartbeat_received_s = now
        self._cold_until_s = now + beat.cold_s
        has_left = self._early_leave and _is_life(beat, *self._early_leave)
        self._early_leave = None
        if has_left or beat.phase is TargetPhase.DRAINING:
            self._start_draining(now)
        if self._keys is None:
            self._keys = self._make_holds()
        self._keys.may_have_ended = False
        return self._keys.record_heartbeat(beat, now)

    def _expect_later_life(self, beat, now):
        """Do nothing that harms a later life, until it's known which one runs.

        The next heartbeat tells. A later life might be cold, and mustn't be given the
        former one's keys under their fencing tokens.
        """
        self._cold_until_s = max(self._cold_until_s, now + beat.cold_s)
        if self._keys is not None:
            self._keys.may_have_ended = True

    def _make_holds(self):
        kind = _HOLDS_BY_ORDERS[self._hold_orders]
        return kind(self._settings.lease, self.life)

    def set_hold_orders(self, orders):
        """Set how the target is told its keys from now on, a ``HoldOrders``."""
        if orders is not self._hold_orders:
            self._hold_orders = orders
            self._keys = None

    def _accept(self, beat, now, named):
        """Return whether a heartbeat is of the running life, and newer.

        One of another life ends the current life, since two processes can't listen on
        one address.
        """
        if not self._order.accepts(beat, now, named):
            return False
        known = self.heartbeat
        if known is not None and not _is_life(known, beat.name, beat.born_ms):
            self._end_life()
        return True

    def heartbeat_order(self, beat, now):
        """Return the ``Order`` of a heartbeat after the newest one that was taken."""
        return self._order.compare(beat, now)

    def suspect_end(self):
        """Record that the target has broken off its connections and listens no more.

        It may only be leaving, so its keys stay its own. But a heartbeat of a later
        life needs no other proof from now on.
        """
        self._order.suspect_end()

    def end(self):
        """End the current life, which is known not to run any more."""
        self._order.forget()
        self._end_life()

    def _end_life(self):
        if self.heartbeat is not None:
            self.ended_lives.append(self.life)
            del self.ended_lives[:-8]
        self.heartbeat = None
        self.leaving_since_s = None
        self._checked_cold_until_s = float("-inf")
        self.limit = NamedLimit()
        self._keys = None

    def leave(self, name, born_ms, now):
        """Mark the target as draining if the current life says that it leaves.

        Parameters
        ----------
        name, born_ms : str, int or None
            Of the life that says so; its start isn't always known. A call of a former
            life with the same name may come late.
        now : float
            Seconds of the boot clock.

        Returns
        -------
        bool
            Whether it was the current life, or may be the next one that is known.
        """
        if self.heartbeat is None:
            # This daemon has just started. The call is acknowledged, and the target
            # isn't bound to send it again.
            self._early_leave = name, born_ms
            return True
        if not _is_life(self.heartbeat, name, born_ms):
            return False
        self._start_draining(now)
        return True

    def leave_life(self, life, since_s):
        """Mark a life as draining since ``since_s``; return whether it wasn't before.

        ``since_s`` is in seconds of the boot clock.
        """
        was_leaving = self.leaving_since_s is not None
        if was_leaving or self.heartbeat is None or life != self.life:
            return False
        self._start_draining(since_s)
        return True

    def _start_draining(self, since_s):
        if self.leaving_since_s is None:
            self.leaving_since_s = since_s

    # Keys.

    @property
    def keys(self):
        """Holds of the current life, None before the first heartbeat.

        A ``HeartbeatHolds`` or a ``CalledHolds``.
        """
        return self._keys

    def apply_grant(self, grant, requested_s):
        """Apply a grant; its lease starts at ``requested_s``, when it was requested."""
        if self._keys is not None:
            self._keys.apply_grant(grant, requested_s)

    def holds(self, key, now):
        """Whether the target holds ``key``, as far as this daemon knows."""
        return self._keys is not None and self._keys.holds(key, now)

    def is_granted(self, key, now):
        """Whether the newest grant, until it expires, includes ``key``.

        The target holds it or is about to be told to hold it.
        """
        return self._keys is not None and self._keys.is_granted(key, now)

    @property
    def keys_index(self):
        """Log index of the owners that the newest grant is based on, -1 without one."""
        return self._keys.keys_index if self._keys else -1

    def held(self, now):
        """Return what the target may hold, as a tuple of ``Hold``."""
        return self._keys.held(now) if self._keys else ()

    def knows_holds(self, now):
        """Whether ``held`` includes all that the target may hold."""
        return self._keys is not None and self._keys.is_known(now)

    @property
    def settled(self):
        """The newest grant that ``held`` reflects."""
        return self._keys.settled if self._keys else GrantId()

    @property
    def releases(self):
        """Recent releases of the target, as a tuple of ``Release``."""
        return self._keys.releases if self._keys else ()

    @property
    def refused(self):
        """Ranges that the target refuses to hold under their present fence.

        A tuple of ``Hold``.
        """
        return self._keys.refused if self._keys else ()

    # Questions.

    def is_silent(self, now):
        """Whether heartbeats have been missing for too long."""
        limit_s = 1.0 + MAX_MISSED_HEARTBEATS * self._settings.lease.heartbeat_s
        return now - self.heartbeat_received_s > limit_s

    def accepts_new(self, is_sharded, now):
        """Whether the target may get new requests; a draining one only for its keys."""
        if self.heartbeat is None:
            return False
        return accepts_new(
            is_sharded, self.leaving_since_s, self._settings.drain_s, now
        )

    def is_cold(self, now):
        """Whether the target bears little for now, as after its start."""
        return now < max(self._cold_until_s, self._checked_cold_until_s)

    def record_cold(self, until_s):
        """Record that the target says that it's cold until ``until_s``."""
        self._checked_cold_until_s = until_s

    def is_named(self, life, checked):
        """Whether ``life`` is still the current one, and gave its name in a check."""
        beat = self.heartbeat
        return (
            beat is not None and life == self.life and checked.health.name == beat.name
        )

    def target(self, now, load=0.0, work_s=0.0):
        """Return the ``Target`` for a report, None before the first heartbeat.

        Parameters
        ----------
        now : float
            Seconds of the boot clock.
        load : float
            Requests that run or wait, per slot.
        work_s : float
            Mean time of an answer, in seconds.
        """
        beat = self.heartbeat
        if beat is None:
            return None
        is_leaving = self.leaving_since_s is not None
        is_draining = is_leaving or self.is_silent(now)
        return Target(
            life=self.life,
            name=beat.name,
            born_ms=beat.born_ms,
            service=beat.service,
            zone=beat.zone,
            host=self._host,
            port=self._port,
            slots=beat.slots,
            phase=TargetPhase.DRAINING if is_draining else TargetPhase.READY,
            load=load,
            work_s=work_s,
            is_cold=self.is_cold(now),
            limit_per_s=self.limit.per_s,
            is_leaving=is_leaving,
        )


def _is_life(heartbeat, name, born_ms):
    """Whether a heartbeat is of a life, whose start may be unknown (None)."""
    return heartbeat.name == name and born_ms in (None, heartbeat.born_ms)
