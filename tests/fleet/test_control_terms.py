"""What a control VM still does by a term that is over."""

import asyncio
import concurrent.futures

import pytest

from tamarackhaven._consensus import Status
from tamarackhaven._members import Membership
from tamarackhaven._metrics import Metrics
from tamarackhaven._raft import Role
from tamarackhaven.fleet._control import CONFIRM_PAUSE_S, FleetControl
from tamarackhaven.fleet._leadership import Leadership
from tamarackhaven.fleet._messages import LeaseGrant, Report
from tamarackhaven.fleet._model import Target, TargetPhase, life_of
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

    def status(self):
        return Status("m", Role.LEADER, "m", self.term, 1, 1, Membership(()))

    def read(self):
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
        control._take_report(link, Report(1, TARGET))
        change()
        await asyncio.sleep(3 * CONFIRM_PAUSE_S)

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
    control._take_report(link, Report(1, TARGET))
    assert link.is_aborted
