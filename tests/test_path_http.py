"""Tests of the request path over loopback sockets."""

import contextlib
import json
import socket
import threading
import time
from concurrent.futures import ThreadPoolExecutor

import attrs
import pytest

from standin.target import StandinSettings
from tamarackhaven import _clock, plumbing
from tamarackhaven._http_server import MAX_BODY_BYTES, MAX_HEADER_BYTES
from tamarackhaven._keys import hash_key, shard_of
from tamarackhaven._model import ZoneState
from tamarackhaven._settings import GateSettings, Listen
from tamarackhaven.errors import ErrorKind, TamarackhavenError
from tests.fakes import FakeView, Node, ask, booking, daemon_settings, running, wait_for

ALL_SHARDS = range(4)
SHARD = shard_of(hash_key("s", "k"), 4)


@pytest.fixture(scope="module")
def pair():
    """Yield two daemons that share a view; t1 owns all shards."""
    view = FakeView()
    first, second = Node(view, "t1"), Node(view, "t2")
    with running(first, second):
        first.own(*ALL_SHARDS)
        yield first, second


@pytest.fixture
def node():
    slow_node = Node(FakeView(), standin=StandinSettings(service_ms=300))
    with running(slow_node):
        slow_node.own(*ALL_SHARDS)
        yield slow_node


def raw_exchange(port, data, end=False):
    """Send bytes and return everything received until the server closes."""
    with socket.create_connection(("127.0.0.1", port), 20) as sock:
        sock.sendall(data)
        if end:
            sock.shutdown(socket.SHUT_WR)
        parts = []
        while part := sock.recv(65536):
            parts.append(part)
    return b"".join(parts).decode()


def test_lookups_and_bookings_reach_the_owner_directly_or_forwarded(pair):
    for number, node in enumerate(pair):
        got = node.ask(Tamarackhaven_Request_Id=f"r{number}")
        assert (got.status, got.plain["target"], got.ran) == (200, "t1", "yes")
        assert got.headers["tamarackhaven-request-id"] == f"r{number}"
    headers = booking("twice")
    first = pair[0].ask("POST", body=b"x", **headers)
    again = pair[1].ask("POST", body=b"x", **headers)
    assert (first.status, first.plain["times"]) == (201, 1)
    assert (again.status, again.body) == (201, first.body)
    other = pair[1].ask("POST", body=b"y", **headers)
    assert (other.name, other.ran) == ("BOOKING_MISMATCH", "no")
    assert pair[0].standin.target.counts()["executions"]["twice"] == 1


@pytest.mark.parametrize(
    ("kind", "path", "method", "headers"),
    [
        ("MISSING_KEY", "/s", "GET", {}),
        ("UNKNOWN_SERVICE", "/none/k", "GET", {}),
        ("UNKNOWN_SERVICE", "/", "GET", {}),
        ("BAD_DEADLINE", "/s/k", "GET", {"Tamarackhaven_Deadline_Ms": "soon"}),
        ("DEADLINE_PAST", "/s/k", "GET", {"Tamarackhaven_Deadline_Ms": "0"}),
        ("DEADLINE_PAST", "/s/k", "GET", {"Tamarackhaven_Deadline_Ms": "-5"}),
        ("BAD_HEADER", "/s/k", "GET", {"Tamarackhaven_Request_Id": "a b"}),
        ("MISSING_IDEMPOTENCY_KEY", "/s/k", "POST", {}),
        ("MISSING_IDEMPOTENCY_KEY", "/s/k", "POST", {"Idempotency_Key": "b"}),
        ("FORWARD_LOOP", "/s/k", "GET", {"Tamarackhaven_Hops": "1"}),
        ("HEADERS_TOO_LARGE", "/s/k", "GET", {"X": "x" * MAX_HEADER_BYTES}),
        ("BODY_TOO_LARGE", "/s/k", "POST", booking("big") | {"body": 64 * 1024 + 1}),
        ("MALFORMED_REQUEST", "s/k", "GET", {}),
    ],
)
def test_bad_input_is_refused_with_its_kind_and_not_run(
    pair, kind, path, method, headers
):
    served = pair[0].standin.target.served
    headers = dict(headers)
    body = b"x" * headers.pop("body", 0)
    got = pair[1].ask(method, path, body, **headers)
    row = TamarackhavenError(ErrorKind[kind]).answer
    assert (got.name, got.ran, got.status) == (kind, "no", row.http_status)
    assert pair[0].standin.target.served == served


HEAD = "POST /s/k HTTP/1.1\r\nHost: h\r\nIdempotency-Key: c\r\n"


