"""When a control VM tells daemons that it leads."""

import asyncio

import pytest

from tamarackhaven.errors import ErrorKind, TamarackhavenError
from tamarackhaven.fleet._leader_hints import LeaderHints
from tamarackhaven.fleet._messages import CONTROL_CODEC, DaemonHello, LeaderHint

HELLO = DaemonHello("d", "boot")


class Link:
    """Keeps what is sent, in order, beside what else happens."""

    def __init__(self, events):
        self._events = events

    def send(self, message):
        self._events.append(CONTROL_CODEC.unpack(CONTROL_CODEC.pack(message)))


class Member:
    """A control VM that takes itself for the leader of term 1."""

    def __init__(self):
        self.events = []
        self.leadership = object()
        self.is_confirmed = True
        self.hints = LeaderHints(
            self._read,
            lambda: self.leadership,
            lambda is_leader: LeaderHint(is_leader, 1, None, ()),
            lambda link, daemon: self.events.append(daemon),
        )

    async def _read(self):
        await asyncio.sleep(0.01)
        if not self.is_confirmed:
            raise TamarackhavenError(ErrorKind.NO_QUORUM, "", 0.2)


@pytest.fixture
def member():
    return Member()


def answers(member, meanwhile=lambda link: None):
    """Return what happens after a hello, in order."""

    async def main():
        link = Link(member.events)
        member.hints.add(link, HELLO)
        meanwhile(link)
        await asyncio.sleep(0.05)

    asyncio.run(main())
    return member.events


def test_a_leader_that_a_quorum_confirms_is_a_daemons_leader(member):
    # The daemon is known before it can send a report.
    assert answers(member) == ["d", LeaderHint(True, 1, None, ())]


def test_a_leader_whose_log_is_stuck_does_not_say_that_it_leads(member):
    # Guards against: daemons that come back to a deposed leader again and again.
    member.is_confirmed = False
    assert answers(member) == [LeaderHint(False, 1, None, ())]


def test_a_leader_that_is_deposed_while_it_is_asked_does_not_say_that_it_leads(member):
    async def main():
        member.hints.add(Link(member.events), HELLO)
        await asyncio.sleep(0.005)
        member.leadership = object()
        await asyncio.sleep(0.05)

    asyncio.run(main())
    assert member.events == [LeaderHint(False, 1, None, ())]


def test_a_link_that_is_closed_while_its_daemon_waits_gets_no_session(member):
    assert answers(member, member.hints.close) == []


@pytest.mark.parametrize("is_leader", [False, True])
def test_daemons_that_have_asked_are_told_of_a_change(member, is_leader):
    member.leadership = None
    answers(member)
    member.events.clear()
    member.hints.announce(is_leader)
    found = ["d"] if is_leader else []
    assert member.events == [*found, LeaderHint(is_leader, 1, None, ())]
