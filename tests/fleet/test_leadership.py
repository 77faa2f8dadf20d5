"""A leader's grants and moves, with scripted reports and times."""

import attrs
import pytest

from tamarackhaven.fleet._directory import MAX_REPORT_AGE_S
from tamarackhaven.fleet._leadership import DISCOVERY_TIMEOUT_S, Leadership
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
    """A leader, its state, and daemons whose reports the test scripts."""

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
        self.leader.directory.record(report, self.now)
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
        """Advance time while targets report that they hold what they were granted."""
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
        return self.report(who, holds=self.holds(grant), settled=grant.grant)

    @staticmethod
    def holds(grant):
        """Return what a target holds that was granted ``grant``."""
        return tuple(Hold(r.first, r.last, r.fence) for r in grant.ranges)

    def owners(self):
        return {each.owner for each in self.state.ranges_by_service[SERVICE]}

    def owned(self, who):
        ranges = self.state.ranges_by_service[SERVICE]
        return [each for each in ranges if each.owner == who.life]


@pytest.fixture
def group():
    return Group()


def test_first_assignment_gives_each_target_several_ranges(group):
    a, b = target("a"), target("b")
    group.run(4 * DISCOVERY_TIMEOUT_S, a, b)
    assert group.owners() == {a.life, b.life}
    assert len(group.owned(a)) == len(group.owned(b)) == 8


def test_keys_of_a_silent_owner_are_reassigned_only_after_its_lease(group):
    # A daemon stops reporting, but its target may still run and serve its keys until
    # its newest grant expires. Granted to another target before, they'd have two
    # owners.
    a, b = target("a"), target("b")
    group.run(4 * DISCOVERY_TIMEOUT_S, a, b)
    group.run(LEASE_S - 0.2, a)
    assert b.life in group.owners()
    group.run(0.6, a)
    assert group.owners() == {a.life}


def test_a_daemon_that_restarts_within_the_lease_loses_no_key(group):
    # A daemon is silent for two seconds while its process restarts, and its target
    # holds its keys all the time. If they moved away, the next owner would serve them
    # cold.
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
    # The former leader granted keys to a target that never reports to the new one.
    # Without the wait, its keys would have two owners.
    a, b = target("a"), target("b")
    group.run(4 * DISCOVERY_TIMEOUT_S, a, b)
    group.leader = Leadership(2, LEASE_S, group.now)
    group.grant_by_life.clear()
    group.run(LEASE_S - 0.2, a)
    assert b.life in group.owners()
    group.run(0.6, a)
    assert group.owners() == {a.life}


def test_keys_of_an_ended_life_are_reassigned_at_once(group):
    a, b = target("a"), target("b")
    group.run(4 * DISCOVERY_TIMEOUT_S, a, b)
    group.report(attrs.evolve(a), ended_lives=(b.life,))
    group.tick()
    assert group.owners() == {a.life}


def test_a_later_life_at_the_same_address_ends_the_earlier_one(group):
    a, b = target("a"), target("b")
    group.run(4 * DISCOVERY_TIMEOUT_S, a, b)
    restarted = target("b", born_ms=2)
    group.report(restarted)
    group.tick()
    assert b.life not in group.owners()
    # A delayed report of the earlier life has no effect.
    group.report(b)
    assert group.leader.leases.has_ended(b.life)


def test_a_new_leader_recognizes_a_replaced_owner_by_its_daemon(group):
    # All VMs lose power at once. The targets restart as other lives, and the new leader
    # has no report of the old ones. No target holds their keys, yet callers would be
    # told that there is no owner until a whole lease has passed.
    a, b = target("a"), target("b")
    group.run(4 * DISCOVERY_TIMEOUT_S, a, b)
    group.leader = Leadership(2, LEASE_S, group.now)
    group.grant_by_life.clear()
    restarted = target("x", born_ms=9, host="a"), target("y", born_ms=9, host="b")
    group.run(DISCOVERY_TIMEOUT_S + 0.2, *restarted)
    assert group.owners() == {each.life for each in restarted}


