"""Compares placement with rehashing and rendezvous hashing, as Markdown tables.

``python benches/bench_placement.py [seeds]``. The simulation is seeded, so its tables
are the same on every machine; only the last table is of measured times. A step is one
placement tick. With the product's placement, an owner releases a shard in the step
after the move was planned. The naive placements move all shards at once in the step
after the change, and two owners may overlap. The product's placement is run twice: with
the load of each shard known, and with all shards taken as equal, as when no daemon
reports loads by shard.
"""

import heapq
import pathlib
import random
import statistics
import sys
import time

import attrs

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from tamarackhaven._changes import PinKey
from tamarackhaven._events import HotKey, LoadReport
from tamarackhaven._model import (
    Address,
    AvailabilityZone,
    OwnershipPolicy,
    Service,
    ShardGrant,
    TargetMember,
    TargetState,
    ZoneState,
)
from tamarackhaven._pins import PinPlanner
from tamarackhaven._placement import is_eligible, plan
from tamarackhaven._plan import PlacementInputs
from tamarackhaven._settings import PlacementSettings

HOT_KEYS, HOT_KEY_FRACTION, HOT_ROUNDS, HOT_ROUND_S = 22, 0.015, 4, 120.0
WARM_UP_STEPS = 100
MAX_RANKS = 24


@attrs.frozen
class Size:
    """Size of a simulated deployment; ``batch`` is the maximum of moves in a step."""

    name: str
    targets: int
    zones: int
    shards: int
    batch: int


SIZES = [
    Size("Polar Freight tracking", 4, 3, 64, 8),
    Size("Kirkeblomst rotas", 5, 4, 64, 8),
    Size("one region of the design", 300, 3, 16384, 512),
]


@attrs.define
class Tally:
    """Cost of one event.

    Loads are relative: arriving load and imbalance to the fair share of a target, the
    load of a cold target to what it can serve at its warmth.
    """

    moved: int = 0
    steps: int = 0
    unserved: int = 0
    max_arriving_load: float = 0.0
    max_cold_load: float = 0.0
    imbalance: float = 0.0


class World:
    """Targets, zones and true loads, without the decisions of a placement."""

    def __init__(self, size, seed):
        self.size, self.rng = size, random.Random(seed)
        self.service = Service("s", "p", shard_count=size.shards)
        self.policy = OwnershipPolicy("p", move_batch=size.batch)
        self.zones = {f"z{n}": AvailabilityZone(f"z{n}") for n in range(size.zones)}
        self.members = {}
        for n in range(size.targets):
            name, zone = f"t{n:04}", f"z{n % size.zones}"
            self.members[name] = TargetMember(
                "s", name, zone, "i", "1", Address("h", 1), epoch=1
            )
        self.load = {s: self.rng.lognormvariate(0, 0.5) for s in range(size.shards)}
        self.base = sum(self.load.values())
        self.load_by_hot_key = {}
        self.cold_since_step_by_target = {}
        self.step = 0

    def eligible(self):
        """Return the names of the eligible targets, sorted."""
        members = sorted(self.members.values(), key=lambda m: m.target)
        return [m.target for m in members if is_eligible(m, self.zones)]

    def warmth(self):
        """Return the fraction of the full load that each cold target can serve now."""
        return {
            name: min(1.0, 0.1 + 0.9 * (self.step - since) / WARM_UP_STEPS)
            for name, since in self.cold_since_step_by_target.items()
        }

    def set_member(self, name, state):
        """Set the state of a target."""
        self.members[name] = attrs.evolve(self.members[name], state=state)

    def set_zone(self, name, state):
        """Set the state of a zone."""
        self.zones[name] = AvailabilityZone(name, state=state)

    def draw_hot_keys(self):
        """Draw new hot keys, and their load by key hash."""
        keys = [self.rng.getrandbits(48) for _ in range(HOT_KEYS)]
        self.load_by_hot_key = dict.fromkeys(keys, HOT_KEY_FRACTION * self.base)


