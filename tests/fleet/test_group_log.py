"""What a control VM logs and counts of its group's members."""

import pytest

from tamarackhaven._consensus import Status
from tamarackhaven._members import Member, Membership
from tamarackhaven._metrics import Metrics
from tamarackhaven._raft import Role
from tamarackhaven.fleet._group_log import GroupLog

MEMBERS = tuple(
    Member(name, "10.0.0.1", 7, 0, voter=name != "d") for name in ("a", "b", "c", "d")
)


class Group:
    """A control VM's log of its group, with its lines and metrics."""

    def __init__(self):
        self.metrics = Metrics()
        self.lines = []
        self.log = GroupLog(5, self, self.metrics)

    def say(self, sentence, **fields):
        self.lines.append((sentence, fields))

    def record(self, members=MEMBERS, version=7, commit=7, silent=()):
        membership = Membership(members, version)
        status = Status("a", Role.LEADER, "a", 3, commit, commit, membership)
        self.log.record(status, silent)


@pytest.fixture
def group():
    return Group()


def test_the_members_are_logged_once_for_each_change(group):
    group.record()
    group.record(commit=8)
    ((sentence, fields),) = group.lines
    assert sentence == "members"
    assert fields["voters"] == ["a", "b", "c"]
    assert fields["learners"] == ["d"]
    assert (fields["required"], fields["index"]) == (5, 7)


def test_a_change_is_logged_before_and_after_its_commit(group):
    group.record(version=9, commit=8)
    group.record(version=9, commit=9)
    assert [fields["committed"] for _, fields in group.lines] == [False, True]


def test_a_voter_that_falls_silent_is_logged_and_counted(group):
    group.record()
    group.record(silent=("c",))
    assert [fields["silent"] for _, fields in group.lines] == [[], ["c"]]
    page = group.metrics.page()
    assert "tamarackhaven_group_silent_voters 1" in page
    assert "tamarackhaven_group_voters 3" in page
    assert "tamarackhaven_group_required_voters 5" in page
    assert "tamarackhaven_group_learners 1" in page
    assert "tamarackhaven_group_leads 1" in page
