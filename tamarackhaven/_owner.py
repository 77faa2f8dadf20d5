"""Serves a request at its owner: verify, look up the booking, admit, send."""

import hashlib

import attrs

from tamarackhaven import _request as names
from tamarackhaven._failure_points import (
    BOOKING_END_BY_RAN,
    gate_end,
    says_not_run,
)
from tamarackhaven._gate_messages import End
from tamarackhaven._ledger import (
    BookingAnswer,
    BookingEnd,
    BookingRefused,
    BookingTry,
    Replay,
)
from tamarackhaven._model import PolicyMode
from tamarackhaven._numbers import read_digits
from tamarackhaven._request import HttpAnswer
from tamarackhaven._send import OutgoingRequest, send
from tamarackhaven._verify import verify
from tamarackhaven.errors import ErrorKind, Ran, TamarackhavenError

# A longer wait named by a target is cut to an hour.
MAX_RETRY_AFTER_S = 3600

IN_PROGRESS_RETRY_AFTER_S = 0.5
BODY_DROPPED_HEADER = "Tamarackhaven-Body-Dropped"
_OWN_ANSWER_HEADERS = frozenset(
    name.lower()
    for name in (names.RAN_HEADER, names.ERROR_HEADER, names.DID_NOT_RUN_HEADER)
)


class Owner:
    """Serves requests at the daemon whose target owns their keys.

    Parameters
    ----------
    settings : DaemonSettings
        For ``stale_s``.
    status : callable
        Returns this daemon's ``DaemonStatus``.
    lease : Lease
        The lease of this daemon's target.
    grants : Grants
        The shards that the target owns.
    ledger : Ledger
        The target's bookings.
    ledger_lock : Lock
        Held for each call of ``ledger``.
    target : callable
        Returns the pair of ``Admission`` and ``Connections``.
    canceller : Canceller
        Cancels requests at the target that no caller waits for.
    clock : Clock
        Times requests and bookings.
    record_key : callable
        Called with the key hash of each request for a key of this target.
    hang_detector : HangDetector
        Detects whether the target is hung.
    """

    def __init__(
        self,
        settings,
        status,
        lease,
        grants,
        ledger,
        ledger_lock,
        target,
        canceller,
        clock,
        record_key,
        hang_detector,
    ):
        self._settings = settings
        self._status = status
        self._lease = lease
        self._grants = grants
        self._ledger = ledger
        self._ledger_lock = ledger_lock
        self._target = target
        self._canceller = canceller
        self._clock = clock
        self._record_key = record_key
        self._hang_detector = hang_detector

    def serve(self, request, located, gone):
        """Return the whole answer of this daemon's target.

        Raises
        ------
        TamarackhavenError
            Any kind raised between the lease check and the end of the answer; its
            ``answer`` says whether the request ran.
        """
        self._verify(located)
        self._record_key(request.key_hash)
        if located.mode is PolicyMode.SHARED:
            self._grants.enter_shared(located.grant, request.key_hash)
        else:
            self._grants.enter(located.grant, request.key_hash)
        try:
            if request.is_booking:
                return self._run_booking(request, located, gone)
            return self._admit_and_send(request, located, gone)
        finally:
            self._grants.leave(located.grant, request.key_hash)

    def _verify(self, located):
        now = self._clock.boot_s()
        verify(located, self._status(), self._lease, self._settings.stale_s, now)

    def _run_booking(self, request, located, gone):
        booking = booking_try(request, located)
        with self._ledger_lock:
            outcome = self._ledger.begin(booking, self._clock.unix_s())
        if isinstance(outcome, BookingRefused):
            raise TamarackhavenError(
                outcome.kind, "", self._retry_after_s(outcome.kind)
            )
        if isinstance(outcome, Replay):
            return _replay(outcome.answer, request)
        end, kept = BookingEnd.UNKNOWN, None
        try:
            answer = self._admit_and_send(request, located, gone)
            end, kept = BookingEnd.ANSWERED, _to_booking_answer(answer)
            return answer
        except TamarackhavenError as error:
            end = BOOKING_END_BY_RAN[error.answer.ran]
            raise
        finally:
            with self._ledger_lock:
                self._ledger.finish(outcome.token, end, kept, self._clock.unix_s())

    def _retry_after_s(self, kind):
        if kind is ErrorKind.BOOKING_OWNER_CHANGED:
            return self._settings.bookings.caller_clock_margin_s
        if kind is ErrorKind.BOOKING_IN_PROGRESS:
            return IN_PROGRESS_RETRY_AFTER_S
        return 0.0

    def _admit_and_send(self, request, located, gone):
        admission, connections = self._target()
        decision_id = _admit(admission, request, gone)
        start_s = self._clock.boot_s()
        end = End.GIVEN_UP
        try:
            # The lease may have expired while the request was queued.
            self._verify(located)
            answer = self._send(request, located, connections, gone)
            end = _gate_end_of_answer(answer)
        except TamarackhavenError as error:
            end = gate_end(error.kind)
            if error.kind in _KINDS_TO_CANCEL:
                self._canceller.cancel(connections, request.request_id)
            raise
        finally:
            admission.leave(decision_id, end, self._clock.boot_s() - start_s)
        if end is End.SHED:
            raise _shed_error(answer)
        return _answer_for_caller(answer)

    def _send(self, request, located, connections, gone):
        # A booking in flight continues when its caller disconnects: its answer is
        # recorded in the ledger, so that a retry gets it instead of "unknown".
        if request.is_booking:
            gone = _never
        outgoing = OutgoingRequest(
            request_id=request.request_id,
            method=request.method,
            target=request.target,
            headers=(*request.headers, *self._fence_headers(request, located)),
            body=request.body,
            deadline_s=request.deadline_s,
            max_body_bytes=located.service.max_body_bytes,
        )
        return self._send_unless_hung(connections, outgoing, gone)

    def _send_unless_hung(self, connections, outgoing, gone):
        """Send a request; raise CANCELLED as soon as the target is detected as hung.

        It is unknown then whether the request ran. The hung target's shards have been
        released, so callers needn't wait until their deadlines: the next owner may
        answer a lookup.
        """
        watch = _HangWatch(self._hang_detector, gone)
        self._hang_detector.began(self._clock.boot_s())
        answered = False
        try:
            answer = send(connections, outgoing, watch)
            answered = True
            return answer
        except TamarackhavenError as error:
            if error.kind is not ErrorKind.CALLER_GONE or not watch.is_hung:
                raise
            detail = "The target is hung."
            raise TamarackhavenError(ErrorKind.CANCELLED, detail) from error
        finally:
            self._hang_detector.ended(answered, self._clock.boot_s())

    def _fence_headers(self, request, located):
        """Return the headers that let a target refuse a request that arrives too late.

        A daemon that is paused between the lease check and the send may resume when
        another target owns the key. A target that checks these headers refuses the
        request.
        """
        now = self._clock.boot_s()
        start_by_s = min(self._lease.held_until(now), request.deadline_s)
        times = (
            (names.START_BY_HEADER, str(int(start_by_s * 1000))),
            (names.DEADLINE_HEADER, str(int(request.deadline_s * 1000))),
        )
        if located.mode is PolicyMode.SHARED:
            return times
        return (
            (names.EPOCH_HEADER, str(located.grant.grant)),
            (names.SHARD_HEADER, str(located.grant.shard)),
            *times,
        )


