"""A simulated target: an HTTP server that can also fail in the ways of real ones.

It announces itself and reports to its daemon, checks the epochs of grants, starts cold,
sheds load, drains, and honours deadlines and cancellation. Used only by the demo, the
tests and the benches.
"""

import argparse
import enum
import http.client
import json
import math
import os
import signal
import threading
import time
import uuid
from collections import Counter

import attrs
import waitress

from tamarackhaven._whole_response import connect

REPORT_INTERVAL_S = 0.2
CONNECT_TIMEOUT_S = 2.0
_RECEIVE_BYTES = 8192
_STALL_DURATION_S = 30.0
_POLL_INTERVAL_S = 0.005
DID_NOT_RUN = ("Tamarackhaven-Did-Not-Run", "1")


class Mode(enum.Enum):
    """How a target answers lookups and bookings."""

    GOOD = "good"
    SHORT = "short"
    OVERSIZED = "oversized"
    STALLED = "stalled"
    WRONG_ID = "wrong-id"
    LATE = "late"
    DRIP = "drip"


@attrs.frozen
class StandinSettings:
    """Settings of a simulated target.

    Parameters
    ----------
    port : int
        TCP port to listen on; 0 selects a free one.
    announce : str
        ``host:port`` of its daemon's port for targets, or empty.
    slots : int
        Maximum concurrent requests; further ones are shed.
    cold_slots : int
        Concurrent requests that it can handle just after its start; above that,
        requests are slow and fail. Rises linearly to ``slots``.
    cold_s : float
        Time from cold to warm_fraction, in seconds.
    service_ms : float
        Execution time of a request, in milliseconds.
    mode : Mode
        How it answers.
    journal : str
        File to which each execution of a booking appends a line, or empty.
    """

    port: int = 0
    name: str = "t"
    service: str = "s"
    announce: str = ""
    slots: int = 12
    cold_slots: int = 2
    cold_s: float = 0.0
    service_ms: float = 2.0
    mode: Mode = Mode.GOOD
    journal: str = ""


@attrs.frozen
class Reply:
    """An HTTP response; ``plain`` is its JSON body as Python objects."""

    status: int
    plain: object
    headers: tuple = ()


def boot_ms():
    """Return CLOCK_BOOTTIME in milliseconds, the clock of the daemon's headers."""
    return time.clock_gettime(time.CLOCK_BOOTTIME) * 1000


