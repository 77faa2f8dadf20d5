"""Forwards between daemons over real links on loopback."""

import asyncio

import attrs
import pytest

from tamarackhaven._clock import boot_s
from tamarackhaven._metrics import Metrics
from tamarackhaven.net import LinkServer
from tamarackhaven.sidecar._gate import Gate, Offer
from tamarackhaven.sidecar._intake import BodyReceiver
from tamarackhaven.sidecar._messages import (
    PEER_CODEC,
    Answered,
    Forward,
    Lost,
    NotRun,
    TargetEnded,
    WaitQuery,
)
from tamarackhaven.sidecar._peer_server import PeerServer
from tamarackhaven.sidecar._peers import MAX_INLINE_BODY_BYTES, Peers
from tamarackhaven.sidecar._runs import Runs

FORWARD = Forward(
    number=1,
    life="i@1@h:1",
    service="s",
    route="r",
    key=-1,
    attempt_id="a",
    method="GET",
    target="/",
    headers=(),
    body=b"",
    caller_service="c",
    is_safe=True,
    priority=1,
    left_ms=1000.0,
    objective_ms=500.0,
)


class Target:
    """Fake of ``Inbound`` that records the requests that it runs."""

    def __init__(self):
        self.intake = BodyReceiver(Gate(6, lambda: 0.0), Metrics())
        self.bodies = []
        self.receives_bodies = True
        self.ran = []
        self.cancelled = []
        self.may_end = asyncio.Event()
        self.is_sent = True

    async def run(self, forward, incoming=None):
        if incoming is not None and self.receives_bodies:
            now = boot_s()
            offer = Offer(forward.number, "r", 1, now + 1.0, now + 2.0)
            self.bodies.append(await self.intake.receive(incoming, offer))
        self.ran.append(forward.number)
        try:
            await self.may_end.wait()
        except asyncio.CancelledError:
            self.cancelled.append(forward.number)
            raise
        return Answered(forward.number, 200, (), b"done")

    def is_sending(self, _forward):
        return self.is_sent

    def expected_wait_s(self, query):
        return query.objective_ms / 1000


class Pair:
    """A daemon that forwards requests, and the daemon beside the target."""

    async def start(self, boot="one"):
        self.target = Target()
        self.server = PeerServer(boot, Runs(self.target), self.target.intake)
        self.links = LinkServer(
            PEER_CODEC, self.server.on_message, self.server.on_closed
        )
        await self.links.start("127.0.0.1", getattr(self, "port", 0))
        self.port = self.links._server.sockets[0].getsockname()[1]
        self.address = "127.0.0.1", self.port
        if not hasattr(self, "peers"):
            self.peers = Peers("caller")
        return self

    def forward(self, **fields):
        forward = attrs.evolve(FORWARD, **fields)
        now = boot_s()
        return asyncio.ensure_future(
            self.peers.run(self.address, forward, now + 2.0, now + 1.0)
        )

    async def until(self, condition):
        for _ in range(400):
            if condition():
                return
            await asyncio.sleep(0.005)
        raise AssertionError("condition not met within 2 s")

    def break_links(self):
        for link in self.links.links:
            link.abort()


def run(test):
    async def main():
        pair = await Pair().start()
        try:
            await test(pair)
        finally:
            pair.links.close()
            pair.peers.close()

    asyncio.run(main())


def test_a_forward_is_answered():
    async def test(pair):
        pair.target.may_end.set()
        assert (await pair.forward()).body == b"done"

    run(test)


@pytest.mark.parametrize("is_safe", [True, False])
def test_a_request_runs_once_and_is_answered_after_its_link_breaks(is_safe):
    # The link between two daemons breaks while the target works. The caller's daemon
    # reconnects and sends the same number again. A second run would double a booking;
    # failing the request would lose its answer.
    async def test(pair):
        waiting = pair.forward(is_safe=is_safe)
        await pair.until(lambda: pair.target.ran)
        pair.break_links()
        await asyncio.sleep(0.1)
        pair.target.may_end.set()
        assert isinstance(await waiting, Answered)
        assert pair.target.ran == [1]

    run(test)


LARGE_BODY = bytes(range(256)) * 400


