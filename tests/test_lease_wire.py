"""Tests of the datagrams' bytes."""

import pytest
from hypothesis import given, settings, strategies as st

from tamarackhaven._lease_wire import Ack, Hint, Reason, Renewal, decode, encode
from tamarackhaven.errors import TamarackhavenError

EXAMPLES = settings(
    derandomize=True, deadline=None, print_blob=False, database=None, max_examples=60
)
NUMBER = st.integers(0, 2**48 - 1)
SEQ = st.integers(0, 2**32 - 1)
REFUSED = st.sampled_from([r for r in Reason if r is not Reason.GRANTED])
MESSAGES = st.one_of(
    st.builds(Renewal, NUMBER, NUMBER, SEQ, st.booleans()),
    st.builds(Ack, SEQ, st.just(Reason.GRANTED), NUMBER),
    st.builds(Ack, SEQ, REFUSED, NUMBER, st.integers(0, 999)),
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


def test_sizes():
    assert len(encode(Renewal(1, 1, 1))) == 21
    assert len(encode(Ack(1, Reason.GRANTED, 1))) == 15
    assert len(encode(Ack(1, Reason.FENCED, 1))) == 18
    assert len(encode(Hint(1))) == 11


@pytest.mark.parametrize("message", [Renewal(2**48, 0, 0), Hint(2**48)])
def test_an_index_that_does_not_fit_is_an_error_and_never_cut(message):
    with pytest.raises(TamarackhavenError):
        encode(message)
