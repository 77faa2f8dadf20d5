"""What a leader grants and moves, with reports and times made by hand."""

import attrs
import pytest

from tamarackhaven.fleet._leadership import (
    DISCOVERY_TIMEOUT_S,
    MAX_REPORT_AGE_S,
    Leadership,
)
from tamarackhaven.fleet._messages import Report
from tamarackhaven.fleet._model import (
    GrantId,
    Hold,
    Release,
    Target,
    TargetPhase,
    life_of,
)
from tamarackhaven.fleet._ranges import has_overlap
from tamarackhaven.fleet._state import FleetState, ReplaceConfiguration
from tamarackhaven.routing import Configuration, ServiceSpec

LEASE_S = 4.0
SERVICE = "owned"


def target(name, born_ms=1, host=None, phase=TargetPhase.READY, zone="a"):
    host = host or name
    life = life_of(name, born_ms, f"{host}:1")
    return Target(life, name, born_ms, SERVICE, zone, host, 1, 12, phase)


class Group:
    """A leader, its state, and daemons that report as told."""

    def __init__(self):
        self.state = FleetState()
        services = (ServiceSpec(SERVICE, sharded=True),)
        first = ReplaceConfiguration(0, Configuration(1, services), "first")
        self.state.apply(1, first)
        self.index = 1
        self.now = 100.0
        self.leader = Leadership(1, LEASE_S, self.now)
        self.grant_by_life = {}

    def report(self, who, **fields):
        report = Report(1, who, **fields)
        self.leader.report(report, self.now)
        grant = self.leader.grant(report, self.state, self.now)
        self.grant_by_life[who.life] = grant
        return grant

    def tick(self):
        commands = self.leader.tick(self.state, self.now)
        for command in commands:
            assert not has_overlap(command.ranges)
            self.index += 1
            assert self.state.apply(self.index, command).kind is None
        return commands

    def run(self, seconds, *targets, settled=None):
        """Let time pass while targets report that they hold what they were granted."""
        until = self.now + seconds
        while self.now < until:
            self.now += 0.1
            for who in targets:
                self.beat(who)
            self.tick()

    def beat(self, who):
        grant = self.grant_by_life.get(who.life)
        if grant is None:
            return self.report(who)
        holds = tuple(Hold(r.first, r.last, r.fence) for r in grant.ranges)
        return self.report(who, holds=holds, settled=grant.grant)

    def owners(self):
        return {each.owner for each in self.state.ranges_by_service[SERVICE]}

    def owned(self, who):
        ranges = self.state.ranges_by_service[SERVICE]
        return [each for each in ranges if each.owner == who.life]


@pytest.fixture
def group():
    return Group()


def test_the_first_owners_share_all_keys_in_several_ranges(group):
    a, b = target("a"), target("b")
    group.run(4 * DISCOVERY_TIMEOUT_S, a, b)
    assert group.owners() == {a.life, b.life}
    assert len(group.owned(a)) == len(group.owned(b)) == 8


def test_keys_of_a_silent_owner_go_on_only_after_its_lease(group):
    # A VM loses power; its target may still run, and serves as long as it was told.
    # Its keys must not be granted before the last thing it may have been told is over.
    a, b = target("a"), target("b")
    group.run(4 * DISCOVERY_TIMEOUT_S, a, b)
    group.run(LEASE_S - 0.2, a)
    assert b.life in group.owners()
    group.run(0.6, a)
    assert group.owners() == {a.life}


def test_a_daemon_that_restarts_within_the_lease_loses_no_key(group):
    # A daemon is silent for two seconds while its process is replaced. Its target
    # holds its keys all the while; moved away, they would be cold elsewhere.
    a, b = target("a"), target("b")
    group.run(4 * DISCOVERY_TIMEOUT_S, a, b)
    before = group.owned(b)
    group.run(2.0, a)
    group.run(2.0, a, b)
    assert group.owned(b) == before
    assert [r.fence for r in group.grant_by_life[b.life].ranges] == [
        r.fence for r in before
    ]


def test_a_new_leader_waits_for_the_leases_of_the_former_one(group):
    # The former leader granted something to a target that the new one never hears of.
    # Without the wait, its keys would have two owners.
    a, b = target("a"), target("b")
    group.run(4 * DISCOVERY_TIMEOUT_S, a, b)
    group.leader = Leadership(2, LEASE_S, group.now)
    group.grant_by_life.clear()
    group.run(LEASE_S - 0.2, a)
    assert b.life in group.owners()
    group.run(0.6, a)
    assert group.owners() == {a.life}


