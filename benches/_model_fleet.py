"""The modelled fleet of one service: targets, daemons, shards and delays."""

import attrs
from _model_daemons import GatedDaemon
from _model_target import Target

from tamarackhaven.errors import ErrorKind

SHARD_COUNT = 64
INTER_ZONE_DELAY_S = 0.0005
# Time from an operator's change of a zone until its shards have moved.
REASSIGN_DELAY_S = 0.4
ZONE_RETURN_STEPS = 5
ZONE_RETURN_STEP_S = 1.0
OWNED_SINCE_S = -1000.0


@attrs.frozen
class ServiceShape:
    """Size and caller delay of one service."""

    targets: int
    slots: int
    zones: int
    caller_delay_s: float  # one way, between a caller and a daemon


class Fleet:
    """Targets behind daemons, with shards assigned in turn at the start.

    Parameters
    ----------
    make_daemon : callable
        Returns a daemon for a simulation and a target.
    warm : bool
        Whether the targets are warm at the start.
    """

    def __init__(self, sim, shape, make_daemon):
        self._sim = sim
        self._shape = shape
        self.targets = [
            Target(sim, str(n), n % shape.zones, shape.slots)
            for n in range(shape.targets)
        ]
        self.daemons = [make_daemon(sim, target) for target in self.targets]
        self._grant = 1
        self._owner_by_shard = [n % shape.targets for n in range(SHARD_COUNT)]
        for shard, owner in enumerate(self._owner_by_shard):
            self._own(shard, owner)

    def _own(self, shard, owner):
        daemon = self.daemons[owner]
        if isinstance(daemon, GatedDaemon):
            daemon.adopt_shard(shard, self._grant, OWNED_SINCE_S)

    def deliver(self, request, reply):
        """Deliver a try to the owner's daemon, and its reply to the caller."""
        shard = request.key % SHARD_COUNT
        entry = self._sim.rng.randrange(self._shape.targets)
        delay_s = self._shape.caller_delay_s
        if entry != self._owner_by_shard[shard]:
            delay_s += INTER_ZONE_DELAY_S
        self._sim.after(delay_s, self._arrive, request, shard, reply, delay_s)

    def _arrive(self, request, shard, reply, delay_s):
        def send_back(kind, retry_after_s):
            self._sim.after(delay_s, reply, kind, retry_after_s)

        self.daemons[self._owner_by_shard[shard]].handle(request, shard, send_back)

    def zone_out(self, zone):
        """Mark a zone as out: stop its gates, then move its shards to other zones."""
        for daemon in self._in_zone(zone):
            if isinstance(daemon, GatedDaemon):
                daemon.stop(ErrorKind.ZONE_OUT)
        self._sim.after(REASSIGN_DELAY_S, self._move_shards_away, zone)

    def _in_zone(self, zone):
        return [d for d in self.daemons if d.target.zone == zone]

    def _move_shards_away(self, zone):
        rest = [n for n, t in enumerate(self.targets) if t.zone != zone]
        for shard, owner in enumerate(self._owner_by_shard):
            if self.targets[owner].zone == zone:
                self._move(shard, rest[shard % len(rest)])

    def _move(self, shard, new):
        old = self._owner_by_shard[shard]
        self._owner_by_shard[shard] = new
        if old == new or not isinstance(self.daemons[old], GatedDaemon):
            return
        part = self.daemons[old].release(shard)
        self._grant += 1
        grant = part.grant + 1
        self.daemons[new].import_shard(shard, grant, part)

    def zone_in(self, zone):
        """Bring a zone back with cold targets.

        Fleets with gates move its shards back in several steps, others all at once.
        """
        for daemon in self._in_zone(zone):
            daemon.target.turn_cold()
            if isinstance(daemon, GatedDaemon):
                daemon.open()
        has_gate = isinstance(self.daemons[0], GatedDaemon)
        steps = ZONE_RETURN_STEPS if has_gate else 1
        for step in range(steps):
            self._sim.after(
                step * ZONE_RETURN_STEP_S, self._return_shards, zone, step, steps
            )

    def _return_shards(self, zone, step, steps):
        for shard in range(SHARD_COUNT):
            home = shard % self._shape.targets
            # The shards of one target are ``targets`` apart.
            index = shard // self._shape.targets
            if self.targets[home].zone == zone and index % steps == step:
                self._move(shard, home)
