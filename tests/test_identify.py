"""Tests of identifying raw requests, without sockets."""

import json

import pytest
from hypothesis import given, settings, strategies as st

from tamarackhaven._answer import answer_error
from tamarackhaven._identify import identify, read_request_id
from tamarackhaven._request import RawRequest
from tamarackhaven.errors import ANSWER_BY_KIND, ErrorKind, Repeat, TamarackhavenError

_SETTINGS = settings(
    derandomize=True, deadline=None, print_blob=False, database=None, max_examples=150
)


def raw(target="/s/k", method="GET", **headers):
    names = {name.replace("_", "-"): value for name, value in headers.items()}
    return RawRequest(method, target, names, b"", "10.0.0.9", 100.0)


def test_the_header_key_overrides_the_path_key():
    by_path = identify(raw("/s/a%20b/more?x=1"), "r")
    by_header = identify(raw("/s/other", tamarackhaven_key="a b"), "r")
    assert (by_path.key, by_path.key_hash) == ("a b", by_header.key_hash)
    assert by_path.target == "/s/a%20b/more?x=1"


def test_all_headers_of_a_request_are_parsed():
    found = identify(
        raw(
            method="POST",
            tamarackhaven_deadline_ms="250",
            tamarackhaven_caller="station-7",
            tamarackhaven_first_sent="1700000000.25",
            tamarackhaven_hops="1",
            idempotency_key="b-1",
            connection="close, x-private",
            x_private="1",
            x_kept="2",
        ),
        "r1",
    )
    assert found.deadline_s == 100.25
    assert (found.caller, found.hops, found.is_booking) == ("station-7", 1, True)
    assert (found.idempotency_key, found.first_sent_s) == ("b-1", 1700000000.25)
    assert dict(found.headers) == {"x-kept": "2", "idempotency-key": "b-1"}
    assert identify(raw(), "r").caller == "10.0.0.9"


@pytest.mark.parametrize(
    ("kind", "headers"),
    [
        ("BAD_HEADER", {"tamarackhaven_key": "\xff\xfe"}),
        ("BAD_HEADER", {"tamarackhaven_key": "k" * 257}),
        ("BAD_HEADER", {"tamarackhaven_hops": "many"}),
        ("BAD_HEADER", {"tamarackhaven_caller": "a, b"}),
        ("BAD_HEADER", {"tamarackhaven_first_sent": "now"}),
        ("BAD_HEADER", {"idempotency_key": "a, b"}),
        ("BAD_DEADLINE", {"tamarackhaven_deadline_ms": "600001"}),
        ("BAD_DEADLINE", {"tamarackhaven_deadline_ms": "5, 6"}),
        ("MALFORMED_REQUEST", {"target": "/s/%ff"}),
    ],
)
def test_bad_values_are_refused_with_their_kind(kind, headers):
    with pytest.raises(TamarackhavenError) as caught:
        identify(raw(**headers), "r")
    assert caught.value.kind is ErrorKind[kind]


@_SETTINGS
@given(
    target=st.text(st.characters(min_codepoint=33, max_codepoint=255), max_size=20),
    value=st.text(st.characters(max_codepoint=255), max_size=12),
    name=st.sampled_from(["key", "deadline_ms", "request_id", "hops", "first_sent"]),
)
def test_arbitrary_input_is_identified_or_refused_as_not_run(target, value, name):
    request = raw("/" + target, **{f"tamarackhaven_{name}": value})
    try:
        found = identify(request, read_request_id(request) or "made")
    except TamarackhavenError as error:
        assert error.answer.ran.value == "no"
        return
    assert found.service
    assert found.key


@pytest.mark.parametrize("kind", ErrorKind)
def test_every_error_kind_has_a_complete_answer(kind):
    answer = answer_error(TamarackhavenError(kind, "why", 0.3), "r1")
    row = ANSWER_BY_KIND[kind]
    content = json.loads(answer.body)
    assert (answer.status, content["code"]) == (row.http_status, kind.value)
    assert answer.header("Tamarackhaven-Ran") == content["ran"] == row.ran.value
    later = row.repeat is Repeat.LATER
    assert answer.header("Retry-After") == ("1" if later else "")
    assert answer.header("Tamarackhaven-Retry-After-Ms") == ("300" if later else "")
    assert ("retry_after_s" in content) == later
