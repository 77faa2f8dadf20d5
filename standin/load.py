"""Simulated callers: lookups, and bookings that are retried as the headers allow."""

import http.client
import random
import threading
import time
import uuid
from collections import Counter

import attrs

from tamarackhaven._whole_response import connect
from tamarackhaven.errors import ErrorKind

SOCKET_TIMEOUT_S = 5.0
DEADLINE_MS = 2000
MAX_BOOKING_ATTEMPTS = 40
MAX_LOOKUP_ATTEMPTS = 1
NOT_CONNECTED = "not connected"
NO_ANSWER = "no answer"
ERROR_CODES = {kind.value for kind in ErrorKind}
RETRY_DELAY_S = 0.1
MAX_RETRY_DELAY_S = 1.0


@attrs.frozen
class Response:
    """A daemon's response; ``status`` is 0 if there was none.

    In that case ``error`` is "not connected" or "no answer".
    """

    status: int
    error: str = ""
    ran: str = "unknown"
    retry_after_s: float = 0.0


@attrs.define
class Booking:
    """A booking and its outcome; ``doubtful`` if an attempt may have been executed."""

    key: str
    idempotency_key: str
    first_sent_s: float
    acknowledged: bool = False
    doubtful: bool = False
    tries: int = 0


def ask(port, service, key, method="GET", headers=(), connection=None):
    """Send one request to a daemon and return its ``Response``.

    Connection errors are returned with status 0, not raised.
    """
    is_own_connection = connection is None
    if is_own_connection:
        connection = connect("127.0.0.1", port, SOCKET_TIMEOUT_S)
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
        if is_own_connection:
            connection.close()


def _retry_after_s(headers):
    """Return the delay before a retry, in seconds; the millisecond header wins."""
    if "Tamarackhaven-Retry-After-Ms" in headers:
        return int(headers["Tamarackhaven-Retry-After-Ms"]) / 1000
    return float(headers.get("Retry-After", 0))


class Load:
    """Callers that send requests in threads until ``stop``.

    Parameters
    ----------
    ports : callable
        Returns the caller ports of the daemons; each request uses one at random.
    service : str
        Service that receives the requests.
    keys : list of str
        Keys to choose from.
    booking_fraction : float
        Fraction of requests that are bookings, 0 to 1.
    callers : int
        Number of threads.
    pause_s : float
        Mean time between two requests of a caller, in seconds.
    seed : int
        Seed of the random choices.
    """

    def __init__(
        self, ports, service, keys, booking_fraction, callers, pause_s, seed=1
    ):
        self._ports = ports
        self._service = service
        self._keys = keys
        self._booking_fraction = booking_fraction
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
        """Stop the callers once their current requests have ended.

        From now on, a booking that may already have been executed isn't retried.
        """
        self._stopping.set()
        for thread in self._threads:
            thread.join()

    def _run(self, seed):
        rng = random.Random(seed)
        while not self._stopping.is_set():
            if rng.random() < self._booking_fraction:
                self._book(rng)
            else:
                self._count_response(self._send(rng, rng.choice(self._keys)))
            self._stopping.wait(rng.expovariate(1 / self._pause_s))

    def _send(self, rng, key, method="GET", headers=()):
        start_s = time.monotonic()
        port = rng.choice(self._ports())
        response = ask(port, self._service, key, method, headers)
        if 200 <= response.status < 300:
            with self._lock:
                self.latencies_s.append(time.monotonic() - start_s)
        return response

    def _count_response(self, response):
        with self._lock:
            self.answers[_response_name(response)] += 1

    def _book(self, rng):
        booking = Booking(rng.choice(self._keys), uuid.uuid4().hex, time.time())
        with self._lock:
            self.bookings.append(booking)
        while booking.tries < MAX_BOOKING_ATTEMPTS:
            booking.tries += 1
            headers = {
                "Idempotency-Key": booking.idempotency_key,
                "Tamarackhaven-First-Sent": f"{booking.first_sent_s:.3f}",
            }
            response = self._send(rng, booking.key, "POST", headers)
            self._count_response(response)
            if 200 <= response.status < 300:
                booking.acknowledged = True
                return
            if response.ran != "no":
                booking.doubtful = True
            elif not booking.doubtful:
                # No attempt can have been executed, so owners see this as a new booking
                # and its first-sent time may be renewed.
                booking.first_sent_s = time.time()
            pause_s = min(response.retry_after_s or RETRY_DELAY_S, MAX_RETRY_DELAY_S)
            if not booking.doubtful:
                time.sleep(pause_s)
            elif self._stopping.wait(pause_s):
                return

    def audit(self, executed):
        """Compare the responses that callers received with the targets' executions.

        Parameters
        ----------
        executed : list of str
            Idempotency key of each execution.

        Returns
        -------
        Audit
        """
        times_by_key = Counter(executed)
        acknowledged_bookings = [b for b in self.bookings if b.acknowledged]
        unresolved = [b for b in self.bookings if not b.acknowledged]
        return Audit(
            booked=len(acknowledged_bookings),
            lost=sum(
                times_by_key[b.idempotency_key] == 0 for b in acknowledged_bookings
            ),
            doubled=sum(times > 1 for times in times_by_key.values()),
            unresolved=len(unresolved),
            unresolved_but_run=sum(
                times_by_key[b.idempotency_key] > 0 for b in unresolved
            ),
        )


@attrs.frozen
class Audit:
    """Numbers of bookings by outcome.

    ``booked`` were acknowledged; ``lost`` were acknowledged but never executed;
    ``doubled`` were executed more than once; ``unresolved`` were never acknowledged,
    and of these ``unresolved_but_run`` were executed.
    """

    booked: int
    lost: int
    doubled: int
    unresolved: int
    unresolved_but_run: int


def _response_name(response):
    if response.error in ERROR_CODES:
        return ErrorKind(response.error).name
    return str(response.status) if response.status else response.error


def outage_s(port, service, key, start_s, timeout_s=10.0):
    """Return the time from ``start_s`` until a request for ``key`` succeeds.

    ``start_s`` is ``time.monotonic()`` at the start of the outage. Times are in
    seconds; the result is ``timeout_s`` if no request succeeds.
    """
    deadline_s = start_s + timeout_s
    while time.monotonic() < deadline_s:
        headers = {"Tamarackhaven-Deadline-Ms": "150"}
        if ask(port, service, key, headers=headers).status == 200:
            return time.monotonic() - start_s
        time.sleep(0.01)
    return timeout_s
