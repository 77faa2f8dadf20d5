"""How a daemon searches for the leader, over real links on loopback."""

import asyncio
import time

import pytest

from soak._proxy import Proxy
from tamarackhaven.fleet._messages import (
    CONTROL_CODEC,
    DaemonHello,
    LeaderHint,
    LeaseGrant,
    Report,
    ZonesView,
)
from tamarackhaven.fleet._model import GrantId
from tamarackhaven.net import LinkServer
from tamarackhaven.sidecar import _leader_search
from tamarackhaven.sidecar._control_link import (
    REPORT_INTERVAL_S,
    REPORT_TIMEOUT_S,
    ControlLink,
)
from tamarackhaven.sidecar._leader_search import MAX_SEARCH_ROUND_S

HOSTS = ("127.77.0.1", "127.77.0.2")
OBSERVATION_S = 1.2


class Log:
    def say(self, sentence, **fields):
        pass


class ControlVm:
    """Fake control VM that claims to lead, and answers each report.

    With ``is_leader`` False it says that it doesn't lead; with ``is_stuck`` it answers
    no reports.
    """

    def __init__(self, host, term=1, is_leader=True):
        self.host = host
        self.term = term
        self.is_leader = is_leader
        self.is_stuck = False
        self.reports = []
        self.links = []
        self._server = LinkServer(CONTROL_CODEC, self._on_message, lambda _link: None)

    async def start(self, port):
        await self._server.start(self.host, port)
        return self._server._server.sockets[0].getsockname()[1]

    def _on_message(self, link, message):
        if isinstance(message, DaemonHello):
            self.links.append(link)
            link.send(LeaderHint(self.is_leader, self.term, None, ()))
            if self.is_leader:
                link.send(ZonesView(1, (self.host,)))
        elif isinstance(message, Report):
            self.reports.append(message.number)
            if self.is_stuck:
                return
            grant = GrantId(self.term, message.number)
            link.send(LeaseGrant(message.number, grant, 4.0))

    def close(self):
        self._server.close()


class FailingControlVm(ControlVm):
    """Fake control VM that closes the link, or fails, on each report."""

    def __init__(self, host, is_closing):
        super().__init__(host)
        self._is_closing = is_closing

    def _on_message(self, link, message):
        if not isinstance(message, Report):
            super()._on_message(link, message)
            return
        self.reports.append(message.number)
        if not self._is_closing:
            raise ValueError("a report that this control VM fails on")
        link.abort()


class Fleet:
    """Two control VMs that both claim to lead, and one daemon's ``ControlLink``."""

    def __init__(self, vms=None):
        self.vms = vms or [ControlVm(host) for host in HOSTS]

    async def __aenter__(self):
        port = 0
        for vm in self.vms:
            port = await vm.start(port)
        self._start([(vm.host, port) for vm in self.vms])
        return self

    def _start(self, seeds):
        self.taken = []
        self.control = ControlLink(
            lambda: DaemonHello("d", "boot"),
            Report,
            self.taken.append,
            lambda grant, requested_s: None,
            lambda: seeds,
            Log(),
        )
        self._task = asyncio.create_task(self.control.run())

    async def __aexit__(self, *_error):
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)
        for vm in self.vms:
            vm.close()

    @property
    def reports(self):
        return sum(len(vm.reports) for vm in self.vms)


def run(test, vms=None):
    async def main():
        async with Fleet(vms) as fleet:
            await test(fleet)

    asyncio.run(main())


def test_closing_the_link_to_a_second_leader_does_not_trigger_reports():
    # Otherwise reports follow each other without a pause: the daemon uses a whole
    # processor and overloads the leader.
    async def test(fleet):
        await asyncio.sleep(OBSERVATION_S)
        assert len([vm for vm in fleet.vms if vm.links]) == 2
        assert 1 <= fleet.reports <= 2 + OBSERVATION_S / REPORT_INTERVAL_S

    run(test)


def test_updates_of_a_second_leader_are_ignored():
    # What a deposed leader sends right after its hint must not count as an update of
    # the present leader.
    async def test(fleet):
        await asyncio.sleep(OBSERVATION_S)
        (in_use,) = [vm for vm in fleet.vms if vm.reports]
        assert fleet.taken == [ZonesView(1, (in_use.host,))]

    run(test)


@pytest.mark.parametrize("count", [1, 50])
def test_requested_reports_are_sent_at_once_and_coalesced(count):
    async def test(fleet):
        await asyncio.sleep(REPORT_INTERVAL_S / 2)
        before = fleet.reports
        for _ in range(count):
            fleet.control.report_now()
        await asyncio.sleep(REPORT_INTERVAL_S / 4)
        assert fleet.reports == before + 1

    run(test)


def test_a_deposed_leader_that_does_not_know_it_yet_gets_no_session():
    # Guards against: a daemon that has heard of a later leader takes what a deposed
    # one, cut off from its group, sends as the newest.
    async def test(fleet):
        await until(lambda: fleet.reports)
        (in_use,) = [vm for vm in fleet.vms if vm.reports]
        (other,) = [vm for vm in fleet.vms if vm is not in_use]
        await until(lambda: fleet.control.confirmed_s > 0)
        other.term = in_use.term - 1
        in_use.close()
        await asyncio.sleep(OBSERVATION_S)
        assert not other.reports
        other.term = in_use.term + 1
        await until(lambda: other.reports)

    run(test)


def two_vms():
    """Return a leader of term 1, and a control VM that doesn't lead."""
    return [ControlVm(HOSTS[0]), ControlVm(HOSTS[1], is_leader=False)]


