"""Tests of the replicated state: changes, versions, joins and grants."""

import collections
import math

import attrs
import pytest
from hypothesis import given, settings, strategies as st

from tamarackhaven import _codec, _keys, _state
from tamarackhaven._changes import (
    Command,
    DeleteResource,
    JoinTarget,
    LeaveTarget,
    MoveShards,
    PinKey,
    PutResource,
    ReleaseShards,
    RetireTarget,
    ShardMove,
    UnpinKey,
)
from tamarackhaven._events import TargetRemoved
from tamarackhaven._model import (
    Address,
    AvailabilityZone,
    OwnershipPolicy,
    PolicyMode,
    Service,
    ShardGrant,
    TargetState,
    ZoneState,
)
from tamarackhaven._placement import plan
from tamarackhaven._plan import PlacementInputs
from tamarackhaven._settings import PlacementSettings
from tamarackhaven._state import ClusterState, StateSnapshot
from tamarackhaven.errors import ErrorKind
from tests import golden


class Log:
    """Applies changes with increasing indexes, like the replicated log."""

    def __init__(self):
        self.state = ClusterState()
        self.index = 0

    def do(self, change):
        self.index += 1
        outcome, self.events = self.state.apply(self.index, Command(change))
        return outcome

    def put(self, resource, expected=0, change_id="", **words):
        change_id = change_id or f"change-{self.index}"
        return self.do(PutResource(change_id, resource, expected, **words))

    def join(self, target, zone="a", instance=""):
        return self.do(
            JoinTarget(
                service="rota",
                target=target,
                zone=zone,
                instance=instance or f"i-{target}",
                incarnation="1",
                peer=Address("127.0.0.1", 1),
            )
        )

    def grant(self, shard):
        return self.state.grants("rota")[shard]

    def move(self, shard, to_target):
        move = ShardMove(shard, self.grant(shard).grant, to_target)
        return self.do(MoveShards("rota", [move]))

    def release(self, target, grants):
        epoch = self.state.member("rota", target).epoch
        return self.do(ReleaseShards("rota", target, epoch, grants))


@pytest.fixture
def log():
    log = Log()
    log.put(AvailabilityZone("a"))
    log.put(AvailabilityZone("b"))
    log.put(OwnershipPolicy("alone"))
    log.put(Service("rota", "alone", shard_count=4))
    return log


def code(kind):
    return kind.value


def test_concurrent_change_fails_with_the_current_version(log):
    """Guards against a lost update when two operators change the same version.

    Both read version 1. The first change is applied; the second must fail with a
    conflict that holds the current version, and must not overwrite the first.
    """
    first = log.put(AvailabilityZone("a", "north"), expected=1)
    second = log.put(AvailabilityZone("a", "south"), expected=1)
    assert first.code == ""
    assert second.code == code(ErrorKind.VERSION_CONFLICT)
    assert second.version == first.version
    assert log.state.resource("AvailabilityZone", "a").region == "north"


def test_resent_change_returns_its_first_outcome(log):
    """Guards against a conflict of a resent change with itself.

    An operator doesn't get the outcome and sends the same change again. If it were
    applied again, it would fail with a version conflict, which looks like a change by
    another operator.
    """
    change = PutResource("c1", AvailabilityZone("a", "north"), 1)
    first = log.do(change)
    log.put(AvailabilityZone("a", "south"), expected=first.version)
    assert log.do(change) == first
    assert log.state.resource("AvailabilityZone", "a").region == "south"
    reused = log.put(AvailabilityZone("c"), change_id="c1")
    assert reused.code == code(ErrorKind.CHANGE_ID_REUSED)