def test_a_new_leader_stops_waiting_once_every_daemon_has_reported(group):
    a, b = target("a"), target("b")
    group.run(4 * DISCOVERY_TIMEOUT_S, a, b)
    group.leader = Leadership(2, LEASE_S, group.now)
    group.grant_by_life.clear()
    first, second = target("x", born_ms=9, host="a"), target("y", born_ms=9, host="b")
    group.run(0.2, first)
    assert group.owners() == {a.life, b.life}, "the second daemon may still report"
    group.run(0.2, first, second)
    assert group.owners() == {first.life, second.life}


def test_a_draining_owner_keeps_its_keys_until_it_releases_them(group):
    # A target drains. Its keys are reassigned once it has released them, with the
    # handover token that saves the next owner a cold start.
    a, b = target("a"), target("b")
    group.run(4 * DISCOVERY_TIMEOUT_S, a, b)
    leaving = attrs.evolve(b, phase=TargetPhase.DRAINING)
    before = group.owned(b)
    group.beat(leaving)
    group.tick()
    grant = group.beat(leaving)
    assert grant.ranges == ()
    assert group.owned(b) == before, "its newest heartbeat still holds them"
    releases = tuple(Release(r.first, r.last, "token") for r in before)
    group.report(leaving, settled=grant.grant, releases=releases)
    group.tick()
    assert group.owners() == {a.life}
    assert {r.handover for r in group.owned(a)} == {"", "token"}


def test_a_release_counts_only_from_a_heartbeat_after_the_last_grant(group):
    # The report says that the target holds nothing, but it's from before the target
    # received the last grant. If it counted, the keys would have two owners.
    a, b = target("a"), target("b")
    group.run(4 * DISCOVERY_TIMEOUT_S, a, b)
    leaving = attrs.evolve(b, phase=TargetPhase.DRAINING)
    group.beat(leaving)
    group.tick()
    group.report(leaving, holds=(), settled=GrantId(1, 1))
    group.tick()
    assert b.life in group.owners()


def test_a_move_whose_owner_fails_assigns_each_key_once(group):
    # A target joins, keys start to move to it, and the old owner fails before it has
    # released them. The leader could assign the same keys twice in one command: as
    # keys of an expired owner, and as keys of a finished move.
    a, b = target("a"), target("b")
    group.run(4 * DISCOVERY_TIMEOUT_S, a, b)
    c = target("c")
    group.report(c)
    group.tick()
    assert group.leader._pending_moves
    group.run(LEASE_S + 1.0, c)
    assert group.owners() == {c.life}


def test_targets_of_a_zone_that_is_out_lose_their_keys(group):
    a, b = target("a", zone="a"), target("b", zone="b")
    group.run(4 * DISCOVERY_TIMEOUT_S, a, b)
    group.state.zones_out = frozenset({"b"})
    group.run(1.0, a, b)
    assert group.owners() == {a.life}


def test_a_target_that_joins_gets_its_share_of_the_keys(group):
    a, b, c = target("a"), target("b"), target("c")
    group.run(4 * DISCOVERY_TIMEOUT_S, a, b)
    group.run(3.0, a, b, c)
    key_counts = [
        sum(r.last - r.first + 1 for r in group.owned(each)) for each in (a, b, c)
    ]
    assert min(key_counts) > 0.6 * 65536 / 3


def test_one_silent_target_of_ten_does_not_stop_balancing(group):
    # One of ten targets is silent, and its keys wait for its lease to expire. A target
    # that joins meanwhile must get keys of the others instead of idling.
    many = [target(f"t{number}") for number in range(10)]
    group.run(4 * DISCOVERY_TIMEOUT_S, *many)
    joined = target("joined")
    group.run(MAX_REPORT_AGE_S + 0.1, *many[1:])
    group.run(LEASE_S - MAX_REPORT_AGE_S - 0.6, *many[1:], joined)
    assert many[0].life in group.owners()
    assert group.owned(joined)


