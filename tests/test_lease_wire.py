"""Tests of the encoding of lease datagrams."""

import pytest
from hypothesis import given, settings, strategies as st

from tamarackhaven._lease_wire import Ack, Hint, Reason, Renewal, decode, encode
from tamarackhaven.errors import TamarackhavenError

EXAMPLES = settings(
    derandomize=True, deadline=None, print_blob=False, database=None, max_examples=60
)
INDEX = st.integers(0, 2**48 - 1)
SEQ = st.integers(0, 2**32 - 1)
REFUSED = st.sampled_from([r for r in Reason if r is not Reason.GRANTED])
MESSAGES = st.one_of(
    st.builds(Renewal, INDEX, INDEX, SEQ, st.booleans()),
    st.builds(Ack, SEQ, st.just(Reason.GRANTED), INDEX),
    st.builds(Ack, SEQ, REFUSED, INDEX, st.integers(0, 999)),
    st.builds(Hint, INDEX),
)


@EXAMPLES
@given(message=MESSAGES, at=st.integers(0, 10_000), bit_flips=st.integers(1, 255))
def test_datagrams_round_trip_and_corrupted_ones_are_dropped(message, at, bit_flips):
    data = encode(message)
    assert decode(data) == message
    corrupted = bytearray(data)
    corrupted[at % len(data)] ^= bit_flips
    assert decode(bytes(corrupted)) is None
    assert decode(data[: at % len(data)]) is None
    assert decode(data + b"x") is None


@EXAMPLES
@given(data=st.binary(max_size=80))
def test_arbitrary_bytes_are_dropped_without_an_error(data):
    assert decode(data) is None


def test_encoded_sizes_in_bytes():
    assert len(encode(Renewal(1, 1, 1))) == 21
    assert len(encode(Ack(1, Reason.GRANTED, 1))) == 15
    assert len(encode(Ack(1, Reason.FENCED, 1))) == 18
    assert len(encode(Hint(1))) == 11


@pytest.mark.parametrize("message", [Renewal(2**48, 0, 0), Hint(2**48)])
def test_index_too_large_for_a_datagram_raises_and_is_never_truncated(message):
    with pytest.raises(TamarackhavenError):
        encode(message)
