"""Headers of requests, replies and errors on the users' platform."""

import pytest
from wire_headers import PlatformDialect

from tamarackhaven.errors import ErrorKind, TamarackhavenError
from tamarackhaven.net import HttpRequest, Reply
from tamarackhaven.sidecar import Verdict

DIALECT = PlatformDialect()
ATTEMPT = (b"Tamarackhaven-Attempt-Id", b"abc")
SIGNED = (b"Tamarackhaven-Response-Signature", b"s")
NOT_EXECUTED = (b"Tamarackhaven-Not-Executed", b"1")


def request(*headers):
    return HttpRequest("GET", "/a/b", ((b"Host", b"h"), *headers), b"", 0.0)


def test_headers_set_by_the_daemon_are_not_accepted_from_the_caller():
    # A caller that could set the calling service or the expected target would bypass
    # the checks on them.
    caller_request = DIALECT.read_request(
        request(
            ATTEMPT,
            (b"tamarackhaven-caller-service", b"forged"),
            (b"Tamarackhaven-Expected-Instance", b"forged"),
            (b"Tamarackhaven-Deadline-Ms", b"900"),
            (b"X-Other", b"kept"),
        )
    )
    names = [name.lower() for name, _ in caller_request.headers]
    assert names == [b"host", b"tamarackhaven-attempt-id", b"x-other"]
    assert caller_request.deadline_ms == 900.0


@pytest.mark.parametrize(
    "headers",
    [
        [],
        [ATTEMPT, ATTEMPT],
        [ATTEMPT, (b"Tamarackhaven-Deadline-Ms", b"soon")],
        [ATTEMPT, (b"Tamarackhaven-Deadline-Ms", b"-1")],
        [ATTEMPT, (b"Tamarackhaven-Deadline-Ms", b"nan")],
        [ATTEMPT, (b"Tamarackhaven-Shard-Key", b"65536")],
        [ATTEMPT, (b"Tamarackhaven-Shard-Key", b"x")],
    ],
)
def test_malformed_header_is_refused_with_a_code(headers):
    with pytest.raises(TamarackhavenError) as caught:
        DIALECT.read_request(request(*headers))
    assert caught.value.kind is ErrorKind.BAD_HEADER


@pytest.mark.parametrize(
    ("status", "headers", "verdict"),
    [
        (200, [ATTEMPT, SIGNED], Verdict.ANSWERED),
        (500, [ATTEMPT], Verdict.ANSWERED),
        (200, [ATTEMPT], Verdict.INVALID),
        (200, [SIGNED], Verdict.INVALID),
        (200, [(b"Tamarackhaven-Attempt-Id", b"other"), SIGNED], Verdict.INVALID),
        (200, [ATTEMPT, SIGNED, (b"Content-Encoding", b"gzip")], Verdict.INVALID),
        (503, [NOT_EXECUTED], Verdict.REFUSED),
        (429, [ATTEMPT, NOT_EXECUTED], Verdict.REFUSED),
        (503, [ATTEMPT, SIGNED], Verdict.INVALID),  # it may have run
        (421, [], Verdict.NOT_HERE),
    ],
)
def test_reply_is_classified_by_status_and_headers(status, headers, verdict):
    assert DIALECT.classify_reply(Reply(status, tuple(headers), b""), "abc") is verdict


def test_refusal_has_its_code_and_a_retry_after_header():
    error = TamarackhavenError(ErrorKind.QUEUE_FULL, "", 0.25)
    response = DIALECT.refusal(error)
    assert response.status == 503
    assert (b"Retry-After", b"0.250") in response.headers
    assert (b"Tamarackhaven-Code", b"TH301") in response.headers
