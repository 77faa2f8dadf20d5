"""Random histories of sessions, changes and losses: a view is always one real version.

The leaders' state, their sessions and a daemon's view are the real ones; links and
commits are simulated.
"""

import asyncio
import random
import types

import pytest

from tamarackhaven._metrics import Metrics
from tamarackhaven.fleet._daemon_sessions import DaemonSessions
from tamarackhaven.fleet._messages import (
    CONTROL_CODEC,
    PartVersion,
    Report,
    TargetsView,
)
from tamarackhaven.fleet._model import KEY_COUNT, KeyRange
from tamarackhaven.fleet._state import (
    AssignKeys,
    EditConfiguration,
    FleetState,
    ReplaceConfiguration,
    SetZoneOut,
)
from tamarackhaven.fleet._suspects import (
    OpenRun,
    RequestAnswers,
    TargetEnd,
    UpdateSuspects,
)
from tamarackhaven.routing import (
    Configuration,
    Edit,
    RequestKind,
    Route,
    ServiceSpec,
    WeightedService,
)
from tamarackhaven.sidecar._view import View
from tamarackhaven.sidecar._view_reports import UpdateOutcome, ViewReports

SERVICES = ("one", "two")
ROUTE_COUNT = 4
STEPS = 140
SEEDS = range(150)


class Link:
    """Messages in flight in both directions, in order; lost when it's closed."""

    def __init__(self):
        self.to_daemon = []
        self.to_leader = []

    def send(self, message):
        self.to_daemon.append(CONTROL_CODEC.unpack(CONTROL_CODEC.pack(message)))


class Leader:
    """A member's state with the sessions of its term."""

    def __init__(self, state):
        self.state = state
        log = types.SimpleNamespace(say=lambda sentence, **fields: None)
        self.sessions = DaemonSessions(log, Metrics())


class Simulation:
    """One daemon, and leaders that follow each other.

    Parameters
    ----------
    rng : random.Random
        Chooses what happens.
    mixes_sessions : bool
        Whether the daemon takes messages of all its links, in any order of links; a
        daemon takes only those of the session in use.
    """

    def __init__(self, rng, mixes_sessions):
        self._rng = rng
        self._mixes_sessions = mixes_sessions
        self._index = 0
        self._content_by_version = {}
        self._leader = Leader(FleetState())
        self._links = []
        self._link = None
        self._reports = 0
        self.view = View()
        self._view_reports = ViewReports()
        self._commit(ReplaceConfiguration(0, self._configuration(1), "first"))

    # Changes.

    def _route(self, number):
        service = self._rng.choice(SERVICES)
        parts = (WeightedService(service, 1.0),)
        return Route(f"r{number}", "h", f"/{number}/", RequestKind.SAFE, parts, 1.0)

    def _configuration(self, version):
        services = tuple(ServiceSpec(name, sharded=True) for name in SERVICES)
        routes = tuple(self._route(number) for number in range(ROUTE_COUNT))
        return Configuration(version, services, routes)

    def _commit(self, command):
        self._index += 1
        state = self._leader.state
        outcome = state.apply(self._index, command)
        assert outcome.kind is None, outcome
        for version in state.versions().values():
            content = content_of(state, version.part)
            self._content_by_version[version.part, version.index] = content
        self._leader.sessions.send_updates(state)

    def change_route(self):
        number = self._rng.randrange(ROUTE_COUNT)
        version = self._leader.state.configuration.version
        if self._rng.random() < 0.3:
            edit = Edit(version + 1, removed_routes=(f"r{number}",))
        else:
            edit = Edit(version + 1, routes=(self._route(number),))
        self._commit(EditConfiguration(version, edit, f"d{self._index}"))

    def move_keys(self):
        service = self._rng.choice(SERVICES)
        ranges = self._leader.state.ranges_by_service[service]
        first = self._rng.randrange(0, KEY_COUNT, 4096)
        owner = f"i{self._rng.randrange(3)}@1@h:1"
        new = KeyRange(first, first + 4095, owner=owner)
        self._commit(AssignKeys(service, (new,), ranges))

    def set_zone(self):
        zone = f"z{self._rng.randrange(2)}"
        self._commit(SetZoneOut(zone, self._rng.random() < 0.5))

    def change_suspects(self):
        request = bytes([self._rng.randrange(5)])
        life = f"i{self._rng.randrange(4)}@1@h:1"
        update = self._rng.choice(
            (
                UpdateSuspects(ends=(TargetEnd(life, (OpenRun(request),)),)),
                UpdateSuspects(answers=(RequestAnswers(request, 3),)),
                UpdateSuspects(forgotten=(request,)),
            )
        )
        self._commit(update)

    def change_leader(self):
        """Elect a member that may have its state from a snapshot."""
        state = self._leader.state
        if self._rng.random() < 0.5:
            state = FleetState.restored(state.save())
        self._leader = Leader(state)

    # Links.

    def connect(self):
        """Begin a session; the links of former ones stay open."""
        self._link = Link()
        self._link.leader = self._leader
        self._links.append(self._link)
        self._leader.sessions.register(self._link, "d")
        self._view_reports.begin_session()
        self.report()

    def lose_link(self):
        """Lose a link with all that is in flight on it."""
        if self._links:
            link = self._links.pop(self._rng.randrange(len(self._links)))
            link.leader.sessions.close(link)
            if link is self._link:
                self._link = None

    def report(self):
        if self._link is None:
            return
        self._reports += 1
        known, refused_parts = self._view_reports.take(self.view.known())
        self._link.to_leader.append(
            Report(
                self._reports,
                state_index=self.view.state_index,
                known=known,
                refused_parts=refused_parts,
            )
        )

    def deliver_report(self):
        links = [each for each in self._links if each.to_leader]
        if links:
            link = self._rng.choice(links)
            link.leader.sessions.record_report(
                link,
                link.to_leader.pop(0),
                link.leader.state,
                lambda: TargetsView(1, ()),
            )

    def deliver_update(self):
        links = [each for each in self._links if each.to_daemon]
        if links:
            link = self._rng.choice(links)
            message = link.to_daemon.pop(0)
            if self._mixes_sessions or link is self._link:
                self._apply(message)

    def _apply(self, message):
        outcome = self.view.apply_update(message)
        if isinstance(message, TargetsView):
            return
        if self._view_reports.record(message.part, outcome):
            self.report()
        for version in self.view.known():
            expected = self._content_by_version[version.part, version.index]
            assert content_of(self.view, version.part) == expected, version

    def settle(self):
        """Deliver all that is in flight until a new session has nothing more to do."""
        self.connect()
        for _ in range(50 * STEPS):
            if not any(each.to_leader or each.to_daemon for each in self._links):
                break
            self.deliver_report()
            self.deliver_update()
        else:
            raise AssertionError("leader and daemon never stop to exchange updates")
        self.report()
        while self._link.to_leader or self._link.to_daemon:
            self.deliver_report()
            self.deliver_update()

    def run(self):
        steps = {
            self.change_route: 4,
            self.move_keys: 3,
            self.set_zone: 1,
            self.change_suspects: 4,
            self.change_leader: 1,
            self.connect: 2,
            self.lose_link: 1,
            self.report: 3,
            self.deliver_report: 10,
            self.deliver_update: 20,
        }
        for step in self._rng.choices(list(steps), steps.values(), k=STEPS):
            step()
        self.settle()
        for version in self._leader.state.versions().values():
            assert version in self.view.known()


