"""Simulates a region of control VMs and daemons on a fake clock, for tests of leases.

Consensus is replaced by a list, the log; leases and fences use the real code.
``Recorder`` checks after every event which daemons believe that they own what. Between
two events a lease can only end, so these checks cover every instant.
"""

import heapq
import itertools

import attrs

from tamarackhaven._fence_round import FenceRounds
from tamarackhaven._lease_holder import LeaseHolder
from tamarackhaven._lease_promises import LeasePromises, LeaseView
from tamarackhaven._lease_wire import decode, encode
from tamarackhaven._members import Member, Membership
from tamarackhaven._model import Address, TargetMember
from tamarackhaven._settings import LeaseSettings

SERVICE = "depot"
SHARDS = range(8)


@attrs.frozen
class Parts:
    """The code under test; a mutant replaces one part by one without a safeguard."""

    holder: type = LeaseHolder
    promises: type = LeasePromises
    fences_are_kept: bool = True
    clock_counts_freezes: bool = True


@attrs.define
class Region:
    """The state that the log describes up to an index."""

    membership: Membership
    index: int = 0
    newest_epoch: dict = attrs.field(factory=dict)
    target_by_epoch: dict = attrs.field(factory=dict)
    retired: set = attrs.field(factory=set)
    epoch_by_shard: dict = attrs.field(factory=dict)

    def apply(self, entry):
        self.index += 1
        kind, *what = entry
        if kind == "members":
            self.membership = what[0]
        elif kind == "join":
            self.newest_epoch[what[0]] = self.index
            self.target_by_epoch[self.index] = what[0]
        elif kind == "retire":
            self.retired.add(what[0])
        else:
            self.epoch_by_shard[what[0]] = what[1]

    def live(self):
        return {e: t for e, t in self.target_by_epoch.items() if e not in self.retired}


@attrs.define(eq=False)
class Node:
    """A VM with its clock; ``life`` is incremented whenever its process ends."""

    name: str
    rate: float
    offset: float
    region: Region
    is_running: bool = True
    frozen_at: float | None = None
    frozen_for_s: float = 0.0
    backlog: list = attrs.field(factory=list)
    life: int = 0
    cut_off: bool = False  # receives datagrams, but no log updates
    lags: bool = False  # receives log updates, but doesn't apply them
    log_seen: int = 0
    membership_seen: Membership | None = None
    fences: dict = attrs.field(factory=dict)
    promises: object = None
    holder: object = None
    target: str = ""
    joining: bool = False

    @property
    def up(self):
        return self.is_running and self.frozen_at is None and not self.cut_off


class Recorder:
    """Detects two owners at the same time, and measures time without an owner.

    A frozen owner counts as an owner for the detection, but not for the measurement,
    because it serves no requests.
    """

    def __init__(self):
        self.violations = []
        self.ownerless_s = dict.fromkeys(SHARDS, 0.0)
        self.owner_by_item = {}
        self._served = set()
        self._recorded_at_s = 0.0

    def record(self, now, items_by_daemon, frozen):
        for shard in SHARDS:
            if shard not in self._served:
                self.ownerless_s[shard] += now - self._recorded_at_s
        self._recorded_at_s = now
        self.owner_by_item = {}
        for name, items in items_by_daemon:
            for item in items:
                other = self.owner_by_item.setdefault(item, name)
                if other != name:
                    self.violations.append((round(now, 4), item, other, name))
        owners = self.owner_by_item
        self._served = {item for item in owners if owners[item] not in frozen}


