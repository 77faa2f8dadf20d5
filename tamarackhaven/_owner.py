"""Serving a request at its owner: verify, look up the booking, admit, send."""

import hashlib

import attrs

from tamarackhaven import _request as names
from tamarackhaven._failure_points import (
    BOOKING_END_BY_RAN,
    end_of,
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
from tamarackhaven._request import HttpAnswer
from tamarackhaven._send import OutgoingRequest, send
from tamarackhaven._verify import verify
from tamarackhaven.errors import ErrorKind, Ran, TamarackhavenError

IN_PROGRESS_RETRY_S = 0.5
BODY_DROPPED_HEADER = "Tamarackhaven-Body-Dropped"
_OWN_ANSWER_HEADERS = frozenset(
    name.lower()
    for name in (names.RAN_HEADER, names.ERROR_HEADER, names.DID_NOT_RUN_HEADER)
)


class Owner:
    """The way of a request at the daemon whose target owns its key.

    Parameters
    ----------
    settings : DaemonSettings
        For ``stale_s``.
    standing : callable
        Returns this daemon's ``Standing``.
    lease : Lease
        The target's lease.
    grants : Grants
        The shards that it owns.
    ledger : Ledger
        Its bookings, called under ``ledger_lock``.
    target : callable
        Returns the pair of ``Admission`` and ``Connections``.
    canceller : Canceller
        Tells the target what nobody waits for.
    clock : Clock
        Both clocks.
    note_key : callable
        Told the key hash of every request that this target owns.
    silence : Silence
        Says whether the target is hung.
    """

    def __init__(
        self,
        settings,
        standing,
        lease,
        grants,
        ledger,
        ledger_lock,
        target,
        canceller,
        clock,
        note_key,
        silence,
    ):
        self._settings = settings
        self._standing = standing
        self._lease = lease
        self._grants = grants
        self._ledger = ledger
        self._ledger_lock = ledger_lock
        self._target = target
        self._canceller = canceller
        self._clock = clock
        self._note_key = note_key
        self._silence = silence

    def serve(self, request, located, gone):
        """Return the target's whole answer.

        Raises
        ------
        TamarackhavenError
            Any kind from the lease to the target; its row says whether it ran.
        """
        self._verify(located)
        self._note_key(request.key_hash)
        if located.mode is PolicyMode.SHARED:
            self._grants.enter_shared(located.grant, request.key_hash)
        else:
            self._grants.enter(located.grant, request.key_hash)
        try:
            if request.is_booking:
                return self._book(request, located, gone)
            return self._run(request, located, gone)
        finally:
            self._grants.leave(located.grant, request.key_hash)

    def _verify(self, located):
        now = self._clock.boot_s()
        verify(located, self._standing(), self._lease, self._settings.stale_s, now)

    def _book(self, request, located, gone):
        booking = booking_try(request, located)
        with self._ledger_lock:
            begun = self._ledger.begin(booking, self._clock.unix_s())
        if isinstance(begun, BookingRefused):
            raise TamarackhavenError(begun.kind, "", self._retry_after_s(begun.kind))
        if isinstance(begun, Replay):
            return _replayed(begun.answer, request)
        end, kept = BookingEnd.UNKNOWN, None
        try:
            answer = self._run(request, located, gone)
            end, kept = BookingEnd.ANSWERED, _kept(answer)
            return answer
        except TamarackhavenError as error:
            end = BOOKING_END_BY_RAN[error.answer.ran]
            raise
        finally:
            with self._ledger_lock:
                self._ledger.finish(begun.token, end, kept, self._clock.unix_s())

    def _retry_after_s(self, kind):
        if kind is ErrorKind.BOOKING_OWNER_CHANGED:
            return self._settings.bookings.caller_clock_margin_s
        if kind is ErrorKind.BOOKING_IN_PROGRESS:
            return IN_PROGRESS_RETRY_S
        return 0.0

    def _run(self, request, located, gone):
        admission, connections = self._target()
        decision_id = _admitted(admission, request, gone)
        start_s = self._clock.boot_s()
        end = End.GIVEN_UP
        try:
            # The lease may have ended while the request waited.
            self._verify(located)
            answer = self._send(request, located, connections, gone)
            end = _end_of(answer)
        except TamarackhavenError as error:
            end = end_of(error.kind)
            if error.kind in _CANCELLED_BY_US:
                self._canceller.cancel(connections, request.request_id)
            raise
        finally:
            admission.leave(decision_id, end, self._clock.boot_s() - start_s)
        if end is End.SHED:
            raise _shed(answer)
        return _passed_on(answer)

    def _send(self, request, located, connections, gone):
        # A booking in flight is not abandoned with its caller: the answer goes into
        # the ledger, so that its next try gets it and not "unknown".
        if request.is_booking:
            gone = _never
        sending = OutgoingRequest(
            request_id=request.request_id,
            method=request.method,
            target=request.target,
            headers=(*request.headers, *self._fence(request, located)),
            body=request.body,
            deadline_s=request.deadline_s,
            max_body_bytes=located.service.max_body_bytes,
        )
        return self._send_heard(connections, sending, gone)

    def _send_heard(self, connections, sending, gone):
        """Send; end at once, in doubt, when the target is found hung.

        Its shards are given up by then, so its callers aren't held until their
        deadlines: a lookup may be answered by the next owner.
        """
        watch = _HangWatch(self._silence, gone)
        self._silence.began(self._clock.boot_s())
        answered = False
        try:
            answer = send(connections, sending, watch)
            answered = True
            return answer
        except TamarackhavenError as error:
            if error.kind is not ErrorKind.CALLER_GONE or not watch.hung:
                raise
            detail = "The target is hung."
            raise TamarackhavenError(ErrorKind.CANCELLED, detail) from error
        finally:
            self._silence.ended(answered, self._clock.boot_s())

    def _fence(self, request, located):
        """Return the headers by which a target refuses what comes too late.

        A daemon that freezes between the check of its lease and the send wakes up when
        another target owns the key. A target that checks these refuses the request.
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


# The target may still be at it.
_CANCELLED_BY_US = frozenset(
    {ErrorKind.ANSWER_TIMEOUT, ErrorKind.CALLER_GONE, ErrorKind.CANCELLED}
)


class _HangWatch:
    """Says whether a try at the target is to be ended, and notes why."""

    def __init__(self, silence, gone):
        self._silence = silence
        self._gone = gone
        self.hung = False

    def __call__(self):
        """Return whether the target is hung or the caller gone."""
        self.hung = self._silence.hung
        return self.hung or self._gone()


def _never():
    return False


def _admitted(admission, request, gone):
    try:
        return admission.enter(request, gone)
    except TamarackhavenError as error:
        if error.kind is ErrorKind.CALLER_GONE:
            # The table says unknown; here it is known that nothing was sent.
            raise WithdrawnError from error
        raise


class WithdrawnError(TamarackhavenError):
    """The caller hung up while its request waited; it did not run."""

    def __init__(self):
        super().__init__(ErrorKind.CALLER_GONE, "It was still waiting.")

    @property
    def answer(self):
        """The row of the table, with "did not run"."""
        return attrs.evolve(super().answer, ran=Ran.NO)


def booking_try(request, located):
    """Return the ledger's view of a booking.

    Two requests with the same idempotency key are the same booking only if method,
    path and body agree.
    """
    digest = hashlib.blake2b(digest_size=16)
    for part in (request.method.encode(), request.target.encode(), request.body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return BookingTry(
        service=request.service,
        shard=located.grant.shard,
        grant=located.grant.grant,
        # Keys of one shard share a ledger; the same idempotency key under another
        # key is another booking.
        idempotency_key=f"{request.key_hash:x}/{request.idempotency_key}",
        digest=digest.digest(),
        first_sent_s=request.first_sent_s,
        window_s=located.service.booking_window_s,
    )


def _kept(answer):
    return BookingAnswer(answer.status, answer.headers, answer.body)


def _replayed(kept, request):
    headers = [
        (name, value)
        for name, value in kept.headers
        if name.lower() != names.REQUEST_ID_HEADER.lower()
    ]
    if not kept.whole:
        headers += [(BODY_DROPPED_HEADER, "1"), (names.RAN_HEADER, Ran.YES.value)]
    headers.append((names.REQUEST_ID_HEADER, request.request_id))
    return HttpAnswer(kept.status, tuple(headers), kept.body)


def _end_of(answer):
    value = answer.header(names.DID_NOT_RUN_HEADER)
    return End.SHED if says_not_run(answer.status, [value]) else End.ANSWERED


def _shed(answer):
    value = answer.header(names.RETRY_AFTER_HEADER)
    retry_after_s = float(value) if value.isdigit() else 0.0
    return TamarackhavenError(ErrorKind.TARGET_REFUSED, "", retry_after_s)


def _passed_on(answer):
    headers = [
        (name, value)
        for name, value in answer.headers
        if name.lower() not in _OWN_ANSWER_HEADERS
    ]
    headers.append((names.RAN_HEADER, Ran.YES.value))
    return HttpAnswer(answer.status, tuple(headers), answer.body)
