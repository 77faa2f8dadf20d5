"""Tests of the table "did it run" with a target that counts executions."""

import pytest

from tamarackhaven._failure_points import (
    BOOKING_END_BY_RAN,
    FAILURE_BY_POINT,
    FailurePoint,
    says_not_run,
)
from tamarackhaven._ledger import BookingEnd
from tamarackhaven.errors import ANSWER_BY_KIND, Ran

# Steps of a request's way, and the point that lies behind each of them. The points
# before the first of these steps have sent nothing.
STEPS_BY_POINT = {
    FailurePoint.FORWARD_AFTER_SEND: ["send-part", "send-rest"],
    FailurePoint.DURING_SEND: ["send-part"],
    FailurePoint.POOLED_CONNECTION_CLOSED: ["send-part", "send-rest"],
    FailurePoint.AFTER_SEND: ["send-part", "send-rest"],
    FailurePoint.TARGET_SAID_NO: ["shed", "send-part", "send-rest"],
    FailurePoint.DURING_ANSWER: ["send-part", "send-rest", "answer-part"],
    FailurePoint.ANSWER_STALLED: ["send-part", "send-rest", "answer-part"],
    FailurePoint.ANSWER_LATE: ["send-part", "send-rest", "answer-all"],
    FailurePoint.ANSWER_OVERSIZED: ["send-part", "send-rest", "answer-part"],
    FailurePoint.ANSWER_OF_ANOTHER: ["send-part", "send-rest", "answer-all"],
    FailurePoint.LEASE_END_AFTER_SEND: ["send-part", "send-rest"],
    FailurePoint.OWNER_CHANGE_AFTER_SEND: ["send-part", "send-rest"],
    FailurePoint.DRAIN_TIMEOUT_AFTER_SEND: ["send-part", "send-rest"],
    FailurePoint.CALLER_GONE_AFTER_SEND: ["send-part", "send-rest"],
}


class CountingTarget:
    """The worst target: runs a request as soon as a part of it has come."""

    def __init__(self):
        self.executions = 0
        self.shedding = False

    def take(self, step):
        if step == "shed":
            self.shedding = True
        elif step == "send-part" and not self.shedding:
            self.executions += 1


@pytest.mark.parametrize("point", FailurePoint)
def test_did_not_run_is_true_at_every_point(point):
    """A caller that hears "did not run" repeats the request.

    The target runs it at the first byte, the harshest reading. A row that says NO
    for a point behind that byte would let the caller's repeat run a second time.
    """
    failure = FAILURE_BY_POINT[point]
    target = CountingTarget()
    for step in STEPS_BY_POINT.get(point, []):
        target.take(step)
    assert failure.ran is ANSWER_BY_KIND[failure.kind].ran
    if failure.ran is Ran.NO:
        assert target.executions == 0
        assert BOOKING_END_BY_RAN[failure.ran] is BookingEnd.DID_NOT_RUN
    else:
        assert BOOKING_END_BY_RAN[failure.ran] is BookingEnd.UNKNOWN
    if target.executions:
        assert not failure.reuse


@pytest.mark.parametrize(
    ("status", "values", "expected"),
    [(503, ["1"], True), (503, [], False), (503, ["1", "1"], False)]
    + [(503, ["0"], False), (500, ["1"], False), (200, ["1"], False)],
)
def test_only_a_clear_word_of_the_target_counts(status, values, expected):
    assert says_not_run(status, values) is expected
