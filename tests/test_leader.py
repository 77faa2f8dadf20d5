"""Tests of the leader's duties, with a log that commits immediately."""

from concurrent.futures import Future

import attrs
import pytest

from tamarackhaven import _clock
from tamarackhaven._changes import Command, JoinTarget, LeaveTarget, PutResource
from tamarackhaven._consensus import Status
from tamarackhaven._events import HotKey, LoadReport
from tamarackhaven._leader import LeaderDuties
from tamarackhaven._lease_promises import Fenced
from tamarackhaven._logs import Log
from tamarackhaven._machine import Machine
from tamarackhaven._members import Member, Membership
from tamarackhaven._model import (
    Address,
    AvailabilityZone,
    OwnershipPolicy,
    Service,
    TargetState,
    ZoneState,
)
from tamarackhaven._peers import FenceAnswer
from tamarackhaven._raft import Role
from tamarackhaven._raft_messages import Entry
from tamarackhaven._settings import ControlMember, ControlSettings, Listen
from tamarackhaven._state import encode_command
from tamarackhaven.errors import ErrorKind, TamarackhavenError

NAMES = ("c1", "c2", "c3")
MEMBERSHIP = Membership(tuple(Member(n, "127.0.0.1", 1, 2) for n in NAMES))


class FakeConsensus:
    """Commits and applies every proposal immediately."""

    def __init__(self, machine):
        self.machine = machine
        self.index = 0
        self.role = Role.LEADER

    def status(self):
        return Status("c1", self.role, "c1", 1, self.index, self.index, MEMBERSHIP)

    def propose(self, command):
        self.index += 1
        future = Future()
        future.set_result(self.machine.apply(Entry(self.index, 1, command=command)))
        return future

    def do(self, change):
        return self.propose(encode_command(Command(change))).result()


@attrs.define
class FakeLeases:
    """Leases whose promises have ended, except for targets in ``renewing``."""

    renewing: set = attrs.field(factory=set)

    def promise_end(self, service, target, epoch):
        return float("inf") if target in self.renewing else 0.0

    def fence(self, service, target, epoch):
        return Fenced(target not in self.renewing, 100)

    def membership_changed(self):
        """Do nothing; no lease of an older membership exists."""


@attrs.define
class FakePeers:
    """Other control VMs; for those in ``promised`` a promise still runs."""

    promised: set = attrs.field(factory=set)
    silent: set = attrs.field(factory=set)

    def fence(self, name, service, target, epoch):
        future = Future()
        if name in self.silent:
            future.set_result(None)
        else:
            future.set_result(FenceAnswer(name not in self.promised, 0.1))
        return future


class Group:
    """A leader with two targets."""

    def __init__(self):
        self.machine = Machine(MEMBERSHIP)
        self.consensus = FakeConsensus(self.machine)
        self.leases = FakeLeases({"t1", "t2"})
        self.peers = FakePeers()
        settings = ControlSettings(
            name="c1",
            zone="a",
            data_folder="unused",
            metrics=Listen("127.0.0.1", 0),
            members=[ControlMember(n, "127.0.0.1", 1, 2) for n in NAMES],
        )
        log = Log("leader", write=lambda **fields: None)
        self.leader = LeaderDuties(
            settings,
            self.consensus,
            self.machine,
            self.peers,
            self.leases,
            _clock,
            log,
        )
        for resource in (
            AvailabilityZone("a"),
            AvailabilityZone("b"),
            OwnershipPolicy("p", move_batch=4),
            Service("s", "p", shard_count=8),
        ):
            self.put(resource)
        self.join("t1", "a")
        self.join("t2", "b")

    def put(self, resource, version=0):
        change_id = f"c-{self.consensus.index}"
        return self.consensus.do(PutResource(change_id, resource, version))

    def join(self, name, zone, instance="one"):
        peer = Address("127.0.0.1", 1)
        change = JoinTarget("s", name, zone, instance, "1", peer)
        return self.consensus.do(self.leader.checked_join(change))

    def steps(self, count=3, later_s=0.0):
        for _ in range(count):
            self.leader.step(_clock.boot_s() + later_s)

    def member(self, name):
        return self.machine.state.member("s", name)

    def owners(self):
        return [grant.owner for grant in self.machine.state.grants("s").values()]