def test_a_large_body_arrives_complete_and_only_on_request():
    # A body sent at once would fill the small link of a VM for seconds, and short calls
    # would queue behind it until the work that they belong to misses its deadline.
    async def test(pair):
        pair.target.may_end.set()
        await pair.forward()
        large = await pair.forward(number=2, body=LARGE_BODY)
        assert large.body == b"done"
        assert pair.target.bodies == [LARGE_BODY]
        assert pair.target.ran == [1, 2]
        pair.target.receives_bodies = False
        sent_bytes = PEER_CODEC.sent_bytes()
        await pair.forward(number=3, body=LARGE_BODY)
        assert PEER_CODEC.sent_bytes() - sent_bytes < MAX_INLINE_BODY_BYTES

    run(test)


def test_a_body_arrives_complete_and_runs_once_after_its_link_breaks_halfway():
    # The parts in flight are lost with the link. The body must not be assembled with a
    # gap, and the request must not run twice.
    async def test(pair):
        pair.target.may_end.set()
        waiting = pair.forward(is_safe=False, body=LARGE_BODY)
        real_add_part = pair.target.intake.add_part

        def add_part(body, offset, data):
            real_add_part(body, offset, data)
            if offset and not broken_offsets:
                broken_offsets.append(offset)
                pair.break_links()

        broken_offsets = []
        pair.target.intake.add_part = add_part
        assert isinstance(await waiting, Answered)
        assert broken_offsets
        assert pair.target.bodies == [LARGE_BODY]
        assert pair.target.ran == [1]

    run(test)


@pytest.mark.parametrize("body", [LARGE_BODY, b""])
def test_a_request_whose_body_was_not_sent_completely_has_not_run(body):
    # A daemon is lost before it has requested a booking's body. If the result were that
    # the booking may have run, the caller couldn't retry it.
    async def test(pair):
        pair.target.receives_bodies = False
        waiting = pair.forward(is_safe=False, body=body)
        await pair.until(lambda: pair.target.ran)
        pair.links.close()
        end = await waiting
        assert isinstance(end, NotRun if body else Lost)

    run(test)


def test_a_request_without_an_answer_fails_and_is_cancelled_at_its_deadline():
    async def test(pair):
        now = boot_s()
        end = await pair.peers.run(pair.address, FORWARD, now + 0.2, now + 0.1)
        assert end == Lost(1, "ANSWER_TIMEOUT")
        assert 0.2 <= boot_s() - now < 2.0
        await pair.until(lambda: pair.target.cancelled)

    run(test)


def test_a_cancelled_request_stops_the_transfer_of_its_body():
    async def test(pair):
        part_received = asyncio.Event()
        pair.target.intake.add_part = lambda *_: part_received.set()
        waiting = pair.forward(body=LARGE_BODY)
        await part_received.wait()
        assert pair.target.intake.remaining_bytes
        waiting.cancel()
        await pair.until(lambda: not pair.target.intake.remaining_bytes)

    run(test)


def test_requests_of_a_daemon_that_restarts_are_lost_and_not_run_again():
    async def test(pair):
        waiting = pair.forward(is_safe=False)
        await pair.until(lambda: pair.target.ran)
        pair.links.close()
        await pair.start(boot="two")
        assert isinstance(await waiting, Lost)
        assert pair.target.ran == []

    run(test)


def test_a_request_to_an_unreachable_daemon_has_not_run():
    async def test(pair):
        pair.links.close()
        end = await pair.forward()
        assert isinstance(end, NotRun) and end.kind == "OWNER_UNREACHABLE"

    run(test)


def test_a_safe_request_is_cancelled_when_its_caller_disconnects():
    async def test(pair):
        waiting = pair.forward()
        await pair.until(lambda: pair.target.ran)
        waiting.cancel()
        await pair.until(lambda: pair.target.cancelled)

    run(test)


def test_an_unsafe_request_at_its_target_continues_after_its_caller_disconnects():
    async def test(pair):
        waiting = pair.forward(is_safe=False)
        await pair.until(lambda: pair.target.ran)
        waiting.cancel()
        await asyncio.sleep(0.1)
        assert not pair.target.cancelled

    run(test)


def test_a_waiting_unsafe_request_is_cancelled_when_its_caller_disconnects():
    async def test(pair):
        pair.target.is_sent = False
        waiting = pair.forward(is_safe=False)
        await pair.until(lambda: pair.target.ran)
        waiting.cancel()
        await pair.until(lambda: pair.target.cancelled)

    run(test)


def test_a_daemon_no_longer_counts_as_leaving_after_its_link_has_closed():
    # In a rolling restart each daemon announces to the others that it leaves. If they
    # kept the mark, no target would be left once all daemons had been restarted.
    async def test(pair):
        pair.target.may_end.set()
        await pair.forward()
        pair.server.leave()
        await pair.until(lambda: pair.peers.is_leaving(pair.address))
        pair.links.close()
        await pair.until(lambda: not pair.peers.is_leaving(pair.address))

    run(test)