def test_invalid_resources_are_refused(log):
    zone_a = log.state.resource("AvailabilityZone", "a")
    zone_b = log.state.resource("AvailabilityZone", "b")
    out_b = attrs.evolve(zone_b, state=ZoneState.OUT, version=0)
    out_a = attrs.evolve(zone_a, state=ZoneState.OUT, version=0)
    assert log.put(Service("x", "none")).code == code(ErrorKind.INVALID_RESOURCE)
    assert log.put(Service("x", "alone", 3)).code == code(ErrorKind.INVALID_RESOURCE)
    assert log.put(AvailabilityZone("-")).code == code(ErrorKind.INVALID_RESOURCE)
    assert log.put(out_b, zone_b.version).code == ""
    assert log.put(out_a, zone_a.version).code == code(ErrorKind.LAST_ZONE)
    forced = log.put(out_a, zone_a.version, allow_last_zone_out=True)
    assert forced.code == ""
    assert log.join("t1", zone="nowhere").code == code(ErrorKind.UNKNOWN_ZONE)
    delete = DeleteResource("d", "OwnershipPolicy", "alone", 3)
    assert log.do(delete).code == code(ErrorKind.RESOURCE_IN_USE)


def test_mode_of_a_service_in_use_cannot_change(log):
    """Guards against a change of mode while daemons still have the old map.

    Daemons would then disagree on whether a key has one owner or any.
    """
    shared = OwnershipPolicy("any", PolicyMode.SHARED)
    log.put(shared)
    requested = OwnershipPolicy("alone", PolicyMode.SHARED)
    invalid = code(ErrorKind.INVALID_RESOURCE)
    assert log.put(requested, expected=3).code == invalid
    assert log.put(Service("rota", "any", shard_count=4), expected=4).code == invalid


def test_oldest_lost_targets_are_removed(log, monkeypatch):
    monkeypatch.setattr(_state, "MAX_LOST_TARGETS", 2)
    for number in range(4):
        epoch = log.join(f"t{number}").version
        log.do(RetireTarget("rota", f"t{number}", epoch))
    assert [member.target for member in log.state.members] == ["t2", "t3"]
    assert log.events[-1] == TargetRemoved(log.index, "rota", "t1")
    assert log.state.member_by_epoch(epoch).target == "t3"


def test_change_that_leaves_too_few_targets_is_refused(log):
    log.join("t1")
    policy = OwnershipPolicy("alone", min_targets=2)
    assert log.put(policy, expected=3).code == code(ErrorKind.POLICY_NOT_HELD)
    log.join("t2", zone="b")
    assert log.put(policy, expected=3).code == ""
    out = AvailabilityZone("b", state=ZoneState.OUT)
    assert log.put(out, expected=2).code == code(ErrorKind.POLICY_NOT_HELD)


def test_owned_shard_changes_owner_only_by_release(log):
    """Guards against two targets that serve one key during a move.

    If a moved shard were granted at once, the old owner would serve it until it is
    notified. So the move waits for the release, which names the released grant.
    """
    log.join("t1")
    log.join("t2")
    log.move(0, "t1")
    old = log.grant(0)
    log.move(0, "t2")
    assert (log.grant(0).owner, log.grant(0).moving_to) == ("t1", "t2")
    log.release("t1", [old])
    assert log.grant(0).owner == "t2"
    log.release("t1", [old])
    assert log.grant(0).owner == "t2"


def test_release_after_a_cancelled_move_renews_the_grant(log):
    log.join("t1")
    log.join("t2")
    log.move(0, "t1")
    old = log.grant(0)
    log.move(0, "t2")
    log.move(0, "t1")
    log.release("t1", [old])
    assert log.grant(0).owner == "t1"
    assert log.grant(0).grant > old.grant


def test_retirement_frees_shards_and_a_stale_one_is_refused(log):
    """Guards against a late retirement that removes the shards of a new epoch.

    A paused daemon is retired, resumes and joins again. A lagging leader proposes a
    second retirement for the old epoch, which must be refused.
    """
    epoch = log.join("t1").version
    log.move(0, "t1")
    log.do(RetireTarget("rota", "t1", epoch))
    assert log.grant(0).owner == ""
    assert log.state.member("rota", "t1").state is TargetState.LOST
    log.join("t1")
    log.move(0, "t1")
    late = log.do(RetireTarget("rota", "t1", epoch))
    assert late.code == code(ErrorKind.STALE_EPOCH)
    assert log.grant(0).owner == "t1"


