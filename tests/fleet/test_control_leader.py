"""How a control VM handles reports while it leads, and after its term."""

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
from tamarackhaven.fleet._settings import FleetControlSettings

LIFE = life_of("i", 1, "h:1")
TARGET = Target(LIFE, "i", 1, "owned", "z", "h", 1, 8, TargetPhase.READY)


class SilentLog:
    def say(self, sentence, **fields):
        pass


class LeadingConsensus:
    """Consensus of a member that leads in ``term`` and confirms each read."""

    def __init__(self, term):
        self.term = term
        self.reads = 0

    def status(self):
        return Status("m", Role.LEADER, "m", self.term, 1, 1, Membership(()))

    def propose(self, command, term):
        raise AssertionError("unexpected proposal: no change is due")

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
    control_vm = FleetControl(settings, SilentLog(), Metrics(), None)
    control_vm.consensus = LeadingConsensus(term=1)
    control_vm._leadership = Leadership(1, 4.0, 0.0)
    return control_vm


def grants_after_report(control, change):
    """Return the grants for a report if ``change()`` precedes the confirmation."""
    link = Link()

    async def main():
        control._loop = asyncio.get_running_loop()
        control._sessions.register(link, "d")
        control._on_report(link, Report(1, TARGET))
        change()
        await asyncio.sleep(3 * CONFIRM_BATCH_S)

    asyncio.run(main())
    return [message for message in link.sent if isinstance(message, LeaseGrant)]


def test_a_leader_answers_reports_of_its_term(control):
    (grant,) = grants_after_report(control, lambda: None)
    assert grant.grant.term == 1


def test_a_leader_reelected_before_confirmation_grants_nothing_from_its_former_term(
    control,
):
    # The member loses and regains leadership before a quorum has confirmed it. Its
    # leases don't include grants that another leader made in between, so granting by
    # them could give keys two owners.
    def reelect():
        control.consensus.term = 3

    assert grants_after_report(control, reelect) == []


def test_a_report_received_after_a_reelection_closes_the_link(control):
    # Guards against moving keys by the leases of a former term.
    control.consensus.term = 3
    link = Link()
    control._sessions.register(link, "d")
    control._on_report(link, Report(1, TARGET))
    assert link.is_aborted


def test_queued_reports_of_one_daemon_get_one_answer(control):
    # Guards against a leader that is saturated by one daemon reporting without a pause.
    link = Link()

    async def main():
        control._loop = asyncio.get_running_loop()
        control._sessions.register(link, "d")
        for number in range(1, 501):
            control._on_report(link, Report(number, TARGET))
        await asyncio.sleep(3 * CONFIRM_BATCH_S)

    asyncio.run(main())
    grants = [each for each in link.sent if isinstance(each, LeaseGrant)]
    assert [grant.number for grant in grants] == [500]
    assert control.consensus.reads == 1


def test_releases_do_not_make_the_leader_decide_without_a_pause(control):
    # Guards against a leader's CPU that is saturated while many daemons release keys.
    decisions = []
    control._leadership.tick = lambda state, now: decisions.append(now) or []
    link = Link()

    async def main():
        control._loop = asyncio.get_running_loop()
        control._sessions.register(link, "d")
        ends_s = control._loop.time() + 10 * MIN_DECISION_INTERVAL_S
        number = 0
        while control._loop.time() < ends_s:
            number += 1
            release = Release(0, number, "token")
            control._on_report(link, Report(number, TARGET, releases=(release,)))
            await asyncio.sleep(0)
        return number

    assert asyncio.run(main()) > 20
    assert 1 <= len(decisions) <= 11


class RecordingManager:
    """Membership manager that counts the checks for due changes."""

    def __init__(self):
        self.checks = 0

    def silent_voters(self, status, now):
        return ()

    async def make_due_changes(self, now):
        self.checks += 1


def test_a_decision_that_fails_each_time_keeps_no_lost_control_vm_in_the_group(
    control, monkeypatch
):
    # Guards against a group that isn't repaired any more because of a fault elsewhere.
    def fail():
        raise ValueError("a fault of the program")

    async def run():
        control._membership_manager = RecordingManager()
        monkeypatch.setattr(control, "_decide", fail)
        duties = [
            control._repeat(each) for each in (control._tick, control._keep_group)
        ]
        tasks = [asyncio.create_task(each) for each in duties]
        while not control._membership_manager.checks:
            await asyncio.sleep(0.01)
        for task in tasks:
            task.cancel()

    asyncio.run(asyncio.wait_for(run(), 10.0))