def test_an_ended_life_is_replaced_at_once(group):
    a, b = target("a"), target("b")
    group.run(4 * DISCOVERY_TIMEOUT_S, a, b)
    group.report(attrs.evolve(a), ended_lives=(b.life,))
    group.tick()
    assert group.owners() == {a.life}


def test_a_later_life_at_the_same_address_ends_the_earlier_one(group):
    a, b = target("a"), target("b")
    group.run(4 * DISCOVERY_TIMEOUT_S, a, b)
    reborn = target("b", born_ms=2)
    group.report(reborn)
    group.tick()
    assert b.life not in group.owners()
    # A report of the earlier life that was held up changes nothing.
    group.report(b)
    assert group.leader.leases.has_ended(b.life)


def test_a_new_leader_knows_a_replaced_owner_by_its_place(group):
    # All VMs lose power at once. The targets start again as other lives, and the new
    # leader has never heard of the old ones. Nobody holds their keys, yet callers
    # would hear that there is no owner until a whole lease has passed.
    a, b = target("a"), target("b")
    group.run(4 * DISCOVERY_TIMEOUT_S, a, b)
    group.leader = Leadership(2, LEASE_S, group.now)
    group.grant_by_life.clear()
    reborn = target("x", born_ms=9, host="a"), target("y", born_ms=9, host="b")
    group.run(DISCOVERY_TIMEOUT_S + 0.2, *reborn)
    assert group.owners() == {each.life for each in reborn}


def test_a_new_leader_that_has_heard_every_place_waits_for_nobody(group):
    a, b = target("a"), target("b")
    group.run(4 * DISCOVERY_TIMEOUT_S, a, b)
    group.leader = Leadership(2, LEASE_S, group.now)
    group.grant_by_life.clear()
    first, second = target("x", born_ms=9, host="a"), target("y", born_ms=9, host="b")
    group.run(0.2, first)
    assert group.owners() == {a.life, b.life}, "the second place may still come"
    group.run(0.2, first, second)
    assert group.owners() == {first.life, second.life}


def test_a_leaving_owner_hands_its_keys_over_before_it_loses_them(group):
    # A target drains. Its keys go on once it has released them, with the token that
    # spares the next owner a slow start.
    a, b = target("a"), target("b")
    group.run(4 * DISCOVERY_TIMEOUT_S, a, b)
    leaving = attrs.evolve(b, phase=TargetPhase.DRAINING)
    before = group.owned(b)
    group.beat(leaving)
    group.tick()
    grant = group.beat(leaving)
    assert grant.ranges == ()
    assert group.owned(b) == before, "still held by its last heartbeat"
    releases = tuple(Release(r.first, r.last, "token") for r in before)
    group.report(leaving, settled=grant.grant, releases=releases)
    group.tick()
    assert group.owners() == {a.life}
    assert {r.handover for r in group.owned(a)} == {"", "token"}


def test_a_release_is_believed_only_from_a_heartbeat_after_the_last_grant(group):
    # The report says that the target holds nothing, but it was made before the target
    # took the last grant. Believed, the keys would have two owners.
    a, b = target("a"), target("b")
    group.run(4 * DISCOVERY_TIMEOUT_S, a, b)
    leaving = attrs.evolve(b, phase=TargetPhase.DRAINING)
    group.beat(leaving)
    group.tick()
    group.report(leaving, holds=(), settled=GrantId(1, 1))
    group.tick()
    assert b.life in group.owners()


def test_a_move_whose_owner_dies_gives_each_key_once(group):
    # A target joins, keys start to move to it, and the old owner dies before it has
    # released them. The leader finds the same keys free for two reasons at once.
    a, b = target("a"), target("b")
    group.run(4 * DISCOVERY_TIMEOUT_S, a, b)
    c = target("c")
    group.report(c)
    group.tick()
    assert group.leader._pending_moves
    group.run(LEASE_S + 1.0, c)
    assert group.owners() == {c.life}


def test_a_zone_that_is_out_loses_its_keys(group):
    a, b = target("a", zone="a"), target("b", zone="b")
    group.run(4 * DISCOVERY_TIMEOUT_S, a, b)
    group.state.zones_out = frozenset({"b"})
    group.run(1.0, a, b)
    assert group.owners() == {a.life}


def test_a_target_that_joins_gets_a_share(group):
    a, b, c = target("a"), target("b"), target("c")
    group.run(4 * DISCOVERY_TIMEOUT_S, a, b)
    group.run(3.0, a, b, c)
    key_counts = [
        sum(r.last - r.first + 1 for r in group.owned(each)) for each in (a, b, c)
    ]
    assert min(key_counts) > 0.6 * 65536 / 3