@pytest.mark.parametrize(
    ("kind", "text"),
    [
        ("DUPLICATE_HEADER", f"{HEAD}Idempotency-Key: d\r\n\r\n"),
        ("DUPLICATE_HEADER", f"{HEAD}Content-Length: 1\r\nContent-Length: 2\r\n\r\nx"),
        ("BODY_TRUNCATED", f"{HEAD}Content-Length: 9\r\n\r\nhalf"),
        ("BODY_TRUNCATED", f"{HEAD}Transfer-Encoding: chunked\r\n\r\n5\r\nhal"),
        ("MALFORMED_REQUEST", f"{HEAD}Transfer-Encoding: chunked\r\n\r\nzz\r\n\r\n"),
        ("MALFORMED_REQUEST", f"{HEAD}Transfer-Encoding: gzip\r\n\r\n"),
        ("MALFORMED_REQUEST", f"{HEAD}Content-Le"),
        ("MALFORMED_REQUEST", "no http at all\r\n\r\n"),
        ("BODY_TOO_LARGE", f"{HEAD}Content-Length: {MAX_BODY_BYTES}\r\n\r\n"),
    ],
)
def test_broken_http_is_answered_from_the_table(pair, kind, text):
    """Requests that waitress refuses or drops are answered from the error table.

    A caller whose connection closes without an answer can't know whether its booking
    ran.
    """
    end = not text.endswith("\r\n") and kind != "DUPLICATE_HEADER"
    answer = raw_exchange(pair[0].daemon.caller.port, text.encode(), end)
    row = TamarackhavenError(ErrorKind[kind]).answer
    assert answer.startswith(f"HTTP/1.1 {row.http_status}") or "HTTP/1.0" in answer
    assert f'"name": "{kind}"' in answer
    assert "Tamarackhaven-Ran: no" in answer


def test_a_chunked_body_arrives_whole(pair):
    port = pair[1].daemon.caller.port
    head = f"{HEAD}Tamarackhaven-First-Sent: {time.time():.6f}\r\nConnection: close\r\n"
    body = "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
    assert " 201 " in raw_exchange(port, (head + body).encode())


def test_a_head_answer_has_the_length_of_the_body(pair):
    length = len(pair[0].ask().body)
    for node in pair:
        got = node.ask("HEAD")
        assert (got.status, got.headers["content-length"], got.body) == (
            200,
            str(length),
            b"",
        )


def test_an_owner_without_lease_or_in_a_zone_out_refuses(pair):
    first, second = pair
    refusals = [
        ("LEASE_LOST", lambda: setattr(first.lease, "until_s", 0.0)),
        ("ZONE_OUT", lambda: first.daemon.on_zone(ZoneState.OUT)),
    ]
    for kind, cause in refusals:
        cause()
        for node in pair:
            got = node.ask()
            assert (got.name, got.ran) == (kind, "no")
            whole_s = int(got.headers["retry-after"])
            exact_ms = int(got.headers["tamarackhaven-retry-after-ms"])
            assert 1 <= exact_ms <= 1000 * whole_s
        first.lease.until_s = float("inf")
        first.daemon.on_zone(ZoneState.IN)
    assert first.ask().status == 200
    assert first.metrics.counter("tamarackhaven_refusals_total", kind="ZONE_OUT") == 2


def test_a_refusal_is_logged_with_the_ids_returned_to_the_caller(pair):
    got = pair[0].ask(path="/none/k", Tamarackhaven_Request_Id="r-log")
    line = next(x for x in pair[0].lines if x.get("request_id") == "r-log")
    assert line["sentence"] == "path: request refused as UNKNOWN_SERVICE"
    assert line["decision_id"] == got.headers["tamarackhaven-decision"] != "r-log"


def test_a_refused_request_is_explained_by_its_id(node):
    """The daemon must still report the reason when a caller asks later."""
    refused = node.ask(path="/none/k", Tamarackhaven_Request_Id="r-1")
    address = f"127.0.0.1:{node.daemon.metrics_page.port}"
    (found,) = plumbing.refusals_of(address, "r-1")
    assert (found.name, found.code) == (
        "UNKNOWN_SERVICE",
        refused.headers["tamarackhaven-error"],
    )
    assert plumbing.refusals_of(address, "r-2") == []


def test_requests_are_refused_while_the_state_is_unconfirmed():
    node = Node(FakeView(), stale_s=0.1)
    with running(node):
        node.own(*ALL_SHARDS)
        wait_for(lambda: node.ask().status == 503)
        assert node.ask().name == "STATE_STALE"
        node.daemon.on_confirmed(_clock.boot_s() + 60)
        assert node.ask().status == 200


