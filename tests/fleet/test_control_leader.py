"""What a control VM does for reports while it leads, and once its term is over."""

import asyncio
import concurrent.futures

import pytest

from tamarackhaven._consensus import Status
from tamarackhaven._members import Membership
from tamarackhaven._metrics import Metrics
from tamarackhaven._raft import Role
from tamarackhaven.fleet._control import MIN_DECISION_INTERVAL_S, FleetControl
from tamarackhaven.fleet._leadership import Leadership
from tamarackhaven.fleet._messages import LeaseGrant, Report
from tamarackhaven.fleet._model import Release, Target, TargetPhase, life_of
from tamarackhaven.fleet._report_answers import CONFIRM_BATCH_S
from tamarackhaven.fleet._sessions import Session
from tamarackhaven.fleet._settings import FleetControlSettings

LIFE = life_of("i", 1, "h:1")
TARGET = Target(LIFE, "i", 1, "owned", "z", "h", 1, 8, TargetPhase.READY)


class Silent:
    def say(self, sentence, **fields):
        pass


class Leader:
    """Consensus of a member that leads in ``term``, and confirms each read."""

    def __init__(self, term):
        self.term = term
        self.reads = 0

    def status(self):
        return Status("m", Role.LEADER, "m", self.term, 1, 1, Membership(()))

    def propose(self, command, term):
        raise AssertionError("nothing is due")

    def read(self):
        self.reads += 1
        future = concurrent.futures.Future()
        future.set_result(1)
        return future


class Link:
    def __init__(self):
        self.sent = []
        self.is_aborted = False

    def send(self, message):
        self.sent.append(message)

    def abort(self):
        self.is_aborted = True


@pytest.fixture
def control():
    settings = FleetControlSettings(
        name="m",
        operators="127.0.0.1:1",
        links="127.0.0.1:2",
        data_folder="unused",
        seeds=["127.0.0.1:1"],
    )
    made = FleetControl(settings, Silent(), Metrics(), None)
    made.consensus = Leader(term=1)
    made._leadership = Leadership(1, 4.0, 0.0)
    return made


def grants_after_report(control, change):
    """Report on a new link, then let ``change()`` happen before a quorum confirms."""
    link = Link()

    async def main():
        control._loop = asyncio.get_running_loop()
        control._session_by_link[link] = Session("d", link)
        control._on_report(link, Report(1, TARGET))
        change()
        await asyncio.sleep(3 * CONFIRM_BATCH_S)

    asyncio.run(main())
    return [message for message in link.sent if isinstance(message, LeaseGrant)]


def test_a_leader_answers_reports_of_its_term(control):
    (grant,) = grants_after_report(control, lambda: None)
    assert grant.grant.term == 1


def test_a_lead_that_was_lost_and_won_again_grants_nothing_by_its_former_leases(
    control,
):
    # Guards against: two owners, by leases that don't know of another leader's grants.
    def win_again():
        control.consensus.term = 3

    assert grants_after_report(control, win_again) == []


def test_a_report_that_comes_after_the_lead_was_won_again_is_not_taken(control):
    # Guards against: keys moved by the leases of a former term.
    control.consensus.term = 3
    link = Link()
    control._session_by_link[link] = Session("d", link)
    control._on_report(link, Report(1, TARGET))
    assert link.is_aborted


def test_reports_of_one_daemon_that_wait_together_are_answered_once(control):
    # Guards against: a daemon that reports without a pause, and a leader that has time
    # for nothing else.
    link = Link()

    async def main():
        control._loop = asyncio.get_running_loop()
        control._session_by_link[link] = Session("d", link)
        for number in range(1, 501):
            control._on_report(link, Report(number, TARGET))
        await asyncio.sleep(3 * CONFIRM_BATCH_S)

    asyncio.run(main())
    grants = [each for each in link.sent if isinstance(each, LeaseGrant)]
    assert [grant.number for grant in grants] == [500]
    assert control.consensus.reads == 1


def test_releases_do_not_make_the_leader_look_at_all_keys_without_a_pause(control):
    # Guards against: a leader's processor that is full while many daemons release keys.
    looks = []
    control._leadership.tick = lambda state, now: looks.append(now) or []
    link = Link()

    async def main():
        control._loop = asyncio.get_running_loop()
        control._session_by_link[link] = Session("d", link)
        ends_s = control._loop.time() + 10 * MIN_DECISION_INTERVAL_S
        number = 0
        while control._loop.time() < ends_s:
            number += 1
            release = Release(0, number, "token")
            control._on_report(link, Report(number, TARGET, releases=(release,)))
            await asyncio.sleep(0)
        return number

    assert asyncio.run(main()) > 20
    assert 1 <= len(looks) <= 11
