"""What a control VM does to come into its group, and what it says of it."""

import attrs

from tamarackhaven._consensus import Status
from tamarackhaven._members import Member, Membership
from tamarackhaven._raft import Role
from tamarackhaven.fleet._group_keeper import GroupKeeper
from tamarackhaven.fleet._messages import JoinGroup
from tamarackhaven.fleet._settings import FleetControlSettings

OWN = "10.0.0.9"
SEEDS = ["10.0.0.2:8620", "10.0.0.3:8620", f"{OWN}:8620"]
GROUP = Membership(tuple(Member(f"10.0.0.{n}:7", f"10.0.0.{n}", 7, 0) for n in "123"))
NEWCOMER = JoinGroup(f"{OWN}:7/x", OWN, 7)


class FakeConsensus:
    def __init__(self, name, membership, leader, role):
        self._status = Status(name, role, leader, 1, 0, 0, membership)

    def status(self):
        return self._status


class FakeLinks:
    def __init__(self):
        self.asked = []
        self.heard_s_by_name = {}

    def know(self, name, host, port):
        pass

    def ask_to_join(self, addresses):
        self.asked.append(set(addresses))


@attrs.define
class Says:
    lines: list = attrs.field(factory=list)

    def say(self, sentence, **fields):
        self.lines.append((sentence, fields))


def keeper_of(consensus, links=None, log=None):
    settings = FleetControlSettings(
        name="c",
        operators=f"{OWN}:8620",
        links=f"{OWN}:7",
        data_folder="d",
        seeds=SEEDS,
    )
    return GroupKeeper(settings, 3, consensus, links or FakeLinks(), log or Says())


def a_newcomer():
    return FakeConsensus(NEWCOMER.name, Membership(()), "", Role.LEARNER)


def a_follower():
    return FakeConsensus("10.0.0.2:7", GROUP, "10.0.0.1:7", Role.FOLLOWER)


def test_the_log_tells_whom_a_newcomer_asks():
    log = Says()
    newcomer = a_newcomer()
    keeper_of(newcomer, log=log).ask_to_join(newcomer.status(), 1e9)
    ((sentence, fields),) = log.lines
    assert sentence == "asks to join"
    assert fields["addresses"] == ["10.0.0.2:7", "10.0.0.3:7", f"{OWN}:7"]


def test_the_log_tells_who_asked_a_member_that_does_not_lead():
    log = Says()
    keeper_of(a_follower(), log=log).asked(NEWCOMER, 1e9)
    ((sentence, fields),) = log.lines
    assert sentence == "asked to join"
    assert not fields["leads"]
    assert fields["leader"] == "10.0.0.1:7"