def test_a_request_for_a_moving_shard_is_answered_by_its_new_owner():
    """A request for a key that moves from t1 to t2 is answered once, by t2.

    t1 stops the shard and refuses with MOVING, which means that it did not run. The
    daemon that received the request waits a limited time for a newer grant and tries
    the new owner once.
    """
    view = FakeView()
    nodes = [Node(view, f"t{n}", forward_wait_ms=10_000) for n in (1, 2, 3)]
    with running(*nodes):
        first, second, third = nodes
        first.own(SHARD, grant=10)
        first.daemon.stop_admitting("s", SHARD)
        assert first.daemon.in_flight("s", SHARD) == 0
        got = []
        deadline = {"Tamarackhaven_Deadline_Ms": "20000"}
        threads = [
            threading.Thread(target=lambda n=node: got.append(n.ask(**deadline)))
            for node in (first, third)
        ]
        for thread in threads:
            thread.start()
        wait_for(lambda: all(node.daemon.path.waiting for node in (first, third)))
        second.own(SHARD, grant=11)
        for thread in threads:
            thread.join()
        assert [(g.status, g.plain["target"]) for g in got] == [(200, "t2")] * 2
        for node in (first, third):
            name = "tamarackhaven_retries_total"
            assert node.metrics.counter(name, reason="MOVING") == 1


def _count_refusals(node, kind):
    return node.metrics.counter("tamarackhaven_refusals_total", kind=kind)


def test_waits_for_an_owner_are_limited_and_forwarding_never_loops(pair):
    first, _ = pair
    first.view.grant(SHARD, "t9", 50)
    assert first.ask().name == "NO_OWNER"
    first.view.grant(SHARD, "t2", 51)
    try:
        # By the view the second daemon is the owner, but it hasn't got its grant yet.
        assert first.ask().name == "MOVING"
        hops = {"Tamarackhaven_Hops": "2"}
        assert ask(first.daemon.peer.port, **hops).name == "FORWARD_LOOP"
        hops = {"Tamarackhaven_Hops": "1"}
        assert ask(first.daemon.peer.port, **hops).name == "NOT_OWNER"
    finally:
        first.own(*ALL_SHARDS, grant=60)


def test_an_unreachable_owner_daemon_did_not_run_the_request(pair):
    first, _ = pair
    member = first.view.member_by_name["t1"]
    with socket.socket() as unused:
        unused.bind(("127.0.0.1", 0))
        peer = attrs.evolve(member.peer, port=unused.getsockname()[1])
        first.view.member_by_name["t1"] = attrs.evolve(member, peer=peer)
        got = pair[1].ask()
    first.view.member_by_name["t1"] = member
    assert (got.name, got.ran) == ("OWNER_UNREACHABLE", "no")


def test_a_drain_finishes_running_requests_and_refuses_new_ones(node):
    """A drain, as on SIGTERM, must let the running request answer its caller.

    Later requests get 503 and "did not run", and their connection is closed afterwards.
    """
    got = []
    thread = threading.Thread(target=lambda: got.append(node.ask()))
    thread.start()
    wait_for(lambda: node.daemon.in_flight("s", SHARD))
    drained = []
    drain = threading.Thread(target=lambda: drained.append(node.daemon.drain()))
    drain.start()
    wait_for(lambda: node.daemon.status().draining)
    refused = node.ask()
    thread.join()
    drain.join()
    assert (refused.name, refused.headers["connection"]) == ("DRAINING", "close")
    assert (got[0].status, drained) == (200, [True])


def test_a_leaving_target_gets_no_requests_until_it_restarts(node):
    node.standin.announcer.leave()
    assert node.ask().name == "DRAINING"
    node.standin.target.incarnation = "another"
    wait_for(lambda: node.ask().status == 200)


def test_queued_requests_of_disconnected_callers_are_withdrawn(node):
    """Requests of callers that disconnect while queued are withdrawn unsent."""
    node.standin.target.settings = attrs.evolve(
        node.standin.target.settings, service_ms=1500
    )
    socks = [_send_lookup(node, b"9000") for _ in range(8)]
    wait_for(lambda: node.daemon.in_flight("s", SHARD) == 8)
    for sock in socks:
        sock.close()
    wait_for(lambda: node.daemon.in_flight("s", SHARD) == 0)
    assert _count_refusals(node, "CALLER_GONE") == 8


