"""What a leader sends to a daemon, and what the daemon makes of it."""

import asyncio

import attrs

from tamarackhaven.fleet._feed import UpdateCache
from tamarackhaven.fleet._messages import CONTROL_CODEC
from tamarackhaven.fleet._model import KEY_COUNT, KeyRange
from tamarackhaven.fleet._sessions import MAX_UNACKNOWLEDGED_BYTES, Session
from tamarackhaven.fleet._state import (
    MAX_FORMER_VALUES,
    AssignKeys,
    EditConfiguration,
    FleetState,
    ReplaceConfiguration,
    SetZoneOut,
)
from tamarackhaven.routing import (
    Configuration,
    Edit,
    Limits,
    RequestKind,
    Route,
    ServiceSpec,
    WeightedService,
)
from tamarackhaven.sidecar._view import View


def route(name, prefix, timeout_s=1.0):
    parts = (WeightedService("s", 1.0),)
    return Route(name, "h", prefix, RequestKind.SAFE, parts, timeout_s)


class Link:
    """Carries messages to a view as a real link does."""

    def __init__(self, view):
        self._view = view
        self.bytes = 0

    def send(self, message):
        data = CONTROL_CODEC.pack(message)
        self.bytes += len(data)
        self._view.take(CONTROL_CODEC.unpack(data))


def run(test):
    async def main():
        state = FleetState()
        services = (ServiceSpec("s", sharded=True),)
        routes = tuple(route(f"r{n}", f"/{n}/") for n in range(200))
        first = Configuration(1, services, routes)
        state.apply(1, ReplaceConfiguration(0, first, "1"))
        view = View()
        link = Link(view)
        session = Session("d", link)
        session.catch_up(state)
        test(state, view, link, session)

    asyncio.run(main())


def test_a_daemon_follows_every_change_by_its_difference():
    def test(state, view, link, session):
        whole = link.bytes
        edits = [
            Edit(2, routes=(route("r7", "/7/", 9.0), route("new", "/new/"))),
            Edit(3, removed_routes=("r8",), limits=Limits(max_header_bytes=99)),
            Edit(4, services=(ServiceSpec("t"),)),
        ]
        for number, edit in enumerate(edits):
            order = EditConfiguration(edit.version - 1, edit, f"e{number}")
            assert state.apply(number + 2, order).kind is None
            session.catch_up(state)
            seen = view.table.configuration
            assert seen.route_by_name == state.configuration.route_by_name
            assert seen.service_by_name == state.configuration.service_by_name
            assert seen.limits == state.configuration.limits
            assert seen.version == state.configuration.version
        assert link.bytes - whole < 500, "three changes are small"

    run(test)


def test_a_daemon_follows_the_owners_by_their_changes():
    def test(state, view, link, session):
        (whole,) = state.ranges_by_service["s"]
        halves = (KeyRange(0, 99, owner="a@1@h:1"), KeyRange(100, KEY_COUNT - 1))
        state.apply(2, AssignKeys("s", halves, (whole,)))
        session.catch_up(state)
        piece = KeyRange(50, 60, owner="b@1@h:2")
        (low, _) = state.ranges_by_service["s"]
        state.apply(3, AssignKeys("s", (piece,), (low,)))
        session.catch_up(state)
        ranges = view._keys_by_service["s"].ranges
        assert ranges == state.ranges_by_service["s"]

    run(test)


def test_an_older_part_changes_nothing():
    # A deposed leader's link still brings something. Taken, the daemon would go back
    # to a configuration that operators have replaced.
    def test(state, view, link, session):
        old = attrs.evolve(state.configuration)
        late = Session("d", link)
        order = EditConfiguration(1, Edit(2, removed_routes=("r1",)), "e")
        state.apply(2, order)
        session.catch_up(state)
        stale = FleetState()
        stale.configuration, stale.configuration_index = old, 1
        late.catch_up(stale)
        assert view.table.configuration.version == 2

    run(test)


def test_zones_are_told_with_when_they_were_heard():
    def test(state, view, link, session):
        state.apply(2, SetZoneOut("z", True))
        session.catch_up(state)
        assert view.zone_out_since_s("z") is not None
        state.apply(3, SetZoneOut("z", False))
        session.catch_up(state)
        assert view.zone_out_since_s("z") is None

    run(test)


def changed_by(state, count):
    for number in range(count):
        edit = Edit(state.configuration.version + 1, removed_routes=(f"r{number}",))
        order = EditConfiguration(state.configuration.version, edit, f"c{number}")
        assert state.apply(state.configuration_index + 1, order).kind is None


