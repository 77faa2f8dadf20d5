"""Tests of shared services and retries, over loopback sockets."""

import contextlib
import http.client
import json
import socket
import threading
from types import SimpleNamespace

import attrs
import pytest

from tamarackhaven import _clock
from tamarackhaven._keys import hash_key, shard_of
from tamarackhaven._metrics import RETRIES, RETRIES_REFUSED, Metrics
from tamarackhaven._model import Address, PolicyMode, TargetMember, ZoneState
from tamarackhaven._retries import Retries
from tamarackhaven._retry import (
    LOST_KINDS,
    REFUSED_KINDS,
    RELOCATED_KINDS,
    RetrySettings,
)
from tamarackhaven._shared_pool import RecentQuantile, SharedPool
from tamarackhaven.errors import ErrorKind, TamarackhavenError
from tests.fakes import FakeView, Node, ask, booking, running, wait_for

SHARD = shard_of(hash_key("s", "k"), 4)
LONG_DEADLINE = {"Tamarackhaven_Deadline_Ms": "20000"}
REQUEST_START_BYTES = 1


@pytest.fixture
def three_nodes():
    view = FakeView(mode=PolicyMode.SHARED)
    nodes = [Node(view, f"t{n}") for n in (1, 2, 3)]
    with running(*nodes):
        yield nodes


def targets_that_answer(node, count=30):
    answers = [node.ask(**LONG_DEADLINE) for _ in range(count)]
    assert {answer.status for answer in answers} == {200}
    return {answer.plain["target"] for answer in answers}


def test_any_target_answers_lookups_and_bookings_are_refused(three_nodes):
    """A key of a shared service is answered by several targets.

    No ledger records its bookings, so they are refused at the caller and peer ports and
    never run. The number of lookups isn't checked: a lookup may be hedged, so several
    targets may run it, one of them after the caller has its answer.
    """
    assert len(targets_that_answer(three_nodes[0])) > 1
    hops = {"Tamarackhaven_Hops": "1"}
    for port, more in (
        (three_nodes[0].daemon.caller.port, {}),
        (three_nodes[1].peer.port, hops),
    ):
        answer = ask(port, "POST", **booking("b", **more))
        assert (answer.status, answer.name, answer.ran) == (422, "BOOKING_SHARED", "no")
    targets = [node.standin.target for node in three_nodes]
    wait_for(lambda: not any(target.report()["running"] for target in targets))
    assert [target.counts()["executions"] for target in targets] == [{}, {}, {}]


@pytest.mark.parametrize(
    ("kind", "cause"),
    [
        ("LEASE_LOST", lambda node: setattr(node.lease, "until_s", 0.0)),
        ("LEASE_LOST", lambda node: setattr(node.lease, "held_epoch", 2)),
        ("ZONE_OUT", lambda node: node.daemon.on_zone(ZoneState.OUT)),
        ("DRAINING", lambda node: node.standin.announcer.leave()),
        ("STATE_STALE", lambda node: setattr(node.daemon, "_confirmed_s", -999.0)),
    ],
)
def test_a_lookup_refused_by_one_target_is_served_by_another(three_nodes, kind, cause):
    cause(three_nodes[1])
    wait_for(lambda: three_nodes[0].ask(**LONG_DEADLINE).status == 200)
    assert "t2" not in targets_that_answer(three_nodes[0])
    assert three_nodes[0].metrics.counter(RETRIES, reason=kind) > 0


def test_a_slow_try_is_hedged_and_the_slower_one_cancelled(three_nodes):
    """t3 takes 20 s; the caller gets the answer of another target much earlier.

    The try at t3 is cancelled there: no request runs to its end, and t3 is idle soon.
    """
    first, slow = three_nodes[0], three_nodes[2].standin.target
    targets_that_answer(first, 40)
    served = slow.served
    slow.settings = attrs.evolve(slow.settings, service_ms=20_000)
    slow.honours_deadlines = False

    # The connection stays open, as disconnecting would cancel the request too.
    caller = http.client.HTTPConnection("127.0.0.1", first.daemon.caller.port)

    def hedged():
        caller.request("GET", "/s/k", headers={"Tamarackhaven-Deadline-Ms": "20000"})
        assert json.loads(caller.getresponse().read())["target"] != "t3"
        return first.metrics.counter(RETRIES, reason="HEDGE")

    wait_for(hedged)
    wait_for(lambda: not slow.report()["running"], 10)
    caller.close()
    assert slow.served == served


def test_the_quantile_of_recent_tries_drops_old_values():
    quantile = RecentQuantile()
    for _ in range(19):
        quantile.add(9.0)
    assert quantile.value_s is None
    for number in range(300):
        quantile.add(number % 100 / 1000)
    assert 0.09 <= quantile.value_s <= 0.099


