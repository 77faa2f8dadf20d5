"""The replicated state: owners of keys, repeated orders, zones."""

import attrs
import pytest

from tamarackhaven.errors import ErrorKind
from tamarackhaven.fleet._leaving import MAX_LEAVING_LIVES, OpenLeaves, RecordLeaving
from tamarackhaven.fleet._model import KEY_COUNT, KeyRange
from tamarackhaven.fleet._state import (
    AssignKeys,
    EditConfiguration,
    FleetState,
    ReplaceConfiguration,
    SetZoneOut,
    decode,
    encode,
)
from tamarackhaven.routing import (
    Configuration,
    Edit,
    RequestKind,
    Route,
    ServiceSpec,
    WeightedService,
)


def route(name="r", prefix="/a/", service="owned", **fields):
    fields = {"timeout_s": 1.0, **fields}
    parts = (WeightedService(service, 1.0),)
    return Route(name, "h.example", prefix, RequestKind.SAFE, parts, **fields)


def configuration(version=1, routes=None):
    routes = (route(),) if routes is None else routes
    services = (ServiceSpec("owned", sharded=True), ServiceSpec("shared"))
    return Configuration(version, services, tuple(routes))


@pytest.fixture
def state():
    state = FleetState()
    outcome = state.apply(1, ReplaceConfiguration(0, configuration(), "first"))
    assert outcome.kind is None
    return state


def test_an_order_repeated_after_a_newer_one_is_acknowledged_again(state):
    # An operator misses an acknowledgement and repeats the order after another one has
    # been accepted. Its base version is outdated by then, and a conflict would tell the
    # operator that its own change was refused.
    edit = EditConfiguration(1, Edit(2, routes=(route("new", "/b/"),)), "second")
    assert state.apply(2, edit).kind is None
    again = state.apply(3, ReplaceConfiguration(0, configuration(), "first"))
    assert again.is_repeat and again.kind is None
    assert state.configuration.version == 2


def test_of_two_changes_of_one_version_the_second_is_refused(state):
    first = EditConfiguration(1, Edit(2, routes=(route("x", "/x/"),)), "x")
    other = EditConfiguration(1, Edit(2, routes=(route("y", "/y/"),)), "y")
    assert state.apply(2, first).kind is None
    assert state.apply(3, other).kind is ErrorKind.VERSION_CONFLICT
    assert "y" not in state.configuration.route_by_name


@pytest.mark.parametrize(
    "routes",
    [
        [route(service="nobody")],
        [route(), route("r2")],  # the same host and prefix twice
        [route(), route(prefix="/b/")],  # the same name twice
        [route(timeout_s=601.0)],
        [route(timeout_s=0.0)],
        [route(prefix="/a")],
        [attrs.evolve(route(), parts=(WeightedService("owned", -1.0),))],
        [attrs.evolve(route(), parts=(WeightedService("owned", 0.0),))],
        [attrs.evolve(route(), parts=())],
    ],
)
def test_an_invalid_configuration_is_refused(state, routes):
    order = ReplaceConfiguration(1, configuration(2, routes), "bad")
    assert state.apply(2, order).kind is ErrorKind.INVALID_RESOURCE
    assert state.configuration.version == 1


def test_a_version_that_is_not_above_the_present_one_is_invalid(state):
    order = ReplaceConfiguration(1, configuration(1), "same version")
    assert state.apply(2, order).kind is ErrorKind.INVALID_RESOURCE


def test_each_change_of_owner_has_a_higher_fence(state):
    (whole,) = state.ranges_by_service["owned"]
    halves = (
        KeyRange(0, 32767, owner="a"),
        KeyRange(32768, KEY_COUNT - 1, owner="b"),
    )
    state.apply(2, AssignKeys("owned", halves, (whole,)))
    low, high = state.ranges_by_service["owned"]
    moved = KeyRange(0, 99, owner="b", handover="token")
    state.apply(3, AssignKeys("owned", (moved,), (low,)))
    ranges = state.ranges_by_service["owned"]
    assert [(r.first, r.last, r.owner) for r in ranges] == [
        (0, 99, "b"),
        (100, 32767, "a"),
        (32768, KEY_COUNT - 1, "b"),
    ]
    assert ranges[0].fence > low.fence == ranges[1].fence
    assert ranges[2] == high