def test_a_daemon_that_comes_back_is_sent_what_it_missed():
    # A leader's link breaks while hundreds of routes are in force. Sent whole again to
    # every daemon, the configuration fills the small links, the answers to reports
    # stand behind it, and the daemons give the new session up, too, again and again.
    def test(state, view, link, session):
        whole = link.bytes
        changed_by(state, 3)
        Session("d", link, UpdateCache(), view.known()).catch_up(state)
        assert link.bytes - whole < 200
        assert view.table.configuration.version == 4
        assert view.table.configuration.route_by_name == (
            state.configuration.route_by_name
        )

    run(test)


def test_a_daemon_that_was_away_for_long_is_sent_the_whole():
    # So many changes passed that the leader has no state from which to lead on.
    def test(state, view, link, session):
        known = view.known()
        changed_by(state, MAX_FORMER_VALUES + 1)
        Session("d", link, UpdateCache(), known).catch_up(state)
        assert view.table.configuration.route_by_name == (
            state.configuration.route_by_name
        )

    run(test)


def test_news_are_made_once_for_all_daemons():
    # A change of hundreds of routes goes to many daemons. Made for each of them, it
    # holds the leader up for longer than an election takes.
    def test(state, view, link, session):
        class Kept:
            def __init__(self):
                self.sent = []

            def send(self, message):
                self.sent.append(message)

        update_cache = UpdateCache()
        links = [Kept(), Kept()]
        sessions = [Session("d", each, update_cache) for each in links]
        for number in range(2):
            for each in sessions:
                each.catch_up(state)
            changed_by(state, number)
        one, other = (each.sent for each in links)
        assert one
        assert all(a is b for a, b in zip(one, other, strict=True))

    run(test)


def test_a_daemon_is_not_sent_the_fields_as_declared():
    def test(state, view, link, session):
        before = link.bytes
        source = {"comment": "0123456789abcdef" * 64}
        declared = attrs.evolve(route("x", "/x/"), source=source)
        order = EditConfiguration(1, Edit(2, routes=(declared,)), "e")
        state.apply(2, order)
        session.catch_up(state)
        assert "x" in view.table.configuration.route_by_name
        assert link.bytes - before < 200

    run(test)


def test_a_daemon_that_starts_while_its_zone_is_out_grants_no_time():
    # A zone is taken out, and a daemon there restarts some seconds later. Counted from
    # when it hears of it, its target would serve its keys for seconds more than the
    # operator was promised.
    def test(state, view, link, session):
        state.apply(2, SetZoneOut("z", True))
        restarted = View()
        Session("d", Link(restarted)).catch_up(state)
        assert restarted.zone_out_since_s("z") == float("-inf")

    run(test)


class HeldUp(Link):
    """Holds back what it carries until it is let go, in order."""

    def __init__(self, view):
        super().__init__(view)
        self.held = []

    def send(self, message):
        self.held.append(message)

    def let_go(self):
        while self.held:
            super().send(self.held.pop(0))


def reassign(state, index):
    """Give each eighth of the keys to another owner."""
    size = KEY_COUNT // 8
    new = tuple(
        KeyRange(n * size, (n + 1) * size - 1, owner=f"i{index}@{index}@h:{n}")
        for n in range(8)
    )
    order = AssignKeys("s", new, state.ranges_by_service["s"])
    assert state.apply(index, order).kind is None


def test_a_configuration_does_not_stand_behind_hundreds_of_changes_of_owners():
    # Guards against: a daemon on a small link that answers by an older configuration
    # for seconds after a new one was confirmed.
    def test(state, view, _link, session):
        link = session.link = HeldUp(view)
        for index in range(2, 302):
            reassign(state, index)
            session.send_updates(state)
        state.apply(302, EditConfiguration(1, Edit(2, removed_routes=("r8",)), "e"))
        session.send_updates(state)
        before = sum(len(CONTROL_CODEC.pack(each)) for each in link.held[:-1])
        assert before < 2 * MAX_UNACKNOWLEDGED_BYTES
        link.let_go()
        assert view.table.configuration.version == 2

    run(test)


def test_a_daemon_that_keeps_up_has_all_owners_once_it_has_said_so():
    # Guards against: owners that a daemon never hears of since it was told too many.
    def test(state, view, _link, session):
        link = session.link = HeldUp(view)
        for index in range(2, 102):
            reassign(state, index)
            session.send_updates(state)
        link.let_go()
        session.acknowledge(view.state_index)
        session.send_updates(state)
        link.let_go()
        assert view._keys_by_service["s"].ranges == state.ranges_by_service["s"]

    run(test)