def test_a_target_that_is_always_slower_than_its_hedge_is_ejected():
    members = [
        TargetMember("s", name, "z", "i", "n", Address("h", 1)) for name in "abc"
    ]
    pool, rng = SharedPool("z"), SimpleNamespace(sample=lambda free, n: free[:n])
    gone = TamarackhavenError(ErrorKind.CALLER_GONE)
    pool.choose(members, 1, 0.0, rng)
    for _ in range(5):
        pool.started("a")
        pool.ended("a", gone, True, 0.01, 0.0)
    for tried in ((), ("b",)):
        assert pool.choose(members, 1, 0.0, rng, tried).target != "a"
    assert pool.choose(members, 1, 0.0, rng, ("b", "c")).target == "a"


@pytest.mark.parametrize(
    ("reason", "kind", "mode", "attempts", "left_s", "is_booking"),
    [
        ("not-retryable", "UNKNOWN_SERVICE", "shared", 1, 9, False),
        ("may-have-run", "FORWARD_LOST", "exclusive", 1, 9, True),
        ("only-owner", "QUEUE_FULL", "exclusive", 1, 9, False),
        ("attempts", "QUEUE_FULL", "shared", 3, 9, False),
        ("deadline", "QUEUE_FULL", "shared", 1, 0, False),
        ("budget", "QUEUE_FULL", "shared", 1, 9, False),
    ],
)
def test_refused_retries_are_counted(reason, kind, mode, attempts, left_s, is_booking):
    metrics = Metrics()
    clock = SimpleNamespace(boot_s=lambda: 100.0)
    burst = 0.0 if reason == "budget" else 5.0
    settings = RetrySettings(burst=burst)
    retries = Retries(settings, PolicyMode(mode), metrics, clock)
    request = SimpleNamespace(is_booking=is_booking, deadline_s=100.0 + left_s)
    error = TamarackhavenError(ErrorKind[kind])
    assert not retries.allows(error, request, attempts)
    assert metrics.counter(RETRIES_REFUSED, reason=reason) == 1


RETRIED_KINDS = sorted(
    RELOCATED_KINDS | REFUSED_KINDS | LOST_KINDS, key=lambda kind: kind.value
)


@pytest.mark.parametrize("kind", RETRIED_KINDS)
def test_retries_are_counted_by_the_preceding_error(kind):
    metrics = Metrics()
    clock = SimpleNamespace(boot_s=lambda: 100.0)
    retries = Retries(RetrySettings(), PolicyMode.SHARED, metrics, clock)
    request = SimpleNamespace(is_booking=False, deadline_s=109.0)
    error = TamarackhavenError(kind)
    assert retries.allows(error, request, 1)
    retries.started(error)
    assert metrics.counter(RETRIES, reason=kind.name) == 1


class SilentDaemon:
    """Accepts connections and never answers; ``close_connections`` closes them."""

    def __init__(self):
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = Address(*self._listener.getsockname())
        self.socks = []
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        with contextlib.suppress(OSError):
            while True:
                sock, _ = self._listener.accept()
                sock.recv(REQUEST_START_BYTES)
                self.socks.append(sock)

    def close_connections(self):
        for sock in self.socks:
            sock.close()


@pytest.fixture
def frozen_owner_cluster():
    """Yield a cluster: a forwarding daemon, the key's next owner, its frozen owner."""
    view = FakeView()
    nodes = [Node(view, f"t{n}", forward_wait_ms=10_000) for n in (1, 2)]
    silent = SilentDaemon()
    with running(*nodes):
        view.member_by_name["t3"] = TargetMember(
            "s", "t3", "z1", "i", "inc", silent.address, epoch=1
        )
        view.grant(SHARD, "t3", 10)
        yield *nodes, silent


@pytest.mark.parametrize("lost", [False, True])
def test_a_lookup_at_a_frozen_or_lost_daemon_goes_to_the_next_owner(
    frozen_owner_cluster, lost
):
    """The owner's daemon receives a lookup and freezes, or is lost before it answers.

    The control group fences it and grants its shard to t2. The caller must then be
    answered by t2, without waiting for its deadline of 20 seconds.
    """
    first, second, silent = frozen_owner_cluster
    answers, started = [], _clock.boot_s()
    thread = threading.Thread(target=lambda: answers.append(first.ask(**LONG_DEADLINE)))
    thread.start()
    wait_for(lambda: silent.socks)
    if lost:
        silent.close_connections()
        wait_for(lambda: first.daemon.path.waiting)
    second.own(SHARD, grant=11)
    thread.join()
    assert (answers[0].status, answers[0].plain["target"]) == (200, "t2")
    assert _clock.boot_s() - started < 15
    assert first.metrics.counter(RETRIES, reason="FORWARD_LOST") == 1


def test_a_booking_at_a_frozen_daemon_is_never_run_elsewhere(frozen_owner_cluster):
    first, second, silent = frozen_owner_cluster
    headers = booking("b", Tamarackhaven_Deadline_Ms="1000")
    answers = []
    thread = threading.Thread(
        target=lambda: answers.append(first.ask("POST", **headers))
    )
    thread.start()
    wait_for(lambda: silent.socks)
    second.own(SHARD, grant=11)
    thread.join()
    assert (answers[0].name, answers[0].ran) == ("ANSWER_TIMEOUT", "unknown")
    assert second.standin.target.served == 0
