"""What a daemon logs, counts and reports of updates of its view."""

import types

import attrs
import pytest

from tamarackhaven._clock import boot_s
from tamarackhaven._metrics import Metrics
from tamarackhaven.fleet._messages import (
    ConfigurationChange,
    ConfigurationView,
    TargetsView,
)
from tamarackhaven.fleet._model import SILENT_TARGET_TTL_S, Target, life_of
from tamarackhaven.routing import Configuration, Edit
from tamarackhaven.sidecar import _view_updates
from tamarackhaven.sidecar._view import View
from tamarackhaven.sidecar._view_updates import ViewUpdates


class Daemon:
    """A view with its updates, log lines and requested reports."""

    def __init__(self):
        self.view = View()
        self.metrics = Metrics()
        self.sentences = []
        self.reports = []
        log = types.SimpleNamespace(
            say=lambda sentence, **fields: self.sentences.append(sentence)
        )
        self.updates = ViewUpdates(
            self.view,
            lambda: self.reports.append(self.updates.take_report()),
            log,
            self.metrics,
        )

    def confirm(self, requested_s):
        """Apply an answer of a leader that has what the view has."""
        self.updates.confirm(requested_s, self.view.version())


@pytest.fixture
def daemon():
    daemon = Daemon()
    daemon.updates.apply(ConfigurationView(1, Configuration(1)))
    return daemon


def test_a_refused_update_is_counted_and_reported_at_once(daemon):
    # Guards against: a daemon lacks a change until the next one.
    assert not daemon.updates.apply(ConfigurationChange(2, 3, Edit(3)))
    assert daemon.sentences == ["update refused"]
    assert daemon.metrics.counter("tamarackhaven_updates_refused_total") == 1
    ((known, refused),) = daemon.reports
    assert refused == ("configuration",)
    assert [each.index for each in known] == [1]


def test_an_answer_does_not_confirm_a_view_that_lacks_a_refused_update(daemon):
    # Guards against: 404 for a route that the refused update adds.
    now = boot_s()
    daemon.updates.apply(ConfigurationChange(2, 3, Edit(3)))
    daemon.confirm(now)
    assert not daemon.view.is_confirmed(now)
    daemon.updates.apply(ConfigurationChange(1, 3, Edit(3)))
    daemon.confirm(now)
    assert daemon.view.is_confirmed(now)


def test_a_view_that_is_behind_its_leader_is_logged_and_counted_once(daemon):
    leader = attrs.evolve(daemon.view.version(), index=2)
    for _ in range(3):
        daemon.updates.confirm(boot_s(), leader)
    assert daemon.sentences == ["view behind"]
    assert daemon.metrics.counter("tamarackhaven_view_behind_total") == 1
    assert daemon.updates.behind_s() > 0
    daemon.confirm(boot_s())
    assert daemon.sentences == ["view behind", "view caught up"]
    assert daemon.updates.behind_s() == 0


def test_dropped_targets_are_logged_and_counted(daemon, monkeypatch):
    target = Target(life_of("i", 1, "h:1"), "i", 1, "s", "z", "h", 1, 4)
    daemon.updates.apply(TargetsView(1, (target,), is_whole=True))
    daemon.updates.apply(TargetsView(2, (), is_whole=True))
    later_s = boot_s() + SILENT_TARGET_TTL_S + 1.0
    monkeypatch.setattr(_view_updates, "boot_s", lambda: later_s)
    daemon.confirm(later_s)
    assert daemon.sentences == ["targets dropped"]
    assert daemon.metrics.counter("tamarackhaven_targets_dropped_total") == 1
    assert not daemon.view.target_by_life


def test_an_update_that_fails_is_refused_and_reported_once(daemon):
    # Guards against: the error closes the link, and each next session begins with the
    # same update.
    broken = ConfigurationView(2, None)
    for _ in range(3):
        assert not daemon.updates.apply(broken)
    assert daemon.sentences.count("update failed") == 3
    assert [parts for _, parts in daemon.reports] == [("configuration",)]
    assert daemon.view.table.configuration.version == 1
    daemon.confirm(boot_s())
    assert not daemon.view.is_confirmed(boot_s())
    assert daemon.updates.apply(ConfigurationView(3, Configuration(3)))
    daemon.confirm(boot_s())
    assert daemon.view.is_confirmed(boot_s())
