"""Equal requests under different ids, and requests that must not be taken for equal."""

import attrs
import pytest

from tamarackhaven.sidecar import CallerRequest
from tamarackhaven.sidecar._request_digest import MAX_HASHED_BODY_BYTES

REQUEST = CallerRequest(
    "a1", 2000.0, 7, "h.example", "GET", "/p/x?page=1", ((b"Host", b"h.example"),), b"b"
)


def test_tries_of_one_request_are_equal_whatever_their_id_deadline_and_headers():
    other = attrs.evolve(
        REQUEST, attempt_id="a2", deadline_ms=700.0, headers=((b"Cookie", b"c"),)
    )
    assert other.digest == REQUEST.digest


@pytest.mark.parametrize(
    "change",
    [
        {"method": "POST"},
        {"host": "other.example"},
        {"target": "/p/x?page=2"},
        {"target": "/p/y?page=1"},
        {"key": 8},
        {"key": None},
        {"body": b""},
        {"body": b"c"},
    ],
)
def test_requests_that_ask_for_different_things_differ(change):
    assert attrs.evolve(REQUEST, **change).digest != REQUEST.digest


def test_large_bodies_differ_by_length_beginning_and_end():
    size = 2 * MAX_HASHED_BODY_BYTES
    bodies = [b"a" * size, b"a" * (size + 1), b"b" + b"a" * (size - 1)]
    bodies.append(b"a" * (size - 1) + b"b")
    digests = {attrs.evolve(REQUEST, body=body).digest for body in bodies}
    assert len(digests) == len(bodies)
