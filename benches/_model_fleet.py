"""The fleet of one service in the model: targets, daemons, shards, distances."""

import attrs
from _model_daemons import GatedDaemon
from _model_target import Target

from tamarackhaven.errors import ErrorKind

SHARDS = 64
BETWEEN_ZONES_S = 0.0005
# Time from an operators' change until the shards are elsewhere.
REASSIGN_S = 0.4
RETURN_STEPS = 5
RETURN_STEP_S = 1.0
LONG_AGO_S = -1000.0


@attrs.frozen
class ServiceShape:
    """How large one service of a user is."""

    targets: int
    slots: int
    zones: int
    client_s: float  # one way


class Fleet:
    """Targets behind daemons, with a static split of the shards.

    Parameters
    ----------
    make_daemon : callable
        Given the simulation and a target.
    warm : bool
        Whether the targets have been running for long.
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
        self._owner_by_shard = [n % shape.targets for n in range(SHARDS)]
        for shard, owner in enumerate(self._owner_by_shard):
            self._own(shard, owner)

    def _own(self, shard, owner):
        daemon = self.daemons[owner]
        if isinstance(daemon, GatedDaemon):
            daemon.own(shard, self._grant, LONG_AGO_S)

    def deliver(self, request, reply):
        """Carry a try to the owner's daemon and its reply back."""
        shard = request.key % SHARDS
        asked = self._sim.rng.randrange(self._shape.targets)
        way_s = self._shape.client_s
        if asked != self._owner_by_shard[shard]:
            way_s += BETWEEN_ZONES_S
        self._sim.after(way_s, self._arrive, request, shard, reply, way_s)

    def _arrive(self, request, shard, reply, way_s):
        def back(kind, retry_after_s):
            self._sim.after(way_s, reply, kind, retry_after_s)

        self.daemons[self._owner_by_shard[shard]].take(request, shard, back)

    def zone_out(self, zone):
        """Take a zone out: stop its gates, then give its shards to the rest."""
        for daemon in self._in_zone(zone):
            if isinstance(daemon, GatedDaemon):
                daemon.stop(ErrorKind.ZONE_OUT)
        self._sim.after(REASSIGN_S, self._leave, zone)

    def _in_zone(self, zone):
        return [d for d in self.daemons if d.target.zone == zone]

    def _leave(self, zone):
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
        self.daemons[new].inherit(shard, grant, part)

    def zone_in(self, zone):
        """Bring a zone back with cold targets; gated fleets return in steps."""
        for daemon in self._in_zone(zone):
            daemon.target.turn_cold()
            if isinstance(daemon, GatedDaemon):
                daemon.open()
        gated = isinstance(self.daemons[0], GatedDaemon)
        steps = RETURN_STEPS if gated else 1
        for step in range(steps):
            self._sim.after(step * RETURN_STEP_S, self._come_back, zone, step, steps)

    def _come_back(self, zone, step, steps):
        for shard in range(SHARDS):
            home = shard % self._shape.targets
            # Shards of one target differ by the number of targets.
            nth = shard // self._shape.targets
            if self.targets[home].zone == zone and nth % steps == step:
                self._move(shard, home)
