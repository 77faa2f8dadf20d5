"""What a control VM logs and counts of requests under which targets end."""

import pytest

from tamarackhaven._metrics import Metrics
from tamarackhaven._raft_messages import Entry, EntryKind
from tamarackhaven.fleet._machine import FleetMachine
from tamarackhaven.fleet._state import encode
from tamarackhaven.fleet._state_log import StateLog
from tests.fleet.test_suspects import REQUEST, UpdateSuspects, answered, ended


class Member:
    """A control VM's state with its log lines and metrics."""

    def __init__(self):
        self.machine = FleetMachine(lambda index, command, outcome: None)
        self.metrics = Metrics()
        self.lines = []
        self.log = StateLog(self.machine, self, self.metrics)
        self.metrics.add_source(self.log.update_gauges)
        self._index = 0

    def say(self, sentence, **fields):
        self.lines.append((sentence, fields))

    def apply(self, command):
        """Apply a command; return the lines that it leads to."""
        self._index += 1
        entry = Entry(self._index, 1, EntryKind.CHANGE, encode(command))
        self.machine.apply(entry)
        self.lines.clear()
        self.log.log_suspects()
        return [sentence for sentence, _ in self.lines]


@pytest.fixture
def member():
    return Member()


def test_each_change_of_a_suspects_phase_is_logged_once(member):
    assert member.apply(ended(1)) == ["request suspect"]
    assert member.apply(ended(2)) == []
    assert member.apply(answered(1)) == ["request cleared"]
    assert member.apply(ended(3, 4, 5)) == ["request quarantined"]
    (line,) = member.lines
    assert line[1]["request"] == REQUEST.hex()
    assert (line[1]["ends"], line[1]["unanswered_ends"]) == (5, 3)
    assert member.apply(UpdateSuspects(forgotten=(REQUEST,))) == ["request forgotten"]


def test_suspects_are_counted_by_phase(member):
    member.apply(ended(1))
    member.apply(ended(1, 2, 3, request=b"other"))
    page = member.metrics.page()
    for phase, count in {"suspect": 1, "cleared": 0, "quarantined": 1}.items():
        assert f'tamarackhaven_fleet_suspects{{phase="{phase}"}} {count}' in page