def test_second_process_with_a_name_is_refused_until_the_first_is_retired(log):
    """Guards against two processes that serve under one target name.

    The leader gets no reports from a daemon, and another daemon joins under its name.
    If it were admitted at once, it could release a shard while the first still holds
    its lease from other control VMs. A retired epoch can't hold a lease.
    """
    epoch = log.join("t1", instance="one").version
    log.move(0, "t1")
    before = log.grant(0)
    assert log.join("t1", instance="two").code == code(ErrorKind.NAME_CLAIMED)
    assert log.grant(0) == before
    log.do(RetireTarget("rota", "t1", epoch))
    assert log.join("t1", instance="two").code == ""
    assert log.state.member_by_epoch(epoch) is None
    log.move(0, "t1")
    # The new process has no ledger of bookings, so it must get a new grant number.
    assert log.grant(0).grant > before.grant


def test_same_process_keeps_its_grants_when_it_rejoins(log):
    log.join("t1")
    log.move(0, "t1")
    before = log.grant(0)
    resent = log.join("t1")
    assert log.grant(0).grant == before.grant
    assert log.grant(0).epoch == resent.version


def test_no_shard_is_granted_in_a_zone_taken_out_after_the_plan(log):
    """Guards against new work in a zone that is out.

    An operator takes the zone out after the leader has planned a move, and before the
    move commits. The eligibility is checked again when the entry is applied.
    """
    log.join("t1", zone="b")
    log.put(AvailabilityZone("b", state=ZoneState.OUT), expected=2)
    log.move(0, "t1")
    assert log.grant(0).owner == ""


def test_leaving_target_is_granted_no_shard(log):
    epoch = log.join("t1").version
    log.do(LeaveTarget("rota", "t1", epoch))
    log.move(0, "t1")
    assert log.grant(0).owner == ""


def test_pinned_key_keeps_its_own_shard_until_both_have_one_owner(log):
    log.join("t1")
    log.join("t2")
    key_hash = _keys.hash_key("rota", "sunday")
    base = _keys.shard_of(key_hash, 4)
    log.move(base, "t1")
    log.do(PinKey("rota", key_hash))
    assert (log.grant(4).owner, log.grant(4).key_hash) == ("t1", key_hash)
    log.move(4, "t2")
    log.release("t1", [log.grant(4)])
    unpinned = log.do(UnpinKey("rota", key_hash))
    assert unpinned.code == code(ErrorKind.STALE_GRANT)
    log.move(4, "t1")
    log.release("t2", [log.grant(4)])
    assert log.do(UnpinKey("rota", key_hash)).code == ""
    assert 4 not in log.state.grants("rota")


def test_snapshot_restores_the_complete_state(log):
    log.join("t1")
    log.move(0, "t1")
    data = _codec.dumps(log.state.snapshot(), StateSnapshot)
    restored = ClusterState.restored(_codec.loads(data, StateSnapshot))
    assert restored.snapshot() == log.state.snapshot()
    for state in (log.state, restored):
        member = state.member("rota", "t1")
        assert state.member_by_epoch(member.epoch) == member
        assert state.member_by_epoch(member.epoch + 1) is None
    resent = log.put(AvailabilityZone("a"), change_id="change-0")
    first, _ = restored.apply(
        99, Command(PutResource("change-0", AvailabilityZone("a")))
    )
    assert first == resent


zone_changes = st.tuples(
    st.integers(0, 3),
    st.sampled_from(["a", "b"]),
    st.integers(0, 12),
    st.sampled_from(["north", "south"]),
)


@settings(derandomize=True, deadline=None, database=None, max_examples=100)
@given(st.lists(zone_changes, max_size=25))
def test_resources_match_a_simple_model(changes):
    """Compares random colliding change ids and versions with a simple model."""
    log = Log()
    log.put(AvailabilityZone("keep"), change_id="keep")
    model, result_by_change_id = {}, {}
    for change_id, name, expected, region in changes:
        requested = (name, expected, region)
        outcome = log.put(AvailabilityZone(name, region), expected, str(change_id))
        if change_id in result_by_change_id:
            known, first = result_by_change_id[change_id]
            if known == requested:
                assert outcome == first
            else:
                assert outcome.code == code(ErrorKind.CHANGE_ID_REUSED)
            continue
        current_version = model.get(name, (0, None))[0]
        assert (outcome.code == "") == (expected == current_version)
        if outcome.code == "":
            model[name] = (log.index, region)
        result_by_change_id[change_id] = (requested, outcome)
    for name, (version, region) in model.items():
        zone = log.state.resource("AvailabilityZone", name)
        assert (zone.version, zone.region) == (version, region)


