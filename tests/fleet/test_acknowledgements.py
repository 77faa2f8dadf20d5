"""When an operator is told that a change is in force."""

import asyncio

import pytest

from tamarackhaven._clock import boot_s
from tamarackhaven._metrics import Metrics
from tamarackhaven.fleet._acknowledgements import (
    MAX_WAIT_S,
    Acknowledgements,
    may_acknowledge,
)
from tamarackhaven.fleet._daemon_sessions import DaemonSessions
from tamarackhaven.fleet._directory import MAX_REPORT_AGE_S
from tamarackhaven.fleet._leadership import DISCOVERY_TIMEOUT_S, Leadership
from tamarackhaven.fleet._machine import FleetMachine
from tamarackhaven.fleet._messages import Report, TargetsView
from tamarackhaven.fleet._state import SetZoneOut


@pytest.mark.parametrize(
    ("without", "leads_for_s", "waited_s", "expected"),
    [
        ([], DISCOVERY_TIMEOUT_S, 0.0, True),
        (["d"], 60.0, MAX_WAIT_S - 0.1, False),
        (["d"], 60.0, MAX_WAIT_S, True),
        # Daemons may still have sessions with the leader before it.
        ([], DISCOVERY_TIMEOUT_S - 0.1, 0.0, False),
        ([], DISCOVERY_TIMEOUT_S - 0.1, MAX_WAIT_S, True),
    ],
)
def test_when_a_change_may_be_acknowledged(without, leads_for_s, waited_s, expected):
    assert may_acknowledge(without, leads_for_s, waited_s) is expected


class Link:
    """Discards what is sent."""

    def send(self, message):
        pass


class Leader:
    """A control VM that has led for long, with one daemon's session."""

    def __init__(self):
        self.lines = []
        self.metrics = Metrics()
        self.machine = FleetMachine(lambda index, command, outcome: None)
        self.sessions = DaemonSessions(self, self.metrics)
        self.leadership = Leadership(1, 4.0, boot_s() - 60.0)
        self.acknowledgements = Acknowledgements(
            self.machine, self.sessions, lambda: self.leadership, self, self.metrics
        )
        self.link = Link()
        self.sessions.register(self.link, "d")
        self.sessions.record_report(
            self.link, Report(1), self.machine.state, lambda: TargetsView(1, ())
        )

    def say(self, sentence, **fields):
        self.lines.append((sentence, fields))

    def apply_order(self):
        """Apply an order of an operator at log index 7."""
        self.machine.state.apply(7, SetZoneOut("z", True))
        self.acknowledgements.record_applied()

    def take(self):
        """Let the daemon say that it has taken all parts of the state."""
        for part, index in self.machine.state.confirmed_index_by_part().items():
            self.sessions.record_taken(self.link, part, index)

    def wait(self, meanwhile, after_s=0.1):
        """Return how long an acknowledgement takes, in seconds."""

        async def main():
            self.apply_order()
            asyncio.get_running_loop().call_later(after_s, meanwhile)
            started_s = boot_s()
            await self.acknowledgements.wait(SetZoneOut("z", True))
            return boot_s() - started_s

        return asyncio.run(main())


@pytest.fixture
def leader():
    return Leader()


def test_an_order_waits_until_each_daemon_has_taken_the_change(leader):
    assert 0.1 <= leader.wait(leader.take) < MAX_WAIT_S / 2
    (line,) = [fields for name, fields in leader.lines if name == "order acknowledged"]
    assert (line["daemons"], line["without"]) == (1, 0)
    name = "tamarackhaven_fleet_orders_acknowledged_total"
    assert leader.metrics.counter(name, taken="all") == 1


def test_an_order_does_not_wait_for_a_daemon_that_is_gone(leader):
    assert leader.wait(lambda: leader.sessions.close(leader.link)) < MAX_WAIT_S / 2


def test_an_order_does_not_wait_for_a_daemon_without_reports(leader):
    (session,) = leader.sessions._session_by_link.values()
    session.reported_s = boot_s() - MAX_REPORT_AGE_S
    assert leader.wait(lambda: None) < MAX_WAIT_S / 2


def test_an_order_that_is_sent_again_waits_no_longer_than_the_first_one(leader):
    # Guards against: an operator that gives up after a second never gets an answer.
    async def main():
        leader.apply_order()
        await asyncio.sleep(0.2)
        (session,) = leader.sessions._session_by_link.values()
        session.reported_s = float("inf")
        started_s = boot_s()
        await leader.acknowledgements.wait(SetZoneOut("z", True))
        return boot_s() - started_s

    assert asyncio.run(main()) < MAX_WAIT_S - 0.1
    name = "tamarackhaven_fleet_orders_acknowledged_total"
    assert leader.metrics.counter(name, taken="some") == 1


def test_the_daemons_without_a_change_are_on_the_metrics_page(leader):
    leader.metrics.add_source(leader.acknowledgements.update_gauges)
    leader.apply_order()
    assert "tamarackhaven_fleet_daemons_without_change 1" in leader.metrics.page()
    leader.take()
    assert "tamarackhaven_fleet_daemons_without_change 0" in leader.metrics.page()


def test_a_control_vm_that_leads_no_more_acknowledges_nothing(leader):
    def lose():
        leader.leadership = None

    assert leader.wait(lose) < MAX_WAIT_S / 2
    assert leader.lines[-1][0] != "order acknowledged"