def test_a_daemon_that_stopped_in_order_is_restarting_until_it_is_back():
    # Callers for its target's keys wait longer for it than for a lost daemon, since
    # it's back within about a second.
    async def test(pair):
        pair.target.may_end.set()
        await pair.forward()
        assert not pair.peers.is_restarting(pair.address)
        pair.server.leave()
        await pair.until(lambda: pair.peers.is_leaving(pair.address))
        pair.links.close()
        await pair.until(lambda: not pair.peers.is_leaving(pair.address))
        assert pair.peers.is_restarting(pair.address)
        await pair.start(boot="two")
        pair.target.may_end.set()
        await pair.forward(number=2)
        assert not pair.peers.is_restarting(pair.address)

    run(test)


def test_a_lost_daemon_does_not_count_as_restarting():
    async def test(pair):
        pair.target.may_end.set()
        await pair.forward()
        pair.links.close()
        await asyncio.sleep(0.05)
        assert not pair.peers.is_restarting(pair.address)

    run(test)


def test_concurrent_wait_queries_get_their_own_replies():
    # Two lives of a target at one address are both known for a moment, and both are
    # queried on the same link at the same time.
    async def test(pair):
        pair.target.may_end.set()
        await pair.forward()
        queries = [WaitQuery(0, "r", 1, left_ms) for left_ms in (100.0, 200.0)]
        waits = await asyncio.gather(
            *(pair.peers.query_wait(pair.address, query) for query in queries)
        )
        assert waits == [0.1, 0.2]

    run(test)


def test_the_expected_wait_is_unknown_without_a_link():
    async def test(pair):
        query = WaitQuery(0, "r", 1, 100.0)
        assert await pair.peers.query_wait(pair.address, query) is None

    run(test)


@pytest.mark.parametrize("is_safe", [True, False])
def test_a_request_cancelled_after_its_link_broke_gets_a_result_when_sent_again(
    is_safe,
):
    # A link is down for longer than its requests are kept. If they got no result when
    # they are sent again on a new link, their callers would wait until their deadline.
    async def test(pair):
        pair.target.is_sent = False
        waiting = pair.forward(is_safe=is_safe)
        await pair.until(lambda: pair.target.ran)
        for link in pair.links.links:
            boot = pair.server._boot_by_link.pop(link)
            del pair.server._link_by_boot[boot]
            pair.server._cancel_abandoned(boot)
        await pair.until(lambda: pair.target.cancelled)
        pair.break_links()
        began_s = boot_s()
        end = await waiting
        assert boot_s() - began_s < 1.0
        assert isinstance(end, Lost if is_safe else NotRun)
        assert pair.target.ran == [1]

    run(test)


def test_bodies_of_a_lost_daemon_stop_counting_as_in_flight_within_a_second():
    # If bytes that will never arrive still counted as in flight, the bodies of running
    # daemons would wait for them.
    async def test(pair):
        part_received = asyncio.Event()
        pair.target.is_sent = False
        pair.target.intake.add_part = lambda *_: part_received.set()
        waiting = pair.forward(is_safe=False, body=LARGE_BODY)
        await part_received.wait()
        began_s = boot_s()
        pair.peers.close()
        await pair.until(lambda: not pair.target.intake.remaining_bytes)
        assert boot_s() - began_s < 1.0
        waiting.cancel()

    run(test)


@pytest.mark.parametrize("from_dialer", [False, True])
def test_either_end_of_a_link_tells_the_other_that_a_target_has_ended(from_dialer):
    async def test(pair):
        told = []
        answered = pair.forward()
        pair.target.may_end.set()
        await answered
        teller, listener = pair.server, pair.peers
        if from_dialer:
            teller, listener = listener, teller
        listener.on_target_ended = told.append
        ended = TargetEnded(FORWARD.life, (b"digest",))
        teller.send_to_all(PEER_CODEC.packed(ended))
        await pair.until(lambda: told)
        assert told == [ended]

    run(test)


def test_a_request_under_which_its_targets_daemon_ends_names_that_run():
    # Guards against: a request that ends daemons is sent on to the next one, since only
    # ends of targets are counted.
    async def test(pair):
        lost = pair.forward()
        await pair.until(lambda: pair.target.ran)
        pair.links.close()
        await pair.start(boot="two")
        result = await lost
        assert isinstance(result, Lost)
        assert result.ended == f"{FORWARD.life} one"

    run(test)