@pytest.fixture
def group():
    return Group()


def test_shards_without_an_owner_are_granted_evenly(group):
    group.steps()
    assert sorted(group.owners()) == ["t1"] * 4 + ["t2"] * 4


def test_silent_target_is_retired_after_a_majority_fenced_it(group):
    """A target's VM is lost; its shards must get another owner."""
    group.steps()
    group.leases.renewing.discard("t1")
    group.peers.silent.add("c3")
    group.steps()
    assert group.member("t1").state is TargetState.LOST
    assert group.owners() == ["t2"] * 8


def test_target_that_renews_at_other_control_vms_is_not_retired(group):
    """Only the path between a target and the leader is cut.

    The other control VMs still promise, so its daemon holds its lease and serves. If
    the leader alone could retire it, its shards would have two owners.
    """
    group.steps()
    group.leases.renewing.discard("t1")
    group.peers.promised.update({"c2", "c3"})
    group.steps(10)
    assert group.member("t1").state is TargetState.ACTIVE
    assert sorted(group.owners()) == ["t1"] * 4 + ["t2"] * 4


def test_follower_makes_no_proposals(group):
    group.consensus.role = Role.FOLLOWER
    group.steps()
    assert group.owners() == [""] * 8


def test_name_is_claimed_until_its_process_is_retired(group):
    with pytest.raises(TamarackhavenError) as caught:
        group.join("t1", "a", instance="two")
    assert caught.value.kind is ErrorKind.NAME_CLAIMED
    group.leases.renewing.discard("t1")
    group.steps()
    assert group.join("t1", "a", instance="two").code == ""


def test_zone_that_is_out_is_emptied_in_batches(group):
    group.steps()
    zone = group.machine.state.resource("AvailabilityZone", "b")
    out = attrs.evolve(zone, state=ZoneState.OUT, version=0)
    group.put(out, zone.version)
    group.steps(1)
    grants = group.machine.state.grants("s").values()
    assert sum(grant.moving_to == "t1" for grant in grants) == 4


def test_shards_move_to_a_cold_target_before_their_owner_stops(group):
    """A zone is taken out while the only other target is cold.

    If the shards waited until that target is warm, no target would serve them once
    their owner stops accepting work. The cold target's gate refuses excess requests.
    """
    group.steps()
    group.leader.report(LoadReport("s", "t1", 5, 1.0, 1, cold=True))
    zone = group.machine.state.resource("AvailabilityZone", "b")
    group.put(attrs.evolve(zone, state=ZoneState.OUT, version=0), zone.version)
    group.steps()
    grants = group.machine.state.grants("s").values()
    assert not any(grant.moving_to for grant in grants)
    group.steps(later_s=1.5)
    assert sum(grant.moving_to == "t1" for grant in grants) == 4


def test_target_that_left_is_retired_once_it_owns_no_shards(group):
    epoch = group.member("t1").epoch
    group.consensus.do(LeaveTarget("s", "t1", epoch))
    group.steps(1)
    assert group.member("t1").state is TargetState.LOST


def test_reported_hot_key_is_pinned_to_its_own_shard(group):
    group.steps()
    hot = [HotKey(key_hash=77, share=0.9)]
    group.leader.report(LoadReport("s", "t1", 5, 100.0, 12, False, hot))
    group.leader.report(LoadReport("s", "t2", 6, 10.0, 12, False))
    group.steps(later_s=2.0)
    pinned = [g for g in group.machine.state.grants("s").values() if g.key_hash]
    assert [grant.key_hash for grant in pinned] == [77]


def test_held_moves_are_recorded_once(group):
    group.leases.renewing.clear()
    group.steps(10)
    held = group.leader.refusals.find("s")
    assert len(held) == 1
    assert "no target" in held[0].cause
