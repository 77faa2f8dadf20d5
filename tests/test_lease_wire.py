"""Tests of the encoding of lease datagrams."""

import pytest
from hypothesis import given, settings, strategies as st

from tamarackhaven._lease_wire import Ack, Hint, Reason, Renewal, decode, encode
from tamarackhaven.errors import TamarackhavenError

PROPERTY_SETTINGS = settings(
    derandomize=True, deadline=None, print_blob=False, database=None, max_examples=60
)
UINT48 = st.integers(0, 2**48 - 1)
SEQ = st.integers(0, 2**32 - 1)
REFUSED = st.sampled_from([r for r in Reason if r is not Reason.GRANTED])
MESSAGES = st.one_of(
    st.builds(Renewal, UINT48, UINT48, SEQ, st.booleans()),
    st.builds(Ack, SEQ, st.just(Reason.GRANTED), UINT48),
    st.builds(Ack, SEQ, REFUSED, UINT48, st.integers(0, 999)),
    st.builds(Hint, UINT48),
)


@PROPERTY_SETTINGS
@given(message=MESSAGES, position=st.integers(0, 10_000), xor_mask=st.integers(1, 255))
def test_datagrams_round_trip_and_corrupted_ones_are_dropped(
    message, position, xor_mask
):
    data = encode(message)
    assert decode(data) == message
    corrupted = bytearray(data)
    corrupted[position % len(data)] ^= xor_mask
    assert decode(bytes(corrupted)) is None
    assert decode(data[: position % len(data)]) is None
    assert decode(data + b"x") is None


@PROPERTY_SETTINGS
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
