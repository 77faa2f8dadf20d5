"""Did it run: the closed table of the points at which a request can fail.

The rule behind each row: until the first byte of a request has been handed to the
target's connection it can't have run. From then on only the target's own word, the
header ``DID_NOT_RUN_HEADER`` on a 503, says that it didn't. A target may act on part
of a request, and an answer that is lost says nothing about the work.

An answer of the target that is whole and in time is no failure, whatever its status.
A 503 without the header is such an answer.
"""

import enum

import attrs

from tamarackhaven._gate_messages import End
from tamarackhaven._ledger import BookingEnd
from tamarackhaven.errors import ANSWER_BY_KIND, ErrorKind, Ran

DID_NOT_RUN_VALUE = "1"
_SERVICE_UNAVAILABLE = 503


class FailurePoint(enum.Enum):
    """Where on its way a request failed."""

    # At the daemon that the caller asked.
    NO_OWNER_KNOWN = "no-owner-known"
    FORWARD_CONNECT = "forward-connect"
    FORWARD_AFTER_SEND = "forward-after-send"
    # At the owner's daemon, before the target.
    DEADLINE_BEFORE_SEND = "deadline-before-send"
    QUEUE_FULL = "queue-full"
    QUEUE_TIMEOUT = "queue-timeout"
    OWNER_CHANGE_BEFORE_SEND = "owner-change-before-send"
    LEASE_END_BEFORE_SEND = "lease-end-before-send"
    DRAIN_BEFORE_SEND = "drain-before-send"
    ZONE_OUT_BEFORE_SEND = "zone-out-before-send"
    CALLER_GONE_BEFORE_SEND = "caller-gone-before-send"
    # At the target.
    CONNECT_REFUSED = "connect-refused"
    CONNECT_TIMEOUT = "connect-timeout"
    DURING_SEND = "during-send"
    POOLED_CONNECTION_CLOSED = "pooled-connection-closed"
    AFTER_SEND = "after-send"
    TARGET_SAID_NO = "target-said-no"
    DURING_ANSWER = "during-answer"
    ANSWER_STALLED = "answer-stalled"
    ANSWER_LATE = "answer-late"
    ANSWER_OVERSIZED = "answer-oversized"
    ANSWER_OF_ANOTHER = "answer-of-another"
    LEASE_END_AFTER_SEND = "lease-end-after-send"
    OWNER_CHANGE_AFTER_SEND = "owner-change-after-send"
    DRAIN_TIMEOUT_AFTER_SEND = "drain-timeout-after-send"
    CALLER_GONE_AFTER_SEND = "caller-gone-after-send"


@attrs.frozen
class Failure:
    """What a failure at one point means.

    Parameters
    ----------
    kind : ErrorKind
        What the caller is answered.
    ran : Ran
        Whether the request ran, as far as this program can know.
    end : End or None
        What the gate is told; None if the request never was at the target. FAILED
        only if the connection was cut: that is a sign of a restart, while a target
        that sends too much is alive.
    reuse : bool
        Whether the target's connection may serve another request.
    """

    kind: ErrorKind
    ran: Ran
    end: End | None = None
    reuse: bool = False


def _before(kind):
    """Return a row for a request that no byte of has left for the target."""
    return Failure(kind, Ran.NO)


def _doubt(kind, end=End.FAILED):
    """Return a row for a request that the target may have run."""
    return Failure(kind, Ran.UNKNOWN, end)


_P, _K = FailurePoint, ErrorKind