def test_a_command_that_assigns_a_key_twice_changes_nothing(state):
    # A leader put a range into one command twice: as keys of an expired owner, and as
    # keys released by a planned move. Two targets got them with the same fencing token,
    # and neither could detect that the other one held them, too.
    (whole,) = state.ranges_by_service["owned"]
    twice = (KeyRange(0, 10, owner="a"), KeyRange(10, KEY_COUNT - 1, owner="b"))
    outcome = state.apply(2, AssignKeys("owned", twice, (whole,)))
    assert outcome.kind is ErrorKind.INVALID_RESOURCE
    assert state.ranges_by_service["owned"] == (whole,)


def test_an_assignment_based_on_outdated_ranges_is_void(state):
    (whole,) = state.ranges_by_service["owned"]
    first = AssignKeys("owned", (attrs.evolve(whole, owner="a"),), (whole,))
    late = AssignKeys("owned", (attrs.evolve(whole, owner="b"),), (whole,))
    assert state.apply(2, first).kind is None
    assert state.apply(3, late).kind is ErrorKind.STALE_GRANT


def test_a_restored_state_equals_the_saved_one(state):
    state.apply(2, SetZoneOut("z", True))
    copy = FleetState.restored(state.save())
    assert copy.save() == state.save()
    assert copy.zones_out == {"z"}
    again = copy.apply(9, ReplaceConfiguration(0, configuration(), "first"))
    assert again.is_repeat


@pytest.mark.parametrize(
    "command",
    [
        ReplaceConfiguration(0, configuration(), "d"),
        EditConfiguration(1, Edit(2, removed_routes=("r",)), "d"),
        SetZoneOut("z", True),
        AssignKeys("s", (KeyRange(0, 1, owner="a"),), (KeyRange(0, 1),), "why"),
    ],
)
def test_commands_survive_encoding(command):
    assert decode(encode(command)) == command


def test_a_command_that_fails_is_void_and_does_not_end_the_control_vm(state):
    # Guards against: each control VM ends at the same log entry, and again after each
    # restart.
    version = state.configuration.version
    broken = ReplaceConfiguration(version, None, "broken")
    assert state.apply(2, broken).kind is ErrorKind.INTERNAL
    assert state.configuration.version == version
    assert state.configuration_index == 1
    after = ReplaceConfiguration(version, configuration(version + 1), "after")
    assert state.apply(3, after).kind is None


def test_lives_that_leave_are_kept_over_a_snapshot_up_to_a_limit(state):
    # Guards against: a control VM that restarts forgets that a target leaves.
    lives = tuple(f"i{number}@1@h:1" for number in range(MAX_LEAVING_LIVES + 1))
    for index, life in enumerate(lives):
        command = decode(encode(RecordLeaving((life,))))
        assert state.apply(100 + index, command).kind is None
    copy = FleetState.restored(state.save())
    assert lives[0] not in copy.leaving
    assert all(life in copy.leaving for life in lives[1:])


def test_a_leave_is_proposed_once_and_again_after_a_failure(state):
    # Guards against: a target waits for a record that nobody writes.
    open_leaves = OpenLeaves()
    assert open_leaves.record(("a", "b"), state.leaving)
    command = open_leaves.update()
    assert command.lives == ("a", "b")
    assert not open_leaves.record(("a", "b"), state.leaving)
    open_leaves.close(command)
    assert open_leaves.record(("a",), state.leaving)
    state.apply(100, open_leaves.update())
    assert not open_leaves.record(("a",), state.leaving)
    assert open_leaves.update() is None