class ProductPlacement:
    """The product's placement, step by step."""

    def __init__(self, world, has_loads=True):
        self.world, self.known = world, has_loads
        self.grants = {}
        self.settings = PlacementSettings()
        self.pins = PinPlanner(self.settings)

    def free_shards_of(self, target):
        """Leave the shards of a lost target without an owner."""
        for shard, grant in self.grants.items():
            if grant.owner == target:
                self.grants[shard] = attrs.evolve(grant, owner="", moving_to="")

    def load_by_shard(self):
        """Return the true load by shard, hot keys included."""
        load = dict(self.world.load)
        pinned = {g.key_hash: g.shard for g in self.grants.values() if g.key_hash}
        for key, key_load in self.world.load_by_hot_key.items():
            shard = pinned.get(key, key % self.world.size.shards)
            load[shard] = load.get(shard, 0.0) + key_load
        for shard in pinned.values():
            load.setdefault(shard, 0.0)
        return load

    def advance(self):
        """Run one step; return whether any move or change of pins was decided."""
        for grant in list(self.grants.values()):
            if grant.moving_to:
                self._assign(grant, grant.moving_to)
        world, load = self.world, self.load_by_shard()
        decision = self._update_pins(load)
        inputs = PlacementInputs(
            world.service,
            world.policy,
            world.zones,
            list(world.members.values()),
            self.grants,
            load if self.known else {},
            world.warmth(),
            decision.cold_shards,
        )
        moves = decision.moves + plan(inputs, self.settings).moves
        for move in moves:
            self._apply(move)
        return bool(moves or decision.changes)

    def owners(self):
        """Return the current owner by shard."""
        return {shard: grant.owner for shard, grant in self.grants.items()}

    def _apply(self, move):
        grant = self.grants.get(move.shard, ShardGrant("s", move.shard))
        if not grant.owner:
            self._assign(grant, move.to_target)
        else:
            self.grants[move.shard] = attrs.evolve(grant, moving_to=move.to_target)

    def _assign(self, grant, owner):
        number = grant.grant + 1
        self.grants[grant.shard] = attrs.evolve(
            grant, owner=owner, grant=number, moving_to=""
        )

    def _update_pins(self, load):
        """Report the hot keys as daemons do, and apply the decided pins."""
        world, now = self.world, self.world.step * 0.1
        rate = sum(load.values())
        keys = [
            HotKey(key, key_load / rate)
            for key, key_load in world.load_by_hot_key.items()
        ]
        for name in world.eligible():
            mean = rate / world.size.targets
            report = LoadReport("s", name, 1, mean, 1, False, keys)
            self.pins.report(report, now)
        decision = self.pins.decide(world.service, world.policy, self.grants, now)
        for change in decision.changes:
            if isinstance(change, PinKey):
                home = self.grants[change.key_hash % world.size.shards]
                shard = max(max(self.grants) + 1, world.size.shards)
                self.grants[shard] = ShardGrant(
                    "s", shard, home.owner, 1, 1, key_hash=change.key_hash
                )
            else:
                shards = {g.key_hash: g.shard for g in self.grants.values()}
                del self.grants[shards[change.key_hash]]
        return decision


class Naive:
    """Recomputes all owners from the eligible targets and moves all shards at once."""

    def __init__(self, world, choose):
        self.world, self.choose = world, choose
        self.owner_by_shard = {}

    def free_shards_of(self, target):
        """Leave the shards of a lost target without an owner."""
        for shard, owner in self.owner_by_shard.items():
            if owner == target:
                self.owner_by_shard[shard] = ""

    def load_by_shard(self):
        """Return the true load by shard, hot keys included."""
        load = dict(self.world.load)
        for key, key_load in self.world.load_by_hot_key.items():
            load[key % self.world.size.shards] += key_load
        return load

    def advance(self):
        """Recompute all owners; return whether any changed."""
        eligible = self.world.eligible()
        computed_owners = {s: self.choose(s, eligible) for s in self.world.load}
        changed = computed_owners != self.owner_by_shard
        self.owner_by_shard = computed_owners
        return changed

    def owners(self):
        """Return the current owner by shard."""
        return dict(self.owner_by_shard)