class Simulation:
    """Simulates ``count`` voters, two spare VMs and a daemon per target name."""

    def __init__(self, rng, count=3, targets="abcb", parts=None, settings=None):
        self.rng, self.parts = rng, parts or Parts()
        self.settings = settings or LeaseSettings(400, 100, 0.1)
        self.now, self._events, self._order = 0.0, [], itertools.count()
        self.drop_probability, self.duplicate_probability, self.delay_probability = (
            0.03,
            0.03,
            0.05,
        )
        self.race_probability = 0.1
        self.cut_links, self.trace, self.has_hints = set(), None, False
        self.recorder = Recorder()
        names = [f"c{n}" for n in range(count + 2)]
        voters = tuple(Member(n, "h", 1, 1) for n in names[:count])
        self.first = Membership(voters)
        self.log, self.region = [], Region(self.first)
        self.controls = {name: self._node(name) for name in names}
        self.daemons = {f"d{n}": self._node(f"d{n}") for n in range(len(targets))}
        for node in self.controls.values():
            node.membership_seen = self.first
            self._boot(node, -60.0)
        for node, target in zip(self.daemons.values(), targets, strict=True):
            node.target = target
            self._start_daemon(node)
        self.leader, self._no_leader_until, self.rounds = names[0], 0.0, None
        self._lead()
        self.every(0.02, self._leader_tick)

    def _node(self, name):
        drift = self.settings.drift
        rate = self.rng.choice((1 - drift, 1.0, 1 + drift))
        return Node(name, rate, self.rng.uniform(0, 1e5), Region(self.first))

    # Time and events.

    def clock(self, node):
        now = self.now
        if not self.parts.clock_counts_freezes:
            now = (node.frozen_at if node.frozen_at is not None else now) - (
                node.frozen_for_s
            )
        return node.offset + node.rate * now

    def after(self, delay, action, node=None):
        life = node.life if node else 0
        event = (self.now + delay, next(self._order), action, node, life)
        heapq.heappush(self._events, event)

    def every(self, period, action, node=None):
        def again():
            action()
            self.after(period / (node.rate if node else 1.0), again, node)

        self.after(self.rng.uniform(0, period), again, node)

    def run(self, until):
        while self._events and self._events[0][0] < until:
            self.now, _, action, node, life = heapq.heappop(self._events)
            self._run_event(action, node, life)
        self.now = until
        self._record_ownership()

    def _run_event(self, action, node, life):
        if node is not None and (not node.is_running or node.life != life):
            return
        self._record_ownership()  # leases may have ended since the last event
        if node is not None and node.frozen_at is not None:
            node.backlog.append((action, life))
            return
        action()
        self._record_ownership()

    def _record_ownership(self):
        daemons = self.daemons.values()
        frozen = {node.name for node in daemons if node.frozen_at is not None}
        self.recorder.record(
            self.now, [(node.name, self.owned(node)) for node in daemons], frozen
        )

    def owned(self, node):
        if not node.is_running or not node.holder.holds(self.clock(node)):
            return []
        epochs = node.region.epoch_by_shard
        shards = [s for s in epochs if epochs[s] == node.holder.epoch]
        return [node.target, *shards]

    # Datagrams and calls.

    def send(self, source, to, message, receive):
        data = encode(message)
        copies = 2 if self.rng.random() < self.duplicate_probability else 1
        for _ in range(copies):
            if self.rng.random() >= self.drop_probability and (
                source.name,
                to.name,
            ) not in (self.cut_links):
                self._note(f"{source.name} > {to.name}", message)
                self.after(self._delay(), lambda: receive(decode(data)), to)

    def _delay(self):
        if self.rng.random() < self.delay_probability:
            return self.rng.uniform(0.0, 0.35)
        return self.rng.uniform(0.0005, 0.004)

    def _note(self, who, what):
        if self.trace is not None:
            self.trace.append(f"{self.now:8.4f} {who}  {what}")

    # Control VMs.

    def _boot(self, node, boot_now):
        fences = node.fences if self.parts.fences_are_kept else {}
        node.promises = self.parts.promises(
            self.settings,
            boot_now,
            {(SERVICE, t): fences[t] for t in fences},
        )
        self.every(0.05, lambda: self._catch_up(node), node)

    def _catch_up(self, node):
        if not node.cut_off and self.rng.random() < 0.7:
            self._append(node)
        if not node.lags:
            while node.region.index < node.log_seen:
                node.region.apply(self.log[node.region.index])

    def _append(self, node):
        before = node.membership_seen.voters
        for entry in self.log[node.log_seen :]:
            if entry[0] == "members":
                node.membership_seen = entry[1]
        node.log_seen = len(self.log)
        if node.name in node.membership_seen.voters and node.name not in before:
            node.promises.joined(self.clock(node))

    def _renewed(self, node, daemon, renewal):
        target = node.region.target_by_epoch.get(renewal.epoch)
        is_newest = node.region.newest_epoch.get(target) == renewal.epoch
        view = LeaseView(
            node.membership_seen.version,
            node.region.index,
            node.name in node.membership_seen.voters,
            (SERVICE, target) if is_newest else None,
            is_newest and renewal.epoch in node.region.retired,
        )
        ack = node.promises.answer_renewal(renewal, self.clock(node), view)
        self.send(
            node,
            daemon,
            ack,
            lambda a: daemon.holder.process_ack(a, self.clock(daemon)),
        )

    # The leader and its log.

    def usable(self):
        voters = self.region.membership.voters
        return [name for name in voters if self.controls[name].up]

    def has_leader(self):
        has_quorum = len(self.usable()) >= self.region.membership.quorum
        return has_quorum and self.leader in self.usable()

    def commit(self, *entry):
        """Append an entry to the logs of a random majority, if there is a leader."""
        if not self.has_leader():
            return 0
        self.log.append(entry)
        self.region.apply(entry)
        others = [name for name in self.usable() if name != self.leader]
        self.rng.shuffle(others)
        for name in [self.leader, *others[: self.region.membership.quorum - 1]]:
            self._append(self.controls[name])
        self._note("log", (len(self.log), *entry))
        for node in self.daemons.values() if self.has_hints else ():
            self.after(self._delay(), lambda n=node: self._fetch(n, 1.0), node)
        return len(self.log)

    def _lead(self):
        node = self.controls[self.leader]
        node.promises.membership_changed(self.clock(node))
        self.rounds = FenceRounds(self.settings, self.leader)

    def _leader_tick(self):
        if not self.has_leader():
            self._elect()
            return
        node = self.controls[self.leader]
        members = [
            TargetMember(SERVICE, t, "z", "i", "n", Address("h", 1), epoch=e)
            for e, t in self.region.live().items()
        ]
        voters, end = self.region.membership.voters, node.promises.promise_end
        for ask in self.rounds.tick(self.clock(node), members, end, voters):
            self._ask(ask, self.controls[ask.member], self.rounds)
        self._grant()

    def _elect(self):
        if self.leader is not None:
            self.leader = None
            self._no_leader_until = self.now + self.rng.uniform(0.3, 0.6)
        usable = self.usable()
        has_quorum = len(usable) >= self.region.membership.quorum
        if has_quorum and self.now >= self._no_leader_until:
            whole = len(self.log)
            usable.sort(key=lambda name: self.controls[name].log_seen != whole)
            self.leader = usable[0]
            self._append(self.controls[self.leader])
            self._lead()

    def _ask(self, ask, node, rounds):
        leader = self.controls[self.leader]

        def answer():
            fenced = node.promises.fence(
                SERVICE, ask.target, ask.epoch, self.clock(node)
            )
            if fenced.ok:
                known = node.fences.get(ask.target, 0)
                node.fences[ask.target] = max(known, ask.epoch)
            self._note(f"{node.name} fence", (ask.target, ask.epoch, fenced))
            if node.up:
                self.after(self._delay(), lambda: self._answered(rounds, ask, fenced))

        if node.up and leader.up:
            self.after(self._delay(), answer, node)

    def _answered(self, rounds, ask, fenced):
        if rounds is not self.rounds or not self.has_leader():
            return
        now = self.clock(self.controls[self.leader])
        retire = rounds.answered(ask.member, ask, fenced.ok, fenced.remaining_ms, now)
        if retire is not None:
            self.commit("retire", retire.epoch)
            self._grant()

    def _grant(self):
        live = self.region.live()
        newest = [e for e in live if self.region.newest_epoch[live[e]] == e]
        for shard in SHARDS:
            if newest and self.region.epoch_by_shard.get(shard) not in live:
                self.commit("grant", shard, self.rng.choice(newest))

    def change_membership(self, pick):
        """Add a spare VM, or remove a voter if there are more than three.

        ``pick`` chooses an item of a list.
        """
        leader = self.controls.get(self.leader)
        if not self.has_leader() or not leader.promises.ready_for_membership_change(
            self.clock(leader)
        ):
            return
        members = self.region.membership.members
        spares = [n for n in self.controls if n not in self.region.membership.voters]
        others = [m for m in members if m.name != self.leader]
        change = pick([*spares, *others] if len(members) > 3 else spares)
        if change in members:
            members = tuple(m for m in members if m != change)
        else:
            members += (Member(change, "h", 1, 1),)
            self._append(self.controls[change])
        self.commit("members", Membership(members, len(self.log) + 1))
        leader.promises.membership_changed(self.clock(leader))

    # Daemons.

    def _start_daemon(self, node):
        node.joining, node.region = False, Region(self.first)
        node.holder = self.parts.holder(
            self.settings, self.first, self.rng.getrandbits(32)
        )
        self.every(self.settings.renew_ms / 1000, lambda: self._renew(node), node)
        self.every(0.05, lambda: self._fetch(node), node)

    def _renew(self, node):
        if not node.joining and (not node.holder.epoch or node.holder.must_rejoin):
            node.joining = True
            self.after(self.rng.uniform(0.001, 0.3), lambda: self._join(node), node)
        for name, renewal in node.holder.renew(self.clock(node)).items():
            control = self.controls[name]
            self.send(
                node, control, renewal, lambda r, c=control: self._renewed(c, node, r)
            )

    def _join(self, node):
        """Join, unless another process holds the name; rarely, a race ignores that."""
        newest = self.region.newest_epoch.get(node.target, 0)
        claimed = newest in self.region.live() and newest != node.holder.epoch
        if claimed and self.rng.random() < 1.0 - self.race_probability:
            epoch = 0
        else:
            epoch = self.commit("join", node.target)
        if epoch:
            self.after(self._delay(), lambda: node.holder.set_grant(epoch), node)
        self.after(0.4, lambda: setattr(node, "joining", False), node)

    def _fetch(self, node, chance=0.7):
        if node.cut_off or not self.has_leader() or self.rng.random() > chance:
            return
        while node.region.index < len(self.log):
            node.region.apply(self.log[node.region.index])
        node.holder.set_membership(node.region.membership)
        node.holder.set_state_version(node.region.index)

    # Faults.

    def freeze(self, node, seconds):
        if node.frozen_at is None:
            node.frozen_at = self.now
            self.after(seconds, lambda: self._wake(node))

    def _wake(self, node):
        node.frozen_for_s += self.now - node.frozen_at
        node.frozen_at = None
        backlog, node.backlog = node.backlog, []
        for action, life in backlog:
            self._run_event(action, node, life)

    def kill(self, node, seconds):
        """End the process, and restart it after ``seconds``."""
        if node.is_running:
            node.is_running = False
            node.life += 1
            self.after(seconds, lambda: self._restart(node))

    def _restart(self, node):
        node.is_running = True
        if node.target:
            self._start_daemon(node)
        else:
            self._boot(node, self.clock(node))

    def set_for(self, node, flag, seconds):
        setattr(node, flag, True)
        self.after(seconds, lambda: setattr(node, flag, False))

    def cut(self, source, to, seconds):
        """Lose all datagrams from ``source`` to ``to`` for ``seconds``."""
        link = (source.name, to.name)
        self.cut_links.add(link)
        self.after(seconds, lambda: self.cut_links.discard(link))
