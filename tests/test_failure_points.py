"""Tests of the table of failure points with a target that counts executions."""

import pytest

from tamarackhaven._failure_points import (
    BOOKING_END_BY_RAN,
    FAILURE_BY_POINT,
    FailurePoint,
    says_not_run,
)
from tamarackhaven._ledger import BookingEnd
from tamarackhaven.errors import ANSWER_BY_KIND, Ran

# The steps that a request has passed when it fails at each point. At points that aren't
# listed nothing was sent.
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
    """The worst case: a target that runs a request when its first part arrives."""

    def __init__(self):
        self.executions = 0
        self.shedding = False

    def receive(self, step):
        if step == "shed":
            self.shedding = True
        elif step == "send-part" and not self.shedding:
            self.executions += 1


@pytest.mark.parametrize("point", FailurePoint)
def test_no_request_has_run_where_the_table_says_no(point):
    """A caller that is answered "did not run" sends the request again.

    The target is assumed to run a request at its first byte. With a row that says NO
    for a point after that byte, the caller's retry would run a second time.
    """
    failure = FAILURE_BY_POINT[point]
    target = CountingTarget()
    for step in STEPS_BY_POINT.get(point, []):
        target.receive(step)
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
def test_only_an_unambiguous_refusal_counts_as_not_run(status, values, expected):
    assert says_not_run(status, values) is expected