def rehash(shard, eligible):
    """Return the owner by the shard modulo the number of eligible targets."""
    return eligible[shard % len(eligible)]


class Rendezvous:
    """Rendezvous hashing with the first ``MAX_RANKS`` targets of each shard."""

    def __init__(self, world):
        names = sorted(world.members)
        self.ranks = [
            heapq.nlargest(MAX_RANKS, names, key=lambda n: _hash(shard, int(n[1:])))
            for shard in range(world.size.shards)
        ]

    def __call__(self, shard, eligible):
        """Return the owner of a shard."""
        present = self._as_set(tuple(eligible))
        return next(name for name in self.ranks[shard] if name in present)

    def _as_set(self, eligible):
        if getattr(self, "_key", None) != eligible:
            self._key, self._value = eligible, set(eligible)
        return self._value


def _hash(shard, number):
    """Return a 64-bit hash of shard and number by the finalizer of SplitMix64."""
    mixed = (shard * 0x9E3779B97F4A7C15 + number * 0xD1B54A32D192ED03) & (2**64 - 1)
    mixed = ((mixed ^ (mixed >> 30)) * 0xBF58476D1CE4E5B9) & (2**64 - 1)
    mixed = ((mixed ^ (mixed >> 27)) * 0x94D049BB133111EB) & (2**64 - 1)
    return mixed ^ (mixed >> 31)


def run(placement, steps):
    """Advance at least ``steps`` and until nothing moves; return the ``Tally``."""
    world, tally = placement.world, Tally()
    idle_steps, done = 0, 0
    while done < steps or idle_steps < 3:
        before, load = placement.owners(), placement.load_by_shard()
        eligible = set(world.eligible())
        if done:  # every placement notices the change one step later
            tally.unserved += sum(owner not in eligible for owner in before.values())
        active = placement.advance()
        world.step += 1
        done += 1
        idle_steps = 0 if active else idle_steps + 1
        tally.steps = done if active else tally.steps
        _compare(tally, world, before, placement.owners(), load)
    return tally


def _compare(tally, world, before, after, load):
    """Add the moved shards and the loads of targets in one step to ``tally``."""
    eligible = world.eligible()
    total = sum(load.values())
    fair_load = total / len(eligible)
    arrived_load_by_target, held_load_by_target = (
        dict.fromkeys(eligible, 0.0),
        dict.fromkeys(eligible, 0.0),
    )
    for shard, owner in after.items():
        if owner in held_load_by_target:
            held_load_by_target[owner] += load.get(shard, 0.0)
        if shard in before and owner != before[shard]:
            tally.moved += 1
            if owner in arrived_load_by_target:
                arrived_load_by_target[owner] += load.get(shard, 0.0)
    tally.max_arriving_load = max(
        tally.max_arriving_load, max(arrived_load_by_target.values()) / fair_load
    )
    for name, warmth in world.warmth().items():
        if warmth < 1.0 and name in held_load_by_target:
            relative_load = held_load_by_target[name] / (fair_load * warmth)
            tally.max_cold_load = max(tally.max_cold_load, relative_load)
    tally.imbalance = max(held_load_by_target.values()) / fair_load - 1.0