def test_one_silent_target_of_many_holds_up_nobody(group):
    # One of ten targets is silent; its keys wait for its lease. Meanwhile a target
    # joins: the others' keys must go on to it, it has nothing else to do.
    many = [target(f"t{number}") for number in range(10)]
    group.run(4 * DISCOVERY_TIMEOUT_S, *many)
    joined = target("joined")
    group.run(MAX_REPORT_AGE_S + 0.1, *many[1:])
    group.run(LEASE_S - MAX_REPORT_AGE_S - 0.6, *many[1:], joined)
    assert many[0].life in group.owners()
    assert group.owned(joined)


def test_an_owner_that_comes_back_is_not_granted_what_was_just_proposed(group):
    # An owner's lease is over, and its keys are proposed for the other target. Its
    # daemon comes back before that is committed. Granted the keys once more, it would
    # hold them together with the new owner.
    a, b = target("a"), target("b")
    group.run(4 * DISCOVERY_TIMEOUT_S, a, b)
    group.now += LEASE_S + 1.0
    group.report(a)
    (command,) = group.leader.tick(group.state, group.now)
    assert group.report(b).ranges == ()
    assert group.state.apply(99, command).kind is None
    assert group.report(b).ranges == ()
    assert sum(r.last - r.first + 1 for r in group.report(a).ranges) == 65536


def test_a_change_on_its_way_is_not_proposed_again(group):
    # Guards against: a disk that stalls for four seconds and a log full of repeats.
    a, b = target("a"), target("b")
    group.run(4 * DISCOVERY_TIMEOUT_S, a, b)
    group.now += LEASE_S + 1.0
    group.report(a)
    (command,) = group.leader.tick(group.state, group.now)
    for _ in range(40):
        group.now += 0.1
        group.report(a, releases=(Release(0, 99, "token"),))
        assert group.leader.tick(group.state, group.now) == []
    assert group.leader.undecided_count == 1
    assert group.state.apply(99, command).kind is None
    group.tick()
    assert group.owners() == {a.life}
    assert group.leader.undecided_count == 0


def test_a_change_that_was_void_holds_up_nothing(group):
    # Guards against: keys that wait for the outcome of a change that has none.
    a, b = target("a"), target("b")
    group.run(4 * DISCOVERY_TIMEOUT_S, a, b)
    group.now += LEASE_S + 1.0
    group.report(a)
    (command,) = group.leader.tick(group.state, group.now)
    group.leader.not_taken(command)
    assert group.tick()
    assert group.owners() == {a.life}


def test_an_owner_keeps_what_never_came_into_the_log(group):
    a, b = target("a"), target("b")
    group.run(4 * DISCOVERY_TIMEOUT_S, a, b)
    group.now += LEASE_S + 1.0
    group.report(a)
    (command,) = group.leader.tick(group.state, group.now)
    group.leader.not_taken(command)
    assert group.report(b).ranges == tuple(group.owned(b))


def test_keys_that_a_target_refuses_get_a_new_token(group):
    # A target has seen a higher token than its owner's. It refuses every order for
    # these keys, and callers wait for an owner that is there and never serves.
    a, b = target("a"), target("b")
    group.run(4 * DISCOVERY_TIMEOUT_S, a, b)
    row = group.owned(b)[0]
    refused = (Hold(row.first, row.last, row.fence),)
    settled = group.grant_by_life[b.life].grant
    group.report(b, holds=refused, refused=refused, settled=settled)
    assert group.tick() == [], "what it was told before may still hold"
    group.report(b, refused=refused, settled=settled)
    (command,) = group.tick()
    assert [(r.first, r.last) for r in command.ranges] == [(row.first, row.last)]
    ranges = group.state.ranges_by_service[SERVICE]
    assert max(r.fence for r in ranges if r.first == row.first) > row.fence


def test_no_load_is_moved_from_a_target_whose_holds_nobody_knows(group):
    # All daemons restart, and a target joins. Keys that move now stay unserved until
    # all has run out that the targets may have been told before.
    a, b, c = target("a"), target("b"), target("c")
    group.run(4 * DISCOVERY_TIMEOUT_S, a, b)
    for who in (a, b):
        group.report(who, holds=(Hold(0, 65535, 0),), knows_holds=False)
    group.report(c)
    group.tick()
    assert not group.leader._pending_moves
    for who in (a, b):
        group.beat(who)
    group.tick()
    assert group.leader._pending_moves
