"""What a target had when it ended."""

from tamarackhaven.sidecar._open_requests import (
    UNANSWERED_TTL_S,
    OpenRequest,
    OpenRequests,
)

LIFE, OTHER_LIFE = "i@1@h:1", "i@2@h:1"


def begun(*lives):
    requests = OpenRequests()
    for number, life in enumerate(lives):
        requests.begin(number, OpenRequest(life, f"a{number}", bytes([number])))
    return requests


def taken(requests, life, now):
    return [each.attempt_id for each in requests.take(life, now)]


def test_an_ended_life_had_the_requests_that_it_has_not_answered():
    requests = begun(LIFE, LIFE, LIFE)
    requests.close(1)
    assert taken(requests, LIFE, 0.0) == ["a0", "a2"]
    assert taken(requests, LIFE, 0.0) == []


def test_a_request_whose_caller_has_left_still_counts_for_a_while():
    # Guards against: a caller gives up before its request ends the target, and so the
    # request seems to have nothing to do with that end.
    requests = begun(LIFE, LIFE)
    requests.unanswered(0, 10.0)
    requests.unanswered(1, 12.0)
    assert taken(requests, LIFE, 10.5 + UNANSWERED_TTL_S) == ["a1"]


def test_requests_of_another_life_stay():
    requests = begun(LIFE, OTHER_LIFE)
    assert taken(requests, LIFE, 0.0) == ["a0"]
    assert [each.attempt_id for each in requests.unresolved(0.0)] == ["a1"]
