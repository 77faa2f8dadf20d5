"""Updates that a leader sends to a daemon, and the daemon's resulting view."""

import asyncio
import types

import attrs
import pytest

from tamarackhaven._metrics import Metrics
from tamarackhaven.fleet._daemon_sessions import DaemonSessions
from tamarackhaven.fleet._feed import UpdateCache
from tamarackhaven.fleet._messages import (
    CONTROL_CODEC,
    ConfigurationChange,
    ConfigurationView,
    Report,
    TargetsView,
)
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
    """Passes messages to a view, packed and unpacked as by a real link."""

    def __init__(self, view):
        self._view = view
        self.bytes = 0

    def send(self, message):
        data = CONTROL_CODEC.pack(message)
        self.bytes += len(data)
        self._view.apply_update(CONTROL_CODEC.unpack(data))


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
        session.send_updates(state)
        test(state, view, link, session)

    asyncio.run(main())


def test_configuration_changes_are_sent_as_differences():
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
            session.send_updates(state)
            seen = view.table.configuration
            assert seen.route_by_name == state.configuration.route_by_name
            assert seen.service_by_name == state.configuration.service_by_name
            assert seen.limits == state.configuration.limits
            assert seen.version == state.configuration.version
        assert link.bytes - whole < 500, (
            "three differences must take less than 500 bytes"
        )

    run(test)


def test_changes_of_owners_are_sent_as_differences():
    def test(state, view, link, session):
        (whole,) = state.ranges_by_service["s"]
        halves = (KeyRange(0, 99, owner="a@1@h:1"), KeyRange(100, KEY_COUNT - 1))
        state.apply(2, AssignKeys("s", halves, (whole,)))
        session.send_updates(state)
        piece = KeyRange(50, 60, owner="b@1@h:2")
        (low, _) = state.ranges_by_service["s"]
        state.apply(3, AssignKeys("s", (piece,), (low,)))
        session.send_updates(state)
        ranges = view._keys_by_service["s"].ranges
        assert ranges == state.ranges_by_service["s"]

    run(test)


def test_an_outdated_configuration_is_ignored():
    # A daemon still receives an update from a deposed leader. If it were applied, the
    # daemon would return to a configuration that operators have replaced.
    def test(state, view, link, session):
        old = attrs.evolve(state.configuration)
        former_session = Session("d", link)
        order = EditConfiguration(1, Edit(2, removed_routes=("r1",)), "e")
        state.apply(2, order)
        session.send_updates(state)
        former_state = FleetState()
        former_state.configuration, former_state.configuration_index = old, 1
        former_session.send_updates(former_state)
        assert view.table.configuration.version == 2

    run(test)


def test_a_daemon_records_since_when_a_zone_is_out():
    def test(state, view, link, session):
        state.apply(2, SetZoneOut("z", True))
        session.send_updates(state)
        assert view.zone_out_since_s("z") is not None
        state.apply(3, SetZoneOut("z", False))
        session.send_updates(state)
        assert view.zone_out_since_s("z") is None

    run(test)


def apply_changes(state, count):
    for number in range(count):
        edit = Edit(state.configuration.version + 1, removed_routes=(f"r{number}",))
        order = EditConfiguration(state.configuration.version, edit, f"c{number}")
        assert state.apply(state.configuration_index + 1, order).kind is None


def test_a_daemon_that_reconnects_is_sent_only_what_it_missed():
    # A leader's links break while hundreds of routes are in force. If every daemon were
    # sent the whole configuration again, it would saturate their slow links and delay
    # the answers to reports, and the daemons would drop each new session as well.
    def test(state, view, link, session):
        whole = link.bytes
        apply_changes(state, 3)
        Session("d", link, UpdateCache(), view.known()).send_updates(state)
        assert link.bytes - whole < 200
        assert view.table.configuration.version == 4
        assert view.table.configuration.route_by_name == (
            state.configuration.route_by_name
        )

    run(test)