def test_a_burst_at_a_cold_target_never_exceeds_its_slots():
    """Sixteen callers send requests to a cold target that can run one at a time.

    Its daemon admits one, queues some and refuses the rest as cold. Each caller gets
    one answer, refusals include a time, and the target never runs two at once.
    """
    standin = StandinSettings(service_ms=50, cold_slots=1, cold_s=600)
    gate = GateSettings(cold_requests=1, cold_s=600, queue_requests=4, queue_ms=5000)
    node = Node(FakeView(), standin=standin, gate=gate, threads=16)
    with running(node), ThreadPoolExecutor(16) as pool:
        node.own(*ALL_SHARDS)
        ids = [f"r{number}" for number in range(16)]
        got = list(pool.map(lambda r: node.ask(Tamarackhaven_Request_Id=r), ids))
        assert [g.headers["tamarackhaven-request-id"] for g in got] == ids
        refused = [g for g in got if g.status != 200]
        assert len(refused) < len(got)
        assert all(g.ran == "no" and g.plain["retry_after_s"] > 0 for g in refused)
        counts = node.standin.target.counts()
        assert (counts["overruns"], counts["refused"]) == (0, {})


def test_requests_beyond_threads_and_queue_are_refused_immediately():
    """With two threads and two queued requests, the fifth is refused immediately.

    The target takes 20 s. With an unlimited queue the fifth caller would be answered
    after 20 s, when it is gone.
    """
    slow = StandinSettings(service_ms=20_000)
    node = Node(FakeView(), standin=slow, threads=2)
    with running(node), contextlib.ExitStack() as open_sockets:
        node.own(*ALL_SHARDS)
        for count in range(1, 5):
            open_sockets.enter_context(_send_lookup(node, b"20000"))
            wait_for(
                lambda count=count: node.daemon.caller.unfinished_requests() == count
            )
        got = node.ask()
        assert (got.name, got.ran) == ("QUEUE_FULL", "no")
        assert node.daemon.caller.unfinished_requests() == 4


def _send_lookup(node, deadline_ms):
    """Return a connected socket after sending a lookup on it."""
    sock = socket.create_connection(("127.0.0.1", node.daemon.caller.port))
    head = b"GET /s/k HTTP/1.1\r\nHost: h\r\nTamarackhaven-Deadline-Ms: "
    sock.sendall(head + deadline_ms + b"\r\n\r\n")
    return sock


def test_a_request_past_its_deadline_is_cancelled_at_the_target(node):
    """At the deadline the caller is answered "unknown" and the target stops working.

    Without the cancellation the target would be busy for another 20 seconds.
    """
    standin = node.standin.target
    standin.settings = attrs.evolve(standin.settings, service_ms=20_000)
    standin.honours_deadlines = False
    got = node.ask(Tamarackhaven_Deadline_Ms="200")
    assert (got.name, got.ran) == ("ANSWER_TIMEOUT", "unknown")
    wait_for(lambda: not standin.report()["running"], 10)
    assert standin.served == 0


def test_an_announcement_of_another_address_is_refused_with_both_named(pair):
    node = pair[1]
    announced = node.daemon.link.state().announcement.address
    plain = {"incarnation": "x", "slots": 2}
    plain["address"] = {"host": "127.0.0.9", "port": announced.port}
    port = node.daemon.announce.port
    got = ask(port, "POST", "/announce", json.dumps(plain))
    assert (got.status, got.name) == (422, "ADDRESS_MISMATCH")
    assert "127.0.0.9" in got.plain["detail"] and "127.0.0.1" in got.plain["detail"]
    assert node.daemon.link.state().announcement.address == announced


def test_an_error_names_the_port_that_is_in_use():
    with socket.socket() as taken:
        taken.bind(("127.0.0.1", 0))
        taken.listen()
        port = taken.getsockname()[1]
        settings = daemon_settings(peer=Listen("127.0.0.1", port))
        with pytest.raises(TamarackhavenError) as caught:
            Node(FakeView(), peer=settings.peer)
    assert caught.value.kind is ErrorKind.PORT_TAKEN
    assert str(port) in caught.value.detail


def test_the_metrics_page_has_latencies_and_refusals(pair):
    pair[0].ask()
    got = ask(pair[0].daemon.metrics_page.port, path="/metrics")
    page = got.body.decode()
    assert got.headers["content-type"].startswith("text/plain; version=0.0.4")
    assert 'latency_seconds{service="s",target="t1",quantile="0.99"}' in page
    assert 'refusals_total{kind="LEASE_LOST"}' in page
    other = ask(pair[0].daemon.metrics_page.port, path="/else")
    assert other.name == "NOT_FOUND"


@pytest.mark.parametrize("body", [b"[1]", b"{", b'{"slots": "many"}'])
def test_a_bad_announcement_is_refused(pair, body):
    port = pair[0].daemon.announce.port
    assert ask(port, "POST", "/announce", body).name == "MALFORMED_REQUEST"
    assert ask(port, "GET", "/announce").name == "NOT_FOUND"