def test_golden_transcript(log):
    """Two targets join and share the shards; then one leaves and one is lost."""
    steps = [
        JoinTarget("rota", "t1", "a", "i1", "1", Address("127.0.0.1", 1)),
        JoinTarget("rota", "t2", "b", "i2", "1", Address("127.0.0.1", 2)),
        MoveShards("rota", [ShardMove(n, 0, f"t{n % 2 + 1}") for n in range(4)], "new"),
        MoveShards("rota", [ShardMove(0, 7, "t2"), ShardMove(1, 3, "t1")], "balance"),
        ReleaseShards("rota", "t1", 5, [ShardGrant("rota", 0, "t1", 5, 7)]),
        PutResource("op-1", AvailabilityZone("b", state=ZoneState.OUT), 1),
        PutResource("op-1", AvailabilityZone("b", state=ZoneState.OUT), 1),
        PutResource("op-2", AvailabilityZone("b", state=ZoneState.OUT), 2),
        RetireTarget("rota", "t2", 6, "its lease ran out"),
        LeaveTarget("rota", "t1", 6),
        DeleteResource("op-3", "Service", "rota", 4),
    ]
    lines = []
    for change in steps:
        outcome = log.do(change)
        lines.append(f"{log.index} {change}")
        lines.append(f"   = {outcome.code or 'applied'} {outcome.detail}".rstrip())
        lines += [f"   > {event}" for event in log.events]
    lines += [f"{d.decision_id} {d.result}" for d in log.state.decisions.all()]
    golden.check("state_session", "\n".join(lines) + "\n")


def test_returning_zone_moves_few_shards_at_a_time():
    """Guards against too many moves when a whole zone returns with cold targets.

    Every join is one log entry. At most one batch of shards moves at a time, and no
    shard moves twice. The placement moves shards to the new targets only up to a
    share of the mean that fits their warmth; once warm, they have the mean, rounded
    down to whole shards.
    """
    log, batch = Log(), 32
    log.put(AvailabilityZone("a"))
    log.put(AvailabilityZone("b"))
    log.put(OwnershipPolicy("sole", move_batch=batch))
    log.put(Service("rota", "sole", shard_count=1024))
    for n in range(270):
        log.join(f"a{n}")
    assert len(placement_step(log).moves) == 1024
    new_targets = [f"b{n}" for n in range(30)]
    before = log.index
    epochs = [log.join(name, "b").member.epoch for name in new_targets]
    assert epochs == list(range(before + 1, before + 31))

    moved = collections.Counter()
    for warmth in (0.3, 1.0):
        warmth_by_target = dict.fromkeys(new_targets, warmth)
        while moves := placement_step(log, warmth_by_target).moves:
            assert len(moves) <= batch
            moved.update(move.shard for move in moves)
            owned = owned_by_target(log)
            share = math.ceil(1024 / 300 * warmth)
            assert max(owned[name] for name in new_targets) <= share
    assert set(moved.values()) == {1}
    assert {owned[name] for name in new_targets} == {math.floor(1024 / 300)}
    assert max(owned.values()) == math.ceil(1024 / 300)
    assert moved.total() == 30 * math.floor(1024 / 300)


def placement_step(log, warmth_by_target=None):
    """Plan and apply moves, and let the owners release their shards at once."""
    state = log.state
    step = plan(
        PlacementInputs(
            state.resource("Service", "rota"),
            state.resource("OwnershipPolicy", "sole"),
            {zone.name: zone for zone in state.zones},
            state.members,
            dict(state.grants("rota")),
            warmth_by_target=warmth_by_target or {},
        ),
        PlacementSettings(),
    )
    for change in step.changes():
        log.do(change)
    for shard in [move.shard for move in step.moves]:
        if log.grant(shard).moving_to:
            log.release(log.grant(shard).owner, [log.grant(shard)])
    return step


def owned_by_target(log):
    return collections.Counter(g.owner for g in log.state.grants("rota").values())