class Target:
    """The state of a simulated target; thread-safe."""

    def __init__(self, settings):
        self.settings = settings
        self.incarnation = uuid.uuid4().hex
        self._started_s = time.monotonic()
        self._lock = threading.Lock()
        self._epoch_by_shard = {}
        self._running_by_id = {}
        self._executions_by_key = Counter()
        self._journal = None
        if settings.journal:
            self._journal = open(settings.journal, "a", encoding="utf-8")  # noqa: SIM115
        self.served = 0
        self.overruns = 0
        self.refused = Counter()
        self.leaving = False
        self.honours_deadlines = True

    def answer(self, method, path, headers, body):
        """Return the reply to a request."""
        if path == "/counts":
            return Reply(200, self.counts())
        if path == "/cancel":
            return self._cancel(body)
        refusal = self._begin(headers)
        if refusal is not None:
            return refusal
        try:
            return self._run(method, path, headers, body)
        finally:
            with self._lock:
                self._running_by_id.pop(headers.get("request-id", ""), None)

    def _begin(self, headers):
        """Register the request, or return the reply that refuses it."""
        with self._lock:
            reason = self._refusal(headers)
            if reason:
                self.refused[reason] += 1
                retry = ("Retry-After", "1")
                return Reply(503, {"refused": reason}, (DID_NOT_RUN, retry))
            cancelled = threading.Event()
            self._running_by_id[headers.get("request-id", "")] = cancelled
        return None

    def _refusal(self, headers):
        if self.leaving:
            return "leaving"
        shard = headers.get("shard", "")
        epoch = int(headers.get("epoch", 0))
        if epoch < self._epoch_by_shard.get(shard, 0):
            return "stale-epoch"
        self._epoch_by_shard[shard] = epoch
        now_ms = boot_ms()
        headers["started"] = now_ms
        if now_ms > float(headers.get("start-by", "inf")):
            return "started-late"
        if now_ms > float(headers.get("deadline", "inf")):
            return "deadline-past"
        if len(self._running_by_id) >= self.settings.slots:
            return "shed"
        return ""

    def _run(self, method, path, headers, body):
        cancelled = self._running_by_id[headers.get("request-id", "")]
        if self._is_overloaded():
            # Overload: a slow error response; the request may have been executed.
            self._work(cancelled, headers, slowness=20)
            return Reply(500, {"error": "overrun"})
        if not self._work(cancelled, headers, slowness=1):
            return Reply(503, {"refused": "given-up"}, (DID_NOT_RUN,))
        with self._lock:
            self.served += 1
        if method in ("GET", "HEAD"):
            return Reply(200, {"target": self.settings.name, "path": path})
        return self._book(path, headers)

    def _is_overloaded(self):
        age_s = time.monotonic() - self._started_s
        if age_s >= self.settings.cold_s:
            return False
        with self._lock:
            warm_fraction = age_s / self.settings.cold_s
            spare = self.settings.slots - self.settings.cold_slots
            capacity = self.settings.cold_slots + int(warm_fraction * spare)
            is_over = len(self._running_by_id) > capacity
            self.overruns += is_over
        return is_over

    def _work(self, cancelled, headers, slowness):
        """Simulate the execution; return False if cancelled or past its deadline."""
        until_s = time.monotonic() + self.settings.service_ms * slowness / 1000
        deadline_ms = math.inf
        if self.honours_deadlines:
            deadline_ms = float(headers.get("deadline", "inf"))
        while (left_s := until_s - time.monotonic()) > 0:
            if cancelled.wait(min(left_s, _POLL_INTERVAL_S)) or boot_ms() > deadline_ms:
                return False
        return True

    def _book(self, path, headers):
        key = headers.get("idempotency-key", "")
        with self._lock:
            self._executions_by_key[key] += 1
            times = self._executions_by_key[key]
            if self._journal:
                line = {
                    "key": key,
                    "target": self.settings.name,
                    "path": path,
                    "shard": headers.get("shard", ""),
                    "grant": int(headers.get("epoch", 0)),
                    "started_ms": headers["started"],
                }
                self._journal.write(json.dumps(line) + "\n")
                self._journal.flush()
                os.fsync(self._journal.fileno())
        return Reply(201, {"booked": key, "times": times, "path": path})

    def _cancel(self, body):
        with self._lock:
            event = self._running_by_id.get(body.decode())
        if event:
            event.set()
        return Reply(200, {"cancelled": event is not None})

    def counts(self):
        """Return all counters."""
        with self._lock:
            return {
                "served": self.served,
                "overruns": self.overruns,
                "refused": dict(self.refused),
                "executions": dict(self._executions_by_key),
                "incarnation": self.incarnation,
            }

    def report(self):
        """Return the load report for the daemon."""
        with self._lock:
            return {
                "running": len(self._running_by_id),
                "slots": self.settings.slots,
                "uptime_s": time.monotonic() - self._started_s,
                "incarnation": self.incarnation,
                "served": self.served,
            }


def target_app(target):
    """Return the WSGI application of a target."""

    def app(environ, start_response):
        headers = _request_headers(environ)
        length = int(environ.get("CONTENT_LENGTH") or 0)
        body = environ["wsgi.input"].read(length)
        path = environ["REQUEST_URI"].partition("?")[0]
        reply = target.answer(environ["REQUEST_METHOD"], path, headers, body)
        return _answer(reply, headers, target.settings.mode, start_response)

    return app


def _request_headers(environ):
    prefix = "HTTP_TAMARACKHAVEN_"
    headers = {
        name.removeprefix(prefix).replace("_", "-").lower(): value
        for name, value in environ.items()
        if name.startswith(prefix)
    }
    headers["idempotency-key"] = environ.get("HTTP_IDEMPOTENCY_KEY", "")
    return headers


def _answer(reply, headers, mode, start_response):
    body = json.dumps(reply.plain, sort_keys=True).encode() + b"\n"
    request_id = headers.get("request-id", "")
    length = len(body)
    if mode is Mode.WRONG_ID:
        request_id = "another-request"
    if mode is Mode.OVERSIZED:
        body = b"x" * (8 * 1024 * 1024)
        length = len(body)
    if mode is Mode.SHORT:
        length += 100
    if mode in (Mode.STALLED, Mode.LATE):
        time.sleep(_STALL_DURATION_S if mode is Mode.STALLED else 0.6)
    lines = [
        ("Content-Type", "application/json"),
        ("Tamarackhaven-Request-Id", request_id),
        ("Content-Length", str(length)),
        *reply.headers,
    ]
    start_response(f"{reply.status} {http.client.responses[reply.status]}", lines)
    if mode is Mode.DRIP:
        return _drip_bytes(body)
    return [body]


