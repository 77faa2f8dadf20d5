"""What a daemon knows of the target beside it, and what it tells it to hold.

Pure: heartbeats, grants and the time come in.
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

# A target's clock may run this part slow, so that what it is told to hold lasts
# longer; the platform names 2%, the rest is for the way of the answer.
HOLD_STRETCH = 1.025
# A hold shorter than this has run out before the target has read of it.
SHORTEST_HOLD_S = 0.1
# An owner goes on serving the keys it holds while they move, but for this part of the
# time in which it must end; requests on their way arrive within it.
DRAIN_MARGIN_S = 0.5
# A target that is silent for so many heartbeats, and a second, gets nothing that can
# go elsewhere: a heartbeat may be late by seconds, a crash sends none at all.
SILENT_HEARTBEATS = 3
# Releases are told to the leader for so long; it needs them within a heartbeat.
RELEASE_KEPT_S = 15.0


@attrs.frozen
class Heartbeat:
    """What a target says of itself.

    Parameters
    ----------
    name, born_ms
        Its name, and the Unix millisecond of its start.
    sequence : int
        Rises with each heartbeat of a life.
    cold_s : float
        How much longer it is slow after its start.
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


@attrs.frozen
class HeartbeatReply:
    """The answer: keys to hold, or None to say nothing about keys."""

    ranges: tuple | None = None
    hold_s: float = 0.0


class TargetState:
    """The present life of the target.

    Parameters
    ----------
    settings : DaemonSettings
        Of the daemon.
    host, port : str, int
        Where other daemons reach this one.
    """

    def __init__(self, settings, host, port):
        self._settings = settings
        self._host = host
        self._port = port
        self.heartbeat = None
        self.heard_s = float("-inf")
        self.cold_until_s = float("-inf")
        self.leaving_since_s = None
        self.ended_lives = []
        self._grant = None
        self._lease_until_s = float("-inf")
        self._told = GrantId()
        self._settled = GrantId()
        self._held_until_s = float("-inf")
        self._held = ()
        self._releases = []

    @property
    def life(self):
        """Name of the present life, empty before the first heartbeat."""
        beat = self.heartbeat
        if beat is None:
            return ""
        return life_of(beat.name, beat.born_ms, f"{self._host}:{self._port}")

    # Heartbeats.

    def take(self, beat, now):
        """Take in a heartbeat; return its ``HeartbeatReply``."""
        if not self._accept(beat):
            return HeartbeatReply()
        self._settled = self._told
        self.heartbeat = beat
        self.heard_s = now
        self.cold_until_s = now + beat.cold_s
        self._note_releases(beat, now)
        if beat.phase is TargetPhase.DRAINING:
            self._leave(now)
        return self._reply(now)

    def _accept(self, beat):
        """Tell whether a heartbeat is newer than what is known."""
        known = self.heartbeat
        if known is None:
            return True
        if (beat.name, beat.born_ms) == (known.name, known.born_ms):
            return beat.sequence > known.sequence
        # Failure: a heartbeat of an earlier life comes late. Symptom: the daemon would
        # take the living target for the dead one. Enough: the later start is the
        # living one, and two can't listen at one address.
        if beat.born_ms <= known.born_ms:
            return False
        self.end()
        return True

    def end(self):
        """Forget the present life: it certainly runs no more."""
        if self.heartbeat is not None:
            self.ended_lives.append(self.life)
            del self.ended_lives[:-8]
        self.heartbeat = None
        self.leaving_since_s = None
        self._told = self._settled = GrantId()
        self._held = ()
        self._held_until_s = float("-inf")
        self._releases = []

    def leave(self, name, now):
        """Note that the target said goodbye."""
        if self.heartbeat is not None and self.heartbeat.name == name:
            self._leave(now)

    def _leave(self, now):
        if self.leaving_since_s is None:
            self.leaving_since_s = now

    def _note_releases(self, beat, now):
        self._releases = [
            (at, each) for at, each in self._releases if now - at < RELEASE_KEPT_S
        ]
        self._releases += [(now, each) for each in beat.releases]

    def _reply(self, now):
        grant = self._grant
        hold_s = (self._lease_until_s - now) / HOLD_STRETCH
        hold_s = min(hold_s, self._settings.lease.longest_hold_s)
        is_ours = grant is not None and grant.life == self.life
        if not is_ours or hold_s < SHORTEST_HOLD_S:
            return HeartbeatReply()
        self._told = grant.grant
        self._held = grant.ranges
        self._held_until_s = now + hold_s
        return HeartbeatReply(grant.ranges, hold_s)

    # Grants.

    def take_grant(self, grant, asked_s):
        """Take in a grant; its lease counts from when it was asked for."""
        if self._grant is not None and grant.grant < self._grant.grant:
            return
        self._grant = grant
        self._lease_until_s = asked_s + grant.lease_s

    # Questions.

    def holds(self, key, now):
        """Whether the target holds ``key``, as far as this daemon knows.

        Failure: the daemon restarts while its target goes on. Symptom: the target's
        keys are unserved until it has been told again to hold them, a heartbeat
        later. Enough: what it says that it holds counts until then; a target that
        holds no longer refuses the request itself.
        """
        held = self._held
        if now >= self._held_until_s:
            is_fresh = now - self.heard_s < self._settings.lease.heartbeat_s
            is_restarted = self._told == GrantId()
            if not (is_fresh and is_restarted and self.heartbeat):
                return False
            held = self.heartbeat.holds
        return any(each.first <= key <= each.last for each in held)

    def is_granted(self, key, now):
        """Whether the target will be told to hold ``key`` at its next heartbeat."""
        grant = self._grant
        if grant is None or grant.life != self.life or now >= self._lease_until_s:
            return False
        return any(each.first <= key <= each.last for each in grant.ranges)

    def is_silent(self, now):
        """Whether heartbeats have been missing for too long."""
        limit_s = 1.0 + SILENT_HEARTBEATS * self._settings.lease.heartbeat_s
        return now - self.heard_s > limit_s

    def takes_new(self, is_sharded, now):
        """Whether the target may get requests that it doesn't run yet."""
        if self.heartbeat is None:
            return False
        if self.leaving_since_s is None:
            return True
        grace_s = max(self._settings.drain_s - DRAIN_MARGIN_S, 0.0)
        return is_sharded and now - self.leaving_since_s < grace_s

    def is_cold(self, now):
        """Whether the target is cold."""
        return now < self.cold_until_s

    def target(self, now, load=0.0, work_s=0.0):
        """Return the ``Target`` for a report, None before the first heartbeat."""
        beat = self.heartbeat
        if beat is None:
            return None
        leaves = self.leaving_since_s is not None or self.is_silent(now)
        return Target(
            life=self.life,
            name=beat.name,
            born_ms=beat.born_ms,
            service=beat.service,
            zone=beat.zone,
            host=self._host,
            port=self._port,
            slots=beat.slots,
            phase=TargetPhase.DRAINING if leaves else TargetPhase.READY,
            load=load,
            work_s=work_s,
            is_cold=self.is_cold(now),
        )

    @property
    def settled(self):
        """The grant told to the target before its newest heartbeat."""
        return self._settled

    @property
    def releases(self):
        """What the target released of late."""
        return tuple(each for _, each in self._releases)
