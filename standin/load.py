"""Callers of the demo and the tests: lookups and bookings, repeated by the rules."""

import http.client
import random
import threading
import time
import uuid
from collections import Counter

import attrs

from tamarackhaven.errors import ErrorKind

TIMEOUT_S = 5.0
DEADLINE_MS = 2000
BOOKING_TRIES = 40
LOOKUP_TRIES = 1
NOT_CONNECTED = "not connected"
NO_ANSWER = "no answer"
ERROR_CODES = {kind.value for kind in ErrorKind}
PAUSE_S = 0.1
LONGEST_PAUSE_S = 1.0


@attrs.frozen
class Response:
    """One answer; ``status`` is 0 if there was none.

    Then ``error`` is "not connected" or "no answer".
    """

    status: int
    error: str = ""
    ran: str = "unknown"
    retry_after_s: float = 0.0


@attrs.define
class Booking:
    """One booking of a caller and what became of it."""

    key: str
    idempotency_key: str
    first_sent_s: float
    acknowledged: bool = False
    doubtful: bool = False
    tries: int = 0


def ask(port, service, key, method="GET", headers=(), connection=None):
    """Send one request to a daemon and return the ``Response``."""
    own = connection is None
    if own:
        connection = http.client.HTTPConnection("127.0.0.1", port, timeout=TIMEOUT_S)
    try:
        if connection.sock is None:
            connection.connect()
    except OSError:
        return Response(0, NOT_CONNECTED, "no")
    try:
        sent = {"Tamarackhaven-Deadline-Ms": str(DEADLINE_MS), **dict(headers)}
        connection.request(method, f"/{service}/{key}", headers=sent)
        answer = connection.getresponse()
        answer.read()
        return Response(
            answer.status,
            answer.headers.get("Tamarackhaven-Error", ""),
            answer.headers.get("Tamarackhaven-Ran", "yes"),
            _retry_after_s(answer.headers),
        )
    except (OSError, http.client.HTTPException):
        connection.close()
        return Response(0, NO_ANSWER)
    finally:
        if own:
            connection.close()


def _retry_after_s(headers):
    """Return when to come back, in seconds: the exact time where it is told."""
    if "Tamarackhaven-Retry-After-Ms" in headers:
        return int(headers["Tamarackhaven-Retry-After-Ms"]) / 1000
    return float(headers.get("Retry-After", 0))


class Load:
    """Callers in threads until ``stop``.

    Parameters
    ----------
    ports : callable
        Returns the daemons' ports for callers to choose from.
    service : str
        The service to ask.
    keys : list of str
        Keys to choose from.
    booking_part : float
        Part of the requests that are bookings, 0 to 1.
    callers : int
        Number of threads.
    pause_s : float
        Mean time between two requests of a caller, in seconds.
    seed : int
        Of the choices.
    """

    def __init__(self, ports, service, keys, booking_part, callers, pause_s, seed=1):
        self._ports = ports
        self._service = service
        self._keys = keys
        self._booking_part = booking_part
        self._pause_s = pause_s
        self._stopping = threading.Event()
        self._lock = threading.Lock()
        self.answers = Counter()
        self.latencies_s = []
        self.bookings = []
        self._threads = [
            threading.Thread(target=self._run, args=(seed * 1000 + n,), daemon=True)
            for n in range(callers)
        ]

    def start(self):
        """Start the callers."""
        for thread in self._threads:
            thread.start()

    def stop(self):
        """Stop them once their present requests have ended.

        A booking that may have run already is not repeated from now on.
        """
        self._stopping.set()
        for thread in self._threads:
            thread.join()

    def _run(self, seed):
        rng = random.Random(seed)
        while not self._stopping.is_set():
            if rng.random() < self._booking_part:
                self._book(rng)
            else:
                self._note(self._send(rng, rng.choice(self._keys)))
            self._stopping.wait(rng.expovariate(1 / self._pause_s))

    def _send(self, rng, key, method="GET", headers=()):
        start_s = time.monotonic()
        port = rng.choice(self._ports())
        response = ask(port, self._service, key, method, headers)
        if 200 <= response.status < 300:
            with self._lock:
                self.latencies_s.append(time.monotonic() - start_s)
        return response

    def _note(self, response):
        with self._lock:
            self.answers[_name(response)] += 1

    def _book(self, rng):
        booking = Booking(rng.choice(self._keys), uuid.uuid4().hex, time.time())
        with self._lock:
            self.bookings.append(booking)
        while booking.tries < BOOKING_TRIES:
            booking.tries += 1
            headers = {
                "Idempotency-Key": booking.idempotency_key,
                "Tamarackhaven-First-Sent": f"{booking.first_sent_s:.3f}",
            }
            response = self._send(rng, booking.key, "POST", headers)
            self._note(response)
            if 200 <= response.status < 300:
                booking.acknowledged = True
                return
            if response.ran != "no":
                booking.doubtful = True
            elif not booking.doubtful:
                # No try can have run, so this is a new booking as far as any owner
                # is concerned, and may say so.
                booking.first_sent_s = time.time()
            pause_s = min(response.retry_after_s or PAUSE_S, LONGEST_PAUSE_S)
            if not booking.doubtful:
                time.sleep(pause_s)
            elif self._stopping.wait(pause_s):
                return

    def audit(self, executed):
        """Compare what callers were told with what the targets did.

        Parameters
        ----------
        executed : list of str
            Idempotency key of each execution.

        Returns
        -------
        Audit
        """
        times_by_key = Counter(executed)
        told = [b for b in self.bookings if b.acknowledged]
        open_ = [b for b in self.bookings if not b.acknowledged]
        return Audit(
            booked=len(told),
            lost=sum(times_by_key[b.idempotency_key] == 0 for b in told),
            doubled=sum(times > 1 for times in times_by_key.values()),
            unresolved=len(open_),
            unresolved_but_run=sum(times_by_key[b.idempotency_key] > 0 for b in open_),
        )


@attrs.frozen
class Audit:
    """Bookings told done, of those never run, run twice, and never told done."""

    booked: int
    lost: int
    doubled: int
    unresolved: int
    unresolved_but_run: int


def _name(response):
    if response.error in ERROR_CODES:
        return ErrorKind(response.error).name
    return str(response.status) if response.status else response.error


def outage_s(port, service, key, start_s, timeout_s=10.0):
    """Return the time from ``start_s`` until a key is answered, by asking again.

    ``start_s`` is ``time.monotonic()`` at the loss; times are in seconds.
    """
    end = start_s + timeout_s
    while time.monotonic() < end:
        headers = {"Tamarackhaven-Deadline-Ms": "150"}
        if ask(port, service, key, headers=headers).status == 200:
            return time.monotonic() - start_s
        time.sleep(0.01)
    return timeout_s