def test_a_daemon_with_a_state_that_is_not_kept_is_sent_the_whole_configuration():
    # After so many changes, the leader no longer has the state from which it would
    # build the difference.
    def test(state, view, link, session):
        known = view.known()
        apply_changes(state, MAX_FORMER_VALUES + 1)
        Session("d", link, UpdateCache(), known).send_updates(state)
        assert view.table.configuration.route_by_name == (
            state.configuration.route_by_name
        )

    run(test)


def test_an_update_is_built_once_for_all_daemons():
    # A change of hundreds of routes is sent to many daemons. Building it for each of
    # them would block the leader for longer than an election takes.
    def test(state, view, link, session):
        class RecordingLink:
            def __init__(self):
                self.sent = []

            def send(self, message):
                self.sent.append(message)

        update_cache = UpdateCache()
        links = [RecordingLink(), RecordingLink()]
        sessions = [Session("d", each, update_cache) for each in links]
        for number in range(2):
            for each in sessions:
                each.send_updates(state)
            apply_changes(state, number)
        one, other = (each.sent for each in links)
        assert one
        assert all(a is b for a, b in zip(one, other, strict=True))

    run(test)


def test_a_daemon_is_not_sent_the_source_of_a_route():
    def test(state, view, link, session):
        before = link.bytes
        source = {"comment": "0123456789abcdef" * 64}
        declared = attrs.evolve(route("x", "/x/"), source=source)
        order = EditConfiguration(1, Edit(2, routes=(declared,)), "e")
        state.apply(2, order)
        session.send_updates(state)
        assert "x" in view.table.configuration.route_by_name
        assert link.bytes - before < 200

    run(test)


def test_a_daemon_that_starts_while_its_zone_is_out_allows_no_extra_time():
    # A zone is taken out, and a daemon there restarts some seconds later. If the time
    # counted from when it's notified, its target would serve its keys for seconds
    # longer than the operator was promised.
    def test(state, view, link, session):
        state.apply(2, SetZoneOut("z", True))
        restarted = View()
        Session("d", Link(restarted)).send_updates(state)
        assert restarted.zone_out_since_s("z") == float("-inf")

    run(test)


class PausedLink(Link):
    """Queues messages until ``deliver_all``, which passes them on in order."""

    def __init__(self, view):
        super().__init__(view)
        self.queued = []

    def send(self, message):
        self.queued.append(message)

    def deliver_all(self):
        while self.queued:
            super().send(self.queued.pop(0))


def reassign(state, index):
    """Give each eighth of the keys to another owner."""
    size = KEY_COUNT // 8
    new = tuple(
        KeyRange(n * size, (n + 1) * size - 1, owner=f"i{index}@{index}@h:{n}")
        for n in range(8)
    )
    order = AssignKeys("s", new, state.ranges_by_service["s"])
    assert state.apply(index, order).kind is None


def test_a_configuration_is_not_queued_behind_hundreds_of_changes_of_owners():
    # Guards against a daemon on a slow link that uses an outdated configuration for
    # seconds after a new one was confirmed.
    def test(state, view, _link, session):
        link = session.link = PausedLink(view)
        for index in range(2, 302):
            reassign(state, index)
            session.send_updates(state)
        state.apply(302, EditConfiguration(1, Edit(2, removed_routes=("r8",)), "e"))
        session.send_updates(state)
        before = sum(len(CONTROL_CODEC.pack(each)) for each in link.queued[:-1])
        assert before < 2 * MAX_UNACKNOWLEDGED_BYTES
        link.deliver_all()
        assert view.table.configuration.version == 2

    run(test)


def test_a_daemon_is_sent_the_remaining_owners_after_its_acknowledgement():
    # Guards against changes of owners that are never sent because they exceeded the
    # limit of unacknowledged updates.
    def test(state, view, _link, session):
        link = session.link = PausedLink(view)
        for index in range(2, 102):
            reassign(state, index)
            session.send_updates(state)
        link.deliver_all()
        session.acknowledge(view.state_index)
        session.send_updates(state)
        link.deliver_all()
        assert view._keys_by_service["s"].ranges == state.ranges_by_service["s"]

    run(test)


def exchange(sessions, state, view, link):
    """Let the leader handle a report of what the daemon has."""
    report = Report(1, known=view.known())
    sessions.record_report(link, report, state, lambda: TargetsView(1, ()))


