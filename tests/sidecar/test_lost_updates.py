"""Random histories in which messages of a leader are lost: what a daemon says for good.

The leader's state and sessions and the daemon's view are the real ones.
"""

import random
import types

import pytest

from tamarackhaven._metrics import Metrics
from tamarackhaven.fleet._daemon_sessions import DaemonSessions
from tamarackhaven.fleet._messages import CONTROL_CODEC, Report, TargetsView
from tamarackhaven.fleet._state import (
    EditConfiguration,
    FleetState,
    ReplaceConfiguration,
    SetZoneOut,
)
from tamarackhaven.fleet._suspects import OpenRun, TargetEnd, UpdateSuspects
from tamarackhaven.routing import (
    Configuration,
    Edit,
    RequestKind,
    Route,
    ServiceSpec,
    WeightedService,
)
from tamarackhaven.sidecar._view import CONFIRMATION_TTL_S, View
from tamarackhaven.sidecar._view_updates import ViewUpdates

SEEDS = range(60)
STEPS = 80
LOSS_FRACTION = 0.3


class Link:
    """Messages on their way to the daemon; some updates are lost on it."""

    def __init__(self, rng):
        self._rng = rng
        self.loses = True
        self.messages = []

    def send(self, message):
        if not self.loses or self._rng.random() >= LOSS_FRACTION:
            self.messages.append(CONTROL_CODEC.unpack(CONTROL_CODEC.pack(message)))


class History:
    """A leader, one daemon and the link between them."""

    def __init__(self, rng):
        self._rng = rng
        self._log = types.SimpleNamespace(say=lambda sentence, **fields: None)
        self._index = 0
        self._now = 0.0
        self.state = FleetState()
        self.leader_metrics = Metrics()
        self.metrics = Metrics()
        self._sessions = DaemonSessions(self._log, self.leader_metrics)
        self.view = View()
        self._updates = ViewUpdates(self.view, lambda: None, self._log, self.metrics)
        self.link = Link(rng)
        self._sessions.register(self.link, "d")
        self._commit(ReplaceConfiguration(0, _configuration(), "first"))

    def _commit(self, command):
        self._index += 1
        assert self.state.apply(self._index, command).kind is None
        self._sessions.send_updates(self.state)

    def add_route(self):
        version = self.state.configuration.version
        edit = Edit(version + 1, routes=(_route(version + 1),))
        self._commit(EditConfiguration(version, edit, f"d{version}"))

    def change_zones(self):
        self._commit(SetZoneOut("z", not self.state.zones_out))

    def change_suspects(self):
        end = TargetEnd(f"i{self._index}@1@h:1", (OpenRun(bytes([self._index])),))
        self._commit(UpdateSuspects(ends=(end,)))

    def exchange(self):
        """Report, deliver what the leader sends, and take its answer.

        Return whether the answer has confirmed the view.
        """
        self._now += CONFIRMATION_TTL_S + 1.0
        requested_s = self._now
        known, refused_parts = self._updates.take_report()
        report = Report(
            1,
            state_index=self.view.state_index,
            known=known,
            refused_parts=refused_parts,
            is_behind=self._updates.is_behind,
        )
        self._sessions.record_report(
            self.link, report, self.state, lambda: TargetsView(1, ())
        )
        version = self.state.view_version()
        for message in self.link.messages:
            self._updates.apply(message)
        self.link.messages.clear()
        self._updates.confirm(requested_s, version)
        return self.view.is_confirmed(requested_s)

    def has_all(self):
        """Whether the daemon has the leader's routes, zones and suspects."""
        table = self.view.table
        return (
            table is not None
            and table.configuration.route_by_name
            == self.state.configuration.route_by_name
            and self.view.zones_out == self.state.zones_out
            and self.view.suspect_by_request == self.state.suspect_by_request
        )


def _route(number):
    parts = (WeightedService("s", 1.0),)
    return Route(f"r{number}", "h", f"/{number}/", RequestKind.SAFE, parts, 1.0)


def _configuration():
    return Configuration(1, (ServiceSpec("s"),), (_route(1),))


@pytest.mark.parametrize("seed", SEEDS)
def test_only_a_view_that_has_all_changes_is_confirmed(seed):
    # Guards against a 404 by a daemon that has lost a change without noticing it.
    rng = random.Random(seed)
    history = History(rng)
    steps = {
        history.add_route: 2,
        history.change_zones: 1,
        history.change_suspects: 1,
        history.exchange: 6,
    }
    for step in rng.choices(list(steps), steps.values(), k=STEPS):
        if step() is True:
            assert history.has_all()
    history.link.loses = False
    history.exchange()
    assert history.exchange()
    assert history.has_all()


def test_lost_updates_are_counted_at_both_ends():
    history = History(random.Random(1))
    history.link.loses = False
    history.exchange()
    assert history.metrics.counter("tamarackhaven_view_behind_total") == 0
    history.add_route()
    history.link.messages.clear()
    assert not history.exchange()
    assert history.exchange()
    assert history.metrics.counter("tamarackhaven_view_behind_total") == 1
    name = "tamarackhaven_fleet_updates_lost_total"
    assert history.leader_metrics.counter(name) == 1