def test_a_daemon_follows_a_new_leader_before_it_misses_the_former_one():
    # Guards against: the new leader acknowledges a change, and daemons serve by an
    # older version until the former leader has been silent for long enough.
    async def test(fleet):
        former, new = fleet.vms
        await until(lambda: former.reports and new.links)
        former.is_stuck = True
        (link,) = new.links
        link.send(LeaderHint(True, 2, None, ()))
        before_s = time.monotonic()
        await until(lambda: new.reports)
        assert time.monotonic() - before_s < REPORT_TIMEOUT_S / 2
        assert len(new.links) == 1

    run(test, two_vms())


def test_a_daemon_without_a_leader_does_not_query_control_vms_without_a_pause():
    # Guards against: the connections of all daemons take the processor time that an
    # election needs, and the group stays without a leader.
    async def test(fleet):
        await asyncio.sleep(OBSERVATION_S)
        for vm in fleet.vms:
            assert 1 <= len(vm.links) <= 1 + OBSERVATION_S / MAX_SEARCH_ROUND_S
        fleet.vms[0].links[-1].send(LeaderHint(True, 1, None, ()))
        await until(lambda: fleet.vms[0].reports)

    run(test, [ControlVm(host, is_leader=False) for host in HOSTS])


def test_a_late_answer_of_a_former_leader_does_not_keep_its_daemons():
    # Guards against: a daemon goes back to a leader that has been replaced, as that is
    # the first to answer its search.
    async def test(fleet):
        former, other = fleet.vms
        await until(lambda: former.reports and other.links)
        (link,) = other.links
        link.send(LeaderHint(False, 2, ("elsewhere", 1), ()))
        await asyncio.sleep(REPORT_INTERVAL_S / 2)
        before = len(former.reports)
        (in_use,) = former.links[:1]
        grant = GrantId(1, before)
        in_use.send(LeaseGrant(before, grant, 4.0))
        await asyncio.sleep(OBSERVATION_S)
        assert len(former.reports) == before

    run(test, two_vms())


def test_a_control_vm_that_ended_is_asked_again_for_later_leaders(monkeypatch):
    # Guards against: after a rolling restart of the control VMs no daemon hears of the
    # next leader before it misses the former one.
    monkeypatch.setattr(_leader_search, "WATCH_INTERVAL_S", REPORT_INTERVAL_S)

    async def test(fleet):
        former, other = fleet.vms
        await until(lambda: former.reports and other.links)
        other.links[0].abort()
        await until(lambda: len(other.links) == 2)
        other.links[1].send(LeaderHint(True, 2, None, ()))
        await until(lambda: other.reports)

    run(test, two_vms())


@pytest.mark.parametrize("odd", [("127.0.0.1", 99_999), ("", 1), ("127.0.0.1", -1)])
def test_an_odd_address_in_a_hint_does_not_end_the_search(odd):
    # Guards against: a daemon without a leader for good.
    async def test(fleet):
        vm, other = fleet.vms
        await until(lambda: vm.reports and other.links)
        other.links[0].send(LeaderHint(False, 1, None, (odd,)))
        await asyncio.sleep(REPORT_INTERVAL_S)
        vm.links[0].abort()
        before = len(vm.reports)
        await until(lambda: len(vm.reports) > before)

    run(test, two_vms())


PROXY_HOSTS = ("127.77.1.1",)
CONTROL_HOST = "127.77.1.2"
DELAY_S = 0.6


class SlowFleet(Fleet):
    """One control VM, and a link to it with a configurable delay."""

    async def __aenter__(self):
        self.vms = [ControlVm(CONTROL_HOST)]
        port = await self.vms[0].start(0)
        self.proxy = Proxy((PROXY_HOSTS[0], port), (CONTROL_HOST, port))
        await self.proxy.start()
        self._start([(PROXY_HOSTS[0], port)])
        return self

    async def __aexit__(self, *error):
        await super().__aexit__(*error)
        await self.proxy.stop()


def run_slow(test):
    async def main():
        async with SlowFleet() as fleet:
            await test(fleet)

    asyncio.run(main())


async def until(condition, limit_s=15.0):
    async with asyncio.timeout(limit_s):
        while not condition():
            await asyncio.sleep(0.05)


def test_a_leader_is_found_over_a_congested_link():
    # If each query timed out before its answer, the daemon would use an old
    # configuration for as long as the link is congested.
    async def test(fleet):
        fleet.proxy.delay_s = DELAY_S
        await until(lambda: fleet.taken)

    run_slow(test)


def test_a_session_on_a_congested_link_continues_with_updates_in_flight():
    # If the link were closed, a configuration in flight would be lost with it, and the
    # search couldn't end while links are congested.
    async def test(fleet):
        (vm,) = fleet.vms
        await until(lambda: vm.reports)
        (link,) = vm.links
        fleet.proxy.delay_s = 0.7
        await asyncio.sleep(0.9)
        link.send(ZonesView(2, ("later",)))
        await until(lambda: ZonesView(2, ("later",)) in fleet.taken)
        before = len(vm.reports)
        await until(lambda: len(vm.reports) > before + 2)
        assert link.is_open

    run_slow(test)


@pytest.mark.parametrize("is_closing", [True, False])
def test_a_report_that_the_leader_fails_on_is_not_sent_again_without_a_pause(
    is_closing,
):
    # Guards against: a daemon's report fails at the leader, its link is closed, and the
    # daemon comes back with the same report a thousand times a second.
    async def test(fleet):
        await asyncio.sleep(OBSERVATION_S)
        assert 2 <= fleet.reports <= 6

    run(test, [FailingControlVm(HOSTS[0], is_closing)])