def test_an_owner_that_reports_again_is_not_granted_keys_of_an_open_change(group):
    # An owner's lease expires, and its keys are proposed for the other target. Its
    # daemon reports again before that is committed. If it were granted the keys once
    # more, both targets would hold them.
    a, b = target("a"), target("b")
    group.run(4 * DISCOVERY_TIMEOUT_S, a, b)
    group.now += LEASE_S + 1.0
    group.report(a)
    (command,) = group.leader.tick(group.state, group.now)
    assert group.report(b).ranges == ()
    assert group.state.apply(99, command).kind is None
    assert group.report(b).ranges == ()
    assert sum(r.last - r.first + 1 for r in group.report(a).ranges) == 65536


def test_a_change_in_flight_is_not_proposed_again(group):
    # Guards against a log full of repeated changes after a disk stalled for four
    # seconds.
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


def test_a_void_change_does_not_block_later_ones(group):
    # Guards against keys that wait for the outcome of a change that was never applied.
    a, b = target("a"), target("b")
    group.run(4 * DISCOVERY_TIMEOUT_S, a, b)
    group.now += LEASE_S + 1.0
    group.report(a)
    (command,) = group.leader.tick(group.state, group.now)
    group.leader.discard_change(command)
    assert group.tick()
    assert group.owners() == {a.life}


def test_an_owner_keeps_the_keys_of_a_change_that_was_not_committed(group):
    a, b = target("a"), target("b")
    group.run(4 * DISCOVERY_TIMEOUT_S, a, b)
    group.now += LEASE_S + 1.0
    group.report(a)
    (command,) = group.leader.tick(group.state, group.now)
    group.leader.discard_change(command)
    assert group.report(b).ranges == tuple(group.owned(b))


def test_keys_that_a_target_refuses_get_a_new_token(group):
    # A target has seen a higher fencing token than its present one. It refuses every
    # order for these keys, and callers wait for an owner that never serves them.
    a, b = target("a"), target("b")
    group.run(4 * DISCOVERY_TIMEOUT_S, a, b)
    key_range = group.owned(b)[0]
    refused = (Hold(key_range.first, key_range.last, key_range.fence),)
    settled = group.grant_by_life[b.life].grant
    group.report(b, holds=refused, refused=refused, settled=settled)
    assert group.tick() == [], "earlier grants may still be held"
    group.report(b, refused=refused, settled=settled)
    (command,) = group.tick()
    assert [(r.first, r.last) for r in command.ranges] == [
        (key_range.first, key_range.last)
    ]
    ranges = group.state.ranges_by_service[SERVICE]
    assert max(r.fence for r in ranges if r.first == key_range.first) > key_range.fence


def test_no_load_is_moved_from_a_target_whose_holds_are_unknown(group):
    # All daemons restart, and a target joins. Keys that moved now would stay unserved
    # until every grant that the targets may have received before has expired.
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


def test_released_keys_go_to_the_least_utilized_target_if_their_destination_is_gone(
    group,
):
    # Guards against: released keys go to a target that is full, or in need, as its life
    # comes first by name.
    full, leaving, idle, gone = (target(name) for name in "abcd")
    group.run(4 * DISCOVERY_TIMEOUT_S, full, leaving, idle, gone)
    load = tuple((r.first // 16, 200.0) for r in group.owned(full))
    draining = attrs.evolve(leaving, phase=TargetPhase.DRAINING)
    group.report(full, key_load=load)
    group.report(draining)
    group.tick()
    destinations = {m.move.to_life for m in group.leader._pending_moves}
    assert gone.life in destinations
    before = set(group.owned(full))
    group.now += MAX_REPORT_AGE_S + 0.1
    for who, fields in ((full, {"key_load": load}), (idle, {})):
        group.report(who, **fields)
    for _ in range(2):
        group.beat(draining)
    group.tick()
    assert not group.owned(leaving)
    assert set(group.owned(full)) == before