# After these the target may still be working on the request.
_KINDS_TO_CANCEL = frozenset(
    {ErrorKind.ANSWER_TIMEOUT, ErrorKind.CALLER_GONE, ErrorKind.CANCELLED}
)


class _HangWatch:
    """Stops a try when the target is hung or the caller gone; records which."""

    def __init__(self, hang_detector, gone):
        self._hang_detector = hang_detector
        self._gone = gone
        self.is_hung = False

    def __call__(self):
        """Return whether the target is hung or the caller gone."""
        self.is_hung = self._hang_detector.is_hung
        return self.is_hung or self._gone()


def _never():
    return False


def _admit(admission, request, gone):
    try:
        return admission.enter(request, gone)
    except TamarackhavenError as error:
        if error.kind is ErrorKind.CALLER_GONE:
            # The error table says unknown, but here nothing has been sent.
            raise WithdrawnError from error
        raise


class WithdrawnError(TamarackhavenError):
    """The caller disconnected while its request was queued; it did not run."""

    def __init__(self):
        super().__init__(ErrorKind.CALLER_GONE, "The request was still queued.")

    @property
    def answer(self):
        """The row of the error table, changed to "did not run"."""
        return attrs.evolve(super().answer, ran=Ran.NO)


def booking_try(request, located):
    """Return the ``BookingTry`` by which the ledger identifies a booking.

    Two requests with the same idempotency key are the same booking only if their
    method, path and body are equal.
    """
    digest = hashlib.blake2b(digest_size=16)
    for part in (request.method.encode(), request.target.encode(), request.body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return BookingTry(
        service=request.service,
        shard=located.grant.shard,
        grant=located.grant.grant,
        # The keys of a shard share one ledger; the same idempotency key with another
        # routing key is another booking.
        idempotency_key=f"{request.key_hash:x}/{request.idempotency_key}",
        digest=digest.digest(),
        first_sent_s=request.first_sent_s,
        window_s=located.service.booking_window_s,
    )


def _to_booking_answer(answer):
    return BookingAnswer(answer.status, answer.headers, answer.body)


def _replay(kept, request):
    headers = [
        (name, value)
        for name, value in kept.headers
        if name.lower() != names.REQUEST_ID_HEADER.lower()
    ]
    if not kept.whole:
        headers += [(BODY_DROPPED_HEADER, "1"), (names.RAN_HEADER, Ran.YES.value)]
    headers.append((names.REQUEST_ID_HEADER, request.request_id))
    return HttpAnswer(kept.status, tuple(headers), kept.body)


def _gate_end_of_answer(answer):
    value = answer.header(names.DID_NOT_RUN_HEADER)
    return End.SHED if says_not_run(answer.status, [value]) else End.ANSWERED


def _shed_error(answer):
    value = answer.header(names.RETRY_AFTER_HEADER)
    retry_after_s = float(read_digits(value, MAX_RETRY_AFTER_S) or 0)
    return TamarackhavenError(ErrorKind.TARGET_REFUSED, "", retry_after_s)


def _answer_for_caller(answer):
    headers = [
        (name, value)
        for name, value in answer.headers
        if name.lower() not in _OWN_ANSWER_HEADERS
    ]
    headers.append((names.RAN_HEADER, Ran.YES.value))
    return HttpAnswer(answer.status, tuple(headers), answer.body)