def test_a_configuration_that_differs_under_the_same_index_is_replaced_once():
    # Guards against: a daemon keeps a wrong configuration until the next change of it.
    def test(state, view, link, session):
        logged = []
        log = types.SimpleNamespace(
            say=lambda sentence, **fields: logged.append(sentence)
        )
        metrics = Metrics()
        sessions = DaemonSessions(log, metrics)
        sessions.register(link, "d")
        exchange(sessions, state, view, link)
        wrong = attrs.evolve(state.configuration, routes=())
        view.apply_update(ConfigurationView(1, wrong))
        assert not view.table.configuration.routes
        exchange(sessions, state, view, link)
        assert logged[-1] == "daemon differs"
        assert metrics.counter("tamarackhaven_fleet_daemons_differing_total") == 1
        assert view.table.configuration.digest == state.configuration.digest
        before = link.bytes
        exchange(sessions, state, view, link)
        view.apply_update(ConfigurationView(1, wrong))
        exchange(sessions, state, view, link)
        assert link.bytes - before < 200, "a lasting difference must not fill the link"

    run(test)


def test_a_refused_part_is_sent_again_from_what_the_daemon_has():
    # Guards against: a daemon that refused an update never gets it.
    def test(state, view, link, session):
        log = types.SimpleNamespace(say=lambda sentence, **fields: None)
        metrics = Metrics()
        sessions = DaemonSessions(log, metrics)
        known = view.known()
        apply_changes(state, 2)
        sessions.register(link, "d")
        # The leader takes version 2 for sent.
        report = Report(1, known=tuple(state.versions().values()))
        sessions.record_report(link, report, state, lambda: TargetsView(1, ()))
        assert view.table.configuration.version == 1
        report = Report(2, known=known, refused_parts=("configuration",))
        sessions.record_report(link, report, state, lambda: TargetsView(1, ()))
        assert view.table.configuration.digest == state.configuration.digest
        assert metrics.counter("tamarackhaven_fleet_updates_refused_total") == 1

    run(test)


def test_a_configuration_that_differs_is_replaced_when_the_session_begins():
    # Guards against: a daemon keeps it since it reports each version once a session.
    def test(state, view, link, session):
        wrong = attrs.evolve(state.configuration, routes=())
        view.apply_update(ConfigurationView(1, wrong))
        log = types.SimpleNamespace(say=lambda sentence, **fields: None)
        sessions = DaemonSessions(log, Metrics())
        sessions.register(link, "d")
        exchange(sessions, state, view, link)
        assert view.table.configuration.digest == state.configuration.digest

    run(test)


def test_an_update_that_fails_does_not_count_as_applied():
    # Guards against: the newest index beside the content of the version before.
    def test(state, view, link, session):
        before = view.known()
        broken = Edit(2, routes=(None,))
        with pytest.raises(AttributeError):
            view.apply_update(ConfigurationChange(1, 2, broken))
        assert view.known() == before

    run(test)


def test_a_leader_with_its_state_from_a_snapshot_sends_differences():
    # Guards against: hundreds of daemons on small links are sent whole configurations
    # at once, since the new leader has restored its state.
    def test(state, view, link, session):
        restored = FleetState.restored(state.save())
        before = link.bytes
        other = Session("d", link, UpdateCache(), view.known())
        apply_changes(restored, 1)
        other.send_updates(restored)
        assert link.bytes - before < 200
        assert view.table.configuration.version == 2
        assert view.table.configuration.digest == restored.configuration.digest

    run(test)


def test_a_daemon_has_the_suspects_before_the_configuration():
    # Guards against: a daemon that has just started serves callers by its first
    # configuration, and sends on a request that is quarantined.
    state = FleetState()
    state.apply(1, ReplaceConfiguration(0, Configuration(1), "1"))
    kinds = []
    link = types.SimpleNamespace(send=lambda message: kinds.append(message.kind))
    Session("d", link).send_updates(state)
    assert kinds.index("SuspectsView") < kinds.index("ConfigurationView")
