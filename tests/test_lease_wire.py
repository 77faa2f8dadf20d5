"""Tests of the datagrams' bytes."""

import pytest
from hypothesis import given, settings, strategies as st

from tamarackhaven._lease_wire import Ack, Hint, Reason, Renewal, decode, encode
from tamarackhaven.errors import TamarackhavenError

EXAMPLES = settings(
    derandomize=True, deadline=None, print_blob=False, database=None, max_examples=60
)
NUMBER = st.integers(0, 2**64 - 1)
NAME = st.text(max_size=20)
SEQ = st.integers(0, 2**32 - 1)
ANY_REASON = st.sampled_from(Reason)
MESSAGES = st.one_of(
    st.builds(Renewal, NAME, NAME, NUMBER, NUMBER, NUMBER, NUMBER, SEQ),
    st.builds(Ack, NAME, NUMBER, SEQ, ANY_REASON, NUMBER, NUMBER, st.integers(0, 999)),
    st.builds(Hint, NUMBER),
)


@EXAMPLES
@given(message=MESSAGES, at=st.integers(0, 10_000), flip=st.integers(1, 255))
def test_a_datagram_is_read_back_and_a_damaged_one_is_dropped(message, at, flip):
    data = encode(message)
    assert decode(data) == message
    damaged = bytearray(data)
    damaged[at % len(data)] ^= flip
    assert decode(bytes(damaged)) is None
    assert decode(data[: at % len(data)]) is None
    assert decode(data + b"x") is None


@EXAMPLES
@given(data=st.binary(max_size=80))
def test_any_bytes_are_dropped_without_an_error(data):
    assert decode(data) is None


def test_sizes_without_names():
    assert len(encode(Renewal("", "", 0, 0, 0, 0, 0))) == 45
    assert len(encode(Ack("", 0, 0, Reason.GRANTED, 0, 0))) == 38
    assert len(encode(Hint(0))) == 14


def test_a_name_that_does_not_fit_is_an_error():
    with pytest.raises(TamarackhavenError):
        encode(Renewal("s" * 256, "t", 0, 0, 0, 0, 0))
