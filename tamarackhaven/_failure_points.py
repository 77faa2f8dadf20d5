"""Lists all points at which a request can fail, and whether it may have run there.

A request can't have run before its first byte was written to the target's connection.
After that, only the target itself can say that it did not run, by the header
``DID_NOT_RUN_HEADER`` on a 503. A target may act on part of a request, and the loss of
an answer doesn't show whether the work was done.

A complete answer of the target that arrives in time is no failure, whatever its status.
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
    """The point at which a request failed."""

    # At the daemon that received the request from the caller.
    NO_OWNER_KNOWN = "no-owner-known"
    FORWARD_CONNECT = "forward-connect"
    FORWARD_AFTER_SEND = "forward-after-send"
    # At the owner's daemon, before sending to the target.
    DEADLINE_BEFORE_SEND = "deadline-before-send"
    QUEUE_FULL = "queue-full"
    QUEUE_TIMEOUT = "queue-timeout"
    OWNER_CHANGE_BEFORE_SEND = "owner-change-before-send"
    LEASE_END_BEFORE_SEND = "lease-end-before-send"
    DRAIN_BEFORE_SEND = "drain-before-send"
    ZONE_OUT_BEFORE_SEND = "zone-out-before-send"
    CALLER_GONE_BEFORE_SEND = "caller-gone-before-send"
    # While sending to the target and afterwards.
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
    """The consequences of a failure at one point.

    Parameters
    ----------
    kind : ErrorKind
        Error kind returned to the caller.
    ran : Ran
        Whether the request ran, as far as the daemon can tell.
    end : End or None
        End reported to the gate; None if the request did not reach the target's
        connection. FAILED only if the connection was lost, which indicates a restart,
        whereas a target that sends too much is alive.
    reuse : bool
        Whether the target's connection may be reused for another request.
    """

    kind: ErrorKind
    ran: Ran
    end: End | None = None
    reuse: bool = False


def _not_sent(kind):
    """Return a row for a request of which no byte was sent to the target."""
    return Failure(kind, Ran.NO)


def _may_have_run(kind, end=End.FAILED):
    """Return a row for a request that the target may have run."""
    return Failure(kind, Ran.UNKNOWN, end)


_P, _K = FailurePoint, ErrorKind

FAILURE_BY_POINT = {
    _P.NO_OWNER_KNOWN: _not_sent(_K.NO_OWNER),
    _P.FORWARD_CONNECT: _not_sent(_K.OWNER_UNREACHABLE),
    # The owner's daemon may have sent it to the target before the daemon was lost.
    _P.FORWARD_AFTER_SEND: Failure(_K.FORWARD_LOST, Ran.UNKNOWN),
    _P.DEADLINE_BEFORE_SEND: _not_sent(_K.DEADLINE_PAST),
    _P.QUEUE_FULL: _not_sent(_K.QUEUE_FULL),
    _P.QUEUE_TIMEOUT: _not_sent(_K.QUEUE_TIMEOUT),
    _P.OWNER_CHANGE_BEFORE_SEND: _not_sent(_K.MOVING),
    _P.LEASE_END_BEFORE_SEND: _not_sent(_K.LEASE_LOST),
    _P.DRAIN_BEFORE_SEND: _not_sent(_K.DRAINING),
    _P.ZONE_OUT_BEFORE_SEND: _not_sent(_K.ZONE_OUT),
    # It did not run, but the kind is shared with the row after sending, and the caller
    # that could use the difference is gone. UNKNOWN is true for both.
    _P.CALLER_GONE_BEFORE_SEND: Failure(_K.CALLER_GONE, Ran.UNKNOWN),
    _P.CONNECT_REFUSED: Failure(_K.TARGET_UNREACHABLE, Ran.NO, End.UNREACHABLE),
    _P.CONNECT_TIMEOUT: Failure(_K.TARGET_UNREACHABLE, Ran.NO, End.UNREACHABLE),
    _P.DURING_SEND: _may_have_run(_K.TARGET_SENT_NOTHING),
    # The target may have read the request before it closed the connection: a reset
    # after sending looks the same in both cases.
    _P.POOLED_CONNECTION_CLOSED: _may_have_run(_K.TARGET_SENT_NOTHING),
    _P.AFTER_SEND: _may_have_run(_K.TARGET_SENT_NOTHING),
    _P.TARGET_SAID_NO: Failure(_K.TARGET_REFUSED, Ran.NO, End.SHED, reuse=True),
    _P.DURING_ANSWER: _may_have_run(_K.ANSWER_SHORT),
    _P.ANSWER_STALLED: _may_have_run(_K.ANSWER_TIMEOUT, End.GIVEN_UP),
    _P.ANSWER_LATE: _may_have_run(_K.ANSWER_TIMEOUT, End.GIVEN_UP),
    _P.ANSWER_OVERSIZED: _may_have_run(_K.ANSWER_TOO_LARGE, End.GIVEN_UP),
    _P.ANSWER_OF_ANOTHER: _may_have_run(_K.ANSWER_MISMATCH, End.GIVEN_UP),
    _P.LEASE_END_AFTER_SEND: _may_have_run(_K.CANCELLED, End.GIVEN_UP),
    _P.OWNER_CHANGE_AFTER_SEND: _may_have_run(_K.CANCELLED, End.GIVEN_UP),
    _P.DRAIN_TIMEOUT_AFTER_SEND: _may_have_run(_K.CANCELLED, End.GIVEN_UP),
    _P.CALLER_GONE_AFTER_SEND: _may_have_run(_K.CALLER_GONE, End.GIVEN_UP),
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

    The end is GIVEN_UP for a request that was admitted but never sent, as it shows
    nothing about the target.
    """
    if kind in _END_BY_KIND:
        return _END_BY_KIND[kind]
    is_unsent = ANSWER_BY_KIND[kind].ran is Ran.NO
    return End.GIVEN_UP if is_unsent else End.FAILED


def says_not_run(status, did_not_run_values):
    """Return whether an answer states that the target did not run the request.

    Parameters
    ----------
    status : int
        Status of the answer.
    did_not_run_values : list of str
        All values of ``DID_NOT_RUN_HEADER``. Several values, or an unknown one, are
        ambiguous and don't count as a refusal.
    """
    return status == _SERVICE_UNAVAILABLE and did_not_run_values == [DID_NOT_RUN_VALUE]
