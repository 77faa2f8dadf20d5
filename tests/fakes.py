"""Fake view and lease, and daemons with stand-in targets in the test's process."""

import contextlib
import http.client
import json
import time

import attrs

from standin.target import Server, StandinSettings
from tamarackhaven import _clock
from tamarackhaven._daemon import Daemon
from tamarackhaven._keys import shard_of
from tamarackhaven._logs import Log
from tamarackhaven._metrics import Metrics
from tamarackhaven._model import Address, PolicyMode, Service, ShardGrant, TargetMember
from tamarackhaven._seams import Located
from tamarackhaven._settings import (
    BookingSettings,
    ControlMember,
    DaemonSettings,
    GateSettings,
    Listen,
)
from tamarackhaven.errors import ErrorKind, TamarackhavenError

LOOPBACK = Listen("127.0.0.1", 0)
CONTROL = [ControlMember("c1", "127.0.0.1", 1, 2)]
SERVICE = Service("s", "p", shard_count=4, max_body_bytes=64 * 1024)


class FakeView:
    """A view with the grants that a test sets; other shards have no owner."""

    def __init__(self, service=SERVICE, mode=PolicyMode.EXCLUSIVE):
        self.service = service
        self.mode = mode
        self.member_by_name = {}
        self.grant_by_shard = {}
        self.version = 1

    def grant(self, shard, owner, grant, **extra):
        record = ShardGrant(self.service.name, shard, owner, 1, grant, **extra)
        self.grant_by_shard[shard] = record
        self.version += 1
        return record

    def locate(self, service, key_hash):
        if service != self.service.name:
            raise TamarackhavenError(ErrorKind.UNKNOWN_SERVICE, service)
        shard = shard_of(key_hash, self.service.shard_count)
        grant = self.grant_by_shard.get(shard, ShardGrant(service, shard))
        owner = self.member_by_name.get(grant.owner)
        return Located(grant, owner, self.service, self.mode)

    def accepting_targets(self, service):
        return list(self.member_by_name.values())

    def member(self, service, target):
        return self.member_by_name.get(target)


@attrs.define
class FakeLease:
    until_s: float = float("inf")
    held_epoch: int = 1

    def holds(self, now):
        return now < self.until_s

    def held_until(self, now):
        return min(self.until_s, now + 1.0)

    def epoch(self):
        return self.held_epoch


def daemon_settings(target="t1", **changes):
    settings = DaemonSettings(
        service="s",
        target=target,
        zone="z1",
        data_folder="unused",
        caller=LOOPBACK,
        peer=LOOPBACK,
        announce=LOOPBACK,
        metrics=LOOPBACK,
        target_address=LOOPBACK,
        control=CONTROL,
        threads=8,
        stale_s=60.0,
        drain_s=5.0,
        gate=GateSettings(cold_requests=8, cold_s=0.0),
        bookings=BookingSettings(caller_clock_margin_s=0.0),
    )
    return attrs.evolve(settings, **changes)


class Node:
    """A daemon and its stand-in target, both in this process."""

    def __init__(self, view, target="t1", standin=None, **changes):
        self.view = view
        self.lease = FakeLease()
        self.metrics = Metrics()
        self.lines = []
        log = Log("test", write=lambda **fields: self.lines.append(fields))
        self.daemon = Daemon(
            daemon_settings(target, **changes),
            view,
            self.lease,
            self.metrics,
            log,
            _clock,
        )
        self.peer = Address("127.0.0.1", self.daemon.peer.port)
        view.member_by_name[target] = TargetMember(
            "s", target, "z1", "i", "inc", self.peer, epoch=1
        )
        announce = f"127.0.0.1:{self.daemon.announce.port}"
        standin = standin or StandinSettings()
        self.standin = Server(attrs.evolve(standin, name=target, announce=announce))

    def start(self):
        self.daemon.start()
        self.standin.start()
        wait_for(lambda: self.daemon.link.state().announcement)

    def stop(self):
        self.standin.stop()
        self.daemon.stop()

    def own(self, *shards, grant=10):
        name = self.daemon.settings.target
        records = [self.view.grant(shard, name, grant) for shard in shards]
        self.daemon.on_grants(records)

    def ask(self, method="GET", path="/s/k", body=None, **headers):
        return ask(self.daemon.caller.port, method, path, body, **headers)


@contextlib.contextmanager
def running(*nodes):
    try:
        for node in nodes:
            node.start()
        yield
    finally:
        for node in nodes:
            node.stop()


@attrs.frozen
class ReceivedAnswer:
    status: int
    headers: dict
    body: bytes

    @property
    def plain(self):
        return json.loads(self.body)

    @property
    def name(self):
        return self.plain["name"]

    @property
    def ran(self):
        return self.headers["tamarackhaven-ran"]


def ask(port, method="GET", path="/s/k", body=None, **headers):
    """Send one request; underscores in header names are replaced by hyphens."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=20)
    try:
        hyphenated_headers = {
            name.replace("_", "-"): value for name, value in headers.items()
        }
        connection.request(method, path, body, hyphenated_headers)
        response = connection.getresponse()
        response_headers = {
            name.lower(): value for name, value in response.getheaders()
        }
        return ReceivedAnswer(response.status, response_headers, response.read())
    finally:
        connection.close()


def booking(key="b1", **extra):
    """Return the headers of a booking that is first sent now."""
    return {
        "Idempotency_Key": key,
        "Tamarackhaven_First_Sent": f"{time.time():.6f}",
    } | extra


def wait_for(condition, limit_s=20.0):
    """Wait until ``condition()`` is true; fail after ``limit_s`` seconds."""
    until_s = time.monotonic() + limit_s
    while not condition():
        assert time.monotonic() < until_s, (
            "condition did not become true within the limit"
        )
        time.sleep(0.005)