def _drip_bytes(body):
    for byte in body:
        time.sleep(0.1)
        yield bytes([byte])


class Announcer:
    """Notifies the daemon of the target's start, its load and its shutdown.

    Parameters
    ----------
    target : Target
        Target to report on.
    address : str
        ``host:port`` of the daemon's port for targets.
    port : int
        TCP port on which the target listens.
    """

    def __init__(self, target, address, port):
        self._target = target
        host, _, announce_port = address.rpartition(":")
        self._address = (host, int(announce_port))
        self._port = port
        self._ended = threading.Event()
        self._connection = None
        self._announced = None
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self):
        """Announce the target, then send a report at each interval."""
        self._thread.start()

    def leave(self):
        """Notify the daemon that the target is shutting down."""
        self._post(self._connect(), "/leaving", {})

    def stop(self):
        """Stop sending reports."""
        self._ended.set()
        self._thread.join()

    def _run(self):
        while not self._ended.is_set():
            self._announce_or_report()
            self._ended.wait(REPORT_INTERVAL_S)

    def _announce_or_report(self):
        announcement = self._announcement()
        if self._connection is None:
            # The daemon may have restarted without its state: announce again.
            self._connection = self._connect()
            self._announced = None
        if announcement != self._announced:
            is_connected = self._post(self._connection, "/announce", announcement)
            self._announced = announcement
        else:
            is_connected = self._post(
                self._connection, "/report", self._target.report()
            )
        if not is_connected:
            self._connection.close()
            self._connection = None

    def _connect(self):
        return connect(*self._address, CONNECT_TIMEOUT_S)

    def _announcement(self):
        return {
            "incarnation": self._target.incarnation,
            "slots": self._target.settings.slots,
            "address": {"host": "127.0.0.1", "port": self._port},
        }

    def _post(self, connection, path, plain):
        """Post JSON; return whether the daemon responded and kept the connection."""
        try:
            connection.request("POST", path, json.dumps(plain).encode())
            connection.getresponse().read()
        except (OSError, http.client.HTTPException):
            return False
        return connection.sock is not None


class Server:
    """A target and its HTTP server, run in threads of this process."""

    def __init__(self, settings):
        self.target = Target(settings)
        self._server = waitress.create_server(
            target_app(self.target),
            host="127.0.0.1",
            port=settings.port,
            threads=settings.slots + 4,
            connection_limit=settings.slots * 20 + 100,
            channel_request_lookahead=1,
            ident="",
        )
        self.port = self._server.effective_port
        self.announcer = None
        if settings.announce:
            self.announcer = Announcer(self.target, settings.announce, self.port)
        self._thread = threading.Thread(target=self._server.run, daemon=True)

    def start(self):
        """Start serving requests and announcing the target."""
        self._thread.start()
        if self.announcer:
            self.announcer.start()

    def stop(self):
        """Stop the announcer and the server, and close all connections."""
        if self.announcer:
            self.announcer.stop()
        self._server.asyncore.close_all(self._server._map)
        self._thread.join(5)
        self._server.task_dispatcher.shutdown(timeout=0.1)


def parse(arguments):
    """Parse command-line arguments into ``StandinSettings``."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    for field in attrs.fields(StandinSettings):
        option = "--" + field.name.replace("_", "-")
        kind = Mode if field.name == "mode" else type(field.default)
        parser.add_argument(option, type=kind, default=field.default)
    return StandinSettings(**vars(parser.parse_args(arguments)))


def main(arguments=None):
    """Run a target until SIGTERM or SIGINT, then drain it and stop."""
    server = Server(parse(arguments))
    stopped = threading.Event()
    signal.signal(signal.SIGTERM, lambda number, frame: stopped.set())
    signal.signal(signal.SIGINT, lambda number, frame: stopped.set())
    server.start()
    print(f"listening on 127.0.0.1:{server.port}", flush=True)
    stopped.wait()
    if server.announcer:
        server.announcer.leave()
    while server.target.report()["running"]:
        time.sleep(_POLL_INTERVAL_S)
    server.stop()


if __name__ == "__main__":
    main()