def run_events(placement):
    """Return the cost by event, for a fixed sequence of events."""
    world = placement.world
    run(placement, 1)
    tallies = {}
    world.set_member("t0000", TargetState.LOST)
    placement.free_shards_of("t0000")
    tallies["target lost"] = run(placement, 10)
    world.set_member("t0000", TargetState.ACTIVE)
    world.cold_since_step_by_target = {"t0000": world.step}
    tallies["it joins cold"] = run(placement, WARM_UP_STEPS + 10)
    world.cold_since_step_by_target = {}
    world.set_zone("z1", ZoneState.OUT)
    tallies["zone out"] = run(placement, 10)
    world.set_zone("z1", ZoneState.IN)
    names = [m.target for m in world.members.values() if m.zone == "z1"]
    world.cold_since_step_by_target = dict.fromkeys(names, world.step)
    tallies["zone back, cold"] = run(placement, WARM_UP_STEPS + 10)
    world.cold_since_step_by_target = {}
    tallies["hot keys, a round"] = hot_rounds(placement)
    return tallies


def hot_rounds(placement):
    """Return the mean cost of a change of the hot keys."""
    world, rounds = placement.world, []
    for _ in range(HOT_ROUNDS):
        world.draw_hot_keys()
        rounds.append(run(placement, 10))
        world.step += int(HOT_ROUND_S / 0.1)
    world.load_by_hot_key = {}
    fields = [field.name for field in attrs.fields(Tally)]
    return Tally(**{f: statistics.mean(getattr(t, f) for t in rounds) for f in fields})


PLACEMENTS = {
    "ours": ProductPlacement,
    "ours, loads unknown": lambda world: ProductPlacement(world, has_loads=False),
    "rehash all": lambda world: Naive(world, rehash),
    "rendezvous": lambda world: Naive(world, Rendezvous(world)),
}


def table(size, seeds):
    """Print the table of one size, with means over the seeds."""
    rows = {}
    for seed in range(seeds):
        for name, make in PLACEMENTS.items():
            for event, tally in run_events(make(World(size, seed))).items():
                rows.setdefault((event, name), []).append(tally)
    print(f"\n{size.name}: {size.targets} targets, {size.zones} zones,")
    print(f"{size.shards} shards, batch {size.batch}, {seeds} seeds\n")
    print(
        "| event | placement | shards moved | steps | shard-steps unserved "
        "| most load arriving at a target in a step, of its fair share "
        "| most load of a cold target, of what it can take | imbalance after |"
    )
    print("|---|---|---|---|---|---|---|---|")
    for (event, name), tallies in sorted(rows.items(), key=lambda row: row[0][0]):
        cells = [statistics.mean(getattr(t, f.name) for t in tallies) for f in FIELDS]
        text = " | ".join(f"{cell:.0f}" for cell in cells[:3])
        text += " | " + " | ".join(f"{cell:.2f}" for cell in cells[3:])
        print(f"| {event} | {name} | {text} |")


FIELDS = attrs.fields(Tally)


def times():
    """Print the time of one plan at the design size, in milliseconds."""
    world = World(Size("design", 1500, 16, 65536, 512), 1)
    placement = ProductPlacement(world)
    print("\n1,500 targets, 16 zones, 65,536 shards, batch 512: time of one plan\n")
    print("| step | ms |\n|---|---|")
    _time("first placement", placement)
    _time("nothing to do", placement)
    world.set_member("t0000", TargetState.LOST)
    placement.free_shards_of("t0000")
    _time("target lost", placement)
    world.set_zone("z1", ZoneState.OUT)
    _time("zone out, first step", placement)


def _time(label, placement):
    world = placement.world
    inputs = PlacementInputs(
        world.service,
        world.policy,
        world.zones,
        list(world.members.values()),
        placement.grants,
        world.load,
    )
    started_s = time.perf_counter()
    plan(inputs, PlacementSettings())
    print(f"| {label} | {(time.perf_counter() - started_s) * 1e3:.0f} |")
    placement.advance()


def main():
    """Print all tables."""
    seeds = int(sys.argv[1]) if len(sys.argv) > 1 else 5
    for size in SIZES[:2]:
        table(size, seeds)
    table(SIZES[2], 1)
    times()


if __name__ == "__main__":
    main()