FAILURE_BY_POINT = {
    _P.NO_OWNER_KNOWN: _before(_K.NO_OWNER),
    _P.FORWARD_CONNECT: _before(_K.OWNER_UNREACHABLE),
    # The owner's daemon may have sent it on before it was lost.
    _P.FORWARD_AFTER_SEND: Failure(_K.FORWARD_LOST, Ran.UNKNOWN),
    _P.DEADLINE_BEFORE_SEND: _before(_K.DEADLINE_PAST),
    _P.QUEUE_FULL: _before(_K.QUEUE_FULL),
    _P.QUEUE_TIMEOUT: _before(_K.QUEUE_TIMEOUT),
    _P.OWNER_CHANGE_BEFORE_SEND: _before(_K.MOVING),
    _P.LEASE_END_BEFORE_SEND: _before(_K.LEASE_LOST),
    _P.DRAIN_BEFORE_SEND: _before(_K.DRAINING),
    _P.ZONE_OUT_BEFORE_SEND: _before(_K.ZONE_OUT),
    # It didn't run, but the kind is shared with the row after the send and nobody is
    # left to hear the difference. The weaker word stays true.
    _P.CALLER_GONE_BEFORE_SEND: Failure(_K.CALLER_GONE, Ran.UNKNOWN),
    _P.CONNECT_REFUSED: Failure(_K.TARGET_UNREACHABLE, Ran.NO, End.UNREACHABLE),
    _P.CONNECT_TIMEOUT: Failure(_K.TARGET_UNREACHABLE, Ran.NO, End.UNREACHABLE),
    _P.DURING_SEND: _doubt(_K.TARGET_SENT_NOTHING),
    # The target may have read the request before it closed: a reset that follows a
    # send looks the same in both cases.
    _P.POOLED_CONNECTION_CLOSED: _doubt(_K.TARGET_SENT_NOTHING),
    _P.AFTER_SEND: _doubt(_K.TARGET_SENT_NOTHING),
    _P.TARGET_SAID_NO: Failure(_K.TARGET_REFUSED, Ran.NO, End.SHED, reuse=True),
    _P.DURING_ANSWER: _doubt(_K.ANSWER_SHORT),
    _P.ANSWER_STALLED: _doubt(_K.ANSWER_TIMEOUT, End.GIVEN_UP),
    _P.ANSWER_LATE: _doubt(_K.ANSWER_TIMEOUT, End.GIVEN_UP),
    _P.ANSWER_OVERSIZED: _doubt(_K.ANSWER_TOO_LARGE, End.GIVEN_UP),
    _P.ANSWER_OF_ANOTHER: _doubt(_K.ANSWER_MISMATCH, End.GIVEN_UP),
    _P.LEASE_END_AFTER_SEND: _doubt(_K.CANCELLED, End.GIVEN_UP),
    _P.OWNER_CHANGE_AFTER_SEND: _doubt(_K.CANCELLED, End.GIVEN_UP),
    _P.DRAIN_TIMEOUT_AFTER_SEND: _doubt(_K.CANCELLED, End.GIVEN_UP),
    _P.CALLER_GONE_AFTER_SEND: _doubt(_K.CALLER_GONE, End.GIVEN_UP),
}

BOOKING_END_BY_RAN = {
    Ran.NO: BookingEnd.DID_NOT_RUN,
    Ran.YES: BookingEnd.ANSWERED,
    Ran.UNKNOWN: BookingEnd.UNKNOWN,
}


_END_BY_KIND = {
    failure.kind: failure.end
    for failure in FAILURE_BY_POINT.values()
    if failure.end is not None
}


def gate_end(kind):
    """Return how an admitted request that failed with ``kind`` ended for the gate.

    One that was refused after it had been admitted, and never sent, is given up: it
    says nothing of the target.
    """
    if kind in _END_BY_KIND:
        return _END_BY_KIND[kind]
    never_sent = ANSWER_BY_KIND[kind].ran is Ran.NO
    return End.GIVEN_UP if never_sent else End.FAILED


def says_not_run(status, did_not_run_values):
    """Return whether an answer is the target's word that the request did not run.

    Parameters
    ----------
    status : int
        Status of the answer.
    did_not_run_values : list of str
        All values of ``DID_NOT_RUN_HEADER``. Two of them, or another value, are no
        word at all: a refusal is only ever claimed on a clear one.
    """
    return status == _SERVICE_UNAVAILABLE and did_not_run_values == [DID_NOT_RUN_VALUE]