def content_of(holder, part):
    """Return the content of a part in a ``FleetState`` or a ``View``."""
    if part == "configuration":
        configuration = getattr(holder, "_configuration", None) or holder.configuration
        return configuration.route_by_name, configuration.service_by_name
    if part == "zones":
        return holder.zones_out
    if part == "suspects":
        return holder.suspect_by_request
    service = part.removeprefix("keys ")
    if isinstance(holder, View):
        return holder._keys_by_service[service].ranges
    return holder.ranges_by_service[service]


@pytest.mark.parametrize("mixes_sessions", [False, True])
def test_a_view_is_never_a_mixture_of_two_versions_and_becomes_the_newest(
    mixes_sessions,
):
    # Guards against: a version's number with another version's routes or owners.
    async def main():
        for seed in SEEDS:
            Simulation(random.Random(seed), mixes_sessions).run()

    asyncio.run(main())


def test_updates_in_flight_behind_a_refused_one_are_reported_once():
    # Guards against: the leader sends the same again for each of them.
    parts = ViewReports()
    assert parts.record("configuration", UpdateOutcome.REFUSED)
    assert parts.is_waiting
    assert not parts.record("configuration", UpdateOutcome.REFUSED)
    assert parts.take(()) == ((), ("configuration",))
    assert parts.take(()) == ((), ())
    assert not parts.record("configuration", UpdateOutcome.REFUSED)
    parts.record("configuration", UpdateOutcome.APPLIED)
    assert not parts.is_waiting
    assert parts.record("configuration", UpdateOutcome.REFUSED)


def test_a_version_is_reported_once_a_session_and_again_if_refused():
    # Guards against: reports that repeat all versions several times a second.
    reports = ViewReports()
    one = PartVersion("configuration", 1, 5)
    two = PartVersion("zones", 2, 6)
    assert reports.take((one, two)) == ((one, two), ())
    assert reports.take((one, two)) == ((), ())
    replaced = PartVersion("configuration", 1, 7)
    assert reports.take((replaced, two)) == ((replaced,), ())
    reports.record("zones", UpdateOutcome.REFUSED)
    assert reports.take((replaced, two)) == ((two,), ("zones",))
    reports.begin_session()
    assert reports.take((replaced, two)) == ((replaced, two), ())
