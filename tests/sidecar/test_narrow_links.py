"""Requests with large bodies to a target whose VM has a narrow link."""

import asyncio

import attrs

from standin.narrow_link import LinkProxy, NarrowLink
from tamarackhaven._clock import boot_s
from tamarackhaven._metrics import Metrics
from tamarackhaven.net import LinkServer, Reply
from tamarackhaven.sidecar._dialect import TargetNotice, Verdict
from tamarackhaven.sidecar._inbound import Inbound
from tamarackhaven.sidecar._messages import PEER_CODEC, Answered, NotRun
from tamarackhaven.sidecar._named_limit import NamedLimit
from tamarackhaven.sidecar._peer_server import PeerServer
from tamarackhaven.sidecar._peers import Peers
from tamarackhaven.sidecar._runs import Runs
from tamarackhaven.sidecar._suspects import KnownSuspects
from tamarackhaven.sidecar._target_client import SendEnd, SendResult
from tests.sidecar.test_callers import SETTINGS, Log
from tests.sidecar.test_peers import FORWARD

LINK_BYTES_PER_S = 412_500
BODY_BYTES = 60_000
# A short call must reach its target within this time, which is all of its 0.2 s.
CALL_OBJECTIVE_S = 0.2
OBJECTIVE_S = 1.2
DEADLINE_S = 3.0
# A caller that is refused this early can still use another target, or retry in time.
REFUSED_WITHIN_S = 0.4


@attrs.define
class State:
    """Fake state of a target that accepts all requests."""

    life: str = FORWARD.life
    heartbeat: object = None
    heartbeat_received_s: float = 0.0
    limit: NamedLimit = attrs.field(factory=NamedLimit)

    def accepts_new(self, is_sharded, now):
        return True

    def is_cold(self, now):
        return False


class View:
    def service(self, heartbeat):
        return None

    def zone_out_since_s(self, zone):
        return None


class Dialect:
    def read_attempt_id(self, reply):
        return None

    def target_headers(self, forward, name, left_ms):
        return ()

    def classify_reply(self, reply, attempt_id):
        return Verdict.ANSWERED

    def read_notice(self, headers):
        return TargetNotice()


class FakeTarget:
    """Fake target that answers at once and records the sizes of received bodies."""

    def __init__(self):
        self.body_bytes = []

    async def send(self, method, target, headers, body, request_id, read_id):
        self.body_bytes.append(len(body))
        return SendResult(SendEnd.REPLIED, Reply(200, (), b"done"))

    def close(self):
        pass


class NarrowVM:
    """A daemon and its target behind a narrow link, and daemons that forward to it."""

    async def start(self):
        self.link = NarrowLink(LINK_BYTES_PER_S)
        self.target = FakeTarget()
        inbound = Inbound(
            SETTINGS,
            State(),
            View(),
            Dialect(),
            self.target,
            KnownSuspects(),
            Log(),
            Metrics(),
        )
        inbound._gate.slots = 6
        server = PeerServer("one", Runs(inbound), inbound.intake)
        self._links = LinkServer(PEER_CODEC, server.on_message, server.on_closed)
        await self._links.start("127.0.0.1", 0)
        port = self._links._server.sockets[0].getsockname()[1]
        self._proxy = LinkProxy(self.link, ("127.0.0.1", port))
        await self._proxy.start()
        self._peers = []
        return self

    def caller(self):
        """Return a new daemon's ``Peers``."""
        self._peers.append(Peers(f"caller {len(self._peers)}"))
        return self._peers[-1]

    async def send(self, peers, number, body=b"", objective_s=OBJECTIVE_S):
        """Return the result of a request, and how long it took in seconds."""
        forward = attrs.evolve(FORWARD, number=number, body=body, is_safe=not body)
        now = boot_s()
        result = await peers.run(
            self._proxy.address, forward, now + DEADLINE_S, now + objective_s
        )
        return result, boot_s() - now

    def close(self):
        for peers in self._peers:
            peers.close()
        self._proxy.close()
        self._links.close()


def run(test):
    async def main():
        vm = await NarrowVM().start()
        try:
            return await test(vm)
        finally:
            vm.close()

    return asyncio.run(main())


async def upload(vm, count):
    """Send one body from each of ``count`` daemons; return (result, seconds) pairs."""
    body = bytes(BODY_BYTES)
    callers = [vm.caller() for _ in range(count)]
    for caller in callers:
        await vm.send(caller, 0)
    return await asyncio.gather(*(vm.send(each, 1, body) for each in callers))


def test_a_short_call_does_not_wait_behind_the_bodies_of_many_daemons():
    # If uploads filled a VM's link, calls that belong to work on other VMs would queue
    # behind them until that work misses its deadline.
    async def test(vm):
        caller = vm.caller()
        await vm.send(caller, 0)
        uploads = asyncio.ensure_future(upload(vm, 8))
        took_s = []
        for number in range(1, 20):
            await asyncio.sleep(0.05)
            result, seconds = await vm.send(
                caller, number, objective_s=CALL_OBJECTIVE_S
            )
            assert isinstance(result, Answered)
            took_s.append(seconds)
        await uploads
        return took_s

    assert max(run(test)) < CALL_OBJECTIVE_S


def test_a_body_that_cannot_arrive_in_time_is_refused_before_it_is_sent():
    # If more bodies than a link can carry were all sent, each would arrive later than
    # the one before; all would be late, and none would be refused with a retry time.
    async def test(vm):
        return await upload(vm, 40), vm.target.body_bytes, vm.link.carried_bytes

    results, target_bytes, carried_bytes = run(test)
    answered_s = [
        seconds for result, seconds in results if isinstance(result, Answered)
    ]
    refused_s = [seconds for result, seconds in results if isinstance(result, NotRun)]
    assert len(answered_s) + len(refused_s) == 40
    assert max(answered_s) < OBJECTIVE_S
    assert max(refused_s) < REFUSED_WITHIN_S
    assert all(
        result.retry_after_s > 0 for result, _ in results if isinstance(result, NotRun)
    )
    assert target_bytes.count(BODY_BYTES) == len(answered_s)
    # Besides the bodies of answered requests, there are announcements and short calls.
    assert carried_bytes < (len(answered_s) + 1) * BODY_BYTES
